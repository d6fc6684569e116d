#include "loadrun.h"

#include "http/httpclient.h"
#include "runtime/eventloop.h"

#include <array>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

namespace acaciadeal {

namespace {

using nlohmann::json;
using std::chrono::microseconds;

constexpr std::array<std::pair<const char *, double>, 4> quantiles{
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}}};

HttpRequest buildRequest(const Scenario &scenario, const PlannedRequest &planned,
                         const std::string &id)
{
    const auto &loadClass = scenario.classes[planned.loadClass];
    const json body{{"id", id},
                    {"tenant", scenario.tenants[planned.tenant]},
                    {"class", loadClass.name},
                    {"service", loadClass.service},
                    {"repeatable", planned.repeatable},
                    {"timeout_ms", loadClass.timeout.count()},
                    {"body", std::string(loadClass.bodyBytes, 'x')}};
    return {.method = "POST",
            .target = "/v1/requests",
            .headers = {{"content-type", "application/json"}},
            .body = body.dump()};
}

std::string refusalName(const HttpOutcome &outcome)
{
    if (!outcome.response) {
        return std::string(resultCodeName(outcome.response.error().code));
    }
    const auto body = json::parse(outcome.response->body, nullptr, false);
    if (body.is_object() && body.contains("name") && body["name"].is_string()) {
        return body["name"].get<std::string>();
    }
    return "status " + std::to_string(outcome.response->status);
}

} // namespace

std::vector<ClassResult> runLoad(const Scenario &scenario, const std::string &idPrefix)
{
    std::vector<ClassResult> results;
    for (const auto &loadClass : scenario.classes) {
        results.push_back({.name = loadClass.name});
    }
    const auto plan = planRequests(scenario);
    std::mutex mutex;
    std::condition_variable outstandingChanged;
    std::size_t outstanding = plan.size();

    EventLoop loop({.threads = 2});
    HttpClient client(loop, {.maxIdleConnectionsPerEndpoint = 256});
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < plan.size(); ++n) {
        const auto &planned = plan[n];
        const auto intendedSendTime = start + planned.at;
        auto request = buildRequest(scenario, planned, idPrefix + "-" + std::to_string(n));
        std::this_thread::sleep_until(intendedSendTime);
        {
            const std::lock_guard lock(mutex);
            ++results[planned.loadClass].sent;
        }
        // One second longer than the daemon's timeout, so that the daemon's error response arrives.
        const auto timeout = scenario.classes[planned.loadClass].timeout + std::chrono::seconds(1);
        client.send(scenario.targets[planned.target], std::move(request), {.timeout = timeout},
                    [&, intendedSendTime, index = planned.loadClass](const HttpOutcome &outcome) {
                        const auto time = std::chrono::duration_cast<microseconds>(
                            std::chrono::steady_clock::now() - intendedSendTime);
                        const std::lock_guard lock(mutex);
                        auto &result = results[index];
                        if (outcome.response && outcome.response->status == 200) {
                            ++result.answered;
                            result.latency.record(time);
                        } else {
                            ++result.refused[refusalName(outcome)];
                        }
                        --outstanding;
                        outstandingChanged.notify_one();
                    });
    }
    std::unique_lock lock(mutex);
    outstandingChanged.wait(lock, [&] { return outstanding == 0; });
    return results;
}

std::string toText(const std::vector<ClassResult> &results)
{
    std::ostringstream out;
    for (const auto &result : results) {
        out << result.name << ": sent " << result.sent << ", answered " << result.answered;
        for (const auto &[name, fraction] : quantiles) {
            out << ", " << name << ' '
                << static_cast<double>(result.latency.quantile(fraction).count()) / 1e3 << " ms";
        }
        out << ", max " << static_cast<double>(result.latency.max().count()) / 1e3 << " ms\n";
        for (const auto &[name, count] : result.refused) {
            out << "  refused " << name << ": " << count << '\n';
        }
    }
    return out.str();
}

std::string toJson(const std::vector<ClassResult> &results)
{
    auto root = json::array();
    for (const auto &result : results) {
        json latency{{"max", result.latency.max().count()}};
        for (const auto &[name, fraction] : quantiles) {
            latency[name] = result.latency.quantile(fraction).count();
        }
        root.push_back({{"class", result.name},
                        {"sent", result.sent},
                        {"answered", result.answered},
                        {"refused", result.refused},
                        {"latency_us", latency}});
    }
    return json{{"classes", root}}.dump(2) + "\n";
}

} // namespace acaciadeal
