#include "daemon/memberservice.h"

#include "daemon/platformwatch.h"
#include "daemon/rowkeys.h"
#include "logging/log.h"

#include <algorithm>
#include <utility>

namespace acaciadeal {
namespace {

constexpr Duration heartbeatCheckPeriod = milliseconds(250);
constexpr Duration heartbeatTimeout = std::chrono::seconds(2);

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace

MemberService::MemberService(DaemonContext &context, MemberInfo self,
                             MemberServiceCallbacks callbacks)
    : m_context(context)
    , m_callbacks(std::move(callbacks))
    , m_list{.self = std::move(self)}
{
}

void MemberService::start()
{
    for (const Endpoint &seed : m_context.settings.seeds) {
        if (seed != m_list.self.peer) {
            sendHeartbeat(seed);
        }
    }
    publishMembers();
    m_context.control.postEvery(heartbeatCheckPeriod, [this] { sendDueHeartbeats(); });
}

Heartbeat MemberService::answerHeartbeat(const Heartbeat &heartbeat)
{
    processHeartbeat(heartbeat);
    return makeHeartbeat();
}

void MemberService::onMembersListed(const std::vector<MemberInfo> &listed)
{
    const TimePoint now = currentTime();
    bool selfListed = false;
    for (const MemberInfo &member : listed) {
        recordMention(m_list, member, now);
        selfListed = selfListed || member == m_list.self;
    }
    if (!selfListed) {
        writeOwnRow();
    }
}

void MemberService::announceLeave(std::function<void()> done)
{
    m_leaving = true;
    auto remaining = std::make_shared<std::size_t>(1);
    const auto finishOne = [remaining, done = std::move(done)] {
        if (--*remaining == 0) {
            done();
        }
    };
    for (const MemberInfo &member : live()) {
        if (member.daemon == m_list.self.daemon) {
            continue;
        }
        ++*remaining;
        m_context.peers.call(
            member.peer, makeHeartbeat(), heartbeatTimeout,
            [this, finishOne](const Result<PeerMessage> &) { m_context.control.post(finishOne); });
    }
    finishOne();
}

void MemberService::removeOwnRow(std::function<void()> done)
{
    m_leaving = true;
    m_context.platform.commit({.deletes = {memberKey(m_list.self.daemon)}},
                              [done = std::move(done)](const Result<CommitVersions> &) { done(); });
}

std::vector<MemberInfo> MemberService::live() const
{
    return liveMembers(m_list, currentTime());
}

const MemberInfo &MemberService::self() const
{
    return m_list.self;
}

void MemberService::sendDueHeartbeats()
{
    const TimePoint now = currentTime();
    for (const MemberInfo &member : dueHeartbeats(m_list, now)) {
        sendHeartbeat(member.peer);
    }
    // If no peer is known, for example after a network partition, only the seeds can be contacted.
    if (m_list.others.empty()) {
        for (const Endpoint &seed : m_context.settings.seeds) {
            if (seed != m_list.self.peer) {
                sendHeartbeat(seed);
            }
        }
    }
    removeUnresponsiveDaemons(m_list, now);
    publishMembers();
}

void MemberService::sendHeartbeat(const Endpoint &peer)
{
    m_context.peers.call(peer, makeHeartbeat(), heartbeatTimeout,
                         [this](Result<PeerMessage> answer) {
                             if (!answer) {
                                 return;
                             }
                             if (auto *heartbeat = std::get_if<Heartbeat>(&*answer)) {
                                 m_context.control.post([this, heartbeat = std::move(*heartbeat)] {
                                     processHeartbeat(heartbeat);
                                 });
                             }
                         });
}

void MemberService::processHeartbeat(const Heartbeat &heartbeat)
{
    const TimePoint now = currentTime();
    if (heartbeat.leaving) {
        recordDeparture(m_list, heartbeat.sender, now);
        publishMembers();
        return;
    }
    if (recordMessage(m_list, heartbeat.sender, now)) {
        logEvent(EventId::MemberJoined, {{"daemon", heartbeat.sender.daemon.value},
                                         {"failure_domain", heartbeat.sender.failureDomain.value}});
    }
    for (const MemberInfo &member : heartbeat.members) {
        recordMention(m_list, member, now);
    }
    m_callbacks.onHeartbeat(heartbeat);
    publishMembers();
}

Heartbeat MemberService::makeHeartbeat() const
{
    HeartbeatContent heartbeatContent = m_callbacks.heartbeatContent();
    return {.sender = m_list.self,
            .members = liveMembers(m_list, currentTime()),
            .leavingInstances = std::move(heartbeatContent.leavingInstances),
            .settingsVersion = heartbeatContent.settingsVersion,
            .leaving = m_leaving};
}

void MemberService::publishMembers()
{
    const std::vector<MemberInfo> members = live();
    std::set<DaemonId> ids;
    for (const MemberInfo &member : members) {
        ids.insert(member.daemon);
    }
    if (ids == m_publishedIds) {
        return;
    }
    for (const DaemonId &id : m_publishedIds) {
        if (!ids.contains(id)) {
            logEvent(EventId::MemberLost, {{"daemon", id.value}});
        }
    }
    m_publishedIds = std::move(ids);
    for (const FailureDomainId &domain : m_context.settings.failureDomains) {
        const auto n =
            std::count_if(members.begin(), members.end(), [&domain](const MemberInfo &member) {
                return member.failureDomain == domain;
            });
        m_context.metrics.set("members", {{"failure_domain", domain.value}},
                              static_cast<double>(n));
    }
    m_callbacks.onMembers(members);
}

void MemberService::writeOwnRow()
{
    if (m_writingRow || m_leaving) {
        return;
    }
    m_writingRow = true;
    m_context.platform.commit({.puts = {{memberKey(m_list.self.daemon), encode(m_list.self)}}},
                              [this](const Result<CommitVersions> &) { m_writingRow = false; });
}

} // namespace acaciadeal
