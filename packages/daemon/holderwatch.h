#ifndef ACACIADEAL_DAEMON_HOLDERWATCH_H
#define ACACIADEAL_DAEMON_HOLDERWATCH_H

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace acaciadeal {

/// State for detecting from successive reads of a shard's alive row whether the holder still
/// updates it. Not thread-safe.
struct HolderWatch
{
    std::uint64_t aliveVersion = 0;
    /// Time of the first answer that showed this version.
    std::optional<TimePoint> unchangedSince;
};

/// When a read was sent and answered. The platform executed it at some time in between.
struct ReadTimes
{
    TimePoint sentAt;
    TimePoint answeredAt;
};

/// Records a successful read of the alive row. Returns whether the row has provably been unchanged
/// for at least @p timeout. Only the times of reads count, not the current time: a daemon that was
/// paused or could not read has no evidence that the holder stopped updating the row.
bool observeAliveRow(HolderWatch &watch, std::uint64_t aliveVersion, const ReadTimes &read,
                     Duration timeout);

/// Discards the earlier reads, for example after a failed read. The row then has to be seen
/// unchanged for the whole timeout again.
void resetHolderWatch(HolderWatch &watch);

} // namespace acaciadeal

#endif
