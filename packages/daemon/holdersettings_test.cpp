#include "daemon/holdersettings.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

// Guards against a setting that is accepted and reported as in force but has no effect.
TEST_CASE("settings in force are copied into the holder's options")
{
    SettingsTree tree;
    tree.values["/system/drain_rate"].value = "7";
    tree.values["/system/leases/lease_ms"].value = "20000";
    tree.values["/teams/crew/quota"].value = R"({"milli_cores":4000})";
    HolderOptions options;
    options.quotas[{"gone"}] = {};
    applyHolderSettings(tree, options);
    CHECK(options.drainPerSecond == 7);
    CHECK(options.lease == milliseconds(20'000));
    CHECK(options.refillPerSecond == 50);
    REQUIRE(options.quotas.size() == 1);
    CHECK(fits({.milliCores = 4000, .memoryMiB = 1'000'000}, options.quotas.at({"crew"})));
    CHECK_FALSE(fits({.milliCores = 4001}, options.quotas.at({"crew"})));
}
