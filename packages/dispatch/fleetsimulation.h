#ifndef ACACIADEAL_DISPATCH_FLEETSIMULATION_H
#define ACACIADEAL_DISPATCH_FLEETSIMULATION_H

#include "base/time.h"
#include "dispatch/restartwatch.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

/// Hosts that stop answering at the same time, and are replaced by hosts of the same size.
struct Outage
{
    /// Time since the start of the simulation.
    Duration at{0};
    /// Share of the hosts that is affected.
    double share = 0;
    /// Time until the replacements are added.
    Duration length{0};
};

struct FleetSimulationOptions
{
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(48);
    std::vector<Outage> outages = {
        {.at = std::chrono::seconds(13), .share = 0.25, .length = std::chrono::seconds(4)}};
    /// Times of planned stops of the holder. Its successor knows the jobs and the runs that the
    /// previous holder left.
    std::vector<Duration> holderStops;
    /// Arrival rate of batch jobs as a share of the modelled site's rate.
    double batchShare = 0.5;
    /// Whether some runs fail although their host is healthy.
    bool runsFail = true;
};

struct FleetSimulationResult
{
    std::vector<LateRestart> lateRestarts;
    /// Starts after which the runs on a host exceeded its capacity.
    int overCommitments = 0;
    /// Starts of a task while another run of it was active on a host that answers.
    int doubleStarts = 0;
    /// Longest downtime of a long-running task whose host was lost.
    Duration longestDowntime{0};
    /// Mean wait of urgent tasks for their first start.
    Duration meanUrgentWait{0};
    /// How often a host became avoided.
    int hostsAvoided = 0;
    int starts = 0;
};

/// Runs the dispatcher against a simulated fleet with the load of a busy site, in simulated time.
/// The dispatcher learns of starts and ends with the delays that a real holder sees. Equal options
/// give equal results. Precondition: the options' length and shares are not negative. Thread-safe.
FleetSimulationResult simulateFleet(const FleetSimulationOptions &options);

/// Returns a text for the log of a test. Thread-safe.
std::string describe(const LateRestart &late);
std::string describe(const FleetSimulationResult &result);

} // namespace acaciadeal

#endif
