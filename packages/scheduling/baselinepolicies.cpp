#include "kernel/pluginregistry.h"
#include "scheduling/placementpolicy.h"

namespace acaciadeal {
namespace {

std::optional<std::size_t> firstFit(std::span<const HostCandidate> candidates,
                                    const Task & /*task*/)
{
    return candidates.empty() ? std::nullopt : std::optional<std::size_t>(0);
}

/// Chooses the host with the fewest free processors, then the least free memory.
std::optional<std::size_t> bestFit(std::span<const HostCandidate> candidates, const Task & /*task*/)
{
    std::optional<std::size_t> best;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const Resources &free = candidates[n].available;
        if (!best || free.milliCores < candidates[*best].available.milliCores
            || (free.milliCores == candidates[*best].available.milliCores
                && free.memoryMiB < candidates[*best].available.memoryMiB)) {
            best = n;
        }
    }
    return best;
}

const PluginRegistration<PlacementPolicy> firstFitRegistration{"first-fit", {&firstFit}};
const PluginRegistration<PlacementPolicy> bestFitRegistration{"best-fit", {&bestFit}};

} // namespace
} // namespace acaciadeal
