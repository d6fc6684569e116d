#include "dispatch/fleetsimulation.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

// Guards against room that is given away twice while reports of ends are on their way.
TEST_CASE("no host gets more than its capacity when hosts are lost and ends are reported late")
{
    const FleetSimulationResult result =
        simulateFleet({.seed = 7, .length = std::chrono::seconds(24)});
    CHECK(result.starts > 3000);
    CHECK(result.overCommitments == 0);
}

// Guards against a simulation whose findings cannot be repeated.
TEST_CASE("a simulation with the same seed gives the same result")
{
    const FleetSimulationOptions options{.seed = 7, .length = std::chrono::seconds(6)};
    CHECK(describe(simulateFleet(options)) == describe(simulateFleet(options)));
}
