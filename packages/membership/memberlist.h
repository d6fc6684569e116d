#ifndef ACACIADEAL_MEMBERSHIP_MEMBERLIST_H
#define ACACIADEAL_MEMBERSHIP_MEMBERLIST_H

#include "base/time.h"
#include "wire/message.h"

#include <map>
#include <optional>
#include <vector>

namespace acaciadeal {

struct MemberListOptions
{
    Duration heartbeatPeriodInDomain = std::chrono::seconds(1);
    Duration heartbeatPeriodBetweenDomains = std::chrono::seconds(5);
    /// Time without a message after which a member is no longer live. It spans several heartbeats,
    /// so that one lost message does not make a member count as dead.
    Duration liveTimeoutInDomain = std::chrono::seconds(5);
    Duration liveTimeoutBetweenDomains = std::chrono::seconds(15);
    /// Time without a message after which a daemon is removed from the list and no longer
    /// contacted.
    Duration removeAfter = std::chrono::minutes(2);
};

struct MemberEntry
{
    MemberInfo info;
    /// Last time a message from the daemon itself arrived; mentions by others do not count.
    std::optional<TimePoint> lastMessageAt;
    /// Last time a message from the daemon arrived, or the first time it was mentioned.
    TimePoint lastKnownAt;
    std::optional<TimePoint> lastContactedAt;
    bool departed = false;
};

/// Other daemons as known to one daemon. All times are on its own clock. Not thread-safe.
struct MemberList
{
    MemberListOptions options;
    MemberInfo self;
    std::map<DaemonId, MemberEntry> others;
};

/// Records a message from @p member itself. Ignores an incarnation lower than the known one.
/// Returns whether the daemon was not live before and the message was not ignored.
bool recordMessage(MemberList &list, const MemberInfo &member, TimePoint now);

/// Records that @p member is shutting down. It is not live, even if mentioned, until a message with
/// a higher incarnation arrives from it.
void recordDeparture(MemberList &list, const MemberInfo &member, TimePoint now);

/// Records a mention of @p member by a peer or by the platform. The member is contacted, but is
/// live only after a message from it has arrived.
void recordMention(MemberList &list, const MemberInfo &member, TimePoint now);

/// Returns whether a message from the daemon of @p entry arrived within the timeout and the daemon
/// is not shutting down.
bool isLive(const MemberList &list, const MemberEntry &entry, TimePoint now);

/// Returns the live members, including the daemon itself, ordered by id.
std::vector<MemberInfo> liveMembers(const MemberList &list, TimePoint now);

/// Returns the daemons to which a heartbeat is due, and records that they are being contacted.
std::vector<MemberInfo> dueHeartbeats(MemberList &list, TimePoint now);

/// Removes the daemons whose last message, or first mention if there was none, is longer ago than
/// removeAfter, and returns them.
std::vector<DaemonId> removeUnresponsiveDaemons(MemberList &list, TimePoint now);

} // namespace acaciadeal

#endif
