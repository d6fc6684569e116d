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
    /// Silence after which a member is no longer live. Several heartbeats, so that one lost message
    /// does not drop a member.
    Duration liveTimeoutInDomain = std::chrono::seconds(5);
    Duration liveTimeoutBetweenDomains = std::chrono::seconds(15);
    /// Silence after which a daemon is forgotten and no longer contacted.
    Duration removeAfter = std::chrono::minutes(2);
};

struct MemberEntry
{
    MemberInfo info;
    /// Last time a message of the daemon itself arrived; hearsay does not count.
    std::optional<TimePoint> lastMessageAt;
    /// Last time it was heard, or first time it was mentioned.
    TimePoint lastKnownAt;
    std::optional<TimePoint> lastContactedAt;
    bool departed = false;
};

/// Other daemons as one daemon sees them. All times are of its own clock. Not thread-safe.
struct MemberList
{
    MemberListOptions options;
    MemberInfo self;
    std::map<DaemonId, MemberEntry> others;
};

/// Takes in a message that came from @p member itself. A lower incarnation than the known one is
/// ignored. Returns whether the daemon was not live before.
bool recordMessage(MemberList &list, const MemberInfo &member, TimePoint now);

/// Takes in that @p member is shutting down. It is not live any more, whoever mentions it, until it
/// is heard with a higher incarnation.
void recordDeparture(MemberList &list, const MemberInfo &member, TimePoint now);

/// Takes in a mention of @p member by a peer or by the platform. It is contacted, but counts as
/// live only after it was heard.
void recordMention(MemberList &list, const MemberInfo &member, TimePoint now);

/// Returns whether @p entry was heard recently enough.
bool isLive(const MemberList &list, const MemberEntry &entry, TimePoint now);

/// Returns the live members and the daemon itself, in order of their ids.
std::vector<MemberInfo> liveMembers(const MemberList &list, TimePoint now);

/// Returns the daemons to which a heartbeat is due, and notes that they are being contacted.
std::vector<MemberInfo> dueHeartbeats(MemberList &list, TimePoint now);

/// Removes daemons that have been silent for longer than removeAfter and returns them.
std::vector<DaemonId> removeSilentDaemons(MemberList &list, TimePoint now);

} // namespace acaciadeal

#endif
