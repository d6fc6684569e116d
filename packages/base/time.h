#ifndef ACACIADEAL_BASE_TIME_H
#define ACACIADEAL_BASE_TIME_H

#include <chrono>

namespace acaciadeal {

/// Monotonic time of one process. Values of different processes are never compared.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

} // namespace acaciadeal

#endif
