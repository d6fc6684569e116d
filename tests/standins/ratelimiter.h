#ifndef ACACIADEAL_STANDINS_RATELIMITER_H
#define ACACIADEAL_STANDINS_RATELIMITER_H

#include "base/time.h"

#include <cstdint>

namespace acaciadeal::standins {

/// Rate limiter that delays callers instead of rejecting them. Not thread-safe.
struct RateLimiter
{
    /// 0 means no limit.
    std::int64_t unitsPerSecond = 0;
    /// Time at which the units acquired so far are used up at the configured rate.
    TimePoint busyUntil;
    std::uint64_t acquiredUnits = 0;
    std::uint64_t delayedAcquisitions = 0;
};

/// Acquires @p units and returns how long the caller has to wait for them. Bursts of up to 100 ms
/// worth of units need no wait.
Duration acquire(RateLimiter &limiter, std::int64_t units, TimePoint now);

} // namespace acaciadeal::standins

#endif
