#ifndef ACACIADEAL_RUNTIME_BOOTCLOCK_H
#define ACACIADEAL_RUNTIME_BOOTCLOCK_H

#include "base/time.h"

namespace acaciadeal {

/// Returns the time of CLOCK_BOOTTIME: monotonic, and unlike the steady clock it also advances
/// while the host is suspended. All time limits of leases are measured with it. Thread-safe.
TimePoint bootClockNow();

} // namespace acaciadeal

#endif
