#include "requests/routingpolicy.h"

#include "kernel/pluginregistry.h"

#include <array>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace acaciadeal;

namespace {

RoutingPolicy policy(const std::string &name)
{
    const auto found = PluginRegistry<RoutingPolicy>::instance().find(name);
    REQUIRE(found.has_value());
    return *found;
}

} // namespace

TEST_CASE("all policies are registered, return valid indices and accept an empty list")
{
    const auto names = PluginRegistry<RoutingPolicy>::instance().names();
    CHECK(names == std::vector<std::string>{"least-loaded", "random", "two-choices"});
    std::mt19937_64 random(1);
    const std::array<InstanceCandidate, 5> candidates{};
    for (const auto &name : names) {
        CHECK_FALSE(policy(name).choose({}, 7).has_value());
        CHECK(policy(name).choose({candidates.data(), 1}, 7) == 0);
        // Guards against some of several equal instances never receiving a request.
        std::set<std::size_t> chosen;
        for (int n = 0; n < 1000; ++n) {
            chosen.insert(policy(name).choose(candidates, random()).value());
        }
        CHECK(chosen == std::set<std::size_t>{0, 1, 2, 3, 4});
    }
}

TEST_CASE("least-loaded compares the used fraction of the slots")
{
    const std::array<InstanceCandidate, 3> candidates = {
        InstanceCandidate{.inFlight = 1, .slots = 2}, InstanceCandidate{.inFlight = 3, .slots = 8},
        InstanceCandidate{.inFlight = 2, .slots = 4}};
    for (std::uint64_t random = 0; random < 3; ++random) {
        CHECK(policy("least-loaded").choose(candidates, random) == 1);
    }
}

// Guards against preferring a slow but idle instance to a fast one.
TEST_CASE("two-choices never takes the candidate with the longest expected wait")
{
    const std::array<InstanceCandidate, 4> candidates = {
        InstanceCandidate{.inFlight = 1, .slots = 4, .latency = milliseconds(20)},
        InstanceCandidate{.inFlight = 0, .slots = 4, .latency = milliseconds(500)},
        InstanceCandidate{.inFlight = 2, .slots = 4, .latency = milliseconds(20)},
        InstanceCandidate{.inFlight = 3, .slots = 4}};
    std::mt19937_64 random(2);
    std::array<int, 4> counts{};
    for (int n = 0; n < 1000; ++n) {
        ++counts[policy("two-choices").choose(candidates, random()).value()];
    }
    CHECK(counts[1] == 0);
    // An instance without an estimate counts as fast, so that it receives requests and an estimate
    // becomes available.
    CHECK(counts[3] > counts[0]);
    CHECK(counts[0] > counts[2]);
}

// Guards against comparing the requests in progress without regard to the number of slots.
TEST_CASE("two-choices takes the size of the share into account")
{
    const std::array<InstanceCandidate, 2> candidates = {
        InstanceCandidate{.inFlight = 1, .slots = 2, .latency = milliseconds(10)},
        InstanceCandidate{.inFlight = 2, .slots = 8, .latency = milliseconds(10)}};
    CHECK(policy("two-choices").choose(candidates, 0) == 1);
    CHECK(policy("two-choices").choose(candidates, 1) == 1);
}
