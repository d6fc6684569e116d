#include "fleet/ownership.h"

#include "logging/log.h"
#include "runtime/bootclock.h"
#include "runtime/eventloop.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal {

using nlohmann::json;

std::string encodeOwner(const OwnerRecord &owner)
{
    return json{{"epoch", owner.epoch},
                {"daemon", owner.daemon.value},
                {"incarnation", owner.incarnation},
                {"peer", toString(owner.peer)},
                {"released", owner.released}}
        .dump();
}

Result<OwnerRecord> decodeOwner(const std::string &text)
{
    try {
        const json j = json::parse(text);
        const auto peer = parseEndpoint(j.at("peer").get<std::string>());
        if (!peer) {
            return failure(ResultCode::CorruptSnapshot, peer.error().message, "owner row");
        }
        return OwnerRecord{.epoch = j.at("epoch").get<std::uint64_t>(),
                           .daemon = {j.at("daemon").get<std::string>()},
                           .incarnation = j.at("incarnation").get<std::uint64_t>(),
                           .peer = *peer,
                           .released = j.at("released").get<bool>()};
    } catch (const json::exception &e) {
        return failure(ResultCode::CorruptSnapshot, e.what(), "owner row");
    }
}

ShardOwnership::ShardOwnership(EventLoop &loop, const PlatformAdapter &platform,
                               OwnershipOptions options, OwnershipCallbacks callbacks)
    : m_loop(loop)
    , m_platform(platform)
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
{
}

void ShardOwnership::start()
{
    poll();
}

bool ShardOwnership::mayAct() const
{
    return m_held && !m_stopped && bootClockNow() - m_confirmedAt < m_options.leaseDuration;
}

TimePoint ShardOwnership::confirmedAt() const
{
    return m_confirmedAt;
}

const OwnerRecord &ShardOwnership::holder() const
{
    return m_owner;
}

std::string ShardOwnership::ownerKey() const
{
    return "owner/" + m_options.shard;
}

std::string ShardOwnership::heartbeatKey() const
{
    return ownerKey() + ".alive";
}

void ShardOwnership::scheduleNext(Duration delay)
{
    m_loop.postAfter(delay, [this, generation = ++m_timerGeneration] {
        if (m_stopped || generation != m_timerGeneration) {
            return;
        }
        if (m_held) {
            writeHeartbeat();
        } else {
            poll();
        }
    });
}

void ShardOwnership::poll()
{
    m_platform.readTable("owner",
                         [this, sentAt = bootClockNow()](const Result<RowSnapshot> &snapshot) {
                             onRows(snapshot, sentAt);
                         });
}

void ShardOwnership::onRows(const Result<RowSnapshot> &snapshot, TimePoint sentAt)
{
    if (m_stopped || m_held) {
        return;
    }
    if (!snapshot) {
        if (!std::exchange(m_storeUnreachable, true)) {
            logEvent(EventId::PlatformUnreachable, {{"reason", snapshot.error().message}});
        }
        // The store may be unreachable for the holder as well, so the time without a heartbeat is
        // measured again from the next successful read.
        m_heartbeatVersion = 0;
        scheduleNext(m_options.pollEvery);
        return;
    }
    if (std::exchange(m_storeUnreachable, false)) {
        logEvent(EventId::PlatformReachable);
    }
    m_owner = {};
    m_ownerVersion = 0;
    std::uint64_t heartbeatVersion = 0;
    for (const Row &row : snapshot->rows) {
        if (row.key == heartbeatKey()) {
            heartbeatVersion = row.version;
        } else if (row.key == ownerKey()) {
            m_ownerVersion = row.version;
            if (auto owner = decodeOwner(row.value)) {
                m_owner = *owner;
            } else {
                logEvent(EventId::RowIgnored,
                         {{"row", row.key}, {"reason", owner.error().message}});
            }
        }
    }
    if (heartbeatVersion != m_heartbeatVersion) {
        m_heartbeatVersion = heartbeatVersion;
        m_heartbeatSeenAt = bootClockNow();
    }
    claimIfFree(sentAt);
}

void ShardOwnership::claimIfFree(TimePoint readSentAt)
{
    const bool ownedByThisDaemon = m_owner.epoch > 0 && m_owner.daemon == m_options.daemon;
    const bool heartbeatExpired = m_heartbeatSeenAt != TimePoint()
                                  && readSentAt - m_heartbeatSeenAt >= m_options.claimTimeout;
    // If the owner row names this daemon, its previous process has ended, so nothing acts under
    // that epoch any more.
    if (m_owner.epoch == 0 || m_owner.released || ownedByThisDaemon || heartbeatExpired) {
        if (!m_claimableSince) {
            m_claimableSince = readSentAt;
        }
        if (readSentAt - *m_claimableSince >= m_options.claimDelay) {
            claim(readSentAt);
            return;
        }
    } else {
        m_claimableSince.reset();
    }
    scheduleNext(m_options.pollEvery);
}

void ShardOwnership::claim(TimePoint readSentAt)
{
    const OwnerRecord newOwner{.epoch = m_owner.epoch + 1,
                               .daemon = m_options.daemon,
                               .incarnation = m_options.incarnation,
                               .peer = m_options.peer};
    // The holder may have acted and released the shard after the read was sent.
    PreviousHolder previous{.stoppedAt = m_owner.released ? bootClockNow() : readSentAt};
    if (m_heartbeatSeenAt != TimePoint()) {
        previous.heartbeatSeenAt = m_heartbeatSeenAt;
    }
    // The check of the heartbeat row makes a claim fail that the store executes late, after the
    // holder has written another heartbeat.
    Transaction transaction{
        .checks = {{ownerKey(), m_ownerVersion}, {heartbeatKey(), m_heartbeatVersion}},
        .puts = {{ownerKey(), encodeOwner(newOwner)},
                 {heartbeatKey(), std::to_string(newOwner.epoch)}}};
    m_platform.commit(std::move(transaction),
                      [this, newOwner, readSentAt, previous](const Result<CommitVersions> &result) {
                          if (result) {
                              m_owner = newOwner;
                          }
                          onClaimed(result, readSentAt, previous);
                      });
}

void ShardOwnership::onClaimed(const Result<CommitVersions> &result, TimePoint sentAt,
                               const PreviousHolder &previous)
{
    if (!result || m_stopped) {
        // If the write took effect nevertheless, the next read shows this daemon as the owner, and
        // the shard is claimed again.
        scheduleNext(m_options.retryDelay);
        return;
    }
    m_held = true;
    m_confirmedAt = sentAt;
    m_ownerVersion = result->at(ownerKey());
    m_heartbeatVersion = result->at(heartbeatKey());
    logEvent(EventId::ShardClaimed,
             {{"shard", m_options.shard}, {"epoch", std::to_string(m_owner.epoch)}});
    m_callbacks.onHeld(m_owner.epoch, previous);
    scheduleNext(m_options.heartbeatEvery);
}

void ShardOwnership::writeHeartbeat()
{
    ++m_heartbeatCount;
    Transaction transaction{.checks = {{ownerKey(), m_ownerVersion}},
                            .puts = {{heartbeatKey(), std::to_string(m_owner.epoch) + "."
                                                          + std::to_string(m_heartbeatCount)}}};
    m_platform.commit(std::move(transaction),
                      [this, epoch = m_owner.epoch,
                       sentAt = bootClockNow()](const Result<CommitVersions> &result) {
                          // The shard may have been lost and claimed again meanwhile.
                          if (m_held && !m_stopped && epoch == m_owner.epoch) {
                              onHeartbeatWritten(result, sentAt);
                          }
                      });
}

void ShardOwnership::onHeartbeatWritten(const Result<CommitVersions> &result, TimePoint sentAt)
{
    if (result) {
        m_confirmedAt = sentAt;
        if (std::exchange(m_storeUnreachable, false)) {
            logEvent(EventId::PlatformReachable);
        }
        scheduleNext(m_options.heartbeatEvery);
        return;
    }
    if (result.error().code == ResultCode::CheckFailed) {
        stepDown("another daemon has claimed the shard");
        return;
    }
    if (!std::exchange(m_storeUnreachable, true)) {
        logEvent(EventId::PlatformUnreachable, {{"reason", result.error().message}});
    }
    scheduleNext(m_options.retryDelay);
}

void ShardOwnership::stepDown(const std::string &reason)
{
    if (!m_held) {
        return;
    }
    m_held = false;
    m_heartbeatVersion = 0;
    m_heartbeatSeenAt = bootClockNow();
    logEvent(
        EventId::ShardLost,
        {{"shard", m_options.shard}, {"epoch", std::to_string(m_owner.epoch)}, {"reason", reason}});
    m_callbacks.onLost(reason);
    scheduleNext(m_options.pollEvery);
}

void ShardOwnership::release(std::function<void()> done)
{
    const bool held = std::exchange(m_held, false);
    m_stopped = true;
    if (!held) {
        done();
        return;
    }
    m_owner.released = true;
    writeRelease(bootClockNow() + m_options.releaseRetryTime, std::move(done));
}

void ShardOwnership::writeRelease(TimePoint until, std::function<void()> done)
{
    Transaction transaction{.checks = {{ownerKey(), m_ownerVersion}},
                            .puts = {{ownerKey(), encodeOwner(m_owner)}}};
    m_platform.commit(std::move(transaction), [this, until, done = std::move(done)](
                                                  const Result<CommitVersions> &result) mutable {
        // A failed check means that an earlier attempt took effect, or that another daemon has
        // claimed the shard.
        const bool finished =
            result || result.error().code == ResultCode::CheckFailed || bootClockNow() >= until;
        if (!finished) {
            m_loop.postAfter(m_options.retryDelay, [this, until, done = std::move(done)]() mutable {
                writeRelease(until, std::move(done));
            });
            return;
        }
        logEvent(EventId::ShardReleased,
                 {{"shard", m_options.shard}, {"outcome", result ? "ok" : result.error().message}});
        done();
    });
}

} // namespace acaciadeal
