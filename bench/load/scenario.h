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

/// Request rate of a class from @c at until its next step.
struct RateStep
{
    milliseconds at{0};
    double perSecond = 0;
    /// Relative weight of each target, by index; empty for equal weights.
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

/// One request of the schedule. @c loadClass, @c target and @c tenant are indexes into the
/// scenario's lists.
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

/// Returns all requests ordered by time, with Poisson arrivals per class. Deterministic: equal
/// scenarios give equal schedules. Precondition: @p scenario comes from parseScenario().
/// Thread-safe.
std::vector<PlannedRequest> planRequests(const Scenario &scenario);

} // namespace acaciadeal

#endif
