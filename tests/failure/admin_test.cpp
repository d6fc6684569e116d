#include "failure/testhelpers.h"

#include "alerts/metriccatalogue.h"

#include <doctest/doctest.h>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace acaciadeal;
using namespace acaciadeal::failure_tests;
using nlohmann::json;

namespace {

/// Parses name and labels of one line of a /metrics answer.
MetricSample parseSample(const std::string &line)
{
    MetricSample sample;
    const auto end = line.find_first_of("{ ");
    sample.name = line.substr(0, end);
    auto begin = line[end] == '{' ? end + 1 : std::string::npos;
    while (begin != std::string::npos) {
        const auto equals = line.find("=\"", begin);
        const auto quote = line.find('"', equals + 2);
        sample.labels[line.substr(begin, equals - begin)] =
            line.substr(equals + 2, quote - equals - 2);
        begin = line[quote + 1] == ',' ? quote + 2 : std::string::npos;
    }
    return sample;
}

} // namespace

TEST_SUITE_BEGIN("admin");

// Guards against an operator getting an empty or incomplete task list because answers of other
// members are lost, and against missing progress fields that the command line tool reads.
TEST_CASE("operators see the tasks of all shards and the progress of a failure domain")
{
    Cluster cluster({});
    submitAccepted(cluster, "here", 3, {{"run_ms", 100}}, firstDomain);
    submitAccepted(cluster, "there", 3, {{"run_ms", 100}}, "worcester-depot");
    cluster.waitFinished("here", 3);
    cluster.waitFinished("there", 3);
    const Daemon &daemon = *cluster.daemons().back();
    // The holders learn that the tasks have finished from the reports to their next orders.
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
    const auto getDomain = [&] {
        return cluster.caller().get(daemon.endpoint(), "/v1/domains/" + firstDomain);
    };
    waitUntil("the failure domain is described", [&] { return getDomain().status == 200; });
    const json domain = getDomain().json();
    for (const char *field :
         {"version", "tasks_left", "requests_in_progress", "daemons", "daemons_confirmed"}) {
        CAPTURE(field);
        CHECK(domain.value(field, json()).is_number());
    }
}

// Guards against an alert rule that is accepted because the catalogue lists its metric or label,
// but never fires because the daemon exports a different one.
TEST_CASE("every exported metric is in the catalogue of the alert rules")
{
    Cluster cluster({});
    submitAccepted(cluster, "measured", 2, {{"run_ms", 100}}, firstDomain);
    cluster.waitFinished("measured", 2);
    for (const auto &daemon : cluster.daemons()) {
        std::istringstream text(cluster.caller().get(daemon->endpoint(), "/metrics").body);
        std::vector<MetricSample> samples;
        for (std::string line; std::getline(text, line);) {
            if (!line.empty() && line.front() != '#') {
                samples.push_back(parseSample(line));
            }
        }
        CHECK(samples.size() > 10);
        CHECK(uncataloguedSamples(samples) == std::vector<std::string>{});
    }
}

// Guards against changes of failure domains by callers without an operator's token.
TEST_CASE("a change of a failure domain without an operator's token is denied")
{
    Cluster cluster({});
    const Daemon &daemon = *cluster.daemons().front();
    const Answer answer =
        cluster.caller().post(daemon.endpoint(), "/v1/domains/" + firstDomain, {{"state", "out"}});
    CHECK(answer.status == 403);
    CHECK(answer.code() == static_cast<int>(ResultCode::PermissionDenied));
}

TEST_SUITE_END();
