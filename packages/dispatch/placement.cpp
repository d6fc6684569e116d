#include "dispatch/placement.h"

#include <algorithm>

namespace acaciadeal {
namespace {

/// Weight of the data's rack against free room: remote tasks run several times as long.
constexpr double dataRackBonus = 10.0;
/// Weight against a host on which the same task has failed.
constexpr double failedHerePenalty = 5.0;

std::uint32_t tasksOfStep(const FleetHost &host, const JobId &job, std::uint32_t step)
{
    const auto first = host.runs.lower_bound({.job = job, .occurrence = 0, .step = step});
    std::uint32_t n = 0;
    for (auto it = first; it != host.runs.end() && it->first.job == job && it->first.step == step;
         ++it) {
        ++n;
    }
    return n;
}

bool isEligible(const FleetState &fleet, const FleetHost &host, const ServiceId &service,
                const StepSpec &step, TimePoint now)
{
    return isUsable(fleet, host) && host.service == service && now >= host.avoidUntil
        && (step.requiredLabel.empty() || host.labels.contains(step.requiredLabel));
}

/// Returns the share of the host's serving processors that belong to @p image.
double imageShare(const FleetState &fleet, const FleetHost &host, const std::string &image)
{
    std::int64_t same = 0;
    for (const auto &[key, run] : host.runs) {
        const JobRuntime *const job = findJob(fleet, key.job);
        if (job != nullptr && job->spec.steps[key.step].tailTarget.count() > 0
            && job->spec.steps[key.step].image == image) {
            same += job->spec.steps[key.step].taskSize.milliCores;
        }
    }
    return host.servingMilliCores == 0
        ? 0
        : static_cast<double>(same) / static_cast<double>(host.servingMilliCores);
}

/// Weight of the image against a full host when serving tasks are packed.
constexpr double sameImageBonus = 2.0;
/// What an empty host counts, so that an image opens a host of its own before it joins others.
constexpr double emptyHostBonus = 1.2;

/// Packs serving tasks: hosts of the same image first, then fuller ones.
double servingScore(const FleetState &fleet, const FleetHost &host, const StepSpec &step,
                    double capacity, double freeAfter)
{
    const double affinity = host.servingMilliCores == 0
        ? emptyHostBonus
        : sameImageBonus * imageShare(fleet, host, step.image);
    return 3.0 + affinity - freeAfter / capacity;
}

/// Uses the gaps between packed serving tasks before the hosts that batch tasks live on.
double urgentScore(const FleetHost &host, double capacity, double freeAfter)
{
    return 2.0 + (host.servingMilliCores > 0 ? 1.0 : 0.0) - freeAfter / capacity
        - static_cast<double>(host.backfillMilliCores) / capacity;
}

double backfillScore(const FleetState &fleet, const FleetHost &host, const StepSpec &step,
                     double capacity)
{
    const double idle = idleMilliCores(host);
    const auto need = static_cast<double>(step.taskSize.milliCores);
    if (idle < minBackfillShare * need) {
        return -1;
    }
    const double tail = expectedTailRatio(fleet, host, step.image, need / capacity);
    if (tail > maxExpectedTailRatio) {
        return -1;
    }
    return 2.0 + std::min(1.0, idle / need) - tail + idle / capacity;
}

/// Returns how well @p host suits; negative if it has no room.
double scoreOf(const FleetState &fleet, const FleetHost &host, const StepSpec &step)
{
    Resources need = step.taskSize;
    if (step.backfill) {
        need.milliCores = 0;
    }
    if (!fits(host.committed + need, host.capacity)) {
        return -1;
    }
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.capacity.milliCores, 1));
    if (step.backfill) {
        return backfillScore(fleet, host, step, capacity);
    }
    const auto freeAfter = static_cast<double>(host.capacity.milliCores - host.committed.milliCores
                                               - need.milliCores);
    return step.tailTarget.count() > 0 ? servingScore(fleet, host, step, capacity, freeAfter)
                                       : urgentScore(host, capacity, freeAfter);
}

} // namespace

double idleMilliCores(const FleetHost &host)
{
    const double used = static_cast<double>(host.committed.milliCores)
        - (1.0 - servingUse) * static_cast<double>(host.servingMilliCores);
    return static_cast<double>(host.capacity.milliCores) - used
        - static_cast<double>(host.backfillMilliCores);
}

bool canEverRun(const FleetState &fleet, const ServiceId &service, const StepSpec &step)
{
    Resources need = step.taskSize;
    if (step.backfill) {
        need.milliCores = 0;
    }
    return std::any_of(fleet.hosts.begin(), fleet.hosts.end(), [&](const auto &entry) {
        const FleetHost &host = entry.second;
        return host.service == service && fits(need, host.capacity)
            && (step.requiredLabel.empty() || host.labels.contains(step.requiredLabel));
    });
}

FleetHost *chooseHost(FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                      const TaskRuntime &task, TimePoint now)
{
    const StepSpec &spec = job.spec.steps[step];
    FleetHost *best = nullptr;
    double bestScore = -1;
    for (auto &[id, host] : fleet.hosts) {
        if (!isEligible(fleet, host, job.spec.terms.service, spec, now)) {
            continue;
        }
        double score = scoreOf(fleet, host, spec);
        if (score < 0) {
            continue;
        }
        if (spec.maxTasksPerHost > 0
            && tasksOfStep(host, job.spec.id, step) >= spec.maxTasksPerHost) {
            continue;
        }
        if (!spec.dataRack.empty() && host.rack == spec.dataRack) {
            score += dataRackBonus;
        }
        if (id == task.failedOn) {
            score -= failedHerePenalty;
        }
        if (best == nullptr || score > bestScore) {
            best = &host;
            bestScore = score;
        }
    }
    return best;
}

} // namespace acaciadeal
