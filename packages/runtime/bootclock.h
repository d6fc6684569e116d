#ifndef ACACIADEAL_RUNTIME_BOOTCLOCK_H
#define ACACIADEAL_RUNTIME_BOOTCLOCK_H

#include "base/time.h"

namespace acaciadeal {

/// Returns monotonic time that also passes while the host is suspended, unlike the steady clock.
/// Everything that bounds a lease is measured with it. Thread-safe.
TimePoint bootClockNow();

} // namespace acaciadeal

#endif
