#include "requests/instancetable.h"

#include <doctest/doctest.h>
#include <numeric>
#include <string>

using namespace acaciadeal;
using std::chrono::seconds;

namespace {

const TimePoint start{};
const ServiceId service{"wear-scan"};

std::vector<DaemonId> makeDaemonIds(int count)
{
    std::vector<DaemonId> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        result.push_back({"entry-" + std::to_string(n)});
    }
    return result;
}

InstanceTable makeTable(int daemonCount, int instanceCount)
{
    InstanceTable table;
    table.self = {"entry-0"};
    setSharingDaemons(table, makeDaemonIds(daemonCount));
    std::vector<InstanceInfo> instances;
    instances.reserve(static_cast<std::size_t>(instanceCount));
    for (int n = 0; n < instanceCount; ++n) {
        instances.push_back({{"host-" + std::to_string(n)}, service});
    }
    setInstances(table, instances);
    return table;
}

} // namespace

// Guards against the daemons together using more or fewer slots than an instance has.
TEST_CASE("the shares of all daemons add up to the total")
{
    for (int count = 1; count <= 11; ++count) {
        const auto sharingDaemons = makeDaemonIds(count);
        for (int n = 0; n < 30; ++n) {
            const InstanceId instance{"host-" + std::to_string(n)};
            for (const std::uint32_t total : {8U, 64U}) {
                std::uint32_t sum = 0;
                for (const DaemonId &daemon : sharingDaemons) {
                    const std::uint32_t share =
                        computeShare(total, instance, daemon, sharingDaemons);
                    CHECK(share >= total / static_cast<std::uint32_t>(count));
                    CHECK(share <= total / static_cast<std::uint32_t>(count) + 1);
                    sum += share;
                }
                CHECK(sum == total);
            }
        }
    }
}

// Guards against one daemon receiving the remainder of every instance.
TEST_CASE("the remainder is spread over the daemons")
{
    const auto sharingDaemons = makeDaemonIds(3);
    for (const DaemonId &daemon : sharingDaemons) {
        int extra = 0;
        for (int n = 0; n < 300; ++n) {
            extra += static_cast<int>(
                         computeShare(8, {"host-" + std::to_string(n)}, daemon, sharingDaemons))
                     - 2;
        }
        CHECK(extra > 150);
        CHECK(extra < 250);
    }
}

// Guards against a new daemon using slots before the others have released them.
TEST_CASE("a daemon outside the list of sharing daemons has no share")
{
    CHECK(computeShare(8, {"host-0"}, {"entry-9"}, makeDaemonIds(3)) == 0);
    CHECK(computeShare(8, {"host-0"}, {"entry-9"}, {}) == 0);
}

// Guards against counters being lost when the host list is read again.
TEST_CASE("an instance that stays in the host list keeps its counters")
{
    InstanceTable table = makeTable(2, 2);
    table.instances.at({"host-0"}).inFlight = 3;
    table.instances.at({"host-0"}).selfReportedLeaving = true;
    setInstances(table, {{{"host-0"}, service}, {{"host-7"}, service}});
    CHECK(table.instances.size() == 2);
    CHECK(table.instances.at({"host-0"}).inFlight == 3);
    CHECK(isLeaving(table, table.instances.at({"host-0"})));
    CHECK(table.instances.at({"host-7"}).slotShare == 4);
}

// Guards against new requests to a leaving instance, whatever the source of the report.
TEST_CASE("a leaving instance is not usable")
{
    InstanceTable table = makeTable(1, 3);
    table.instances.at({"host-0"}).info.leaving = true;
    table.instances.at({"host-1"}).selfReportedLeaving = true;
    CHECK(totalSlots(table, service) == 8);
    CHECK(hasUsableInstance(table, service, start));
    table.peerReportedLeaving = {{"host-2"}};
    CHECK_FALSE(hasUsableInstance(table, service, start));
    CHECK(totalSlots(table, service) == 0);
    // A peer's report is not passed on, or daemons would pass it back and forth forever.
    CHECK(locallyObservedLeaving(table) == std::set<InstanceId>{{"host-0"}, {"host-1"}});
}

// Guards against more requests in flight than the daemon's share.
TEST_CASE("slots and connections both limit the requests in flight")
{
    InstanceTable table = makeTable(2, 1);
    InstanceState &instance = table.instances.at({"host-0"});
    instance.inFlight = 3;
    CHECK(hasFreeSlot(table, instance, start));
    instance.inFlight = 4;
    CHECK_FALSE(hasFreeSlot(table, instance, start));
    CHECK(isUsable(table, instance, start));
    instance.inFlight = 2;
    instance.connectionShare = 2;
    CHECK_FALSE(hasFreeSlot(table, instance, start));
}

TEST_CASE("a suspended instance is not usable until its trial is due")
{
    InstanceTable table = makeTable(1, 1);
    InstanceState &instance = table.instances.at({"host-0"});
    for (int n = 0; n < 5; ++n) {
        recordAttemptEnd(instance.breaker, {}, AttemptHealth::Failure, false, start);
    }
    CHECK_FALSE(isUsable(table, instance, start));
    REQUIRE(hasFreeSlot(table, instance, start + seconds(1)));
    recordAttemptStart(instance.breaker);
    CHECK(isUsable(table, instance, start + seconds(1)));
    CHECK_FALSE(hasFreeSlot(table, instance, start + seconds(1)));
}

// Guards against an instance that was slow once never being tried again.
TEST_CASE("a latency estimate halves every 10 s without a sample")
{
    LatencyEstimate estimate;
    addLatencySample(estimate, milliseconds(800), start);
    CHECK(decayedLatency(estimate, start) == milliseconds(800));
    CHECK(decayedLatency(estimate, start + seconds(10)) == milliseconds(400));
    CHECK(decayedLatency(estimate, start + seconds(30)) == milliseconds(100));
    addLatencySample(estimate, milliseconds(200), start + seconds(10));
    CHECK(decayedLatency(estimate, start + seconds(10)) == milliseconds(340));
}
