#include "failure/scenario.h"

#include <doctest/doctest.h>
#include <set>

using namespace acaciadeal;
using namespace acaciadeal::failure_tests;
using nlohmann::json;

TEST_SUITE_BEGIN("admin");

// Guards against an operator being shown an empty list, because answers of members are lost on the
// way, and against progress fields that the command line does not find.
TEST_CASE("operators see the tasks of all shards and the progress of a failure domain")
{
    Cluster cluster({});
    submitAccepted(cluster, "here", 3, {{"run_ms", 100}}, firstDomain);
    submitAccepted(cluster, "there", 3, {{"run_ms", 100}}, "worcester-depot");
    cluster.waitFinished("here", 3);
    cluster.waitFinished("there", 3);
    const Daemon &daemon = *cluster.daemons().back();
    // The workers have finished the tasks; the holders learn it with their next orders.
    waitUntil("all tasks are listed as finished", [&] {
        const json answer = cluster.caller().get(daemon.endpoint(), "/v1/tasks").json();
        std::set<std::string> finished;
        for (const json &task : answer["tasks"]) {
            if (task["state"] == "finished") {
                finished.insert(task["task"].get<std::string>());
            }
        }
        return finished.size() == 6;
    });
    const json filtered = cluster.caller().get(daemon.endpoint(), "/v1/tasks?state=queued").json();
    CHECK(filtered["tasks"].empty());
    const auto describe = [&] {
        return cluster.caller().get(daemon.endpoint(), "/v1/domains/" + firstDomain);
    };
    waitUntil("the failure domain is described", [&] { return describe().status == 200; });
    const json domain = describe().json();
    for (const char *field :
         {"version", "tasks_left", "requests_in_progress", "daemons", "daemons_confirmed"}) {
        CAPTURE(field);
        CHECK(domain.value(field, json()).is_number());
    }
}

// Guards against changes by callers without an operator's token.
TEST_CASE("a failure domain is not changed without an operator's token")
{
    Cluster cluster({});
    const Daemon &daemon = *cluster.daemons().front();
    const Answer answer =
        cluster.caller().post(daemon.endpoint(), "/v1/domains/" + firstDomain, {{"state", "out"}});
    CHECK(answer.status == 403);
    CHECK(answer.code() == static_cast<int>(ResultCode::PermissionDenied));
}

TEST_SUITE_END();
