#include "histogram.h"
#include "http/httpserver.h"
#include "loadrun.h"
#include "runtime/eventloop.h"
#include "scenario.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

using namespace acaciadeal;
using std::chrono::microseconds;

// Guards against a quantile below the recorded times or more than 1/64 above them.
TEST_CASE("histogram quantiles exceed the exact quantiles by at most one bucket width")
{
    Histogram histogram;
    for (int it = 1; it <= 100'000; ++it) {
        histogram.record(microseconds(it));
    }
    for (const double fraction : {0.001, 0.5, 0.9, 0.99, 0.999, 1.0}) {
        const double exact = fraction * 100'000;
        const auto found = static_cast<double>(histogram.quantile(fraction).count());
        CHECK(found >= exact - 1);
        CHECK(found <= exact * (1 + 1.0 / 64) + 1);
    }
    CHECK(histogram.max() == microseconds(100'000));
    CHECK(histogram.quantile(1) == histogram.max());
    CHECK(histogram.count() == 100'000);
}

// Guards against out-of-range bucket indexes for extreme values.
TEST_CASE("the histogram accepts zero, negative and very long times, and may be empty")
{
    Histogram histogram;
    CHECK(histogram.quantile(0.5) == microseconds(0));
    histogram.record(microseconds(-5));
    CHECK(histogram.quantile(1) == microseconds(0));
    histogram.record(std::chrono::hours(24 * 365));
    CHECK(histogram.quantile(1) == std::chrono::hours(24 * 365));
}

namespace {

std::string scenarioText(const std::string &targets)
{
    return R"({ // two steps, the second at one target only
        "targets": [)"
           + targets + R"(], "tenants": ["a", "b"], "duration_ms": 400, "seed": 7,
        "classes": [{"name": "urgent", "service": "s", "non_repeatable_share": 0.25,
                     "timeout_ms": 20000,
                     "rates": [{"per_second": 500},
                               {"at_ms": 200, "per_second": 1000, "target_weights": [0, 1]}]}]})";
}

} // namespace

// Guards against schedules that differ between runs, or that ignore rates, weights or shares.
TEST_CASE("a schedule follows the scenario and is the same on every run")
{
    auto scenario = parseScenario(scenarioText(R"("127.0.0.1:1", "127.0.0.1:2")"));
    REQUIRE(scenario);
    scenario->duration = milliseconds(100'200);
    const auto plan = planRequests(*scenario);
    CHECK(plan == planRequests(*scenario));
    CHECK(plan.size() > 99'000);
    CHECK(plan.size() < 101'200);
    std::size_t nonRepeatable = 0;
    for (const auto &it : plan) {
        nonRepeatable += it.repeatable ? 0 : 1;
        CHECK_MESSAGE((it.at < milliseconds(200) || it.target == 1), it.at.count());
    }
    const auto share = static_cast<double>(nonRepeatable) / static_cast<double>(plan.size());
    CHECK(share > 0.24);
    CHECK(share < 0.26);
}

// Guards against accepting a scenario that cannot be run.
TEST_CASE("an invalid scenario is rejected with the matching result code")
{
    CHECK(parseScenario("{").error().code == ResultCode::SyntaxError);
    CHECK(parseScenario("{}").error().code == ResultCode::MissingSetting);
    // The weights need one entry per target.
    CHECK(parseScenario(scenarioText(R"("127.0.0.1:1")")).error().code == ResultCode::OutOfRange);
}

// Guards against lost, repeated or miscounted requests.
TEST_CASE("every planned request is sent once and counted as answered or refused")
{
    EventLoop loop({.threads = 1});
    std::set<std::string> ids;
    std::size_t received = 0;
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}},
                      [&](const HttpRequest &request, const HttpResponder &respond) {
                          const auto body = nlohmann::json::parse(request.body);
                          ids.insert(body.at("id").get<std::string>());
                          ++received;
                          if (body.at("repeatable").get<bool>()) {
                              respond(jsonResponse("{}"));
                          } else {
                              respond(errorResponse({ResultCode::Overloaded, "full", ""}));
                          }
                      });
    REQUIRE(server.start());
    std::string address = "\"";
    address.append(toString(server.endpoint())).append("\"");
    const auto scenario = parseScenario(scenarioText(address + "," + address));
    REQUIRE(scenario);
    const auto plan = planRequests(*scenario);
    const auto results = runLoad(*scenario, "test");
    REQUIRE(results.size() == 1);
    CHECK(results[0].sent == plan.size());
    CHECK(received == plan.size());
    CHECK(ids.size() == plan.size());
    CHECK(results[0].refused.size() == 1);
    CHECK(results[0].answered + results[0].refused.at("Overloaded") == plan.size());
    CHECK(results[0].latency.count() == results[0].answered);
    const auto report = nlohmann::json::parse(toJson(results));
    CHECK(report.at("classes").at(0).at("sent") == plan.size());
}

// Guards against scenario files that the tool refuses.
TEST_CASE("all scenario files parse")
{
    std::size_t files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(ACACIADEAL_SCENARIOS_DIR)) {
        std::ifstream file(entry.path());
        const std::string text(std::istreambuf_iterator<char>(file), {});
        CHECK_MESSAGE(parseScenario(text).has_value(), entry.path().string());
        ++files;
    }
    CHECK(files == 7);
}
