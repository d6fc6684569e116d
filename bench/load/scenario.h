#ifndef ACACIADEAL_BENCH_LOAD_SCENARIO_H
#define ACACIADEAL_BENCH_LOAD_SCENARIO_H

#include "base/error.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciadeal {

/// Rate of a class from one time on, until its next step.
struct RateStep
{
    milliseconds at{0};
    double perSecond = 0;
    /// Share of each target, by position; empty for equal shares.
    std::vector<double> targetWeights;
};

struct LoadClass
{
    std::string name;
    std::string service;
    double nonRepeatableShare = 0;
    milliseconds timeout{5'000};
    std::size_t bodyBytes = 256;
    std::vector<RateStep> rates;
};

struct Scenario
{
    std::vector<Endpoint> targets;
    std::vector<std::string> tenants;
    milliseconds duration{0};
    std::uint64_t seed = 1;
    std::vector<LoadClass> classes;
};

/// One request of the schedule. The indexes refer to the scenario.
struct PlannedRequest
{
    std::chrono::microseconds at{0};
    std::size_t loadClass = 0;
    std::size_t target = 0;
    std::size_t tenant = 0;
    bool repeatable = true;

    friend bool operator==(const PlannedRequest &, const PlannedRequest &) = default;
};

/// Parses JSON with comments. Errors: SyntaxError, WrongType, MissingSetting, OutOfRange.
/// Thread-safe.
Result<Scenario> parseScenario(const std::string &text);

/// Returns all requests in order of their times: Poisson arrivals per class. Equal scenarios give
/// equal schedules. Precondition: @p scenario comes from parseScenario(). Thread-safe.
std::vector<PlannedRequest> planRequests(const Scenario &scenario);

} // namespace acaciadeal

#endif
