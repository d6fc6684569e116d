#ifndef ACACIADEAL_DISPATCH_TESTFIXTURES_H
#define ACACIADEAL_DISPATCH_TESTFIXTURES_H

#include "dispatch/fleetstate.h"

#include <string>
#include <utility>
#include <vector>

namespace acaciadeal {

/// Returns a job of service "svc" for scheduling tests. Thread-safe.
inline JobSpec fixtureJob(const std::string &id, std::vector<StepSpec> steps)
{
    return {.id = {id},
            .terms = {.queue = "q",
                      .service = {"svc"},
                      .maxAttempts = 3,
                      .slowdownFactor = 2,
                      .targetLatency = milliseconds(1000)},
            .steps = std::move(steps)};
}

/// Returns a usable host of service "svc" without runs. Thread-safe.
inline FleetHost fixtureHost(const std::string &id, std::int64_t milliCores)
{
    return {.id = {id},
            .failureDomain = {"a"},
            .service = {"svc"},
            .capacity = {.milliCores = milliCores, .memoryMiB = 64000},
            .listed = true,
            .reported = true,
            .reachable = true};
}

} // namespace acaciadeal

#endif
