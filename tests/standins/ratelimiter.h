#ifndef ACACIADEAL_STANDINS_RATELIMITER_H
#define ACACIADEAL_STANDINS_RATELIMITER_H

#include "base/time.h"

#include <cstdint>

namespace acaciadeal::standins {

/// Rate limit that delays what exceeds it. Not thread-safe.
struct RateLimiter
{
    /// Units a second; 0 means no limit.
    std::int64_t unitsPerSecond = 0;
    /// When the units handed out so far are used up.
    TimePoint busyUntil;
    std::uint64_t acquiredUnits = 0;
    std::uint64_t delayedAcquisitions = 0;
};

/// Takes @p units and returns how long the caller has to wait. Up to a tenth of a second's units
/// pass at once.
Duration acquire(RateLimiter &limiter, std::int64_t units, TimePoint now);

} // namespace acaciadeal::standins

#endif
