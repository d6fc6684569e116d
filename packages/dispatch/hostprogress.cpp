#include "dispatch/hostprogress.h"

#include "dispatch/placement.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace acaciadeal {
namespace {

/// Sound tasks of a step take up to three times as long as the shortest of them.
constexpr double lagFactor = 4.0;
/// Declared run times are off by up to two and a half.
constexpr double declaredLagFactor = 6.0;
/// Share of the bound for a whole run that has to have passed: progress is reported in steps, and
/// says little at the start of a run.
constexpr double minBoundShare = 0.25;
/// Time before a run is judged: two reports, so that its progress is known.
constexpr Duration minRunTimeToCompare = milliseconds(900);
/// A job alone may be slow, unevenly sized or wrongly declared.
constexpr std::size_t minLaggingJobs = 2;

} // namespace

void avoidHost(Dispatcher &dispatcher, FleetHost &host, std::string reason, TimePoint now)
{
    if (now >= host.avoidUntil) {
        dispatcher.events.push_back({.kind = DispatchEvent::Kind::HostAvoided,
                                     .host = host.id,
                                     .reason = std::move(reason),
                                     .duration = dispatcher.options.probation});
    }
    host.avoidUntil = now + dispatcher.options.probation;
    host.noStartsBefore = now + useAvoidedHostsAfter;
}

void recordRunTime(StepRuntime &step, Duration runTime)
{
    step.shortestRunTime =
        step.shortestRunTime == Duration(0) ? runTime : std::min(step.shortestRunTime, runTime);
}

bool isLagging(const StepSpec &spec, const StepRuntime &step, const TaskRuntime &task,
               TimePoint now)
{
    // A slowed batch task lags because it was told to, and the start of a run that was adopted is
    // not known.
    const bool comparable = task.phase == TaskPhase::Running && !spec.longRunning && !task.wasPaced
                            && task.startedFromScratch;
    const Duration elapsed = now - task.since;
    if (!comparable || elapsed < minRunTimeToCompare) {
        return false;
    }
    const bool hasSibling = step.shortestRunTime > Duration(0);
    const Duration normal = hasSibling ? step.shortestRunTime : Duration(spec.estimatedRunTime);
    const double factor = hasSibling ? lagFactor : declaredLagFactor;
    const double share = std::max(task.percent / 100.0, minBoundShare);
    return normal > Duration(0) && elapsed > factor * share * normal;
}

void checkHostProgress(Dispatcher &dispatcher, FleetHost &host, TimePoint now)
{
    std::set<JobId> jobs;
    std::vector<TaskKey> lagging;
    for (const auto &[key, run] : host.runs) {
        const JobRuntime *const job = findJob(dispatcher.fleet, key.job);
        const TaskRuntime *const task = findTask(dispatcher.fleet, key);
        if (job != nullptr && task != nullptr && task->host == host.id
            && isLagging(job->spec.steps[key.step], job->steps[key.step], *task, now)) {
            jobs.insert(key.job);
            lagging.push_back(key);
        }
    }
    if (jobs.size() < minLaggingJobs) {
        return;
    }
    avoidHost(dispatcher, host,
              std::to_string(lagging.size()) + " tasks of " + std::to_string(jobs.size())
                  + " jobs make too little progress",
              now);
    dispatcher.fleet.relocatingTasks.insert(lagging.begin(), lagging.end());
}

} // namespace acaciadeal
