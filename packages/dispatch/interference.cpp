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

} // namespace

void updateTailRatio(FleetState &fleet, FleetHost &host)
{
    double ratio = 0;
    for (const auto &[key, run] : host.runs) {
        const JobRuntime *const job = findJob(fleet, key.job);
        const TaskRuntime *const task = findTask(fleet, key);
        if (job == nullptr || task == nullptr) {
            continue;
        }
        const auto target = job->spec.steps[key.step].tailTarget.count();
        if (target > 0) {
            ratio = std::max(ratio, task->load / static_cast<double>(target));
        }
    }
    host.tailRatio = ratio;
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
    for (const auto &[key, run] : host.runs) {
        const JobRuntime *const job = findJob(fleet, key.job);
        TaskRuntime *const task = findTask(fleet, key);
        if (job != nullptr && task != nullptr && task->phase == TaskPhase::Running
            && job->spec.steps[key.step].backfill && task->pace != host.pace) {
            task->pace = host.pace;
            orders.push_back({host.id, key, run, host.pace});
        }
    }
}

} // namespace acaciadeal
