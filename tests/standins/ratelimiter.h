#ifndef ACACIADEAL_STANDINS_RATELIMITER_H
#define ACACIADEAL_STANDINS_RATELIMITER_H

#include "base/time.h"

#include <cstdint>

namespace acaciadeal::standins {

/// Rate limiter that delays callers instead of rejecting them. Not thread-safe.
struct RateLimiter
{
    /// Units per second; 0 means no limit.
    std::int64_t perSecond = 0;
    /// When the units handed out so far are used up.
    TimePoint busyUntil;
    /// Number of units acquired so far.
    std::uint64_t used = 0;
    /// Number of acquisitions that had to wait.
    std::uint64_t delayed = 0;
};

/// Takes @p units and returns how long the caller has to wait. Up to 100 ms worth of units pass
/// without a wait.
Duration acquire(RateLimiter &limiter, std::int64_t units, TimePoint now);

} // namespace acaciadeal::standins

#endif
