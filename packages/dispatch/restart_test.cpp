#include "dispatch/fleetsimulation.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <numeric>

using namespace acaciadeal;

namespace {

/// Returns the seeds of the simulations. The environment variable RESTART_SEEDS=n selects 1 to n.
std::vector<std::uint64_t> seeds()
{
    const char *const count = std::getenv("RESTART_SEEDS");
    if (count == nullptr) {
        return {4, 18, 30, 44};
    }
    std::vector<std::uint64_t> result(std::strtoul(count, nullptr, 10));
    std::iota(result.begin(), result.end(), 1);
    return result;
}

} // namespace

// Guards against a long downtime of a long-running task whose host was lost, although usable hosts
// have room for it.
TEST_CASE("a long-running task restarts in time after its host was lost if hosts have room for two")
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

// Guards against a new holder that waits for a whole lease anew for a host that is gone.
TEST_CASE("a long-running task restarts in time if the holder is replaced twice after its host was "
          "lost")
{
    using std::chrono::seconds;
    for (const std::uint64_t seed : seeds()) {
        CAPTURE(seed);
        const FleetSimulationResult result =
            simulateFleet({.seed = seed,
                           .outages = {{.at = seconds(13), .share = 0.25, .length = seconds(2)}},
                           .holderStops = {seconds(14), seconds(17)}});
        MESSAGE(describe(result));
        for (const LateRestart &late : result.lateRestarts) {
            FAIL_CHECK(describe(late));
        }
        CHECK(result.overCommitments == 0);
        CHECK(result.doubleStarts == 0);
    }
}
