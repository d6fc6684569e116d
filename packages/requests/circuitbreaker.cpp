#include "requests/circuitbreaker.h"

#include <algorithm>
#include <bit>

namespace acaciadeal {
namespace {

constexpr std::uint32_t historyMask = (1U << 20) - 1;

void openBreaker(CircuitBreaker &breaker, Duration suspension, TimePoint now)
{
    breaker.state = BreakerState::Open;
    breaker.suspension = suspension;
    breaker.suspendedUntil = now + suspension;
}

} // namespace

bool allowsRequest(const CircuitBreaker &breaker, TimePoint now)
{
    switch (breaker.state) {
    case BreakerState::Closed:
        return true;
    case BreakerState::Open:
        return now >= breaker.suspendedUntil;
    case BreakerState::HalfOpen:
        return false;
    }
    return false;
}

void recordAttemptStart(CircuitBreaker &breaker)
{
    if (breaker.state == BreakerState::Open) {
        breaker.state = BreakerState::HalfOpen;
    }
}

void recordAttemptEnd(CircuitBreaker &breaker, const BreakerOptions &options, AttemptHealth health,
                      bool trial, TimePoint now)
{
    if (breaker.state != BreakerState::Closed) {
        if (!trial || breaker.state != BreakerState::HalfOpen) {
            return;
        }
        if (health == AttemptHealth::Success) {
            breaker = {};
        } else if (health == AttemptHealth::Failure) {
            openBreaker(breaker, std::min(breaker.suspension * 2, options.maxSuspension), now);
        } else {
            openBreaker(breaker, breaker.suspension, now);
        }
        return;
    }
    if (health == AttemptHealth::Neutral) {
        return;
    }
    const bool failed = health == AttemptHealth::Failure;
    breaker.consecutiveFailureCount = failed ? breaker.consecutiveFailureCount + 1 : 0;
    breaker.history = ((breaker.history << 1) | (failed ? 1U : 0U)) & historyMask;
    if (breaker.consecutiveFailureCount >= options.consecutiveFailures
        || static_cast<std::uint32_t>(std::popcount(breaker.history))
               >= options.failuresInLastTwenty) {
        openBreaker(breaker, options.firstSuspension, now);
    }
}

} // namespace acaciadeal
