#include "kernel/pluginregistry.h"
#include "scheduling/placementpolicy.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

PlacementPolicy policy(const std::string &name)
{
    return PluginRegistry<PlacementPolicy>::instance().find(name).value();
}

const HostState plainHost{.id = {"h1"}, .rack = {"r1"}, .capacity = {32000, 128000, 0}};
const HostState acceleratorHost{.id = {"h2"}, .rack = {"r2"}, .capacity = {32000, 128000, 4}};

HostCandidate candidate(Resources available, std::uint32_t sameJobInRack = 0,
                        double interference = 0)
{
    return {&plainHost, available, sameJobInRack, interference};
}

Task makeTask(TaskClass taskClass, Resources size = {1000, 1000, 0})
{
    return {.spec = {.id = {"a"}, .taskClass = taskClass, .size = size}};
}

constexpr Resources wholeHost{32000, 128000, 0};
constexpr Resources halfHost{16000, 64000, 0};

} // namespace

// Guards against the linker dropping a policy, because nothing refers to its object file.
TEST_CASE("the placement policies are registered")
{
    CHECK(PluginRegistry<PlacementPolicy>::instance().names()
          == std::vector<std::string>{"best-fit", "first-fit", "spread-reserve"});
}

TEST_CASE("without candidates every policy returns nothing")
{
    for (const auto &name : PluginRegistry<PlacementPolicy>::instance().names()) {
        CHECK_FALSE(policy(name).choose({}, makeTask(TaskClass::Batch)));
    }
}

TEST_CASE("first-fit chooses the first host and best-fit the fullest one")
{
    const std::vector<HostCandidate> candidates{candidate(wholeHost), candidate(halfHost)};
    CHECK(policy("first-fit").choose(candidates, makeTask(TaskClass::Batch)) == 0U);
    CHECK(policy("best-fit").choose(candidates, makeTask(TaskClass::Batch)) == 1U);
}

// Guards against urgent work being placed on a host where batch work interferes with it.
TEST_CASE("spread-reserve avoids interference for urgent and latency-critical tasks")
{
    const std::vector<HostCandidate> candidates{candidate(wholeHost, 0, 0.8),
                                                candidate(halfHost, 0, 0.1)};
    CHECK(policy("spread-reserve").choose(candidates, makeTask(TaskClass::Urgent)) == 1U);
    CHECK(policy("spread-reserve").choose(candidates, makeTask(TaskClass::LatencyCritical)) == 1U);
}

// Guards against losing a whole job when one rack fails.
TEST_CASE("spread-reserve spreads a job over racks")
{
    const std::vector<HostCandidate> candidates{candidate(halfHost, 4), candidate(halfHost, 0)};
    CHECK(policy("spread-reserve").choose(candidates, makeTask(TaskClass::Batch)) == 1U);
}

// Guards against small batch tasks fragmenting the capacity that large tasks need.
TEST_CASE("spread-reserve keeps empty hosts free of small batch tasks")
{
    const std::vector<HostCandidate> candidates{candidate(wholeHost), candidate(halfHost)};
    CHECK(policy("spread-reserve").choose(candidates, makeTask(TaskClass::Batch)) == 1U);
}

// Guards against tasks that need no accelerators occupying the hosts that have them.
TEST_CASE("spread-reserve keeps accelerators for tasks that need them")
{
    const Resources withAccelerators{16000, 64000, 4};
    const std::vector<HostCandidate> candidates{{&acceleratorHost, withAccelerators, 0, 0},
                                                candidate(wholeHost, 4, 0.9)};
    CHECK(policy("spread-reserve").choose(candidates, makeTask(TaskClass::Urgent)) == 1U);
    CHECK(policy("spread-reserve")
              .choose(std::span(candidates).first(1), makeTask(TaskClass::Batch, {1000, 1000, 1}))
          == 0U);
}

// Guards against filling a host to the last core while other hosts have free capacity.
TEST_CASE("spread-reserve leaves headroom on a nearly full host")
{
    const std::vector<HostCandidate> candidates{candidate({1000, 64000, 0}), candidate(halfHost)};
    CHECK(policy("spread-reserve").choose(candidates, makeTask(TaskClass::Batch)) == 1U);
}

TEST_CASE("a policy makes the same choice on every call")
{
    const std::vector<HostCandidate> candidates{candidate(halfHost), candidate(halfHost),
                                                candidate(halfHost)};
    for (const auto &name : PluginRegistry<PlacementPolicy>::instance().names()) {
        const auto first = policy(name).choose(candidates, makeTask(TaskClass::Batch));
        CHECK(first == 0U);
        CHECK(policy(name).choose(candidates, makeTask(TaskClass::Batch)) == first);
    }
}
