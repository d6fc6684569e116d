#include "dispatch/placement.h"

#include <algorithm>
#include <optional>

namespace acaciadeal {
namespace {

/// Weight of the data's rack against free room: remote tasks run several times as long.
constexpr double dataRackBonus = 10.0;
/// Weight against a host on which the same task has failed.
constexpr double failedHerePenalty = 5.0;
/// Weight against an avoided host; more than all others together, so that it comes last.
constexpr double avoidedPenalty = 100.0;

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

/// Returns the share of the host's serving processors that belong to @p image.
double imageShare(const FleetHost &host, ImageId image)
{
    for (const auto &[other, milliCores] : host.servingUse) {
        if (other == image) {
            return milliCores / static_cast<double>(host.servingMilliCores);
        }
    }
    return 0;
}

/// Weight of the image against a full host when serving tasks are packed.
constexpr double sameImageBonus = 2.0;
/// What an empty host counts: an image opens a host of its own before it joins others, but not
/// before its own hosts are full.
constexpr double emptyHostBonus = 1.0;

/// Packs serving tasks: hosts of the same image first, then fuller ones.
double servingScore(const FleetHost &host, ImageId image, double capacity, double freeAfter)
{
    const double affinity =
        host.servingMilliCores == 0 ? emptyHostBonus : sameImageBonus * imageShare(host, image);
    return 3.0 + affinity - freeAfter / capacity;
}

/// Weight of leaving open hosts to the work that has no others.
constexpr double opennessWeight = 1.5;

/// Uses the gaps between packed serving tasks before the hosts that batch tasks live on.
double urgentScore(const FleetHost &host, double capacity, double freeAfter)
{
    return 2.0 - opennessWeight * host.openness - freeAfter / capacity
           - static_cast<double>(host.backfillMilliCores) / capacity;
}

std::optional<double> backfillScore(const FleetState &fleet, const FleetHost &host,
                                    const StepSpec &step, ImageId image, double capacity,
                                    bool mayDisturb)
{
    const double idle = idleMilliCores(host);
    const auto need = static_cast<double>(step.taskSize.milliCores);
    if (idle < minBackfillShare * need) {
        return std::nullopt;
    }
    const double pressure = pressureWith(fleet, host, image, std::min(idle, need));
    if (pressure > maxPressure && !mayDisturb) {
        return std::nullopt;
    }
    return 2.0 - opennessWeight * host.openness + std::min(1.0, idle / need) - pressure
           + idle / capacity;
}

/// Precondition: the host has room.
std::optional<double> scoreOf(const FleetState &fleet, const FleetHost &host, const StepSpec &step,
                              ImageId image, bool mayDisturb)
{
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.capacity.milliCores, 1));
    if (step.backfill) {
        return backfillScore(fleet, host, step, image, capacity, mayDisturb);
    }
    const auto freeAfter = static_cast<double>(host.capacity.milliCores - host.committed.milliCores
                                               - step.taskSize.milliCores);
    return step.tailLatencyTarget.count() > 0 ? servingScore(host, image, capacity, freeAfter)
                                       : urgentScore(host, capacity, freeAfter);
}

/// Processors of a service's usable hosts, in thousandths of a core. There are few services.
struct ServiceUse
{
    const ServiceId *service = nullptr;
    std::int64_t capacity = 0;
    std::int64_t committed = 0;
};

/// Notes the usable hosts, and the services that are half empty.
void noteUsable(FleetState &fleet)
{
    fleet.usable.clear();
    std::vector<ServiceUse> services;
    for (auto &entry : fleet.hosts) {
        FleetHost &host = entry.second;
        if (!isUsable(fleet, host)) {
            continue;
        }
        fleet.usable.push_back(&host);
        auto it = std::find_if(services.begin(), services.end(), [&host](const ServiceUse &use) {
            return *use.service == host.service;
        });
        if (it == services.end()) {
            it = services.insert(services.end(), {.service = &host.service});
        }
        it->capacity += host.capacity.milliCores;
        it->committed += host.committed.milliCores;
    }
    fleet.halfEmpty.clear();
    for (const ServiceUse &use : services) {
        if (static_cast<double>(use.committed)
            < halfEmptyBelow * static_cast<double>(use.capacity)) {
            fleet.halfEmpty.insert(*use.service);
        }
    }
}

} // namespace

bool isEligible(const FleetHost &host, const ServiceId &service, const StepSpec &step)
{
    return host.service == service
           && (step.requiredLabel.empty() || host.labels.contains(step.requiredLabel));
}

Resources committedNeed(const StepSpec &step)
{
    Resources need = step.taskSize;
    if (step.backfill) {
        need.milliCores = 0;
    }
    return need;
}

double idleMilliCores(const FleetHost &host)
{
    const double used = static_cast<double>(host.committed.milliCores)
                        - (1.0 - servingUse) * static_cast<double>(host.servingMilliCores);
    return static_cast<double>(host.capacity.milliCores) - used
           - static_cast<double>(host.backfillMilliCores);
}

double usableMilliCores(const FleetState &fleet, const FleetHost &host, const StepSpec &step,
                        ImageId image)
{
    const auto need = static_cast<double>(step.taskSize.milliCores);
    if (disturbanceOf(fleet, host, image, need) > maxDisturbance) {
        return 0;
    }
    return std::max(idleMilliCores(host) + static_cast<double>(host.backfillMilliCores), 0.0);
}

bool canEverRun(const FleetState &fleet, const ServiceId &service, const StepSpec &step)
{
    const Resources need = committedNeed(step);
    return std::any_of(fleet.hosts.begin(), fleet.hosts.end(), [&](const auto &entry) {
        const FleetHost &host = entry.second;
        return isEligible(host, service, step) && fits(need, host.capacity);
    });
}

void rateOpenness(FleetState &fleet)
{
    // Typical size of a task, in thousandths of a core, for rating a host.
    constexpr double typicalNeed = 3000;
    ImageUse waiting;
    double total = 0;
    for (const JobRuntime *const job : fleet.live) {
        for (std::size_t n = 0; n < job->steps.size(); ++n) {
            const StepSpec &step = job->spec.steps[n];
            if (step.backfill && job->steps[n].waiting > 0) {
                const double need =
                    static_cast<double>(step.taskSize.milliCores) * job->steps[n].waiting;
                addUse(waiting, job->steps[n].image, need);
                total += need;
            }
        }
    }
    noteUsable(fleet);
    for (auto &[id, host] : fleet.hosts) {
        host.openness = host.servingMilliCores == 0 ? 1 : 0;
        if (host.servingMilliCores == 0 || total <= 0) {
            continue;
        }
        for (const auto &[image, need] : waiting) {
            if (disturbanceOf(fleet, host, image, typicalNeed) <= maxDisturbance) {
                host.openness += need / total;
            }
        }
    }
}

PlacementPermits widestPermits(const FleetState &fleet, const JobRuntime &job, std::uint32_t step)
{
    // A host that fails everything looks empty. In a full fleet it would use up the attempts of
    // short tasks; failed runs of long-running ones are not counted.
    const StepSpec &spec = job.spec.steps[step];
    const bool isHalfEmpty = fleet.halfEmpty.contains(job.spec.terms.service);
    return {.disturb = spec.backfill && isHalfEmpty, .tryAvoided = spec.longRunning || isHalfEmpty};
}

PlacementPermits permitsOf(const FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                           const TaskRuntime &task, TimePoint now)
{
    const PlacementPermits widest = widestPermits(fleet, job, step);
    const Duration waited = now - task.since;
    const bool tryAvoided =
        widest.tryAvoided
        && waited >= (job.spec.steps[step].longRunning ? tryAvoidedAfter : disturbAfter);
    return {.disturb = widest.disturb && waited >= disturbAfter,
            .tryAvoided = tryAvoided,
            .notOn = tryAvoided || waited >= retryHereAfter
                         ? std::string_view()
                         : std::string_view(task.failedOn.value)};
}

bool covers(const PlacementPermits &wide, const PlacementPermits &narrow)
{
    return (wide.disturb || !narrow.disturb) && (wide.tryAvoided || !narrow.tryAvoided)
           && (wide.notOn.empty() || wide.notOn == narrow.notOn);
}

HostRating rateHost(const FleetState &fleet, const FleetHost &host, const JobRuntime &job,
                    std::uint32_t step, const TaskRuntime &task, const PlacementPermits &permits,
                    TimePoint now)
{
    const StepSpec &spec = job.spec.steps[step];
    if (!isEligible(host, job.spec.terms.service, spec)) {
        return {.misfit = Misfit::WrongHost};
    }
    if (host.hasUnknownRun || !fits(committedNeed(spec), freeOn(host))) {
        return {.misfit = Misfit::Room};
    }
    if (spec.maxTasksPerHost > 0 && tasksOfStep(host, job.spec.id, step) >= spec.maxTasksPerHost) {
        return {.misfit = Misfit::TasksPerHost};
    }
    const auto base = scoreOf(fleet, host, spec, job.steps[step].image, permits.disturb);
    if (!base) {
        return {.misfit = Misfit::Interference};
    }
    double score = *base;
    if (!permits.notOn.empty() && host.id.value == permits.notOn) {
        return {.misfit = Misfit::Avoided};
    }
    if (now < host.avoidUntil) {
        if (!permits.tryAvoided || now < host.tryFrom) {
            return {.misfit = Misfit::Avoided};
        }
        score -= avoidedPenalty;
    }
    if (!spec.dataRack.empty() && host.rack == spec.dataRack) {
        score += dataRackBonus;
    }
    if (host.id == task.failedOn) {
        score -= failedHerePenalty;
    }
    return {.score = score};
}

int placesOn(const FleetHost &host, const StepSpec &step)
{
    const Resources free = freeOn(host);
    const Resources need = committedNeed(step);
    if (!fits(need, free)) {
        return 0;
    }
    return fits(need + need, free) ? 2 : 1;
}

FleetHost *chooseHost(FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                      const TaskRuntime &task, TimePoint now)
{
    const PlacementPermits permits = permitsOf(fleet, job, step, task, now);
    FleetHost *best = nullptr;
    double bestScore = 0;
    for (FleetHost *const host : fleet.usable) {
        const HostRating rating = rateHost(fleet, *host, job, step, task, permits, now);
        if (rating.misfit == Misfit::None && (best == nullptr || rating.score > bestScore)) {
            best = host;
            bestScore = rating.score;
        }
    }
    return best;
}

} // namespace acaciadeal
