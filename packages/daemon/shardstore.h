#ifndef ACACIADEAL_DAEMON_SHARDSTORE_H
#define ACACIADEAL_DAEMON_SHARDSTORE_H

#include "daemon/rowkeys.h"
#include "state/shardstate.h"
#include "store/platform.h"

#include <functional>

namespace acaciadeal {

/// Ownership of a shard as written by a claim.
struct Ownership
{
    ShardId shard;
    std::uint64_t epoch = 0;
    /// Version of the owner row; checked by every write of the holder.
    std::uint64_t ownerVersion = 0;
    /// Autonomy of the holder before.
    milliseconds predecessorAutonomy{0};
};

struct ShardStoreOptions
{
    /// Log entries read by one request.
    std::size_t recoveryPage = 200;
    /// Covered log rows deleted by one transaction.
    std::size_t trimBatch = 100;
};

/// Claims the shard: increments the epoch, conditional on the owner row that was read.
/// @p autonomy is what the new holder will use.
/// Errors: CheckFailed if another daemon was faster, PlatformUnavailable, WriteOutcomeUnknown.
/// The functions of this header are called on the control thread, and call back on it.
void claimShard(EventLoop &loop, const PlatformAdapter &platform, const ShardId &shard,
                const OwnerRow &previous, std::uint64_t previousVersion, const DaemonId &daemon,
                const std::string &claimId, milliseconds autonomy, std::function<bool()> shouldRetry,
                std::function<void(Result<Ownership>)> callback);

/// Reads snapshot and log. Precondition: the shard was claimed, so that no older holder can append
/// any more. Errors: those of decodeLogEntry(), decodeSnapshot() and apply(), PlatformUnavailable.
void recoverShard(const PlatformAdapter &platform, const ShardId &shard,
                  const ShardStoreOptions &options,
                  std::function<void(Result<ShardState>)> callback);

/// Further rows that an append writes or checks together with its log row.
struct AppendExtras
{
    std::vector<RowCheck> checks;
    std::vector<RowPut> puts;
    std::vector<std::string> deletes;
};

/// Appends one entry, conditional on ownership and on the absence of its sequence.
/// Errors: as commitWithRetry().
void appendEntry(EventLoop &loop, const PlatformAdapter &platform, const Ownership &ownership,
                 const LogEntry &entry, AppendExtras extras, std::function<bool()> shouldRetry,
                 std::function<void(Result<void>)> callback);

/// Stores a snapshot of @p state and then deletes the log rows that it covers, from
/// @p firstLogSequence on. Errors: PlatformUnavailable, CheckFailed when ownership was lost.
void storeSnapshot(const PlatformAdapter &platform, const Ownership &ownership,
                   const ShardState &state, std::uint64_t firstLogSequence,
                   const ShardStoreOptions &options, DoneCallback callback);

} // namespace acaciadeal

#endif
