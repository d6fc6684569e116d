#include "dispatch/placement.h"

#include <algorithm>
#include <optional>

namespace acaciadeal {
namespace {

/// Score for a host in the rack that has the task's data. Outweighs free resources, because tasks
/// with remote data run several times as long.
constexpr double dataRackBonus = 10.0;
/// Score deducted for the host on which the task last failed.
constexpr double lastFailedHostPenalty = 5.0;
/// Score deducted for an avoided host. Exceeds all other scores together, so that such a host is
/// chosen only if no other suits.
constexpr double avoidedPenalty = 100.0;

std::uint32_t countTasksOfStep(const FleetHost &host, const JobId &job, std::uint32_t step)
{
    const auto first = host.runs.lower_bound({.job = job, .occurrence = 0, .step = step});
    std::uint32_t n = 0;
    for (auto it = first; it != host.runs.end() && it->first.job == job && it->first.step == step;
         ++it) {
        ++n;
    }
    return n;
}

/// Returns the share of the host's processors for serving tasks that is committed to @p image.
double imageShare(const FleetHost &host, ImageId image)
{
    for (const auto &[other, milliCores] : host.servingUse) {
        if (other == image) {
            return milliCores / static_cast<double>(host.servingMilliCores);
        }
    }
    return 0;
}

/// Score added for a host on which all serving tasks have the image of the task to be placed, or in
/// proportion if only some of them have it. For comparison, a host that the task would fill scores
/// up to 1 more than one with free processors left.
constexpr double sameImageBonus = 2.0;
/// Score added for a host without serving tasks. A serving task prefers it to hosts that mostly
/// serve other images, but not to hosts that mostly serve its own.
constexpr double emptyHostBonus = 1.0;

/// Packs serving tasks: prefers hosts with the same image, then fuller hosts.
double servingScore(const FleetHost &host, ImageId image, double capacity, double freeAfter)
{
    const double affinity =
        host.servingMilliCores == 0 ? emptyHostBonus : sameImageBonus * imageShare(host, image);
    return 3.0 + affinity - freeAfter / capacity;
}

/// Score deducted in proportion to a host's backfill suitability, which leaves the hosts that suit
/// every image to the backfill work that has no alternative.
constexpr double backfillSuitabilityWeight = 1.5;

/// Prefers gaps on hosts packed with serving tasks to hosts that backfill tasks can use.
double urgentScore(const FleetHost &host, double capacity, double freeAfter)
{
    return 2.0 - backfillSuitabilityWeight * host.backfillSuitability - freeAfter / capacity
           - static_cast<double>(host.backfillMilliCores) / capacity;
}

std::optional<double> backfillScore(const FleetState &fleet, const FleetHost &host,
                                    const StepSpec &step, ImageId image, double capacity,
                                    bool mayInterfere)
{
    const double idle = idleMilliCores(host);
    const auto need = static_cast<double>(step.taskSize.milliCores);
    if (idle < minBackfillShare * need) {
        return std::nullopt;
    }
    const double pressure = pressureAfterAdding(fleet, host, image, std::min(idle, need));
    if (pressure > maxPressure && !mayInterfere) {
        return std::nullopt;
    }
    return 2.0 - backfillSuitabilityWeight * host.backfillSuitability + std::min(1.0, idle / need)
           - pressure + idle / capacity;
}

/// Returns the score of a host, or nothing if interference rules it out. Precondition: the task
/// fits into the free resources of the host.
std::optional<double> scoreOf(const FleetState &fleet, const FleetHost &host, const StepSpec &step,
                              ImageId image, bool mayInterfere)
{
    const auto capacity = static_cast<double>(std::max<std::int64_t>(host.capacity.milliCores, 1));
    if (step.backfill) {
        return backfillScore(fleet, host, step, image, capacity, mayInterfere);
    }
    const auto freeAfter = static_cast<double>(host.capacity.milliCores - host.committed.milliCores
                                               - step.taskSize.milliCores);
    return step.tailLatencyTarget.count() > 0 ? servingScore(host, image, capacity, freeAfter)
                                              : urgentScore(host, capacity, freeAfter);
}

/// Processors of a service's usable hosts, in thousandths of a core.
struct ServiceUse
{
    const ServiceId *service = nullptr;
    std::int64_t capacity = 0;
    std::int64_t committed = 0;
};

/// Determines the usable hosts and the services that are mostly idle. Searches the services
/// linearly, as there are few.
void collectUsableHosts(FleetState &fleet)
{
    fleet.usableHosts.clear();
    std::vector<ServiceUse> services;
    for (auto &entry : fleet.hosts) {
        FleetHost &host = entry.second;
        if (!isUsable(fleet, host)) {
            continue;
        }
        fleet.usableHosts.push_back(&host);
        auto it = std::find_if(services.begin(), services.end(), [&host](const ServiceUse &use) {
            return *use.service == host.service;
        });
        if (it == services.end()) {
            it = services.insert(services.end(), {.service = &host.service});
        }
        it->capacity += host.capacity.milliCores;
        it->committed += host.committed.milliCores;
    }
    fleet.mostlyIdleServices.clear();
    for (const ServiceUse &use : services) {
        if (static_cast<double>(use.committed)
            < mostlyIdleThreshold * static_cast<double>(use.capacity)) {
            fleet.mostlyIdleServices.insert(*use.service);
        }
    }
}

} // namespace

bool isEligible(const FleetHost &host, const ServiceId &service, const StepSpec &step)
{
    return host.service == service
           && (step.requiredLabel.empty() || host.labels.contains(step.requiredLabel));
}

Resources resourcesToCommit(const StepSpec &step)
{
    Resources need = step.taskSize;
    if (step.backfill) {
        need.milliCores = 0;
    }
    return need;
}

double idleMilliCores(const FleetHost &host)
{
    const double used =
        static_cast<double>(host.committed.milliCores)
        - (1.0 - averageServingUtilization) * static_cast<double>(host.servingMilliCores);
    return static_cast<double>(host.capacity.milliCores) - used
           - static_cast<double>(host.backfillMilliCores);
}

double usableMilliCores(const FleetState &fleet, const FleetHost &host, const StepSpec &step,
                        ImageId image)
{
    const auto need = static_cast<double>(step.taskSize.milliCores);
    if (addedPressure(fleet, host, image, need) > maxAddedPressure) {
        return 0;
    }
    return std::max(idleMilliCores(host) + static_cast<double>(host.backfillMilliCores), 0.0);
}

bool canEverRun(const FleetState &fleet, const ServiceId &service, const StepSpec &step)
{
    const Resources need = resourcesToCommit(step);
    return std::any_of(fleet.hosts.begin(), fleet.hosts.end(), [&](const auto &entry) {
        const FleetHost &host = entry.second;
        return isEligible(host, service, step) && fits(need, host.capacity);
    });
}

void preparePlacementRound(FleetState &fleet)
{
    // Typical size of a backfill task, in thousandths of a core.
    constexpr double typicalTaskMilliCores = 3000;
    ImageUse waiting;
    double total = 0;
    for (const JobRuntime *const job : fleet.liveJobs) {
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
    collectUsableHosts(fleet);
    for (auto &[id, host] : fleet.hosts) {
        host.backfillSuitability = host.servingMilliCores == 0 ? 1 : 0;
        if (host.servingMilliCores == 0 || total <= 0) {
            continue;
        }
        for (const auto &[image, need] : waiting) {
            if (addedPressure(fleet, host, image, typicalTaskMilliCores) <= maxAddedPressure) {
                host.backfillSuitability += need / total;
            }
        }
    }
}

PlacementPermits widestPermits(const FleetState &fleet, const JobRuntime &job, std::uint32_t step)
{
    // A host on which every run fails always has free resources. In a full fleet, short tasks would
    // use up their attempts there; failed runs of long-running tasks are not counted.
    const StepSpec &spec = job.spec.steps[step];
    const bool isMostlyIdle = fleet.mostlyIdleServices.contains(job.spec.terms.service);
    return {.mayInterfere = spec.backfill && isMostlyIdle,
            .mayUseAvoidedHosts = spec.longRunning || isMostlyIdle};
}

PlacementPermits permitsOf(const FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                           const TaskRuntime &task, TimePoint now)
{
    const PlacementPermits widest = widestPermits(fleet, job, step);
    const bool longRunning = job.spec.steps[step].longRunning;
    const Duration waited = now - (longRunning ? task.downSince : task.phaseSince);
    const bool mayUseAvoidedHosts =
        widest.mayUseAvoidedHosts
        && waited >= (longRunning ? useAvoidedHostsAfter : allowInterferenceAfter);
    return {.mayInterfere = widest.mayInterfere && waited >= allowInterferenceAfter,
            .mayUseAvoidedHosts = mayUseAvoidedHosts,
            .excludedHost = mayUseAvoidedHosts || waited >= retrySameHostAfter
                                ? std::string_view()
                                : std::string_view(task.lastFailedHost.value)};
}

bool covers(const PlacementPermits &wide, const PlacementPermits &narrow)
{
    return (wide.mayInterfere || !narrow.mayInterfere)
           && (wide.mayUseAvoidedHosts || !narrow.mayUseAvoidedHosts)
           && (wide.excludedHost.empty() || wide.excludedHost == narrow.excludedHost);
}

HostRating rateHost(const FleetState &fleet, const FleetHost &host, const JobRuntime &job,
                    std::uint32_t step, const TaskRuntime &task, const PlacementPermits &permits,
                    TimePoint now)
{
    const StepSpec &spec = job.spec.steps[step];
    if (!isEligible(host, job.spec.terms.service, spec)) {
        return {.rejection = HostRejection::NotEligible};
    }
    if (host.hasUnknownRun || !fits(resourcesToCommit(spec), freeResources(host))) {
        return {.rejection = HostRejection::InsufficientRoom};
    }
    if (spec.maxTasksPerHost > 0
        && countTasksOfStep(host, job.spec.id, step) >= spec.maxTasksPerHost) {
        return {.rejection = HostRejection::TasksPerHost};
    }
    const auto base = scoreOf(fleet, host, spec, job.steps[step].image, permits.mayInterfere);
    if (!base) {
        return {.rejection = HostRejection::Interference};
    }
    double score = *base;
    if (!permits.excludedHost.empty() && host.id.value == permits.excludedHost) {
        return {.rejection = HostRejection::Avoided};
    }
    if (now < host.avoidUntil) {
        if (!permits.mayUseAvoidedHosts || now < host.noStartsBefore) {
            return {.rejection = HostRejection::Avoided};
        }
        score -= avoidedPenalty;
    }
    if (!spec.dataRack.empty() && host.rack == spec.dataRack) {
        score += dataRackBonus;
    }
    if (host.id == task.lastFailedHost) {
        score -= lastFailedHostPenalty;
    }
    return {.score = score};
}

int countPlacesUpToTwo(const FleetHost &host, const StepSpec &step)
{
    const Resources free = freeResources(host);
    const Resources need = resourcesToCommit(step);
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
    for (FleetHost *const host : fleet.usableHosts) {
        const HostRating rating = rateHost(fleet, *host, job, step, task, permits, now);
        if (rating.rejection == HostRejection::None
            && (best == nullptr || rating.score > bestScore)) {
            best = host;
            bestScore = rating.score;
        }
    }
    return best;
}

} // namespace acaciadeal
