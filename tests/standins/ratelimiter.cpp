#include "standins/ratelimiter.h"

#include <algorithm>

namespace acaciadeal::standins {

Duration acquire(RateLimiter &limiter, std::int64_t units, TimePoint now)
{
    constexpr Duration burst = std::chrono::milliseconds(100);
    limiter.used += static_cast<std::uint64_t>(units);
    if (limiter.perSecond <= 0) {
        return Duration(0);
    }
    const Duration cost = Duration(std::chrono::seconds(1)) * units / limiter.perSecond;
    limiter.busyUntil = std::max(limiter.busyUntil, now - burst) + cost;
    const Duration wait = std::max(limiter.busyUntil - now, Duration(0));
    limiter.delayed += wait > Duration(0) ? 1 : 0;
    return wait;
}

} // namespace acaciadeal::standins
