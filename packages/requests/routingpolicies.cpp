#include "kernel/pluginregistry.h"
#include "requests/routingpolicy.h"

#include <algorithm>

namespace acaciadeal {
namespace {

using Candidates = std::span<const InstanceCandidate>;

std::optional<std::size_t> chooseRandom(Candidates candidates, std::uint64_t random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    return random % candidates.size();
}

std::optional<std::size_t> chooseLeastLoaded(Candidates candidates, std::uint64_t random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    // The scan starts at a random index, so that daemons do not all prefer the first of several
    // equally loaded instances.
    const std::size_t start = random % candidates.size();
    std::size_t best = start;
    for (std::size_t n = 1; n < candidates.size(); ++n) {
        const std::size_t index = (start + n) % candidates.size();
        const InstanceCandidate &candidate = candidates[index];
        // Compares in-flight / slots without division.
        if (std::uint64_t{candidate.inFlight} * candidates[best].slots
            < std::uint64_t{candidates[best].inFlight} * candidate.slots) {
            best = index;
        }
    }
    return best;
}

double expectedWait(const InstanceCandidate &candidate)
{
    // An instance without an estimate counts as fast, so that it receives requests and an estimate
    // becomes available. The minimum of 1 ms lets the load decide between two such instances.
    const Duration latency = std::max<Duration>(candidate.latency, milliseconds(1));
    return std::chrono::duration<double>(latency).count() * (candidate.inFlight + 1)
           / std::max<std::uint32_t>(candidate.slots, 1);
}

/// Picks two different candidates at random and returns the one with the shorter expected wait.
std::optional<std::size_t> chooseBetterOfTwo(Candidates candidates, std::uint64_t random)
{
    if (candidates.size() < 2) {
        return chooseRandom(candidates, random);
    }
    const std::size_t first = (random & 0xffffffffU) % candidates.size();
    const std::size_t offset = 1 + (random >> 32) % (candidates.size() - 1);
    const std::size_t second = (first + offset) % candidates.size();
    return expectedWait(candidates[second]) < expectedWait(candidates[first]) ? second : first;
}

const PluginRegistration<RoutingPolicy> randomPolicy{"random", {&chooseRandom}};
const PluginRegistration<RoutingPolicy> leastLoadedPolicy{"least-loaded", {&chooseLeastLoaded}};
const PluginRegistration<RoutingPolicy> twoChoicesPolicy{"two-choices", {&chooseBetterOfTwo}};

} // namespace
} // namespace acaciadeal
