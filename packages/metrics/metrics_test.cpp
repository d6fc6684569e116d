#include "metrics/metrics.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace acaciadeal;

// Guards against callers exhausting a daemon's memory with made-up tenant names.
TEST_CASE("label sets beyond the limit are counted in one series")
{
    Metrics metrics({.maxSeriesPerMetric = 2});
    for (const char *tenant : {"a", "b", "c", "d"}) {
        metrics.count("requests_total", {{"tenant", tenant}});
    }
    const auto samples = metrics.samples();
    CHECK(samples.size() == 3);
    const auto it = std::find_if(samples.begin(), samples.end(), [](const MetricSample &sample) {
        return sample.labels.at("tenant") == "other";
    });
    REQUIRE(it != samples.end());
    CHECK(it->value == 2);
}

TEST_CASE("a latency is recorded in seconds")
{
    Metrics metrics({});
    metrics.observe("request_seconds", {{"class", "urgent"}}, milliseconds(6700));
    const std::string text = metrics.exposition();
    CHECK(text.find("request_seconds_sum{class=\"urgent\"} 6.7") != std::string::npos);
}

// Guards against lost or duplicate counts when several threads create a series concurrently.
TEST_CASE("concurrent counts of several threads are all recorded")
{
    Metrics metrics({});
    constexpr int threads = 4;
    constexpr int counts = 1000;
    {
        std::vector<std::jthread> workers;
        workers.reserve(threads);
        for (int n = 0; n < threads; ++n) {
            workers.emplace_back([&metrics] {
                for (int k = 0; k < counts; ++k) {
                    metrics.count("requests_total", {{"tenant", std::to_string(k % 7)}});
                }
            });
        }
    }
    double sum = 0;
    for (const MetricSample &sample : metrics.samples()) {
        sum += sample.value;
    }
    CHECK(sum == threads * counts);
}
