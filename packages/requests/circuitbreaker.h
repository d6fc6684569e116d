#ifndef ACACIADEAL_REQUESTS_CIRCUITBREAKER_H
#define ACACIADEAL_REQUESTS_CIRCUITBREAKER_H

#include "base/time.h"

#include <cstdint>

namespace acaciadeal {

enum class BreakerState : std::uint8_t {
    Closed,
    /// No request is sent until the suspension ends.
    Open,
    /// One trial request is in progress.
    HalfOpen,
};

struct BreakerOptions
{
    /// Number of consecutive failures that opens the breaker.
    std::uint32_t consecutiveFailures = 5;
    /// Number of failures among the last 20 attempts that opens the breaker.
    std::uint32_t failuresInLastTwenty = 10;
    Duration firstSuspension = std::chrono::seconds(1);
    /// The suspension doubles with each failed trial, up to this limit.
    Duration maxSuspension = std::chrono::seconds(30);
};

/// Circuit breaker of one instance. Not thread-safe.
struct CircuitBreaker
{
    BreakerState state = BreakerState::Closed;
    std::uint32_t consecutiveFailureCount = 0;
    /// Last 20 attempts, one bit each, the latest in the lowest bit; a set bit is a failure.
    std::uint32_t history = 0;
    Duration suspension{0};
    TimePoint suspendedUntil;
};

enum class AttemptHealth : std::uint8_t {
    Success,
    Failure,
    /// Says nothing about the instance's health, for example a refusal for lack of a slot.
    Neutral,
};

/// Returns whether a request may be sent now, as a trial if the state is Open.
bool allowsRequest(const CircuitBreaker &breaker, TimePoint now);

/// Records that a request is being sent. Precondition: allowsRequest() returned true.
void recordAttemptStart(CircuitBreaker &breaker);

/// Records the end of an attempt. @p trial tells whether the attempt was the trial request. While
/// the breaker is not closed, other attempts change nothing, because they were sent before it
/// opened.
void recordAttemptEnd(CircuitBreaker &breaker, const BreakerOptions &options, AttemptHealth health,
                      bool trial, TimePoint now);

} // namespace acaciadeal

#endif
