#include "failure/testhelpers.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <sys/wait.h>

using namespace acaciadeal;
using namespace acaciadeal::failure_tests;
using nlohmann::json;

namespace {

void terminateGracefully(Daemon &daemon)
{
    daemon.process->signal(SIGTERM);
    waitUntil(daemon.name + " ended", [&] { return daemon.process->status().has_value(); });
    const int status = *daemon.process->status();
    CAPTURE(daemon.process->log());
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

} // namespace

TEST_SUITE_BEGIN("shutdown");

// Guards against a shutdown that drops requests in progress.
TEST_CASE("G5 G9: SIGTERM lets requests in progress complete")
{
    Cluster cluster({});
    Daemon &daemon = *cluster.daemons().front();
    cluster.changeHosts({}, {{"service_ms", 3'000}});
    constexpr int threads = 6;
    const LoadOptions options{.threads = threads,
                              .requestTimeout = milliseconds(20'000),
                              .requestsPerThread = 1,
                              .daemons = {daemon.name}};
    LoadOptions repeatableOptions = options;
    repeatableOptions.prefix = "repeatable";
    LoadOptions nonRepeatableOptions = options;
    nonRepeatableOptions.prefix = "once";
    nonRepeatableOptions.repeatable = false;
    RequestLoad repeatable(cluster, repeatableOptions);
    RequestLoad nonRepeatable(cluster, nonRepeatableOptions);
    waitUntil("all requests are in progress", [&] {
        const Records records = cluster.records();
        return std::count_if(records.executions.begin(), records.executions.end(),
                             [](const ExecutionRow &row) {
                                 return row.request.starts_with("once")
                                        || row.request.starts_with("repeatable");
                             })
               >= 2 * threads;
    });
    terminateGracefully(daemon);
    repeatable.join();
    nonRepeatable.join();
    for (const RequestLoad *const load : {&repeatable, &nonRepeatable}) {
        CHECK(toText(mismatchedAnswers(load->results())) == "");
        for (const RequestResult &result : load->results()) {
            CAPTURE(result.id);
            CAPTURE(result.answer.body);
            CHECK(result.lostConnections == 0);
            CHECK(result.answer.status == 200);
        }
    }
    CHECK(toText(repeatedExecutions(cluster.records(), "once")) == "");
}

// Guards against a rolling replacement of all daemons that fails requests or disturbs tasks.
TEST_CASE("G2 G3 G5 G7 G9: every daemon is replaced one after another under load")
{
    Cluster cluster({.daemonsPerDomain = 2});
    constexpr int tasks = 12;
    submitAccepted(cluster, "long", tasks, {{"run_ms", 60'000}, {"checkpoint", true}});
    RequestLoad repeatable(cluster, {.prefix = "repeatable", .requestsPerThread = 0});
    RequestLoad nonRepeatable(cluster,
                              {.prefix = "once", .repeatable = false, .requestsPerThread = 0});
    int jobs = 0;
    for (const auto &daemon : cluster.daemons()) {
        const int before = repeatable.answered() + nonRepeatable.answered();
        terminateGracefully(*daemon);
        submitAccepted(cluster, "short" + std::to_string(++jobs), 4, {{"run_ms", 200}});
        cluster.startDaemon(*daemon);
        waitUntil("the load goes on", [&] {
            return repeatable.answered() + nonRepeatable.answered() > before + 200
                   && cluster.status(*daemon).value("members", 0)
                          == static_cast<int>(cluster.daemons().size());
        });
    }
    repeatable.stop();
    nonRepeatable.stop();
    for (int n = 1; n <= jobs; ++n) {
        cluster.waitFinished("short" + std::to_string(n), 4);
    }
    cluster.waitFinished("long", tasks);
    checkTaskGuarantees(cluster);
    const Records records = cluster.records();
    const auto counts = executionCounts(records);
    CHECK(toText(repeatedExecutions(records, "once")) == "");
    CHECK(toText(refusedButExecuted(nonRepeatable.results(), records)) == "");
    for (const RequestLoad *const load : {&repeatable, &nonRepeatable}) {
        CHECK(toText(mismatchedAnswers(load->results())) == "");
        Violations cutOffRequests;
        for (const RequestResult &result : load->results()) {
            if (result.lostConnections > 0) {
                const auto executed = counts.find(result.id);
                cutOffRequests.push_back(
                    "G9: " + result.id + " lost its connection without an answer, executed "
                    + std::to_string(executed == counts.end() ? 0 : executed->second) + " times in "
                    + std::to_string(result.attempts) + " attempts, last status "
                    + std::to_string(result.answer.status));
            }
        }
        CHECK(toText(cutOffRequests) == "");
    }
    for (const RequestResult &result : repeatable.results()) {
        CAPTURE(result.id);
        CAPTURE(result.answer.body);
        CHECK((result.answer.status == 200 || result.allAttemptsNotRun));
    }
}

TEST_SUITE_END();
