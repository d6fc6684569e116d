#include "membership/memberlist.h"

#include <doctest/doctest.h>

using namespace acaciadeal;
using std::chrono::seconds;

namespace {

MemberInfo member(const char *name, const char *domain, std::uint64_t incarnation = 1)
{
    return {.daemon = {name}, .incarnation = incarnation, .failureDomain = {domain}};
}

MemberList sampleList()
{
    return {.self = member("a", "lowell-yard")};
}

} // namespace

// Guards against a dead daemon counting as live because peers still mention it.
TEST_CASE("a mention does not make a daemon live")
{
    MemberList list = sampleList();
    const TimePoint start{};
    recordMention(list, member("b", "lowell-yard"), start);
    CHECK(liveMembers(list, start).size() == 1);
    CHECK(recordMessage(list, member("b", "lowell-yard"), start));
    CHECK(liveMembers(list, start).size() == 2);
    recordMention(list, member("b", "lowell-yard"), start + seconds(4));
    CHECK(liveMembers(list, start + seconds(5)).size() == 1);
}

// Guards against a late message from an earlier start of a daemon replacing the address of the
// current one.
TEST_CASE("a lower incarnation is ignored and a higher one replaces the entry")
{
    MemberList list = sampleList();
    const TimePoint start{};
    recordMessage(list, member("b", "lowell-yard", 2), start);
    CHECK_FALSE(recordMessage(list, member("b", "worcester-depot", 1), start));
    CHECK(list.others.at({"b"}).info.failureDomain.value == "lowell-yard");
    recordMention(list, member("b", "lowell-yard", 3), start + seconds(1));
    CHECK(liveMembers(list, start + seconds(1)).size() == 1);
}

// Guards against a single delayed heartbeat dropping a member of another failure domain.
TEST_CASE("members of other failure domains have a longer timeout")
{
    MemberList list = sampleList();
    const TimePoint start{};
    recordMessage(list, member("b", "lowell-yard"), start);
    recordMessage(list, member("c", "worcester-depot"), start);
    const auto live = liveMembers(list, start + seconds(6));
    REQUIRE(live.size() == 2);
    CHECK(live[1].daemon.value == "c");
}

TEST_CASE("heartbeats are due once per period, and unresponsive daemons are removed")
{
    MemberList list = sampleList();
    const TimePoint start{};
    recordMention(list, member("b", "lowell-yard"), start);
    recordMention(list, member("c", "worcester-depot"), start);
    CHECK(dueHeartbeats(list, start).size() == 2);
    CHECK(dueHeartbeats(list, start).empty());
    CHECK(dueHeartbeats(list, start + seconds(1)).size() == 1);
    CHECK(dueHeartbeats(list, start + seconds(5)).size() == 2);
    CHECK(removeUnresponsiveDaemons(list, start + seconds(121)).size() == 2);
    CHECK(list.others.empty());
}

// Guards against work being sent to a daemon that announced its shutdown, because a late message or
// a mention makes it live again.
TEST_CASE("a daemon that is shutting down is not live until its next start")
{
    MemberList list = sampleList();
    const TimePoint start{};
    recordMessage(list, member("b", "lowell-yard"), start);
    recordDeparture(list, member("b", "lowell-yard"), start);
    CHECK(liveMembers(list, start).size() == 1);
    recordMessage(list, member("b", "lowell-yard"), start);
    recordMention(list, member("b", "lowell-yard"), start);
    CHECK(liveMembers(list, start).size() == 1);
    recordMessage(list, member("b", "lowell-yard", 2), start);
    CHECK(liveMembers(list, start).size() == 2);
}
