#include "failure/testhelpers.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>

using namespace acaciadeal;
using namespace acaciadeal::failure_tests;
using nlohmann::json;

namespace {

/// Waits until a daemon other than @p former holds the shard, and returns it.
Daemon &waitForSuccessor(Cluster &cluster, const std::string &shard, const Daemon &former)
{
    Daemon *successor = nullptr;
    waitUntil("another daemon holds " + shard, [&] {
        successor = cluster.holderOf(shard);
        return successor != nullptr && successor != &former;
    });
    return *successor;
}

int runningCount(const Records &records, const std::string &domain)
{
    return static_cast<int>(
        std::count_if(records.runs.begin(), records.runs.end(), [&](const RunRow &run) {
            return run.failureDomain == domain && !run.endedAt;
        }));
}

} // namespace

TEST_SUITE_BEGIN("holder");

// Guards against a successor that loses, repeats or duplicates the tasks of a killed holder.
TEST_CASE("G2 G3: the holder is killed while its tasks run")
{
    Cluster cluster({.daemonsPerDomain = 2});
    Daemon *const holder = cluster.holderOf(firstDomain);
    REQUIRE(holder != nullptr);
    constexpr int tasks = 8;
    submitAccepted(cluster, "long", tasks, {{"run_ms", 20'000}, {"checkpoint", true}}, firstDomain);
    waitUntil("the tasks run",
              [&] { return runningCount(cluster.records(), firstDomain) == tasks; });
    holder->process->kill();
    waitForSuccessor(cluster, firstDomain, *holder);
    submitAccepted(cluster, "later", tasks, {{"run_ms", 100}}, firstDomain);
    cluster.waitFinished("later", tasks);
    cluster.waitFinished("long", tasks);
    checkTaskGuarantees(cluster);
    const Records records = cluster.records();
    for (int n = 1; n <= tasks; ++n) {
        CHECK(runsWithOutcome(records, taskName("long", n), "finished") == 1);
    }
}

// Guards against a paused holder that continues to act after another daemon has claimed its shard.
TEST_CASE("G2 G3: the holder is paused until its leases have ended, and resumed")
{
    Cluster cluster({.daemonsPerDomain = 2});
    Daemon *const paused = cluster.holderOf(firstDomain);
    REQUIRE(paused != nullptr);
    constexpr int tasks = 6;
    submitAccepted(cluster, "endless", tasks, {{"run_ms", 45'000}, {"checkpoint", true}},
                   firstDomain);
    waitUntil("the tasks run",
              [&] { return runningCount(cluster.records(), firstDomain) == tasks; });
    const Records before = cluster.records();
    paused->process->signal(SIGSTOP);
    Daemon &successor = waitForSuccessor(cluster, firstDomain, *paused);
    const std::uint64_t epoch = cluster.epochOf(successor, firstDomain);
    submitAccepted(cluster, "meanwhile", tasks, {{"run_ms", 100}}, firstDomain);
    cluster.waitFinished("meanwhile", tasks);
    // The leases that the paused holder granted end one lease, plus the allowance for clock drift,
    // after the start of the pause.
    constexpr std::int64_t leaseUs = 15'100'000;
    waitUntil("the paused holder's leases have ended",
              [&] { return cluster.records().now - before.now > leaseUs; });
    paused->process->signal(SIGCONT);
    waitUntil("the paused daemon knows the newer epoch", [&] {
        const json status = cluster.status(*paused);
        const json shards = status.value("shards", json::array());
        return std::any_of(shards.begin(), shards.end(), [&](const json &shard) {
            return shard.value("shard", "") == firstDomain && !shard.value("held", true)
                   && shard.value("epoch", std::uint64_t{0}) >= epoch;
        });
    });
    submitAccepted(cluster, "after", tasks, {{"run_ms", 100}}, firstDomain);
    cluster.waitFinished("after", tasks);
    cluster.waitFinished("endless", tasks);
    checkTaskGuarantees(cluster);
    const Records records = cluster.records();
    const auto startsByOldEpoch =
        std::count_if(records.runs.begin(), records.runs.end(), [&](const auto &run) {
            return run.task.starts_with("after") && run.epoch < epoch;
        });
    CHECK(startsByOldEpoch == 0);
}

// Guards against a delayed start order of a killed holder that takes effect after its successor has
// placed the task again.
TEST_CASE("G1 G2 G3: the holder is killed with starts in flight")
{
    Cluster cluster({.daemonsPerDomain = 2});
    Daemon *const holder = cluster.holderOf(firstDomain);
    REQUIRE(holder != nullptr);
    std::vector<std::string> workers;
    for (const HostRecord &host : cluster.hosts()) {
        if (host.failureDomain.value == firstDomain && host.service.empty()) {
            workers.push_back(host.host.value);
        }
    }
    constexpr int tasks = 6;
    cluster.changeHosts(workers, {{"freeze_at_start", true}});
    submitAccepted(cluster, "inflight", tasks, {{"run_ms", 500}}, firstDomain);
    waitUntil("a worker holds a start", [&] {
        const Records records = cluster.records();
        return std::any_of(records.hosts.begin(), records.hosts.end(),
                           [](const HostRow &row) { return row.heldRequests > 0; });
    });
    CHECK(cluster.tasksInState(firstDomain, "placed") > 0);
    holder->process->kill();
    waitForSuccessor(cluster, firstDomain, *holder);
    cluster.changeHosts(workers, {{"frozen", false}, {"freeze_at_start", false}});
    // The delayed start order must reach its worker and be refused there.
    waitUntil("the worker refused the late start", [&] {
        const Records records = cluster.records();
        return std::any_of(records.hosts.begin(), records.hosts.end(), [](const HostRow &row) {
            return row.stalePermits + row.staleOrders > 0;
        });
    });
    cluster.waitFinished("inflight", tasks);
    submitAccepted(cluster, "next", tasks, {{"run_ms", 100}}, firstDomain);
    cluster.waitFinished("next", tasks);
    checkTaskGuarantees(cluster);
}

// Guards against a holder that regards the tasks of a restarted host as still running or finished.
TEST_CASE("G2 G3: a worker restarts while its tasks run")
{
    Cluster cluster({});
    constexpr int tasks = 6;
    submitAccepted(cluster, "restarted", tasks, {{"run_ms", 8'000}}, firstDomain);
    waitUntil("the tasks run",
              [&] { return runningCount(cluster.records(), firstDomain) == tasks; });
    const Records before = cluster.records();
    const std::string host = before.runs.front().host;
    cluster.changeHosts({host}, {{"restart", true}});
    cluster.waitFinished("restarted", tasks);
    checkTaskGuarantees(cluster);
    const Records records = cluster.records();
    CHECK(std::any_of(records.runs.begin(), records.runs.end(),
                      [](const RunRow &run) { return run.outcome == "host-restarted"; }));
    for (int n = 1; n <= tasks; ++n) {
        CHECK(runsWithOutcome(records, taskName("restarted", n), "finished") == 1);
    }
}

TEST_SUITE_END();
