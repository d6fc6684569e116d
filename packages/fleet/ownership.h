#ifndef ACACIADEAL_FLEET_OWNERSHIP_H
#define ACACIADEAL_FLEET_OWNERSHIP_H

#include "base/identifier.h"
#include "http/httpmessage.h"
#include "store/platform.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace acaciadeal {

class EventLoop;

/// Row that names a shard's holder. It is written only when the shard is claimed or released.
struct OwnerRecord
{
    std::uint64_t epoch = 0;
    DaemonId daemon;
    /// Start time of the holder's process; distinguishes restarts of the same daemon.
    std::uint64_t incarnation = 0;
    Endpoint peer;
    bool released = false;
};

std::string encodeOwner(const OwnerRecord &owner);
/// Errors: CorruptSnapshot.
Result<OwnerRecord> decodeOwner(const std::string &text);

struct OwnershipOptions
{
    std::string shard = "main";
    DaemonId daemon;
    std::uint64_t incarnation = 0;
    Endpoint peer;
    /// Period at which the holder writes its heartbeat. Four fit into leaseDuration, so one lost
    /// answer is harmless.
    Duration heartbeatEvery = milliseconds(600);
    /// Time for which the holder may act, counted from when it sent the last heartbeat that was
    /// confirmed.
    Duration leaseDuration = milliseconds(2600);
    /// Time without a new heartbeat after which other daemons claim the shard. Longer than
    /// leaseDuration, so that the holder has stopped by then even if the clocks of both daemons
    /// drift apart by 4%.
    Duration claimTimeout = milliseconds(2800);
    Duration pollEvery = milliseconds(400);
    /// Time for which this daemon leaves a free shard to better suited daemons before it claims it.
    Duration claimDelay{0};
    Duration retryDelay = milliseconds(150);
    /// Time for which a release is retried while the store refuses the write. The rest of the time
    /// that the platform grants for a shutdown is left for the requests in progress.
    Duration releaseRetryTime = milliseconds(1200);
};

/// What a daemon that claims the shard knows of the previous holder.
struct PreviousHolder
{
    /// The previous holder had certainly stopped by then.
    TimePoint stoppedAt;
    /// When this daemon first read the last heartbeat; the heartbeat was sent before. Unset if it
    /// read none.
    std::optional<TimePoint> heartbeatSeenAt;
};

struct OwnershipCallbacks
{
    /// This daemon holds the shard from now on.
    std::function<void(std::uint64_t epoch, const PreviousHolder &previous)> onHeld;
    /// This daemon no longer holds the shard; another daemon may hold it.
    std::function<void(const std::string &reason)> onLost;
};

/// Claims a shard by a lease in the platform's store and renews the lease. Used on one control
/// thread.
class ShardOwnership
{
public:
    ShardOwnership(EventLoop &loop, const PlatformAdapter &platform, OwnershipOptions options,
                   OwnershipCallbacks callbacks);

    void start();
    /// Returns whether this daemon holds the shard and may act now: by this daemon's clock the
    /// lease has not expired, so no other daemon can have claimed the shard.
    bool mayAct() const;
    /// Returns when the last confirmed heartbeat was sent, or, after a claim, the read that found
    /// the shard free. Precondition: this daemon holds the shard.
    TimePoint confirmedAt() const;
    /// Returns the holder as last read; epoch 0 if there is none.
    const OwnerRecord &holder() const;
    /// Stops acting, marks the shard as free to claim, and then calls @p done once. This object
    /// does not claim the shard again.
    void release(std::function<void()> done);
    /// Stops acting as the holder because another daemon has claimed the shard. May claim it again
    /// later.
    void stepDown(const std::string &reason);

private:
    void poll();
    void onRows(const Result<RowSnapshot> &snapshot, TimePoint sentAt);
    void claimIfFree(TimePoint readSentAt);
    void claim(TimePoint readSentAt);
    void onClaimed(const Result<CommitVersions> &result, TimePoint sentAt,
                   const PreviousHolder &previous);
    void writeHeartbeat();
    void onHeartbeatWritten(const Result<CommitVersions> &result, TimePoint sentAt);
    void writeRelease(TimePoint until, std::function<void()> done);
    void scheduleNext(Duration delay);
    std::string ownerKey() const;
    std::string heartbeatKey() const;

    EventLoop &m_loop;
    const PlatformAdapter &m_platform;
    OwnershipOptions m_options;
    OwnershipCallbacks m_callbacks;
    OwnerRecord m_owner;
    std::uint64_t m_ownerVersion = 0;
    std::uint64_t m_heartbeatVersion = 0;
    /// When the current version of the heartbeat row was first read.
    TimePoint m_heartbeatSeenAt;
    /// When the first read that found the shard free to claim was sent; unset while it is not free.
    std::optional<TimePoint> m_claimableSince;
    bool m_held = false;
    bool m_stopped = false;
    bool m_storeUnreachable = false;
    /// Start of the current lease: when the last confirmed heartbeat was sent, or, after a claim,
    /// the read that found the shard free.
    TimePoint m_confirmedAt;
    std::uint64_t m_heartbeatCount = 0;
    /// Number of the newest timer; older timers do nothing when they fire.
    std::uint64_t m_timerGeneration = 0;
};

} // namespace acaciadeal

#endif
