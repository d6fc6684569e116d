#include "dispatch/fleetsimulation.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

// Guards against committing the same resources twice while reports of run ends are delayed.
TEST_CASE("no host is committed beyond its capacity when hosts are lost and run ends arrive late")
{
    const FleetSimulationResult result =
        simulateFleet({.seed = 7, .length = std::chrono::seconds(24)});
    CHECK(result.starts > 3000);
    CHECK(result.overCommitments == 0);
}

// Guards against simulation results that cannot be reproduced.
TEST_CASE("a simulation with the same seed gives the same result")
{
    const FleetSimulationOptions options{.seed = 7, .length = std::chrono::seconds(6)};
    CHECK(describe(simulateFleet(options)) == describe(simulateFleet(options)));
}
