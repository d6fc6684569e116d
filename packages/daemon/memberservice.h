#ifndef ACACIADEAL_DAEMON_MEMBERSERVICE_H
#define ACACIADEAL_DAEMON_MEMBERSERVICE_H

#include "daemon/context.h"
#include "membership/memberlist.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal {

/// What a daemon tells its peers in each heartbeat besides its members.
struct HeartbeatContent
{
    std::vector<std::string> leavingInstances;
    std::uint64_t settingsVersion = 0;
};

struct MemberServiceCallbacks
{
    std::function<HeartbeatContent()> content;
    /// A heartbeat or its answer arrived.
    std::function<void(const Heartbeat &)> onHeartbeat;
    /// The set of live members changed.
    std::function<void(const std::vector<MemberInfo> &)> onMembers;
};

/// Exchanges heartbeats with other daemons. Runs on the control thread; its functions are called
/// there.
class MemberService
{
public:
    MemberService(DaemonContext &context, MemberInfo self, MemberServiceCallbacks callbacks);

    /// Starts the heartbeats.
    void start();
    /// Takes in a heartbeat and returns the answer.
    Heartbeat answerHeartbeat(const Heartbeat &heartbeat);
    /// Takes in daemons that the platform lists. Writes the own row if it is absent.
    void onMembersListed(const std::vector<MemberInfo> &listed);
    /// Tells all live members that this daemon is shutting down, and calls @p done once after each
    /// has answered or timed out.
    void announceLeave(std::function<void()> done);
    /// Removes the own row, so that new daemons do not try to reach this one.
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
