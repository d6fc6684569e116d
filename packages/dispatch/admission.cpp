#include "dispatch/admission.h"

#include "dispatch/placement.h"

#include <algorithm>
#include <limits>

namespace acaciadeal {
namespace {

/// Share of the idle processors that backfill tasks can use, as tasks do not fill the gaps exactly.
constexpr double usableIdleShare = 0.8;
/// Multiple of a job's objective up to which its completion is still useful to the caller. A job
/// that would end later is rejected; late jobs that were admitted are reported as late and
/// completed.
constexpr int maxAdmittedObjectiveMultiple = 8;
/// A job competes with the jobs that can use at most this multiple of the processors that it can
/// use itself; jobs that can use more run on other hosts.
constexpr double maxCompetingCapacityRatio = 1.3;
/// A job is always admitted if its estimated wait is at most this, even if it is late already, as
/// the processors would otherwise stay idle.
constexpr milliseconds alwaysAdmittedWait{300};
/// Shortest and longest time after which a rejected caller is asked to retry.
constexpr milliseconds minRetryAfter{1000};
constexpr milliseconds maxRetryAfter{20000};

double coreSeconds(const StepSpec &step, double tasks)
{
    return tasks * static_cast<double>(step.taskSize.milliCores) / 1000.0
           * static_cast<double>(step.estimatedRunTime.count()) / 1000.0;
}

/// Returns the cores that the most restricted backfill step of @p job can use. @p byImage caches
/// the sums over all hosts.
double usableCores(FleetState &fleet, const JobSpec &job, std::map<ImageId, double> &byImage)
{
    double fewestMilliCores = std::numeric_limits<double>::infinity();
    for (const StepSpec &step : job.steps) {
        if (!step.backfill) {
            continue;
        }
        const ImageId image = imageId(fleet.interference, step.image);
        const auto [it, missing] = byImage.try_emplace(image, 0.0);
        if (missing) {
            for (const auto &[id, host] : fleet.hosts) {
                it->second +=
                    isUsable(fleet, host) ? usableMilliCores(fleet, host, step, image) : 0.0;
            }
        }
        fewestMilliCores = std::min(fewestMilliCores, it->second);
    }
    return usableIdleShare * fewestMilliCores / 1000.0;
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

AdmissionDecision decideAdmission(FleetState &fleet, const JobSpec &job, TimePoint firstSubmittedAt,
                                  TimePoint now)
{
    AdmissionDecision decision;
    const double own = backfillWork(job);
    decision.stored = fleet.jobs.contains(job.id);
    if (own <= 0 || decision.stored) {
        return decision;
    }
    std::map<ImageId, double> byImage;
    decision.cores = std::max(usableCores(fleet, job, byImage), 1.0);
    for (const JobRuntime *const other : fleet.liveJobs) {
        const double work = remainingWork(*other);
        if (work > 0
            && usableCores(fleet, other->spec, byImage)
                   <= maxCompetingCapacityRatio * decision.cores) {
            decision.backlogCoreSeconds += work;
        }
    }
    for (const auto &[id, work] : fleet.pendingJobWork) {
        decision.backlogCoreSeconds += work;
    }
    const milliseconds wait = toMilliseconds(decision.backlogCoreSeconds / decision.cores);
    const milliseconds criticalPath = criticalPathLength(job);
    const auto objective =
        std::chrono::duration_cast<milliseconds>(criticalPath * job.terms.slowdownFactor)
        + job.terms.targetLatency;
    const auto waited = std::chrono::duration_cast<milliseconds>(now - firstSubmittedAt);
    const milliseconds slack = maxAdmittedObjectiveMultiple * objective - criticalPath - waited;
    if (wait <= std::max(slack, alwaysAdmittedWait)) {
        return decision;
    }
    decision.admitted = false;
    decision.retryAfter =
        std::clamp(wait - std::max(slack, alwaysAdmittedWait), minRetryAfter, maxRetryAfter);
    return decision;
}

} // namespace acaciadeal
