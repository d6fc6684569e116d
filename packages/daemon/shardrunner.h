#ifndef ACACIADEAL_DAEMON_SHARDRUNNER_H
#define ACACIADEAL_DAEMON_SHARDRUNNER_H

#include "daemon/context.h"
#include "daemon/platformwatch.h"
#include "daemon/shardstore.h"
#include "scheduling/holder.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace acaciadeal {

struct ShardRunnerOptions
{
    HolderOptions holder;
    ShardStoreOptions store;
    /// Time without an update of the alive row after which the shard is claimed.
    Duration claimAfter = std::chrono::seconds(6);
    /// Period at which the holder updates the alive row.
    Duration aliveWritePeriod = std::chrono::seconds(2);
    Duration tickPeriod = milliseconds(20);
    Duration inboxPollPeriod = milliseconds(250);
    /// Delay before the next attempt after the platform was unreachable.
    Duration platformRetryDelay = milliseconds(500);
    /// Time without a successful write of the alive row after which the platform counts as
    /// unreachable.
    Duration platformUnreachableAfter = std::chrono::seconds(5);
    Duration workerTimeout = std::chrono::seconds(2);
    /// A snapshot is stored once this many log entries or bytes follow the last one.
    std::uint64_t snapshotAfterEntries = 4096;
    std::uint64_t snapshotAfterBytes = 1024 * 1024;
    /// Maximum size of the inbox rows, in bytes, whose jobs are put into one log entry. A single
    /// larger row is still accepted.
    std::size_t inboxBytesPerEntry = 48 * 1024;
};

/// Phases from watching the current holder to holding the shard.
enum class ShardPhase { Watching, Claiming, Recovering, Holding };

/// Runs one shard on one daemon: watches the current holder, claims the shard when the holder stops
/// updating its alive row, recovers the state from snapshot and log, and then executes the holder's
/// decisions. Runs on the control thread; all functions must be called there.
class ShardRunner
{
public:
    ShardRunner(DaemonContext &context, PlatformWatch &watch, ShardId shard,
                const ShardRunnerOptions &options);
    ~ShardRunner();
    ShardRunner(const ShardRunner &) = delete;
    ShardRunner &operator=(const ShardRunner &) = delete;

    /// Starts the timers.
    void start();
    /// Applies changed settings to the options in use, by calling @p change on them.
    void applySettings(const std::function<void(HolderOptions &)> &change);
    /// Processes a new view of the platform.
    void onPlatformView(TimePoint now);
    /// Releases the shard after the append in flight, if any, and then calls @p done once.
    void release(std::function<void()> done);

    const ShardId &shard() const;
    ShardPhase phase() const;
    /// Returns the holder's state while this daemon holds the shard, otherwise null.
    const Holder *holder() const;
    /// Requests the cancellation of a task. Errors: NotHolder, TaskNotFound, TaskTerminal.
    Result<void> cancel(const TaskId &task);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
