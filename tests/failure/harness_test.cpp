#include "failure/cluster.h"
#include "failure/load.h"
#include "failure/process.h"
#include "standins/workerjson.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace acaciadeal;
using namespace acaciadeal::failure_tests;
using nlohmann::json;

// These tests guard against failure tests that pass because a check never reports a violation. They
// violate each guarantee on purpose by acting as a faulty daemon towards the stand-ins.

namespace {

/// Simulated holder that sends arbitrary orders to a worker.
struct FakeHolder
{
    Cluster &cluster;
    HostRecord host;
    WorkerOrders orders{.shard = {"s"}, .epoch = 1, .lease = milliseconds(60'000)};

    WorkerReport send()
    {
        ++orders.sequence;
        const Answer answer = cluster.caller().call(
            toString(host.endpoint),
            {.method = "POST", .target = "/v1/control", .body = standins::formatOrders(orders)});
        auto report = standins::parseReport(answer.body).value();
        orders.permit = report.permit;
        orders.starts.clear();
        orders.stops.clear();
        return report;
    }

    void start(const std::string &task, std::uint32_t incarnation, const std::string &payload,
               const Resources &size = {1'000, 1'000, 0})
    {
        send();
        StartOrder &start = orders.starts.emplace_back();
        start.run = {{task}, incarnation};
        start.size = size;
        start.payload = payload;
        send();
    }
};

bool containsText(const Violations &violations, const std::string &text)
{
    return std::any_of(violations.begin(), violations.end(), [&](const std::string &line) {
        return line.find(text) != std::string::npos;
    });
}

Answer executeOn(Cluster &cluster, const HostRecord &instance, const std::string &id)
{
    return cluster.caller().call(toString(instance.endpoint), {.method = "POST",
                                                               .target = "/v1/execute",
                                                               .headers = {{"x-request-id", id}},
                                                               .body = "body of " + id});
}

const ClusterOptions onlyStandins{.daemonBinary = ""};

} // namespace

TEST_CASE("the checks report a task that runs in two places (G2) or again after its end (G3)")
{
    Cluster cluster(onlyStandins);
    FakeHolder first{cluster, cluster.hosts().at(0)};
    FakeHolder second{cluster, cluster.hosts().at(1)};
    first.start("good", 1, R"({"run_ms":1})");
    waitUntil("the run ended",
              [&] { return runsWithOutcome(cluster.records(), "good", "finished") == 1; });
    CHECK(toText(taskViolations(cluster.records())).empty());
    second.start("good", 2, R"({"run_ms":1})");
    CHECK(containsText(taskViolations(cluster.records()), "G3: run after the task finished"));
    first.start("twice", 1, "");
    second.start("twice", 2, "");
    CHECK(containsText(taskViolations(cluster.records()), "G2: two runs at once"));
    first.start("again", 1, R"({"run_ms":1})");
    waitUntil("the run ended",
              [&] { return runsWithOutcome(cluster.records(), "again", "finished") == 1; });
    second.start("again", 1, R"({"run_ms":1})");
    CHECK(containsText(taskViolations(cluster.records()), "G3: incarnation repeated"));
}

TEST_CASE("the checks report evicted work that does not resume from its checkpoint (G3)")
{
    Cluster cluster(onlyStandins);
    FakeHolder holder{cluster, cluster.hosts().at(0)};
    holder.start("t", 1, R"({"checkpoint":true})");
    holder.orders.stops = {{{"t"}, 1}};
    holder.send();
    holder.start("t", 2, R"({"checkpoint":true})");
    CHECK(containsText(taskViolations(cluster.records()), "G3: resumed from \"\""));
}

TEST_CASE("the checks report a host that runs more than its capacity (G1)")
{
    Cluster cluster(onlyStandins);
    FakeHolder holder{cluster, cluster.hosts().at(0)};
    holder.start("a", 1, "", {20'000, 1'000, 0});
    CHECK(toText(taskViolations(cluster.records())).empty());
    holder.start("b", 1, "", {20'000, 1'000, 0});
    CHECK(containsText(taskViolations(cluster.records()), "G1"));
}

TEST_CASE("the checks report a start after the failure domain was taken out (G4)")
{
    Cluster cluster(onlyStandins);
    FakeHolder holder{cluster, cluster.hosts().at(0)};
    const std::string domain = holder.host.failureDomain.value;
    const std::int64_t outAt = cluster.records().now;
    holder.start("t", 1, "");
    const Records records = cluster.records();
    const std::int64_t inAt = records.now + 10'000'000;
    CHECK(startsWhileDomainOut(records, domain, outAt, inAt).empty());
    // Passes an earlier time at which the failure domain was taken out, instead of waiting for the
    // start window to pass.
    CHECK(containsText(startsWhileDomainOut(records, domain, outAt - 4'000'000, inAt), "G4"));
    CHECK(startsWhileDomainOut(records, "another", outAt - 4'000'000, inAt).empty());
}

TEST_CASE("the checks report mismatched answers, and refused, repeated and late requests that were "
          "executed (G5 to G8)")
{
    Cluster cluster(onlyStandins);
    const HostRecord &instance = cluster.hosts().back();
    const Answer first = executeOn(cluster, instance, "once-1");
    CHECK(repeatedExecutions(cluster.records(), "once-").empty());
    executeOn(cluster, instance, "once-1");
    CHECK(containsText(repeatedExecutions(cluster.records(), "once-"), "executed 2 times"));

    RequestResult result{.id = "once-1", .body = "body of once-1", .answer = first, .attempts = 1};
    CHECK(mismatchedAnswers({result}).empty());
    result.body = "body of another";
    CHECK(containsText(mismatchedAnswers({result}), "G5"));
    result.answer = {.status = 503, .body = R"({"code":2015})"};
    result.allAttemptsNotRun = isNotRunAnswer(result.answer);
    CHECK(containsText(refusedButExecuted({result}, cluster.records()), "G6"));

    cluster.changeHosts({instance.host.value}, {{"leaving", true}});
    const Answer late = executeOn(cluster, instance, "late");
    CHECK(late.headers.at("x-leaving") == "true");
    CHECK(executionsAfterLeaving(cluster.records(), 60'000'000).empty());
    CHECK(containsText(executionsAfterLeaving(cluster.records(), -1), "G8"));
}

TEST_CASE("truncated and dropped answers of an instance fail at the caller after the execution")
{
    Cluster cluster(onlyStandins);
    const HostRecord &instance = cluster.hosts().back();
    cluster.changeHosts({instance.host.value}, {{"truncate_next", 1}});
    CHECK(executeOn(cluster, instance, "truncated").status == 0);
    CHECK(executionCounts(cluster.records()).at("truncated") == 1);
    cluster.changeHosts({instance.host.value}, {{"drop_next", 1}});
    CHECK(executeOn(cluster, instance, "dropped").status == 0);
    CHECK(executionCounts(cluster.records()).at("dropped") == 1);
}

TEST_CASE("an unfrozen host handles delayed orders and refuses starts with an expired permit")
{
    Cluster cluster(onlyStandins);
    FakeHolder holder{cluster, cluster.hosts().at(0)};
    holder.send();
    // The permit was issued before the freeze, so its age is the only reason to refuse the start.
    WorkerOrders orders = holder.orders;
    ++orders.sequence;
    orders.starts.emplace_back().run = {{"t"}, 1};
    const std::string name = holder.host.host.value;
    cluster.changeHosts({name}, {{"frozen", true}});
    std::thread sender([&] {
        cluster.caller().call(
            toString(holder.host.endpoint),
            {.method = "POST", .target = "/v1/control", .body = standins::formatOrders(orders)});
    });
    const auto findHost = [&](const Records &records) {
        return std::find_if(records.hosts.begin(), records.hosts.end(),
                            [&](const HostRow &row) { return row.host == name; });
    };
    std::int64_t heldAt = 0;
    waitUntil("the start window has passed", [&] {
        const Records records = cluster.records();
        if (findHost(records)->heldRequests == 1 && heldAt == 0) {
            heldAt = records.now;
        }
        return heldAt > 0 && records.now - heldAt > 3'000'000;
    });
    cluster.changeHosts({name}, {{"frozen", false}});
    sender.join();
    const Records records = cluster.records();
    CHECK(records.runs.empty());
    CHECK(findHost(records)->stalePermits == 1);
}

TEST_CASE("outages, blocked clients and lost answers of the platform affect its clients")
{
    Cluster cluster(onlyStandins);
    const auto clientEndpoint = [&](const std::string &name) {
        return cluster.callPlatform("/control/door", {{"name", name}})
            .at("endpoint")
            .get<std::string>();
    };
    const std::string endpoint = clientEndpoint("a");
    CHECK(clientEndpoint("a") == endpoint);
    const json write{{"checks", {{{"key", "domain/x"}, {"version", 0}}}},
                     {"puts", {{{"key", "domain/x"}, {"value", "aGk="}}}},
                     {"deletes", json::array()}};
    const auto commit = [&] {
        return cluster.caller().post(endpoint, "/v1/table/commit", write);
    };
    const json query{{"keys", {"domain/x"}}, {"prefix", ""}, {"after", ""}, {"limit", 10}};

    cluster.callPlatform("/control/outage", {{"on", true}, {"mode", "error"}});
    CHECK(commit().status == 503);
    cluster.callPlatform("/control/outage", {{"on", true}, {"mode", "close"}});
    CHECK(commit().status == 0);
    cluster.callPlatform("/control/outage", {{"on", false}});
    cluster.callPlatform("/control/cut", {{"clients", {"a"}}});
    CHECK(commit().status == 0);
    CHECK(cluster.caller()
              .post(clientEndpoint("b"), "/v1/table/read", query)
              .json()
              .at("rows")
              .empty());
    cluster.callPlatform("/control/cut", {{"clients", json::array()}});
    CHECK(cluster.lastWriteAt("domain/x") == 0);

    // The answer is dropped after the write was committed.
    cluster.callPlatform("/control/lose_answers", {{"count", 1}, {"prefix", "domain/"}});
    CHECK(commit().status == 0);
    CHECK(cluster.lastWriteAt("domain/x") > 0);
    const Answer conflict = commit();
    CHECK(conflict.status == 409);
    CHECK(conflict.headers.at("x-failed-key") == "domain/x");
}

TEST_CASE("a changed host condition appears in the host list only after the lag")
{
    Cluster cluster(onlyStandins);
    const std::string name = cluster.hosts().at(0).host.value;
    const std::string endpoint =
        cluster.callPlatform("/control/door", {{"name", "a"}}).at("endpoint").get<std::string>();
    const auto condition = [&] {
        return cluster.caller().get(endpoint, "/v1/hosts").json().at("hosts").at(0).at("condition");
    };
    cluster.callPlatform("/control/lag", {{"ms", 3'600'000}});
    cluster.callPlatform("/control/condition", {{"host", name}, {"condition", "leaving"}});
    CHECK(condition() == "live");
    cluster.callPlatform("/control/lag", {{"ms", 0}});
    CHECK(condition() == "leaving");
}

TEST_CASE("a process reports its status and output and can be signalled")
{
    const TemporaryFolder folder;
    Process process({ACACIADEAL_STANDIN_PLATFORM}, folder.file("log"));
    waitUntil("the process listens", [&] { return !listeningEndpoint(process.log()).empty(); });
    process.signal(SIGSTOP);
    CHECK_FALSE(process.status());
    process.signal(SIGCONT);
    process.signal(SIGTERM);
    waitUntil("the process ended", [&] { return process.status().has_value(); });
    CHECK(WIFEXITED(*process.status()));
    CHECK(WEXITSTATUS(*process.status()) == 0);
    CHECK_THROWS_AS(Process({"/absent/program"}, folder.file("log2")), std::runtime_error);
}

// Guards against connections that stay open after a harness has closed them.
TEST_CASE("a child process does not keep the harness's files open")
{
    TemporaryFolder folder;
    int pipeEnds[2] = {};
    REQUIRE(pipe(pipeEnds) == 0);
    Process child({"/bin/sleep", "60"}, folder.file("log"));
    close(pipeEnds[1]);
    pollfd end{.fd = pipeEnds[0], .events = POLLIN};
    CHECK(poll(&end, 1, 10000) == 1);
    CHECK((end.revents & POLLHUP) != 0);
    CHECK_FALSE(child.status());
    close(pipeEnds[0]);
}
