#ifndef ACACIADEAL_DAEMON_SHARDSTORE_H
#define ACACIADEAL_DAEMON_SHARDSTORE_H

#include "daemon/rowkeys.h"
#include "state/shardstate.h"
#include "store/platform.h"

#include <functional>

namespace acaciadeal {

/// Ownership of a shard, as established by a claim.
struct Ownership
{
    ShardId shard;
    std::uint64_t epoch = 0;
    /// Version of the owner row. Every write of the holder is conditional on it.
    std::uint64_t ownerVersion = 0;
    /// Autonomy of the previous holder; see OwnerRow::autonomy.
    milliseconds predecessorAutonomy{0};
};

struct ShardStoreOptions
{
    /// Maximum number of log entries read by one request.
    std::size_t recoveryPageEntries = 200;
    /// Maximum number of log rows deleted by one transaction, once a snapshot covers them.
    std::size_t trimBatchRows = 100;
};

/// Claims the shard by incrementing the epoch, conditional on the owner row being @p previous.
/// @p autonomy is the value that the new holder will use. A write with an unknown outcome is
/// retried while @p shouldRetry returns true. Errors: CheckFailed if another daemon claimed first,
/// PlatformUnavailable, WriteOutcomeUnknown. All functions of this header must be called on the
/// control thread and call back on it.
void claimShard(EventLoop &loop, const PlatformAdapter &platform, const ShardId &shard,
                const OwnerRow &previous, std::uint64_t previousVersion, const DaemonId &daemon,
                const std::string &claimId, milliseconds autonomy,
                std::function<bool()> shouldRetry, std::function<void(Result<Ownership>)> callback);

/// Reads the state of a shard from its snapshot and log. Precondition: the shard was claimed
/// before, so that no earlier holder can append any more. Errors: those of decodeLogEntry(),
/// decodeSnapshot() and apply(), PlatformUnavailable.
void recoverShard(const PlatformAdapter &platform, const ShardId &shard,
                  const ShardStoreOptions &options,
                  std::function<void(Result<ShardState>)> callback);

/// Further rows that an append checks, writes or deletes in the same transaction as its log row.
struct ExtraRowOperations
{
    std::vector<RowCheck> checks;
    std::vector<RowPut> puts;
    std::vector<std::string> deletes;
};

/// Appends one log entry, conditional on the ownership and on the absence of a log row with its
/// sequence. A write with an unknown outcome is retried while @p shouldRetry returns true. Errors:
/// those of commitWithRetry().
void appendEntry(EventLoop &loop, const PlatformAdapter &platform, const Ownership &ownership,
                 const LogEntry &entry, ExtraRowOperations extras,
                 std::function<bool()> shouldRetry, std::function<void(Result<void>)> callback);

/// Stores a snapshot of @p state and then deletes the log rows that it covers, starting with
/// @p firstLogSequence. Errors: PlatformUnavailable, CheckFailed if the ownership was lost.
void storeSnapshot(const PlatformAdapter &platform, const Ownership &ownership,
                   const ShardState &state, std::uint64_t firstLogSequence,
                   const ShardStoreOptions &options, DoneCallback callback);

} // namespace acaciadeal

#endif
