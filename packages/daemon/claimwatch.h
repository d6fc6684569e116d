#ifndef ACACIADEAL_DAEMON_CLAIMWATCH_H
#define ACACIADEAL_DAEMON_CLAIMWATCH_H

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace acaciadeal {

/// Decides from successive reads of a shard's rows whether its holder is silent. Not thread-safe.
struct ClaimWatch
{
    std::uint64_t aliveVersion = 0;
    /// Time of the first read that showed this version.
    std::optional<TimePoint> unchangedSince;
};

/// Takes in a successful read of the alive row and returns whether it has been unchanged for
/// @p silence. Only times of reads count: a daemon that was paused, or that could not read, has not
/// seen the holder being silent.
bool noteAliveRead(ClaimWatch &watch, std::uint64_t aliveVersion, TimePoint readAt,
                   Duration silence);

/// Takes in that the row could not be read; the silence has to be seen anew.
void noteAliveUnread(ClaimWatch &watch);

} // namespace acaciadeal

#endif
