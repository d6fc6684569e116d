#include "dispatch/interference.h"

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace acaciadeal {
namespace {

using nlohmann::json;

/// Tail latency of an idle serving task as a share of its target; the rest is headroom for load.
constexpr double idleTailShare = 0.2;
/// Pressure at which the tail latency equals its target. Backfill tasks are slowed down to reach
/// it.
constexpr double targetPressure = 1.0 - idleTailShare;
/// Largest increase of the speed in one adjustment, in percentage points. Decreases are not
/// limited.
constexpr int maxSpeedUpPercent = 25;
/// If backfill tasks cause less pressure than this, slowing them down has no useful effect.
constexpr double minBackfillPressure = 0.02;
/// Shortest time between speed adjustments. The reported tail latency reflects a change only after
/// its averaging window of half a second.
constexpr Duration settleTime = milliseconds(600);
/// Below this speed the progress is not worth the processor time, and the tasks are paused instead.
constexpr int minPacePercent = 10;
/// Smallest change of the speed that is worth a call for each task, in percentage points.
constexpr int minPaceStepPercent = 20;

/// Initial slope of a pair that was never observed. With slopeCautionStdDevs, a task that uses a
/// tenth of a host adds a pressure of 0.07.
constexpr Estimate priorSlope{.value = 1.0, .variance = 0.4};
/// Initial pressure of a task's own users: their load lies between 0.2 and 0.7.
constexpr Estimate priorUserPressure{.value = 0.45, .variance = 0.025};
/// Observation noise: variance of an observed pressure that the model does not explain.
constexpr double observationVariance = 0.002;
/// Process noise: growth of the variance of the pressure from a task's own users in a second. The
/// load of users varies by half within seven seconds.
constexpr double userPressureDriftPerSecond = 0.007;
/// Process noise: growth of a slope's variance with each observation, so that the model adapts to
/// changes.
constexpr double slopeDriftPerObservation = 1e-4;
/// Shortest time between observations of a task. Tail latency is averaged over about this time, so
/// that reports at shorter intervals are not independent.
constexpr Duration tailWindow = milliseconds(450);
/// Number of standard deviations by which the assumed slope lies below the estimate.
constexpr double slopeCautionStdDevs = 0.5;
/// Time above the target after which the model is no longer trusted. Users notice a tail latency
/// that is above its target for 4 s; reports, orders and the averaging window take 2 s of that.
constexpr Duration modelTrustedFor = milliseconds(800);
/// Ratio of the tail latency to its target below which paused backfill tasks are resumed.
constexpr double resumeBelowTailRatio = 0.85;
/// Backfill tasks with a smaller slope are not slowed down.
constexpr double minSlopeToSlow = 0.15;

double capacityOf(const FleetHost &host)
{
    return static_cast<double>(std::max<std::int64_t>(host.capacity.milliCores, 1));
}

/// Calls @p visit with the image, the step spec and the runtime state of each running task.
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

/// Returns the processors that backfill images used on the host over the last half second, as
/// reported.
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

/// Returns the pressure on a serving image from backfill tasks with this use.
double backfillPressure(const InterferenceModel &model, ImageId serving, const ImageUse &use,
                        double capacity)
{
    double pressure = 0;
    for (const auto &[image, milliCores] : use) {
        pressure += slopeOf(model, serving, image) * milliCores / capacity;
    }
    return pressure;
}

/// Sets the entry of the image to @p value if that is higher.
void updateHighest(std::vector<std::pair<ImageId, double>> &highest, ImageId image, double value)
{
    const auto it = std::find_if(highest.begin(), highest.end(),
                                 [image](const auto &entry) { return entry.first == image; });
    if (it == highest.end()) {
        highest.emplace_back(image, value);
    } else {
        it->second = std::max(it->second, value);
    }
}

double userPressureOf(const FleetHost &host, ImageId serving)
{
    const auto it = std::find_if(host.userPressures.begin(), host.userPressures.end(),
                                 [serving](const auto &entry) { return entry.first == serving; });
    return it == host.userPressures.end() ? priorUserPressure.value : it->second;
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
        model.assumedSlope.resize(maxImages * maxImages);
        for (std::size_t n = 0; n < model.slope.size(); ++n) {
            setSlope(model, static_cast<ImageId>(n / maxImages),
                     static_cast<ImageId>(n % maxImages), priorSlope);
        }
    }
    const std::size_t next = std::min(model.imageIds.size(), maxImages - 1);
    return model.imageIds.try_emplace(image, static_cast<ImageId>(next)).first->second;
}

void setSlope(InterferenceModel &model, ImageId serving, ImageId backfill, const Estimate &slope)
{
    const std::size_t n = serving * maxImages + backfill;
    model.slope[n] = slope;
    model.assumedSlope[n] =
        std::max(0.0, slope.value - slopeCautionStdDevs * std::sqrt(slope.variance));
}

double slopeOf(const InterferenceModel &model, ImageId serving, ImageId backfill)
{
    return model.assumedSlope[serving * maxImages + backfill];
}

double pressureOf(double tailRatio)
{
    return 1.0 - idleTailShare / std::max(tailRatio, idleTailShare);
}

void observeTail(InterferenceModel &model, ImageId serving, UserPressure &own, double tailRatio,
                 const ImageUse &use, double capacity, TimePoint now)
{
    if (own.observedAt == TimePoint{}) {
        own.estimate = priorUserPressure;
    } else if (now - own.observedAt < tailWindow) {
        return;
    } else {
        const double seconds = std::chrono::duration<double>(now - own.observedAt).count();
        own.estimate.variance =
            std::min(own.estimate.variance + userPressureDriftPerSecond * seconds,
                     priorUserPressure.variance);
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
        slope.variance += slopeDriftPerObservation;
        setSlope(model, serving, image, slope);
    }
}

std::string encodeModel(const InterferenceModel &model)
{
    std::vector<std::string> imageNames(std::min(model.imageIds.size(), maxImages));
    for (const auto &[name, id] : model.imageIds) {
        imageNames[id] = name;
    }
    json slopes = json::array();
    for (std::size_t serving = 0; serving < imageNames.size(); ++serving) {
        for (std::size_t backfill = 0; backfill < imageNames.size(); ++backfill) {
            const Estimate &slope = model.slope[serving * maxImages + backfill];
            if (slope.variance < priorSlope.variance) {
                slopes.push_back({serving, backfill, slope.value, slope.variance});
            }
        }
    }
    return json{{"images", imageNames}, {"slope", std::move(slopes)}}.dump();
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
            const ImageId backfill = ids.at(entry.at(1).get<std::size_t>());
            setSlope(model, serving, backfill,
                     {.value = entry.at(2).get<double>(), .variance = entry.at(3).get<double>()});
        }
        return {};
    } catch (const std::exception &e) {
        return failure(ResultCode::CorruptSnapshot, e.what(), "interference model");
    }
}

void updateModelFromHost(FleetState &fleet, FleetHost &host, TimePoint now)
{
    const ImageUse use = reportedUse(fleet, host);
    const double capacity = capacityOf(host);
    double highest = 0;
    host.userPressures.clear();
    for (const auto &[key, run] : host.runs) {
        TaskRuntime *const task = findTask(fleet, key);
        const JobRuntime *const job = findJob(fleet, key.job);
        if (task == nullptr || job == nullptr || task->phase != TaskPhase::Running) {
            continue;
        }
        const auto target =
            static_cast<double>(job->spec.steps[key.step].tailLatencyTarget.count());
        if (target <= 0 || task->percent < 100 || task->load <= 0) {
            continue;
        }
        const double ratio = task->load / target;
        const ImageId image = job->steps[key.step].image;
        observeTail(fleet.interference, image, task->userPressure, ratio, use, capacity, now);
        updateHighest(host.userPressures, image, task->userPressure.estimate.value);
        highest = std::max(highest, ratio);
    }
    host.tailRatio = highest;
}

double pressureAfterAdding(const FleetState &fleet, const FleetHost &host, ImageId image,
                           double milliCores)
{
    const double capacity = capacityOf(host);
    double highest = 0;
    for (const auto &[serving, cores] : host.servingUse) {
        const double added = slopeOf(fleet.interference, serving, image) * milliCores / capacity;
        if (added < minBackfillPressure) {
            continue;
        }
        const double present =
            backfillPressure(fleet.interference, serving, host.backfillUse, capacity);
        highest = std::max(highest, userPressureOf(host, serving) + present + added);
    }
    return highest;
}

double addedPressure(const FleetState &fleet, const FleetHost &host, ImageId image,
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
    if (host.overTargetSince && now - *host.overTargetSince >= modelTrustedFor) {
        host.backfillPaused = true;
    } else if (host.tailRatio < resumeBelowTailRatio) {
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
    double targetPace = 100;
    forEachRunning(fleet, host, [&](ImageId image, const StepSpec &step, const TaskRuntime &task) {
        if (step.tailLatencyTarget.count() <= 0 || task.userPressure.observedAt == TimePoint{}) {
            return;
        }
        const double own = task.userPressure.estimate.value;
        const double fullSpeedPressure =
            backfillPressure(fleet.interference, image, host.backfillUse, capacity);
        if (fullSpeedPressure >= minBackfillPressure) {
            targetPace = std::min(targetPace,
                                  100.0 * std::max(targetPressure - own, 0.0) / fullSpeedPressure);
        }
    });
    int pace = std::min(static_cast<int>(targetPace), host.pace + maxSpeedUpPercent);
    pace = pace < minPacePercent ? 0 : pace;
    const bool isSignificant =
        pace == 0 || pace == 100 || std::abs(pace - host.pace) >= minPaceStepPercent;
    if (pace != host.pace && isSignificant) {
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
        const bool interferes =
            host.backfillPaused
            || std::any_of(host.servingUse.begin(), host.servingUse.end(), [&](const auto &entry) {
                   return slopeOf(fleet.interference, entry.first, image) >= minSlopeToSlow;
               });
        const int pace = interferes ? host.pace : 100;
        if (task->pace != pace) {
            task->pace = pace;
            task->wasPaced = true;
            orders.push_back({host.id, key, run, pace});
        }
    }
}

} // namespace acaciadeal
