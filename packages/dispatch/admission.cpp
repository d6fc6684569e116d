#include "dispatch/admission.h"

#include "dispatch/placement.h"

#include <algorithm>
#include <limits>

namespace acaciadeal {
namespace {

/// Part of the idle processors that batch tasks can use: tasks do not fill the gaps exactly.
constexpr double usableShare = 0.8;
/// Multiple of its objective up to which a late end still serves a caller. Work that is late is
/// flagged and finished; only what would be this late is not taken.
constexpr int worthlessAfter = 8;
/// A job competes with others that can use at most this multiple of the processors that it can use;
/// the rest finds room elsewhere.
constexpr double competesUpTo = 1.3;
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

/// Processors that the narrowest backfill step of @p job can use.
double usableCores(FleetState &fleet, const JobSpec &job, std::map<ImageId, double> &byImage)
{
    double narrowest = std::numeric_limits<double>::infinity();
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
        narrowest = std::min(narrowest, it->second);
    }
    return usableShare * narrowest / 1000.0;
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

AdmissionDecision judgeAdmission(FleetState &fleet, const JobSpec &job, TimePoint asked,
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
    for (const JobRuntime *const other : fleet.live) {
        const double work = remainingWork(*other);
        if (work > 0 && usableCores(fleet, other->spec, byImage) <= competesUpTo * decision.cores) {
            decision.backlogCoreSeconds += work;
        }
    }
    for (const auto &[id, work] : fleet.offered) {
        decision.backlogCoreSeconds += work;
    }
    const milliseconds wait = toMilliseconds(decision.backlogCoreSeconds / decision.cores);
    const milliseconds chain = criticalPathLength(job);
    const auto objective =
        std::chrono::duration_cast<milliseconds>(chain * job.terms.slowdownFactor)
        + job.terms.targetLatency;
    const auto waited = std::chrono::duration_cast<milliseconds>(now - asked);
    const milliseconds slack = worthlessAfter * objective - chain - waited;
    if (wait <= std::max(slack, idleWait)) {
        return decision;
    }
    decision.admitted = false;
    decision.retryAfter =
        std::clamp(wait - std::max(slack, idleWait), minRetryAfter, maxRetryAfter);
    return decision;
}

} // namespace acaciadeal
