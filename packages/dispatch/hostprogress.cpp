#include "dispatch/hostprogress.h"

#include "dispatch/placement.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace acaciadeal {
namespace {

/// A run lags if it takes longer than this multiple of the shortest run of the step. On healthy
/// hosts the run times within a step differ by a factor of up to 3.
constexpr double shortestRunLagFactor = 4.0;
/// The same for the declared run time, which is wrong by a factor of up to 2.5.
constexpr double declaredRunTimeLagFactor = 6.0;
/// Lowest progress that is assumed for a run. Progress is reported in increments, and is not
/// meaningful at the start of a run.
constexpr double minAssumedProgress = 0.25;
/// Run time from which a run is compared. Two reports arrive in it, so that the progress is known.
constexpr Duration minRunTimeToCompare = milliseconds(900);
/// Number of jobs with lagging tasks that show that a host is slow. The tasks of a single job may
/// be slow by themselves, differ in size, or have a wrong declared run time.
constexpr std::size_t minLaggingJobs = 2;

} // namespace

void avoidHost(Dispatcher &dispatcher, FleetHost &host, std::string reason, TimePoint now)
{
    if (now >= host.avoidUntil) {
        dispatcher.events.push_back({.kind = DispatchEvent::Kind::HostAvoided,
                                     .host = host.id,
                                     .reason = std::move(reason),
                                     .duration = dispatcher.options.avoidDuration});
    }
    host.avoidUntil = now + dispatcher.options.avoidDuration;
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
    // Excludes backfill tasks that were slowed down by an order, and runs that were resumed or
    // adopted, as their progress does not belong to the time since `task.phaseSince`.
    const bool comparable = task.phase == TaskPhase::Running && !spec.longRunning && !task.wasPaced
                            && task.startedFromScratch;
    const Duration elapsed = now - task.phaseSince;
    if (!comparable || elapsed < minRunTimeToCompare) {
        return false;
    }
    const bool hasCompletedTask = step.shortestRunTime > Duration(0);
    const Duration normal =
        hasCompletedTask ? step.shortestRunTime : Duration(spec.estimatedRunTime);
    const double factor = hasCompletedTask ? shortestRunLagFactor : declaredRunTimeLagFactor;
    const double progress = std::max(task.percent / 100.0, minAssumedProgress);
    return normal > Duration(0) && elapsed > factor * progress * normal;
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
                  + " jobs run several times slower than expected",
              now);
    dispatcher.fleet.relocatingTasks.insert(lagging.begin(), lagging.end());
}

} // namespace acaciadeal
