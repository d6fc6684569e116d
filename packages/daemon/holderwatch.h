#ifndef ACACIADEAL_DAEMON_HOLDERWATCH_H
#define ACACIADEAL_DAEMON_HOLDERWATCH_H

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace acaciadeal {

/// Decides from successive reads of a shard's rows whether its holder is silent. Not thread-safe.
struct HolderWatch
{
    std::uint64_t aliveVersion = 0;
    /// Time of the first answer that showed this version.
    std::optional<TimePoint> unchangedSince;
};

/// When a read was sent and answered. The platform carried it out in between.
struct ReadTimes
{
    TimePoint sentAt;
    TimePoint answeredAt;
};

/// Takes in a successful read of the alive row and returns whether it was provably unchanged for
/// @p silence. Only times of reads count: a daemon that was paused, or that could not read, has not
/// seen the holder being silent.
bool observeAliveRow(HolderWatch &watch, std::uint64_t aliveVersion, const ReadTimes &read,
                     Duration silence);

/// Takes in that the row could not be read; the silence has to be seen anew.
void resetHolderWatch(HolderWatch &watch);

} // namespace acaciadeal

#endif
