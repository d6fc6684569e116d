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
    /// Time without a change of the alive row after which the shard is claimed.
    Duration claimAfter = std::chrono::seconds(6);
    Duration aliveWritePeriod = std::chrono::seconds(2);
    Duration tickPeriod = milliseconds(20);
    Duration inboxPollPeriod = milliseconds(250);
    /// Time to wait before the next attempt while the platform is unreachable.
    Duration platformRetryDelay = milliseconds(500);
    /// Time without a successful alive write after which the platform counts as unreachable.
    Duration platformUnreachableAfter = std::chrono::seconds(5);
    Duration workerTimeout = std::chrono::seconds(2);
    std::uint64_t snapshotAfterEntries = 4096;
    std::uint64_t snapshotAfterBytes = 1024 * 1024;
    /// Most bytes of inbox rows that one log entry takes over.
    std::size_t inboxBytesPerEntry = 48 * 1024;
};

enum class ShardPhase { Watching, Claiming, Recovering, Holding };

/// Part of one daemon in one shard: watches the holder, claims the shard when the holder is silent,
/// recovers its state, and then drives the holder's decisions. Runs on the control thread; its
/// functions are called there.
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
    /// Applies changed settings to the options in use.
    void applySettings(const std::function<void(HolderOptions &)> &change);
    /// Takes in what the platform watch has read.
    void onPlatformView(TimePoint now);
    /// Gives the shard back after the append in flight, then calls @p done once.
    void release(std::function<void()> done);

    const ShardId &shard() const;
    ShardPhase phase() const;
    /// Returns the holder's state while this daemon holds the shard, otherwise null.
    const Holder *holder() const;
    /// Asks to cancel a task. Errors: NotHolder, TaskNotFound, TaskTerminal.
    Result<void> cancel(const TaskId &task);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
