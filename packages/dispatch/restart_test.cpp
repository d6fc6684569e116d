#include "dispatch/fleetsimulation.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <numeric>

using namespace acaciadeal;

namespace {

/// Seeds of the simulations; RESTART_SEEDS=n replaces them by 1 to n.
std::vector<std::uint64_t> seeds()
{
    const char *const count = std::getenv("RESTART_SEEDS");
    if (count == nullptr) {
        return {4, 18, 30};
    }
    std::vector<std::uint64_t> result(std::strtoul(count, nullptr, 10));
    std::iota(result.begin(), result.end(), 1);
    return result;
}

} // namespace

// Guards against a long-running task that stays away for long after its host was lost, although
// hosts that may be used have room for it.
TEST_CASE("a long-running task that lost its host starts again while hosts have room for two")
{
    for (const std::uint64_t seed : seeds()) {
        CAPTURE(seed);
        const FleetSimulationResult result = simulateFleet({.seed = seed});
        MESSAGE(describe(result));
        for (const LateRestart &late : result.lateRestarts) {
            FAIL_CHECK(describe(late));
        }
        CHECK(result.overCommitments == 0);
    }
}
