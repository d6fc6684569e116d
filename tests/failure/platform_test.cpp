#include "base/resultcode.h"
#include "failure/testhelpers.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace acaciadeal;
using namespace acaciadeal::failure_tests;
using nlohmann::json;

TEST_SUITE_BEGIN("platform");

// Guards against a platform outage stopping work that does not need the platform, and against
// accepting work that does.
TEST_CASE("G2 G6 G7: during a platform outage running tasks and repeatable requests continue")
{
    Cluster cluster({});
    const Daemon &daemon = *cluster.daemons().front();
    constexpr int tasks = 4;
    // Longer than a normal lease, so the daemon has to extend leases without the platform.
    submitAccepted(cluster, "through", tasks, {{"run_ms", 25'000}}, firstDomain);
    waitUntil("the tasks run", [&] { return hasRunningTask(cluster.records(), firstDomain); });

    cluster.callPlatform("/control/outage", {{"on", true}, {"mode", "hang"}});
    waitUntil("the daemons notice the outage", [&] {
        return std::all_of(cluster.daemons().begin(), cluster.daemons().end(), [&](const auto &it) {
            return !cluster.status(*it).value("platform_reachable", true);
        });
    });
    RequestLoad repeatable(cluster, {.prefix = "repeatable", .requestsPerThread = 20});
    repeatable.join();
    for (const RequestResult &result : repeatable.results()) {
        CAPTURE(result.answer.body);
        CHECK(result.answer.status == 200);
    }
    CHECK(toText(mismatchedAnswers(repeatable.results())) == "");

    RequestLoad nonRepeatable(cluster,
                              {.prefix = "once", .repeatable = false, .requestsPerThread = 2});
    nonRepeatable.join();
    for (const RequestResult &result : nonRepeatable.results()) {
        CAPTURE(result.answer.body);
        CHECK(isNotRunAnswer(result.answer));
    }
    CHECK(toText(refusedButExecuted(nonRepeatable.results(), cluster.records())) == "");
    CHECK(toText(repeatedExecutions(cluster.records(), "once")) == "");
    CHECK(cluster.submitJob(daemon, "refused", 1, {{"run_ms", 1}}).code()
          == static_cast<int>(ResultCode::PlatformUnavailable));
    cluster.waitFinished("through", tasks);

    cluster.callPlatform("/control/outage", {{"on", false}});
    submitAccepted(cluster, "after", tasks, {{"run_ms", 100}});
    cluster.waitFinished("after", tasks);
    checkTaskGuarantees(cluster);
    const Records records = cluster.records();
    for (int n = 1; n <= tasks; ++n) {
        CHECK(runsWithOutcome(records, taskName("through", n), "finished") == 1);
        CHECK(runsWithOutcome(records, taskName("through", n), "lease-lapsed") == 0);
    }
}

// Guards against regarding slow writes as failed: each takes longer than the daemon's first
// timeout, but is committed.
TEST_CASE("G2 G3 G7: the platform answers later than the daemon's timeout")
{
    Cluster cluster({.platformTimeout = milliseconds(500)});
    cluster.callPlatform("/control/slow", {{"ms", 700}});
    constexpr int tasks = 10;
    RequestLoad nonRepeatable(cluster, {.prefix = "once",
                                        .repeatable = false,
                                        .threads = 2,
                                        .requestTimeout = milliseconds(10'000),
                                        .requestsPerThread = 3});
    nonRepeatable.join();
    CHECK(toText(mismatchedAnswers(nonRepeatable.results())) == "");
    CHECK(toText(refusedButExecuted(nonRepeatable.results(), cluster.records())) == "");
    CHECK(toText(repeatedExecutions(cluster.records(), "once")) == "");
    cluster.callPlatform("/control/slow", {{"ms", 300}});
    submitAccepted(cluster, "slow", tasks, {{"run_ms", 500}});
    cluster.waitFinished("slow", tasks);
    cluster.callPlatform("/control/slow", {{"ms", 0}});
    submitAccepted(cluster, "after", tasks, {{"run_ms", 100}});
    cluster.waitFinished("after", tasks);
    checkTaskGuarantees(cluster);
}

// Guards against a write whose answer was lost being abandoned or repeated with different content.
TEST_CASE("G1 G2 G3: answers to log appends are lost")
{
    Cluster cluster({});
    constexpr int tasks = 10;
    for (int round = 1; round <= 4; ++round) {
        cluster.callPlatform("/control/lose_answers", {{"count", 3}, {"prefix", "log/"}});
        submitAccepted(cluster, "lost" + std::to_string(round), tasks, {{"run_ms", 300}});
    }
    for (int round = 1; round <= 4; ++round) {
        cluster.waitFinished("lost" + std::to_string(round), tasks);
    }
    CHECK(cluster.callPlatform("/control/counters").value("lost_answers", 0) > 0);
    checkTaskGuarantees(cluster);
}

// Guards against a shard with two holders or none after the answer to a claim was lost.
TEST_CASE("G2: the answer to a shard claim is lost")
{
    Cluster cluster({.daemonsPerDomain = 2});
    Daemon *const holder = cluster.holderOf(firstDomain);
    REQUIRE(holder != nullptr);
    submitAccepted(cluster, "before", 4, {{"run_ms", 15'000}}, firstDomain);
    waitUntil("the tasks run", [&] { return hasRunningTask(cluster.records(), firstDomain); });
    cluster.callPlatform("/control/lose_answers", {{"count", 2}, {"prefix", "owner/"}});
    holder->process->kill();
    waitUntil("another daemon holds the shard",
              [&] { return cluster.holderOf(firstDomain) != nullptr; });
    submitAccepted(cluster, "after", 4, {{"run_ms", 100}}, firstDomain);
    cluster.waitFinished("after", 4);
    cluster.waitFinished("before", 4);
    int holders = 0;
    for (const auto &daemon : cluster.daemons()) {
        const json status = daemon.get() == holder ? json::object() : cluster.status(*daemon);
        const json shards = status.value("shards", json::array());
        holders +=
            static_cast<int>(std::count_if(shards.begin(), shards.end(), [](const json &shard) {
                return shard.value("shard", "") == firstDomain && shard.value("held", false);
            }));
    }
    CHECK(holders == 1);
    checkTaskGuarantees(cluster);
}

// Guards against a request being recorded and run a second time after the answer to its first
// record was lost.
TEST_CASE("G6 G7: answers to writes of request records are lost")
{
    Cluster cluster({});
    RequestLoad nonRepeatable(cluster,
                              {.prefix = "once", .repeatable = false, .requestsPerThread = 0});
    for (int round = 1; round <= 5; ++round) {
        const int before = nonRepeatable.answered();
        cluster.callPlatform("/control/lose_answers", {{"count", 4}, {"prefix", "request/"}});
        waitUntil("the load goes on", [&] { return nonRepeatable.answered() > before + 20; });
    }
    nonRepeatable.stop();
    CHECK(cluster.callPlatform("/control/counters").value("lost_answers", 0) > 0);
    const Records records = cluster.records();
    CHECK(toText(mismatchedAnswers(nonRepeatable.results())) == "");
    CHECK(toText(refusedButExecuted(nonRepeatable.results(), records)) == "");
    CHECK(toText(repeatedExecutions(records, "once")) == "");
    const auto counts = executionCounts(records);
    const Daemon &daemon = *cluster.daemons().front();
    for (const RequestResult &result : nonRepeatable.results()) {
        // A retry with the same id must return the stored answer without another execution.
        if (result.answer.status == 200 && counts.contains(result.id)) {
            const Answer again = callUntilFinal(cluster, daemon, result.id, result.body);
            CHECK(again.body == result.answer.body);
            break;
        }
    }
    CHECK(toText(repeatedExecutions(cluster.records(), "once")) == "");
}

// Guards against a holder without access to the platform that prevents others from taking over its
// shard, or that continues to act after they did.
TEST_CASE("G2 G3: only the holder is disconnected from the platform")
{
    Cluster cluster({.daemonsPerDomain = 2});
    Daemon *const holder = cluster.holderOf(firstDomain);
    REQUIRE(holder != nullptr);
    submitAccepted(cluster, "before", 4, {{"run_ms", 20'000}}, firstDomain);
    waitUntil("the tasks run", [&] { return hasRunningTask(cluster.records(), firstDomain); });
    cluster.callPlatform("/control/cut", {{"clients", {holder->name}}});
    waitUntil("another daemon holds the shard", [&] {
        const Daemon *const now = cluster.holderOf(firstDomain);
        return now != nullptr && now != holder;
    });
    submitAccepted(cluster, "after", 4, {{"run_ms", 100}}, firstDomain);
    cluster.waitFinished("after", 4);
    cluster.waitFinished("before", 4);
    cluster.callPlatform("/control/cut", {{"clients", json::array()}});
    waitUntil("the former holder gives up the shard", [&] {
        const json status = cluster.status(*holder);
        const json shards = status.value("shards", json::array());
        return std::any_of(shards.begin(), shards.end(), [](const json &shard) {
            return shard.value("shard", "") == firstDomain && !shard.value("held", true);
        });
    });
    checkTaskGuarantees(cluster);
}

TEST_SUITE_END();
