#ifndef ACACIADEAL_DISPATCH_FLEETSIMULATION_H
#define ACACIADEAL_DISPATCH_FLEETSIMULATION_H

#include "base/time.h"
#include "dispatch/restartwatch.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

/// Hosts that fall silent at once, and are replaced by hosts of the same size.
struct Outage
{
    Duration at{0};
    double share = 0;
    Duration length{0};
};

struct FleetSimulationOptions
{
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(48);
    std::vector<Outage> outages = {
        {.at = std::chrono::seconds(13), .share = 0.25, .length = std::chrono::seconds(4)}};
    /// Part of the site's batch jobs that arrives.
    double batchShare = 0.5;
    /// Whether runs end `failed` now and then although their host is sound.
    bool runsFail = true;
};

struct FleetSimulationResult
{
    std::vector<LateRestart> lateRestarts;
    /// Starts after which a host held more than its capacity.
    int overCommitments = 0;
    /// Longest time for which a task that lost its host did not run.
    Duration longestDowntime{0};
    /// Mean wait of urgent tasks for their first start.
    Duration meanUrgentWait{0};
    int probations = 0;
    int starts = 0;
};

/// Plays the dispatcher against a fleet with the load of a busy site, in simulated time. The
/// dispatcher learns of starts and ends as late as a holder does. Equal options give equal results.
/// Precondition: the options' length and shares are not negative. Thread-safe.
FleetSimulationResult simulateFleet(const FleetSimulationOptions &options);

/// Text for the log of a test. Thread-safe.
std::string describe(const LateRestart &late);
std::string describe(const FleetSimulationResult &result);

} // namespace acaciadeal

#endif
