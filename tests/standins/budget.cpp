#include "standins/budget.h"

#include <algorithm>

namespace acaciadeal::standins {

Duration take(Budget &budget, std::int64_t units, TimePoint now)
{
    constexpr Duration burst = std::chrono::milliseconds(100);
    budget.used += static_cast<std::uint64_t>(units);
    if (budget.perSecond <= 0) {
        return Duration(0);
    }
    const Duration cost = Duration(std::chrono::seconds(1)) * units / budget.perSecond;
    budget.freeAt = std::max(budget.freeAt, now - burst) + cost;
    const Duration wait = std::max(budget.freeAt - now, Duration(0));
    budget.delayed += wait > Duration(0) ? 1 : 0;
    return wait;
}

} // namespace acaciadeal::standins
