#include "membership/memberlist.h"

namespace acaciadeal {
namespace {

bool isSameDomain(const MemberList &list, const MemberInfo &member)
{
    return member.failureDomain == list.self.failureDomain;
}

/// Returns the entry for @p member, and creates or replaces it if its incarnation is new. Returns
/// null if the incarnation is lower than the known one, or if @p member is this daemon or has no
/// id.
MemberEntry *findOrUpdateEntry(MemberList &list, const MemberInfo &member, TimePoint now)
{
    if (member.daemon == list.self.daemon || member.daemon.empty()) {
        return nullptr;
    }
    auto [it, inserted] = list.others.try_emplace(member.daemon);
    MemberEntry &entry = it->second;
    if (!inserted && member.incarnation < entry.info.incarnation) {
        return nullptr;
    }
    if (inserted || member.incarnation > entry.info.incarnation) {
        entry = {.info = member, .lastMessageAt = std::nullopt, .lastKnownAt = now};
    }
    return &entry;
}

} // namespace

bool recordMessage(MemberList &list, const MemberInfo &member, TimePoint now)
{
    MemberEntry *const entry = findOrUpdateEntry(list, member, now);
    if (entry == nullptr) {
        return false;
    }
    const bool joined = !isLive(list, *entry, now);
    entry->info = member;
    entry->lastMessageAt = now;
    entry->lastKnownAt = now;
    return joined;
}

void recordDeparture(MemberList &list, const MemberInfo &member, TimePoint now)
{
    if (MemberEntry *const entry = findOrUpdateEntry(list, member, now)) {
        entry->departed = true;
    }
}

void recordMention(MemberList &list, const MemberInfo &member, TimePoint now)
{
    findOrUpdateEntry(list, member, now);
}

bool isLive(const MemberList &list, const MemberEntry &entry, TimePoint now)
{
    const Duration liveTimeout = isSameDomain(list, entry.info)
                                     ? list.options.liveTimeoutInDomain
                                     : list.options.liveTimeoutBetweenDomains;
    return !entry.departed && entry.lastMessageAt && now - *entry.lastMessageAt < liveTimeout;
}

std::vector<MemberInfo> liveMembers(const MemberList &list, TimePoint now)
{
    std::map<DaemonId, MemberInfo> live{{list.self.daemon, list.self}};
    for (const auto &[id, entry] : list.others) {
        if (isLive(list, entry, now)) {
            live.emplace(id, entry.info);
        }
    }
    std::vector<MemberInfo> result;
    result.reserve(live.size());
    for (auto &[id, info] : live) {
        result.push_back(std::move(info));
    }
    return result;
}

std::vector<MemberInfo> dueHeartbeats(MemberList &list, TimePoint now)
{
    std::vector<MemberInfo> due;
    for (auto &[id, entry] : list.others) {
        const Duration period = isSameDomain(list, entry.info)
                                    ? list.options.heartbeatPeriodInDomain
                                    : list.options.heartbeatPeriodBetweenDomains;
        if (entry.departed) {
            continue;
        }
        if (!entry.lastContactedAt || now - *entry.lastContactedAt >= period) {
            entry.lastContactedAt = now;
            due.push_back(entry.info);
        }
    }
    return due;
}

std::vector<DaemonId> removeUnresponsiveDaemons(MemberList &list, TimePoint now)
{
    std::vector<DaemonId> removed;
    for (auto it = list.others.begin(); it != list.others.end();) {
        if (now - it->second.lastKnownAt > list.options.removeAfter) {
            removed.push_back(it->first);
            it = list.others.erase(it);
        } else {
            ++it;
        }
    }
    return removed;
}

} // namespace acaciadeal
