#include "dispatch/interference.h"

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace acaciadeal {
namespace {

using nlohmann::json;

/// Tail of an idle serving task as a share of its target; targets leave this room for load.
constexpr double idleTail = 0.2;
/// Pressure to which backfill tasks are slowed: that of a tail at its target.
constexpr double wantedPressure = 1.0 - idleTail;
/// Largest step up, in percent; down goes at once.
constexpr int speedUpPercent = 25;
/// Pressure below which slowing is pointless.
constexpr double minContribution = 0.02;
/// A change shows in the tail only after its averaging window of half a second.
constexpr Duration settleTime = milliseconds(600);
/// A pace below this percentage is not worth its processor time; the tasks pause instead.
constexpr int minPace = 10;
/// Smaller changes are not worth a call for each task.
constexpr int minPaceStep = 20;

/// Assumed slope of a pair that was never seen; with the caution below, a task on a tenth of a host
/// adds 0.07.
constexpr Estimate unknownSlope{.value = 1.0, .variance = 0.4};
/// Assumed pressure of a task's own users: loads lie between 0.2 and 0.7.
constexpr Estimate unknownOwn{.value = 0.45, .variance = 0.025};
/// Variance of an observed pressure that the model does not explain.
constexpr double observationVariance = 0.002;
/// Growth of the variance of a task's own pressure in a second: loads swing by half within seven.
constexpr double ownDrift = 0.007;
/// Growth of a slope's variance by observation, so that the model follows changes.
constexpr double slopeDrift = 1e-4;
/// Reported tails are taken over this time, so that reports in between repeat each other.
constexpr Duration tailWindow = milliseconds(450);
/// Standard deviations below the estimate that are assumed.
constexpr double caution = 0.5;
/// Time over the target after which the model is no longer trusted. Users feel a tail that is over
/// its target for 4 s; reports, orders and the averaging window of the tail take 2 s of that.
constexpr Duration trustedFor = milliseconds(800);
/// Ratio below which a pause ends.
constexpr double pauseEndsBelow = 0.85;
/// Smallest slope for which a backfill task is slowed.
constexpr double disturbingSlope = 0.15;

double capacityOf(const FleetHost &host)
{
    return static_cast<double>(std::max<std::int64_t>(host.capacity.milliCores, 1));
}

/// Calls @p visit with the job's runtime step, its spec and the runtime of each running task.
template<typename Visit>
void forEachRunning(const FleetState &fleet, const FleetHost &host, Visit visit)
{
    for (const auto &[key, run] : host.runs) {
        const JobRuntime *const job = findJob(fleet, key.job);
        const TaskRuntime *const task = findTask(fleet, key);
        if (job != nullptr && task != nullptr && task->phase == TaskPhase::Running) {
            visit(job->steps[key.step].image, job->spec.steps[key.step], *task);
        }
    }
}

/// Use of the host by backfill images as reported for the last half second.
ImageUse reportedUse(const FleetState &fleet, const FleetHost &host)
{
    ImageUse use;
    forEachRunning(fleet, host, [&](ImageId image, const StepSpec &step, const TaskRuntime &task) {
        if (step.backfill) {
            addUse(use, image, task.load);
        }
    });
    return use;
}

/// Pressure on a serving image that backfill tasks with this use cause.
double contributionOf(const InterferenceModel &model, ImageId serving, const ImageUse &use,
                      double capacity)
{
    double contribution = 0;
    for (const auto &[image, milliCores] : use) {
        contribution += slopeOf(model, serving, image) * milliCores / capacity;
    }
    return contribution;
}

/// Raises the image's entry to @p value.
void raise(std::vector<std::pair<ImageId, double>> &highest, ImageId image, double value)
{
    const auto it = std::find_if(highest.begin(), highest.end(),
                                 [image](const auto &entry) { return entry.first == image; });
    if (it == highest.end()) {
        highest.emplace_back(image, value);
    } else {
        it->second = std::max(it->second, value);
    }
}

double ownPressureOf(const FleetHost &host, ImageId serving)
{
    const auto it = std::find_if(host.ownPressures.begin(), host.ownPressures.end(),
                                 [serving](const auto &entry) { return entry.first == serving; });
    return it == host.ownPressures.end() ? unknownOwn.value : it->second;
}

} // namespace

void addUse(ImageUse &use, ImageId image, double milliCores)
{
    const auto it = std::find_if(use.begin(), use.end(),
                                 [image](const auto &entry) { return entry.first == image; });
    if (it == use.end()) {
        use.emplace_back(image, milliCores);
        return;
    }
    it->second += milliCores;
    if (it->second <= 0) {
        use.erase(it);
    }
}

ImageId imageId(InterferenceModel &model, const std::string &image)
{
    if (model.slope.empty()) {
        model.slope.resize(maxImages * maxImages);
        model.assumed.resize(maxImages * maxImages);
        for (std::size_t n = 0; n < model.slope.size(); ++n) {
            setSlope(model, static_cast<ImageId>(n / maxImages),
                     static_cast<ImageId>(n % maxImages), unknownSlope);
        }
    }
    const std::size_t next = std::min(model.names.size(), maxImages - 1);
    return model.names.try_emplace(image, static_cast<ImageId>(next)).first->second;
}

void setSlope(InterferenceModel &model, ImageId serving, ImageId backfill, const Estimate &slope)
{
    const std::size_t n = serving * maxImages + backfill;
    model.slope[n] = slope;
    model.assumed[n] = std::max(0.0, slope.value - caution * std::sqrt(slope.variance));
}

double slopeOf(const InterferenceModel &model, ImageId serving, ImageId backfill)
{
    return model.assumed[serving * maxImages + backfill];
}

double pressureOf(double tailRatio)
{
    return 1.0 - idleTail / std::max(tailRatio, idleTail);
}

void observeTail(InterferenceModel &model, ImageId serving, OwnPressure &own, double tailRatio,
                 const ImageUse &use, double capacity, TimePoint now)
{
    if (own.observedAt == TimePoint{}) {
        own.estimate = unknownOwn;
    } else if (now - own.observedAt < tailWindow) {
        return;
    } else {
        const double seconds = std::chrono::duration<double>(now - own.observedAt).count();
        own.estimate.variance =
            std::min(own.estimate.variance + ownDrift * seconds, unknownOwn.variance);
    }
    own.observedAt = now;
    double expected = own.estimate.value;
    double variance = own.estimate.variance + observationVariance;
    for (const auto &[image, milliCores] : use) {
        const Estimate &slope = model.slope[serving * maxImages + image];
        const double share = milliCores / capacity;
        expected += slope.value * share;
        variance += slope.variance * share * share;
    }
    const double error = pressureOf(tailRatio) - expected;
    const auto update = [error, variance](Estimate &estimate, double input) {
        const double gain = estimate.variance * input / variance;
        estimate.value += gain * error;
        estimate.variance -= gain * input * estimate.variance;
    };
    update(own.estimate, 1.0);
    for (const auto &[image, milliCores] : use) {
        Estimate slope = model.slope[serving * maxImages + image];
        update(slope, milliCores / capacity);
        slope.variance += slopeDrift;
        setSlope(model, serving, image, slope);
    }
}

std::string encodeModel(const InterferenceModel &model)
{
    std::vector<std::string> names(std::min(model.names.size(), maxImages));
    for (const auto &[name, id] : model.names) {
        names[id] = name;
    }
    json slopes = json::array();
    for (std::size_t serving = 0; serving < names.size(); ++serving) {
        for (std::size_t other = 0; other < names.size(); ++other) {
            const Estimate &slope = model.slope[serving * maxImages + other];
            if (slope.variance < unknownSlope.variance) {
                slopes.push_back({serving, other, slope.value, slope.variance});
            }
        }
    }
    return json{{"images", names}, {"slope", std::move(slopes)}}.dump();
}

Result<void> decodeModel(const std::string &text, InterferenceModel &model)
{
    try {
        const json j = json::parse(text);
        std::vector<ImageId> ids;
        for (const json &name : j.at("images")) {
            ids.push_back(imageId(model, name.get<std::string>()));
        }
        for (const json &entry : j.at("slope")) {
            const ImageId serving = ids.at(entry.at(0).get<std::size_t>());
            const ImageId other = ids.at(entry.at(1).get<std::size_t>());
            setSlope(model, serving, other,
                     {.value = entry.at(2).get<double>(), .variance = entry.at(3).get<double>()});
        }
        return {};
    } catch (const std::exception &e) {
        return failure(ResultCode::CorruptSnapshot, e.what(), "interference model");
    }
}

void learnFromHost(FleetState &fleet, FleetHost &host, TimePoint now)
{
    const ImageUse use = reportedUse(fleet, host);
    const double capacity = capacityOf(host);
    double highest = 0;
    host.ownPressures.clear();
    for (const auto &[key, run] : host.runs) {
        TaskRuntime *const task = findTask(fleet, key);
        const JobRuntime *const job = findJob(fleet, key.job);
        if (task == nullptr || job == nullptr || task->phase != TaskPhase::Running) {
            continue;
        }
        const auto target = static_cast<double>(job->spec.steps[key.step].tailLatencyTarget.count());
        if (target <= 0 || task->percent < 100 || task->load <= 0) {
            continue;
        }
        const double ratio = task->load / target;
        const ImageId image = job->steps[key.step].image;
        observeTail(fleet.interference, image, task->ownPressure, ratio, use, capacity, now);
        raise(host.ownPressures, image, task->ownPressure.estimate.value);
        highest = std::max(highest, ratio);
    }
    host.tailRatio = highest;
}

double pressureWith(const FleetState &fleet, const FleetHost &host, ImageId image,
                    double milliCores)
{
    const double capacity = capacityOf(host);
    double highest = 0;
    for (const auto &[serving, cores] : host.servingUse) {
        const double added = slopeOf(fleet.interference, serving, image) * milliCores / capacity;
        if (added < minContribution) {
            continue;
        }
        const double present =
            contributionOf(fleet.interference, serving, host.backfillUse, capacity);
        highest = std::max(highest, ownPressureOf(host, serving) + present + added);
    }
    return highest;
}

double disturbanceOf(const FleetState &fleet, const FleetHost &host, ImageId image,
                     double milliCores)
{
    double highest = 0;
    for (const auto &[serving, cores] : host.servingUse) {
        highest = std::max(highest, slopeOf(fleet.interference, serving, image) * milliCores
                                        / capacityOf(host));
    }
    return highest;
}

void adjustPace(const FleetState &fleet, FleetHost &host, TimePoint now)
{
    if (host.backfillMilliCores == 0) {
        host.pace = 100;
        host.overTargetSince.reset();
        host.backfillPaused = false;
        return;
    }
    if (host.tailRatio <= 1) {
        host.overTargetSince.reset();
    } else if (!host.overTargetSince) {
        host.overTargetSince = now;
    }
    if (host.overTargetSince && now - *host.overTargetSince >= trustedFor) {
        host.backfillPaused = true;
    } else if (host.tailRatio < pauseEndsBelow) {
        host.backfillPaused = false;
    }
    if (host.backfillPaused) {
        host.pace = 0;
        host.paceChangedAt = now;
        return;
    }
    if (now - host.paceChangedAt < settleTime) {
        return;
    }
    const double capacity = capacityOf(host);
    double wanted = 100;
    forEachRunning(fleet, host, [&](ImageId image, const StepSpec &step, const TaskRuntime &task) {
        if (step.tailLatencyTarget.count() <= 0 || task.ownPressure.observedAt == TimePoint{}) {
            return;
        }
        const double own = task.ownPressure.estimate.value;
        const double full = contributionOf(fleet.interference, image, host.backfillUse, capacity);
        if (full >= minContribution) {
            wanted = std::min(wanted, 100.0 * std::max(wantedPressure - own, 0.0) / full);
        }
    });
    int pace = std::min(static_cast<int>(wanted), host.pace + speedUpPercent);
    pace = pace < minPace ? 0 : pace;
    const bool worthIt = pace == 0 || pace == 100 || std::abs(pace - host.pace) >= minPaceStep;
    if (pace != host.pace && worthIt) {
        host.pace = pace;
        host.paceChangedAt = now;
    }
}

void orderPaces(FleetState &fleet, FleetHost &host, std::vector<PaceRun> &orders)
{
    if (host.backfillMilliCores == 0) {
        return;
    }
    for (const auto &[key, run] : host.runs) {
        const JobRuntime *const job = findJob(fleet, key.job);
        TaskRuntime *const task = findTask(fleet, key);
        if (job == nullptr || task == nullptr || task->phase != TaskPhase::Running
            || !job->spec.steps[key.step].backfill) {
            continue;
        }
        const ImageId image = job->steps[key.step].image;
        const bool disturbs =
            host.backfillPaused
            || std::any_of(host.servingUse.begin(), host.servingUse.end(), [&](const auto &entry) {
                   return slopeOf(fleet.interference, entry.first, image) >= disturbingSlope;
               });
        const int pace = disturbs ? host.pace : 100;
        if (task->pace != pace) {
            task->pace = pace;
            task->wasPaced = true;
            orders.push_back({host.id, key, run, pace});
        }
    }
}

} // namespace acaciadeal
