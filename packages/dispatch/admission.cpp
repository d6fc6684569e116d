#include "dispatch/admission.h"

#include "dispatch/placement.h"

#include <algorithm>

namespace acaciadeal {
namespace {

/// Part of the idle processors that batch tasks can use: tasks do not fill the gaps exactly.
constexpr double usableShare = 0.8;
/// Part of its objective within which a job has to fit by the declared figures, which are rough.
constexpr double objectiveShare = 0.9;
/// Wait up to which a job that is late already is taken: the processors would stay idle otherwise.
constexpr milliseconds idleWait{300};
/// Shortest and longest time after which a caller is asked to come back.
constexpr milliseconds minRetryAfter{1000};
constexpr milliseconds maxRetryAfter{20000};

double coreSeconds(const StepSpec &step, double tasks)
{
    return tasks * static_cast<double>(step.taskSize.milliCores) / 1000.0
        * static_cast<double>(step.estimatedRunTime.count()) / 1000.0;
}

double idleCores(const FleetState &fleet)
{
    double milliCores = 0;
    for (const auto &[id, host] : fleet.hosts) {
        if (isUsable(fleet, host)) {
            milliCores += std::max(
                idleMilliCores(host) + static_cast<double>(host.backfillMilliCores), 0.0);
        }
    }
    return usableShare * milliCores / 1000.0;
}

double remainingWork(const JobRuntime &job)
{
    double work = 0;
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        const StepSpec &step = job.spec.steps[n];
        if (!step.backfill) {
            continue;
        }
        double tasks = 0;
        for (const TaskRuntime &task : job.steps[n].tasks) {
            if (task.phase != TaskPhase::Done) {
                tasks += 1.0 - task.percent / 100.0;
            }
        }
        work += coreSeconds(step, tasks);
    }
    return work;
}

milliseconds toMilliseconds(double seconds)
{
    return milliseconds(static_cast<std::int64_t>(seconds * 1000.0));
}

} // namespace

double backfillWork(const JobSpec &job)
{
    double work = 0;
    for (const StepSpec &step : job.steps) {
        if (step.backfill) {
            work += coreSeconds(step, step.tasks);
        }
    }
    return work;
}

AdmissionDecision judgeAdmission(const FleetState &fleet, const JobSpec &job, TimePoint asked,
                                 TimePoint now)
{
    AdmissionDecision decision;
    const double own = backfillWork(job);
    if (own <= 0 || fleet.jobs.contains(job.id)) {
        return decision;
    }
    for (const JobRuntime *const other : fleet.live) {
        decision.backlogCoreSeconds += remainingWork(*other);
    }
    for (const auto &[id, work] : fleet.offered) {
        decision.backlogCoreSeconds += work;
    }
    decision.cores = std::max(idleCores(fleet), 1.0);
    const milliseconds wait = toMilliseconds(decision.backlogCoreSeconds / decision.cores);
    const milliseconds chain = declaredChain(job);
    const auto objective = std::chrono::duration_cast<milliseconds>(chain * job.terms.slowdownFactor)
        + job.terms.targetLatency;
    const auto waited = std::chrono::duration_cast<milliseconds>(now - asked);
    const auto usable = std::chrono::duration_cast<milliseconds>(objective * objectiveShare);
    const milliseconds slack = usable - chain - waited;
    if (wait <= std::max(slack, idleWait)) {
        return decision;
    }
    decision.admitted = false;
    decision.retryAfter =
        std::clamp(wait - std::max(slack, idleWait), minRetryAfter, maxRetryAfter);
    return decision;
}

} // namespace acaciadeal
