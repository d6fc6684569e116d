#include "dispatch/waitorder.h"

#include "dispatch/placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace acaciadeal {
namespace {

/// Multiple of a job's objective after which its completion is no longer useful to the caller, and
/// the job comes last in the scheduling order.
constexpr int tooLateObjectiveMultiple = 3;
/// Half-life of the recorded peak demand of short tasks; twice the usual period of the load.
constexpr double demandHalfLifeSeconds = 20.0;
/// Downtime after which a long-running task may use room that is reserved for short tasks. The
/// requirement allows it 6 s without a run, and 3 s more while there is room.
constexpr Duration overdueAfter = milliseconds(2500);
/// Downtime after which a restart no longer waits for room for two. Users see room for two before
/// the holder does, whose reports are up to a second old in a full fleet.
constexpr Duration restartUrgentAfter = milliseconds(4500);
/// Wait up to which free processors are kept for a restart. One that has not started by then needs
/// a larger place than there is.
constexpr Duration restartReserveTime = std::chrono::seconds(9);

enum class Lateness : std::uint8_t { InTime, Late, TooLate };

/// Returns the declared run time of the longest chain of dependent steps that are not done.
milliseconds remainingCriticalPath(const JobRuntime &job)
{
    std::vector<milliseconds> endOf(job.steps.size(), milliseconds(0));
    milliseconds longest{0};
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        milliseconds start{0};
        for (const std::uint32_t dependency : job.spec.steps[n].dependsOn) {
            start = std::max(start, endOf[dependency]);
        }
        const bool done = job.steps[n].dependenciesDone && isStepDone(job.progress, n);
        endOf[n] = start + (done ? milliseconds(0) : job.spec.steps[n].estimatedRunTime);
        longest = std::max(longest, endOf[n]);
    }
    return longest;
}

Lateness latenessOf(const JobRuntime &job, TimePoint now)
{
    // Compares the earliest possible end, not the current time: a job that can no longer meet its
    // objective must not delay one that can.
    if (now + remainingCriticalPath(job) <= job.objective) {
        return Lateness::InTime;
    }
    const auto allowed = job.objective - job.acceptedAt;
    return now <= job.acceptedAt + tooLateObjectiveMultiple * allowed ? Lateness::Late
                                                                      : Lateness::TooLate;
}

struct RankedStep
{
    ReadyStep ready;
    bool longRunning = false;
    Lateness lateness = Lateness::InTime;
    int priority = 0;
    TimePoint objective;

    auto key() const
    {
        return std::tuple(lateness == Lateness::TooLate, priority, longRunning, lateness, objective,
                          ready.job->spec.id, ready.step);
    }
};

/// Returns whether a task of the step may start before the recovery has finished.
bool hasAccountedTask(const StepRuntime &step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskRuntime &task) {
        return task.phase == TaskPhase::Waiting && task.accountedFor;
    });
}

} // namespace

std::vector<ReadyStep> readySteps(FleetState &fleet, TimePoint now)
{
    std::vector<RankedStep> ranked;
    for (JobRuntime *const job : fleet.liveJobs) {
        for (std::uint32_t n = 0; n < job->steps.size(); ++n) {
            const StepRuntime &step = job->steps[n];
            if (!step.dependenciesDone || step.waiting == 0
                || (job->inRecovery && !hasAccountedTask(step))) {
                continue;
            }
            const bool longRunning = job->spec.steps[n].longRunning;
            ranked.push_back({.ready = {job, n},
                              .longRunning = longRunning,
                              .lateness = longRunning ? Lateness::InTime : latenessOf(*job, now),
                              .priority = job->spec.terms.priority,
                              .objective = job->objective});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const RankedStep &a, const RankedStep &b) { return a.key() < b.key(); });
    std::vector<ReadyStep> result;
    result.reserve(ranked.size());
    for (const RankedStep &entry : ranked) {
        result.push_back(entry.ready);
    }
    return result;
}

void updateUrgentDemand(FleetState &fleet, TimePoint now)
{
    std::int64_t demand = 0;
    for (const auto &[id, host] : fleet.hosts) {
        demand += host.committed.milliCores - host.servingMilliCores;
    }
    for (const JobRuntime *const job : fleet.liveJobs) {
        for (std::size_t n = 0; n < job->steps.size(); ++n) {
            const StepSpec &step = job->spec.steps[n];
            if (job->steps[n].dependenciesDone && !step.backfill && !step.longRunning) {
                demand += job->steps[n].waiting * step.taskSize.milliCores;
            }
        }
    }
    const double seconds = std::chrono::duration<double>(now - fleet.urgentDemandAt).count();
    const double decayedPeak =
        fleet.urgentPeakMilliCores * std::exp2(-seconds / demandHalfLifeSeconds);
    fleet.urgentPeakMilliCores = std::max(decayedPeak, static_cast<double>(demand));
    fleet.urgentDemandAt = now;
    fleet.longRunningSpareMilliCores = -fleet.urgentPeakMilliCores;
    for (const auto &[id, host] : fleet.hosts) {
        if (isUsable(fleet, host)) {
            // Processors that short tasks use already are included in the demand.
            fleet.longRunningSpareMilliCores +=
                static_cast<double>(host.capacity.milliCores - host.servingMilliCores);
        }
    }
}

void updateRestartDemand(FleetState &fleet, TimePoint now)
{
    fleet.spareBesidesRestarts = 0;
    for (const FleetHost *const host : fleet.usableHosts) {
        fleet.spareBesidesRestarts += std::max<std::int64_t>(freeResources(*host).milliCores, 0);
    }
    for (const JobRuntime *const job : fleet.liveJobs) {
        for (std::size_t n = 0; n < job->steps.size(); ++n) {
            const StepSpec &spec = job->spec.steps[n];
            if (!spec.longRunning || job->steps[n].waiting == 0) {
                continue;
            }
            for (const TaskRuntime &task : job->steps[n].tasks) {
                if (task.phase == TaskPhase::Waiting && task.run > 0
                    && now - task.phaseSince < restartReserveTime) {
                    fleet.spareBesidesRestarts -= spec.taskSize.milliCores;
                }
            }
        }
    }
}

bool hasOverdueRestart(const StepRuntime &step, TimePoint now)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(), [now](const TaskRuntime &task) {
        return task.phase == TaskPhase::Waiting && task.run > 0 && isOverdue(now - task.downSince);
    });
}

bool isRestartUrgent(Duration down)
{
    return down >= restartUrgentAfter;
}

bool isOverdue(Duration down)
{
    return down >= overdueAfter;
}

bool leavesRoomForUrgentTasks(const FleetState &fleet, const StepSpec &step)
{
    return fleet.longRunningSpareMilliCores >= static_cast<double>(step.taskSize.milliCores);
}

} // namespace acaciadeal
