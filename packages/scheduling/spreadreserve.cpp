#include "kernel/pluginregistry.h"
#include "scheduling/placementpolicy.h"

#include <algorithm>

namespace acaciadeal {
namespace {

// Penalties on a common scale, where 1 is the maximum interference with latency-critical work. Rack
// spread weighs less than interference, because a rack fails every month or two while interference
// is permanent. Placing a task that needs no accelerators on a host with free ones weighs more than
// both, even with the double weight of interference for urgent and latency-critical tasks.
constexpr double acceleratorPenalty = 2.5;
constexpr double rackPenalty = 0.4;
constexpr double largeBlockPenalty = 0.3;
constexpr double headroomPenalty = 0.5;
// Usage above which the headroom penalty applies. It is below 90%, at which pressure begins,
// because usage reports lag.
constexpr double headroomThreshold = 0.85;
// More tasks of a job in one rack than this do not increase the penalty.
constexpr std::uint32_t maxCountedTasksInRack = 4;

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

double penalty(const HostCandidate &candidate, const Task &task)
{
    const Resources &capacity = candidate.host->capacity;
    const Resources left = candidate.available - task.spec.size;
    const double freeShare = std::min(share(left.milliCores, capacity.milliCores),
                                      share(left.memoryMiB, capacity.memoryMiB));
    const bool batch = task.spec.taskClass == TaskClass::Batch;

    double sum = (batch ? 1.0 : 2.0) * candidate.interference;
    sum += rackPenalty * std::min(candidate.sameJobInRack, maxCountedTasksInRack)
           / maxCountedTasksInRack;
    if (task.spec.size.accelerators == 0 && candidate.available.accelerators > 0) {
        sum += acceleratorPenalty;
    }
    // A batch task prefers a host that is already in use, so that empty hosts remain available for
    // large tasks. Other tasks prefer the emptier host.
    sum += largeBlockPenalty * (batch ? freeShare : 1.0 - freeShare);
    if (1.0 - freeShare > headroomThreshold) {
        sum += headroomPenalty * (1.0 - freeShare - headroomThreshold) / (1.0 - headroomThreshold);
    }
    return sum;
}

std::optional<std::size_t> spreadReserve(std::span<const HostCandidate> candidates,
                                         const Task &task)
{
    std::optional<std::size_t> best;
    double lowest = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const double sum = penalty(candidates[n], task);
        if (!best || sum < lowest) {
            best = n;
            lowest = sum;
        }
    }
    return best;
}

const PluginRegistration<PlacementPolicy> registration{"spread-reserve", {&spreadReserve}};

} // namespace
} // namespace acaciadeal
