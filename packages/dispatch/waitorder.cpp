#include "dispatch/waitorder.h"

#include <algorithm>
#include <tuple>

namespace acaciadeal {
namespace {

/// Multiple of the objective after which a job's completion is worth nothing to its caller.
constexpr int worthlessAfter = 3;

enum class Lateness : std::uint8_t { InTime, Late, Worthless };

Lateness latenessOf(const JobRuntime &job, TimePoint now)
{
    if (now <= job.objective) {
        return Lateness::InTime;
    }
    const auto allowed = job.objective - job.acceptedAt;
    return now <= job.acceptedAt + worthlessAfter * allowed ? Lateness::Late : Lateness::Worthless;
}

struct Ranked
{
    ReadyStep ready;
    bool batch = false;
    Lateness lateness = Lateness::InTime;
    int priority = 0;
    TimePoint objective;

    auto key() const
    {
        return std::tuple(batch, lateness == Lateness::Worthless, priority, lateness, objective,
                          ready.job->spec.id, ready.step);
    }
};

} // namespace

std::vector<ReadyStep> readySteps(FleetState &fleet, TimePoint now)
{
    std::vector<Ranked> ranked;
    for (JobRuntime *const job : fleet.live) {
        if (job->unaccounted) {
            continue;
        }
        for (std::uint32_t n = 0; n < job->steps.size(); ++n) {
            const StepRuntime &step = job->steps[n];
            if (!step.open || step.waiting == 0) {
                continue;
            }
            const bool longRunning = job->spec.steps[n].longRunning;
            ranked.push_back({.ready = {job, n},
                              .batch = !longRunning,
                              .lateness = longRunning ? Lateness::InTime : latenessOf(*job, now),
                              .priority = job->spec.terms.priority,
                              .objective = job->objective});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const Ranked &a, const Ranked &b) { return a.key() < b.key(); });
    std::vector<ReadyStep> result;
    result.reserve(ranked.size());
    for (const Ranked &entry : ranked) {
        result.push_back(entry.ready);
    }
    return result;
}

} // namespace acaciadeal
