#include "dispatch/interference.h"

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>

namespace acaciadeal {
namespace {

/// Tail-to-target ratio to which backfill tasks are slowed. The figure is rough and half a second
/// old, and the load of the serving task itself swings.
constexpr double wantedRatio = 0.8;
/// Largest step up, in percent; down goes at once.
constexpr int speedUpPercent = 25;
/// Contribution to a ratio below which slowing is pointless.
constexpr double minContribution = 0.03;
/// A change shows in the tail only after its averaging window of half a second.
constexpr Duration settleTime = milliseconds(600);
/// A pace below this percentage is not worth its processor time; the tasks pause instead.
constexpr int minPace = 10;
/// Smaller changes are not worth a call for each task.
constexpr int minPaceStep = 8;

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

/// Shares of the host that backfill images used over the last half second.
std::map<std::string, double> backfillShares(const FleetState &fleet, const FleetHost &host)
{
    std::map<std::string, double> shares;
    forEachRunning(fleet, host, [&](const StepSpec &step, const TaskRuntime &task) {
        if (step.backfill) {
            shares[step.image] += shareOf(host, task.load);
        }
    });
    return shares;
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
    const auto shares = backfillShares(fleet, host);
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

void adjustPace(const FleetState &fleet, FleetHost &host, TimePoint now)
{
    if (host.backfillMilliCores == 0) {
        host.pace = 100;
        return;
    }
    if (now - host.paceChangedAt < settleTime) {
        return;
    }
    const auto shares = backfillShares(fleet, host);
    double factor = std::numeric_limits<double>::infinity();
    forEachRunning(fleet, host, [&](const StepSpec &step, const TaskRuntime &task) {
        const auto target = static_cast<double>(step.tailTarget.count());
        if (target <= 0) {
            return;
        }
        double contribution = 0;
        for (const auto &[image, share] : shares) {
            contribution += slopeOf(fleet.interference, step.image, image) * share;
        }
        if (contribution >= minContribution) {
            const double allowed = wantedRatio - (task.load / target - contribution);
            factor = std::min(factor, std::max(allowed, 0.0) / contribution);
        }
    });
    const double wanted = std::min(host.pace * factor, 1.0 * host.pace + speedUpPercent);
    int pace = std::clamp(static_cast<int>(std::max(wanted, 0.0)), 0, 100);
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
