#include "base/resultcode.h"
#include "failure/testhelpers.h"

#include <doctest/doctest.h>

using namespace acaciadeal;
using namespace acaciadeal::failure_tests;
using nlohmann::json;

namespace {

std::vector<std::string> instanceNames(const Cluster &cluster)
{
    std::vector<std::string> names;
    for (const HostRecord &host : cluster.hosts()) {
        if (!host.service.empty()) {
            names.push_back(host.host.value);
        }
    }
    return names;
}

} // namespace

TEST_SUITE_BEGIN("requests");

// Guards against a truncated, lost or late answer being passed on as complete, or to another
// caller.
TEST_CASE("G5 G7: answers of the instances are truncated, lost and delayed")
{
    Cluster cluster({});
    RequestLoad repeatable(cluster, {.prefix = "repeatable", .requestsPerThread = 0});
    RequestLoad nonRepeatable(cluster,
                              {.prefix = "once", .repeatable = false, .requestsPerThread = 0});
    const auto instances = instanceNames(cluster);
    for (const json &faults :
         {json{{"truncate_next", 5}}, json{{"drop_next", 5}}, json{{"answer_delay_ms", 300}}}) {
        cluster.changeHosts(instances, faults);
        const int before = repeatable.answered() + nonRepeatable.answered();
        waitUntil("the load goes on",
                  [&] { return repeatable.answered() + nonRepeatable.answered() > before + 200; });
        cluster.changeHosts(instances, {{"answer_delay_ms", 0}});
    }
    repeatable.stop();
    nonRepeatable.stop();
    const Records records = cluster.records();
    CHECK(toText(mismatchedAnswers(repeatable.results())) == "");
    CHECK(toText(mismatchedAnswers(nonRepeatable.results())) == "");
    CHECK(toText(refusedButExecuted(nonRepeatable.results(), records)) == "");
    CHECK(toText(repeatedExecutions(records, "once")) == "");
    // Retries with the same id must not cause a second execution either.
    const Daemon &daemon = *cluster.daemons().back();
    int unknownOutcomes = 0;
    for (const RequestResult &result : nonRepeatable.results()) {
        if (result.answer.status != 200 && !result.allAttemptsNotRun) {
            ++unknownOutcomes;
            callUntilFinal(cluster, daemon, result.id, result.body);
        }
    }
    CHECK(unknownOutcomes > 0);
    CHECK(toText(repeatedExecutions(cluster.records(), "once")) == "");
}

// Guards against losing an answer that arrives after the caller's timeout.
TEST_CASE("G5 G7: an answer that arrives after the timeout can be fetched by request id")
{
    Cluster cluster({});
    const Daemon &daemon = *cluster.daemons().front();
    cluster.changeHosts(instanceNames(cluster), {{"answer_delay_ms", 3'000}});
    const json request =
        requestBody(cluster, "late-1", false, "urgent", "the body of late-1", milliseconds(1'000));
    const Answer first = cluster.caller().post(daemon.endpoint(), "/v1/requests", request);
    CHECK(first.code() == static_cast<int>(ResultCode::OutcomeUnknown));
    waitUntil("the late answer can be fetched", [&] {
        const Answer late = cluster.caller().get(daemon.endpoint(), "/v1/requests/late-1");
        return late.status == 200 && late.json().value("echo", "") == "the body of late-1";
    });
    CHECK(executionCounts(cluster.records()).at("late-1") == 1);
}

// Guards against requests beyond the instances' slots that are reported as not run although they
// ran, or that run after they were refused.
TEST_CASE("G6 G7: all slots of the instances are in use")
{
    Cluster cluster({});
    cluster.changeHosts(instanceNames(cluster), {{"service_ms", 1'000}});
    RequestLoad nonRepeatable(cluster, {.prefix = "once",
                                        .repeatable = false,
                                        .threads = 48,
                                        .requestTimeout = milliseconds(1'500),
                                        .requestsPerThread = 3});
    nonRepeatable.join();
    const Records records = cluster.records();
    CHECK(toText(mismatchedAnswers(nonRepeatable.results())) == "");
    CHECK(toText(refusedButExecuted(nonRepeatable.results(), records)) == "");
    CHECK(toText(repeatedExecutions(records, "once")) == "");
}

// Guards against sending requests to a leaving backend server that the host list still shows as
// live.
TEST_CASE("G8: a backend server leaves while the host list is out of date")
{
    Cluster cluster({.daemonsPerDomain = 2});
    cluster.callPlatform("/control/lag", {{"ms", 3'600'000}});
    RequestLoad load(cluster, {.prefix = "load", .threads = 8, .requestsPerThread = 0});
    waitUntil("the load runs", [&] { return load.answered() > 200; });
    const std::string name = instanceNames(cluster).front();
    cluster.callPlatform("/control/condition", {{"host", name}, {"condition", "leaving"}});
    cluster.changeHosts({name}, {{"leaving", true}});
    const std::int64_t leftAt = cluster.records().now;
    // The "few seconds" of G8; the load must continue for at least twice as long.
    constexpr std::int64_t limitUs = 5'000'000;
    waitUntil("the limit has passed under load",
              [&] { return cluster.records().now - leftAt > 2 * limitUs; });
    const int before = load.answered();
    waitUntil("the load goes on", [&] { return load.answered() > before + 200; });
    load.stop();
    CHECK(toText(executionsAfterLeaving(cluster.records(), limitUs)) == "");
    CHECK(toText(mismatchedAnswers(load.results())) == "");
}

TEST_SUITE_END();
