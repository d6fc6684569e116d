#include "membership/memberlist.h"

namespace acaciadeal {
namespace {

bool isSameDomain(const MemberList &list, const MemberInfo &member)
{
    return member.failureDomain == list.self.failureDomain;
}

/// Returns the entry for @p member, or nothing if the message is older than what is known.
MemberEntry *currentEntry(MemberList &list, const MemberInfo &member, TimePoint now)
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
        entry = {.info = member, .heardAt = std::nullopt, .knownAt = now, .contactedAt = {}};
    }
    return &entry;
}

} // namespace

bool hear(MemberList &list, const MemberInfo &member, TimePoint now)
{
    MemberEntry *const entry = currentEntry(list, member, now);
    if (entry == nullptr) {
        return false;
    }
    const bool joined = !isLive(list, *entry, now);
    entry->info = member;
    entry->heardAt = now;
    entry->knownAt = now;
    return joined;
}

void mention(MemberList &list, const MemberInfo &member, TimePoint now)
{
    currentEntry(list, member, now);
}

bool isLive(const MemberList &list, const MemberEntry &entry, TimePoint now)
{
    const Duration silence = isSameDomain(list, entry.info) ? list.options.silenceInDomain
                                                            : list.options.silenceBetweenDomains;
    return entry.heardAt && now - *entry.heardAt < silence;
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
                                    ? list.options.heartbeatInDomain
                                    : list.options.heartbeatBetweenDomains;
        if (!entry.contactedAt || now - *entry.contactedAt >= period) {
            entry.contactedAt = now;
            due.push_back(entry.info);
        }
    }
    return due;
}

std::vector<DaemonId> forgetSilent(MemberList &list, TimePoint now)
{
    std::vector<DaemonId> forgotten;
    for (auto it = list.others.begin(); it != list.others.end();) {
        if (now - it->second.knownAt > list.options.forgetAfter) {
            forgotten.push_back(it->first);
            it = list.others.erase(it);
        } else {
            ++it;
        }
    }
    return forgotten;
}

} // namespace acaciadeal
