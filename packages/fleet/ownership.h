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

/// Row that names a shard's holder; it changes only when the holder does.
struct OwnerRecord
{
    std::uint64_t epoch = 0;
    DaemonId daemon;
    /// Start of the holder's process, which tells its lives apart.
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
    /// Period of the holder's sign of life; four fit into leaseDuration, so one lost answer is harmless.
    Duration renewEvery = milliseconds(600);
    /// Time after a confirmed sign of life was sent for which the holder may act.
    Duration leaseDuration = milliseconds(2600);
    /// Time without a sign of life after which others claim. More than leaseDuration, so that the holder
    /// has stopped by its own clock, with 4% for clocks that drift apart.
    Duration claimTimeout = milliseconds(2800);
    Duration pollEvery = milliseconds(400);
    /// Time for which a shard that is free to claim is left to daemons that are better fit.
    Duration claimDelay{0};
    Duration retryDelay = milliseconds(150);
    /// Time for which a release is repeated while the store refuses; the rest of the platform's
    /// grace is for the answers in progress.
    Duration releaseRetries = milliseconds(1200);
};

struct OwnershipCallbacks
{
    /// This daemon holds the shard from now on; @p since is when the previous holder had stopped.
    std::function<void(std::uint64_t epoch, TimePoint since)> onHeld;
    /// Another daemon holds it, or may.
    std::function<void(const std::string &reason)> onLost;
};

/// Claims a shard in the platform's store and keeps it. Used on one control thread.
class ShardOwnership
{
public:
    ShardOwnership(EventLoop &loop, const PlatformAdapter &platform, OwnershipOptions options,
                   OwnershipCallbacks callbacks);

    void start();
    /// Returns whether this daemon holds the shard and may act now: no other daemon can have
    /// claimed it, by this daemon's clock.
    bool mayAct() const;
    /// Returns the holder as last read; epoch 0 if there is none.
    const OwnerRecord &holder() const;
    /// Stops acting and marks the shard as free to claim, then calls @p done once.
    /// Does not claim again.
    void release(std::function<void()> done);
    /// Gives the shard up because a host has seen a newer holder.
    void stepDown(const std::string &reason);

private:
    void poll();
    void onRows(const Result<RowSnapshot> &snapshot, TimePoint sentAt);
    void claimIfFree(TimePoint now);
    void claim(TimePoint now);
    void onClaimed(const Result<CommitVersions> &result, TimePoint sentAt);
    void renew();
    void onRenewed(const Result<CommitVersions> &result, TimePoint sentAt);
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
    /// When the current alive version was seen first.
    TimePoint m_heartbeatSeenAt;
    /// Since when the shard is seen free to claim; unset while it is not.
    std::optional<TimePoint> m_claimableSince;
    bool m_held = false;
    bool m_stopped = false;
    bool m_storeUnreachable = false;
    TimePoint m_confirmedAt;
    std::uint64_t m_renewals = 0;
    /// Only the newest timer counts.
    std::uint64_t m_timerGeneration = 0;
};

} // namespace acaciadeal

#endif
