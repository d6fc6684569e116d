#include "dispatch/interference.h"

#include "dispatch/dispatcher.h"

#include <algorithm>

namespace acaciadeal {
namespace {

/// Tail-to-target ratio above which backfill tasks are slowed: the figure is rough and half a
/// second old.
constexpr double slowDownRatio = 0.9;
/// Ratio below which they may speed up again.
constexpr double speedUpRatio = 0.65;
constexpr int slowDownFactor = 2;
constexpr int speedUpPercent = 20;
/// A change shows in the tail only after its averaging window of half a second.
constexpr Duration settleTime = milliseconds(600);
/// A pace below this percentage is not worth its processor time; the tasks pause instead.
constexpr int minPace = 10;

/// Assumed slope of a pair that was never seen: a task on a tenth of a host adds a tenth.
constexpr Estimate unknownSlope{.value = 1.0, .variance = 1.0};
constexpr Estimate unknownBase{.value = 0.4, .variance = 0.05};
/// Variance of an observed ratio: the load of a serving task swings by half within seconds.
constexpr double observationVariance = 0.09;
/// Growth of a parameter's variance by observation, so that the model follows changes.
constexpr double drift = 1e-5;
/// Higher ratios say no more than that the host is far beyond its knee.
constexpr double maxObservedRatio = 3.0;
/// Smallest contribution to a ratio for which a backfill task is slowed.
constexpr double disturbingSlope = 0.3;

int nextPace(const FleetHost &host)
{
    if (host.tailRatio > slowDownRatio) {
        const int slower = host.pace / slowDownFactor;
        return slower < minPace ? 0 : slower;
    }
    if (host.tailRatio < speedUpRatio) {
        return std::min(100, host.pace + speedUpPercent);
    }
    return host.pace;
}

double shareOf(const FleetHost &host, double milliCores)
{
    return milliCores / static_cast<double>(std::max<std::int64_t>(host.capacity.milliCores, 1));
}

/// Calls @p visit with the job, step and runtime of each running task on the host.
template<typename Visit>
void forEachRunning(const FleetState &fleet, const FleetHost &host, Visit visit)
{
    for (const auto &[key, run] : host.runs) {
        const JobRuntime *const job = findJob(fleet, key.job);
        const TaskRuntime *const task = findTask(fleet, key);
        if (job != nullptr && task != nullptr && task->phase == TaskPhase::Running) {
            visit(job->spec.steps[key.step], *task);
        }
    }
}

} // namespace

double slopeOf(const InterferenceModel &model, const std::string &serving,
               const std::string &backfill)
{
    const auto it = model.slope.find({serving, backfill});
    return std::max(0.0, it == model.slope.end() ? unknownSlope.value : it->second.value);
}

void observeTail(InterferenceModel &model, const std::string &serving, double tailRatio,
                 const std::map<std::string, double> &shares)
{
    Estimate &base = model.base.try_emplace(serving, unknownBase).first->second;
    double expected = base.value;
    double variance = base.variance + observationVariance;
    std::vector<std::pair<Estimate *, double>> slopes;
    for (const auto &[image, share] : shares) {
        Estimate &slope = model.slope.try_emplace({serving, image}, unknownSlope).first->second;
        expected += slope.value * share;
        variance += slope.variance * share * share;
        slopes.emplace_back(&slope, share);
    }
    const double error = std::min(tailRatio, maxObservedRatio) - expected;
    const auto update = [error, variance](Estimate &estimate, double input) {
        const double gain = estimate.variance * input / variance;
        estimate.value += gain * error;
        estimate.variance += drift - gain * input * estimate.variance;
    };
    update(base, 1.0);
    for (const auto &[slope, share] : slopes) {
        update(*slope, share);
    }
}

void learnFromHost(FleetState &fleet, FleetHost &host)
{
    std::map<std::string, double> shares;
    forEachRunning(fleet, host, [&](const StepSpec &step, const TaskRuntime &task) {
        if (step.backfill) {
            shares[step.image] += shareOf(host, task.load);
        }
    });
    double highest = 0;
    forEachRunning(fleet, host, [&](const StepSpec &step, const TaskRuntime &task) {
        const auto target = static_cast<double>(step.tailTarget.count());
        if (target <= 0 || task.percent < 100 || task.load <= 0) {
            return;
        }
        const double ratio = task.load / target;
        observeTail(fleet.interference, step.image, ratio, shares);
        highest = std::max(highest, ratio);
    });
    host.tailRatio = highest;
}

double expectedTailRatio(const FleetState &fleet, const FleetHost &host, const std::string &image,
                         double share)
{
    double highest = 0;
    forEachRunning(fleet, host, [&](const StepSpec &step, const TaskRuntime &task) {
        const auto target = static_cast<double>(step.tailTarget.count());
        if (target > 0) {
            const double slope = slopeOf(fleet.interference, step.image, image);
            highest = std::max(highest, task.load / target + slope * share);
        }
    });
    return highest;
}

void adjustPace(FleetHost &host, TimePoint now)
{
    if (host.backfillMilliCores == 0 && host.tailRatio < speedUpRatio) {
        host.pace = 100;
        return;
    }
    const int pace = nextPace(host);
    if (pace == host.pace || now - host.paceChangedAt < settleTime) {
        return;
    }
    host.pace = pace;
    host.paceChangedAt = now;
}

void orderPaces(FleetState &fleet, FleetHost &host, std::vector<PaceRun> &orders)
{
    if (host.backfillMilliCores == 0) {
        return;
    }
    std::set<std::string> servingImages;
    forEachRunning(fleet, host, [&](const StepSpec &step, const TaskRuntime &) {
        if (step.tailTarget.count() > 0) {
            servingImages.insert(step.image);
        }
    });
    for (const auto &[key, run] : host.runs) {
        const JobRuntime *const job = findJob(fleet, key.job);
        TaskRuntime *const task = findTask(fleet, key);
        if (job == nullptr || task == nullptr || task->phase != TaskPhase::Running
            || !job->spec.steps[key.step].backfill) {
            continue;
        }
        const std::string &image = job->spec.steps[key.step].image;
        const bool disturbs =
            std::any_of(servingImages.begin(), servingImages.end(), [&](const std::string &other) {
                return slopeOf(fleet.interference, other, image) >= disturbingSlope;
            });
        const int pace = disturbs ? host.pace : 100;
        if (task->pace != pace) {
            task->pace = pace;
            orders.push_back({host.id, key, run, pace});
        }
    }
}

} // namespace acaciadeal
