#include "failure/testhelpers.h"

#include <atomic>
#include <doctest/doctest.h>
#include <limits>
#include <thread>

using namespace acaciadeal;
using namespace acaciadeal::failure_tests;
using nlohmann::json;

TEST_SUITE_BEGIN("domains");

// Guards against late starts and lost or duplicated tasks when a failure domain is taken out and
// back in.
TEST_CASE("G1 G2 G3 G4: a failure domain is taken out and back in under load")
{
    Cluster cluster({.daemonsPerDomain = 2});
    const Daemon &daemon = *cluster.daemons().back();
    const std::string domainRow = "domain/" + firstDomain;
    std::atomic<int> jobs{0};
    // Joined at the end of the test case, also if a REQUIRE fails.
    std::jthread submitter([&](const std::stop_token &stopping) {
        const json payload{{"run_ms", 1'500}, {"checkpoint", true}};
        while (!stopping.stop_requested()) {
            const std::string job = "load" + std::to_string(jobs);
            if (cluster.submitJob(daemon, job, 4, payload).status == 200) {
                ++jobs;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    });
    submitAccepted(cluster, "bound", 4, {{"run_ms", 30'000}, {"checkpoint", true}}, firstDomain);
    waitUntil("the failure domain runs tasks",
              [&] { return hasRunningTask(cluster.records(), firstDomain); });
    const Answer out = changeDomain(cluster, daemon, firstDomain, "out",
                                    domainVersion(cluster, daemon, firstDomain));
    CHECK(out.status == 200);
    const std::int64_t outAt = cluster.lastWriteAt(domainRow);
    REQUIRE(outAt > 0);
    waitUntil("no task runs in the failure domain",
              [&] { return !hasRunningTask(cluster.records(), firstDomain); });
    constexpr std::int64_t observationUs = 6'000'000;
    waitUntil("late starts would be in the records",
              [&] { return cluster.records().now - outAt > observationUs; });

    std::uint64_t version = 0;
    waitUntil("the failure domain is in again", [&] {
        version = domainVersion(cluster, daemon, firstDomain);
        return changeDomain(cluster, daemon, firstDomain, "in", version).status == 200;
    });
    const std::int64_t inAt = cluster.lastWriteAt(domainRow);
    waitUntil("the failure domain runs tasks again",
              [&] { return hasRunningTask(cluster.records(), firstDomain); });
    submitter.request_stop();
    submitter.join();
    for (int n = 0; n < jobs; ++n) {
        cluster.waitFinished("load" + std::to_string(n), 4);
    }
    cluster.waitFinished("bound", 4);
    CHECK(toText(startsWhileDomainOut(cluster.records(), firstDomain, outAt, inAt)) == "");
    checkTaskGuarantees(cluster);
}

// Guards against one operator's change of a failure domain overwriting another's without having
// seen it.
TEST_CASE("G4: of two concurrent changes of a failure domain, one is accepted")
{
    Cluster cluster({});
    const Daemon &first = *cluster.daemons().front();
    const Daemon &second = *cluster.daemons().back();
    const std::uint64_t version = domainVersion(cluster, first, firstDomain);
    Answer a;
    Answer b;
    std::jthread other([&] { a = changeDomain(cluster, first, firstDomain, "out", version); });
    b = changeDomain(cluster, second, firstDomain, "in", version);
    other.join();
    CHECK((a.status == 200) != (b.status == 200));
    CHECK((a.status == 409) != (b.status == 409));
    const json history = cluster.callPlatform("/control/history?prefix=domain/" + firstDomain);
    CHECK(history.at("writes").size() == 1);
}

TEST_SUITE_END();
