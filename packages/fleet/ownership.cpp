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
    return m_held && !m_stopped && bootClockNow() - m_confirmedAt < m_options.validFor;
}

const OwnerRecord &ShardOwnership::holder() const
{
    return m_owner;
}

std::string ShardOwnership::ownerKey() const
{
    return "owner/" + m_options.shard;
}

std::string ShardOwnership::aliveKey() const
{
    return ownerKey() + ".alive";
}

void ShardOwnership::scheduleNext(Duration delay)
{
    m_loop.postAfter(delay, [this, chain = ++m_timerChain] {
        if (m_stopped || chain != m_timerChain) {
            return;
        }
        if (m_held) {
            renew();
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
        if (!std::exchange(m_storeLost, true)) {
            logEvent(EventId::PlatformUnreachable, {{"reason", snapshot.error().message}});
        }
        // The holder may be without the store as well; its silence counts from our next read.
        m_aliveVersion = 0;
        scheduleNext(m_options.pollEvery);
        return;
    }
    if (std::exchange(m_storeLost, false)) {
        logEvent(EventId::PlatformReachable);
    }
    m_owner = {};
    m_ownerVersion = 0;
    std::uint64_t aliveVersion = 0;
    for (const Row &row : snapshot->rows) {
        if (row.key == aliveKey()) {
            aliveVersion = row.version;
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
    if (aliveVersion != m_aliveVersion) {
        m_aliveVersion = aliveVersion;
        m_aliveSeenAt = bootClockNow();
    }
    judge(sentAt);
}

void ShardOwnership::judge(TimePoint now)
{
    const bool ours = m_owner.epoch > 0 && m_owner.daemon == m_options.daemon;
    const bool silent = m_aliveSeenAt != TimePoint() && now - m_aliveSeenAt >= m_options.claimAfter;
    // Our own earlier process is gone, so nothing acts under its epoch any more.
    if (m_owner.epoch == 0 || m_owner.released || ours || silent) {
        if (!m_claimableSince) {
            m_claimableSince = now;
        }
        if (now - *m_claimableSince >= m_options.deferClaim) {
            claim(now);
            return;
        }
    } else {
        m_claimableSince.reset();
    }
    scheduleNext(m_options.pollEvery);
}

void ShardOwnership::claim(TimePoint now)
{
    const OwnerRecord mine{.epoch = m_owner.epoch + 1,
                           .daemon = m_options.daemon,
                           .incarnation = m_options.incarnation,
                           .peer = m_options.peer};
    // The check of the alive row voids a claim that is carried out late, after the holder has
    // shown life again.
    Transaction transaction{
        .checks = {{ownerKey(), m_ownerVersion}, {aliveKey(), m_aliveVersion}},
        .puts = {{ownerKey(), encodeOwner(mine)}, {aliveKey(), std::to_string(mine.epoch)}}};
    m_platform.commit(std::move(transaction),
                      [this, mine, now](const Result<CommitVersions> &result) {
                          if (result) {
                              m_owner = mine;
                          }
                          onClaimed(result, now);
                      });
}

void ShardOwnership::onClaimed(const Result<CommitVersions> &result, TimePoint sentAt)
{
    if (!result || m_stopped) {
        // After an unknown outcome the next read shows our own row, and we claim again.
        scheduleNext(m_options.retryDelay);
        return;
    }
    m_held = true;
    m_confirmedAt = sentAt;
    m_ownerVersion = result->at(ownerKey());
    m_aliveVersion = result->at(aliveKey());
    logEvent(EventId::ShardClaimed,
             {{"shard", m_options.shard}, {"epoch", std::to_string(m_owner.epoch)}});
    m_callbacks.onHeld(m_owner.epoch, sentAt);
    scheduleNext(m_options.renewEvery);
}

void ShardOwnership::renew()
{
    ++m_renewals;
    Transaction transaction{
        .checks = {{ownerKey(), m_ownerVersion}},
        .puts = {{aliveKey(), std::to_string(m_owner.epoch) + "." + std::to_string(m_renewals)}}};
    m_platform.commit(std::move(transaction),
                      [this, epoch = m_owner.epoch,
                       sentAt = bootClockNow()](const Result<CommitVersions> &result) {
                          // The shard may have been given up and claimed again meanwhile.
                          if (m_held && !m_stopped && epoch == m_owner.epoch) {
                              onRenewed(result, sentAt);
                          }
                      });
}

void ShardOwnership::onRenewed(const Result<CommitVersions> &result, TimePoint sentAt)
{
    if (result) {
        m_confirmedAt = sentAt;
        if (std::exchange(m_storeLost, false)) {
            logEvent(EventId::PlatformReachable);
        }
        scheduleNext(m_options.renewEvery);
        return;
    }
    if (result.error().code == ResultCode::CheckFailed) {
        depose("another daemon has claimed the shard");
        return;
    }
    if (!std::exchange(m_storeLost, true)) {
        logEvent(EventId::PlatformUnreachable, {{"reason", result.error().message}});
    }
    scheduleNext(m_options.retryDelay);
}

void ShardOwnership::depose(const std::string &reason)
{
    if (!m_held) {
        return;
    }
    m_held = false;
    m_aliveVersion = 0;
    m_aliveSeenAt = bootClockNow();
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
    writeRelease(bootClockNow() + m_options.releaseRetries, std::move(done));
}

void ShardOwnership::writeRelease(TimePoint until, std::function<void()> done)
{
    Transaction transaction{.checks = {{ownerKey(), m_ownerVersion}},
                            .puts = {{ownerKey(), encodeOwner(m_owner)}}};
    m_platform.commit(std::move(transaction), [this, until, done = std::move(done)](
                                                  const Result<CommitVersions> &result) mutable {
        // A failed check means that an earlier attempt took effect, or that others claimed.
        const bool settled =
            result || result.error().code == ResultCode::CheckFailed || bootClockNow() >= until;
        if (!settled) {
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
