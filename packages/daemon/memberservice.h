#ifndef ACACIADEAL_DAEMON_MEMBERSERVICE_H
#define ACACIADEAL_DAEMON_MEMBERSERVICE_H

#include "daemon/context.h"
#include "membership/memberlist.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal {

/// Content of a heartbeat apart from the members.
struct HeartbeatContent
{
    std::vector<std::string> leavingInstances;
    std::uint64_t settingsVersion = 0;
};

struct MemberServiceCallbacks
{
    /// Returns the content of the next heartbeat.
    std::function<HeartbeatContent()> heartbeatContent;
    /// Called for each heartbeat and each answer to one, unless its sender is leaving.
    std::function<void(const Heartbeat &)> onHeartbeat;
    /// Called when the set of live members has changed.
    std::function<void(const std::vector<MemberInfo> &)> onMembers;
};

/// Exchanges heartbeats with the other daemons. Runs on the control thread; all functions must be
/// called there.
class MemberService
{
public:
    MemberService(DaemonContext &context, MemberInfo self, MemberServiceCallbacks callbacks);

    /// Starts sending heartbeats.
    void start();
    /// Processes a heartbeat of a peer and returns the answer.
    Heartbeat answerHeartbeat(const Heartbeat &heartbeat);
    /// Adds the daemons that have a member row on the platform. Writes this daemon's row if it is
    /// absent.
    void onMembersListed(const std::vector<MemberInfo> &listed);
    /// Tells all live members that this daemon is shutting down. Calls @p done once, after each has
    /// answered or timed out.
    void announceLeave(std::function<void()> done);
    /// Deletes this daemon's member row, so that new daemons do not try to contact it.
    void removeOwnRow(std::function<void()> done);

    std::vector<MemberInfo> live() const;
    const MemberInfo &self() const;

private:
    void sendDueHeartbeats();
    void sendHeartbeat(const Endpoint &peer);
    void processHeartbeat(const Heartbeat &heartbeat);
    Heartbeat makeHeartbeat() const;
    void publishMembers();
    void writeOwnRow();

    DaemonContext &m_context;
    MemberServiceCallbacks m_callbacks;
    MemberList m_list;
    std::set<DaemonId> m_publishedIds;
    bool m_writingRow = false;
    bool m_leaving = false;
};

} // namespace acaciadeal

#endif
