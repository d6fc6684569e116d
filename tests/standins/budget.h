#ifndef ACACIADEAL_STANDINS_BUDGET_H
#define ACACIADEAL_STANDINS_BUDGET_H

#include "base/time.h"

#include <cstdint>

namespace acaciadeal::standins {

/// Rate limit that delays what exceeds it. Not thread-safe.
struct Budget
{
    /// Units a second; 0 means no limit.
    std::int64_t perSecond = 0;
    /// When the units handed out so far are used up.
    TimePoint freeAt;
    std::uint64_t used = 0;
    std::uint64_t delayed = 0;
};

/// Takes @p units and returns how long the caller has to wait. Up to a tenth of a second's units
/// pass at once.
Duration take(Budget &budget, std::int64_t units, TimePoint now);

} // namespace acaciadeal::standins

#endif
