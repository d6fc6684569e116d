#include "runtime/bootclock.h"

#include <ctime>

namespace acaciadeal {

TimePoint bootClockNow()
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return TimePoint(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

} // namespace acaciadeal
