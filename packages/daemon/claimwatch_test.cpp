#include "daemon/claimwatch.h"

#include <doctest/doctest.h>

using namespace acaciadeal;
using std::chrono::seconds;

TEST_CASE("a holder is silent once its row was read unchanged for the whole time")
{
    ClaimWatch watch;
    const TimePoint start{};
    CHECK_FALSE(noteAliveRead(watch, 1, start, seconds(6)));
    CHECK_FALSE(noteAliveRead(watch, 1, start + seconds(5), seconds(6)));
    CHECK(noteAliveRead(watch, 1, start + seconds(6), seconds(6)));
    CHECK_FALSE(noteAliveRead(watch, 2, start + seconds(7), seconds(6)));
}

// Guards against every shard changing its holder when the platform comes back from an outage, in
// which no holder could renew its row.
TEST_CASE("the time in which the row could not be read does not count")
{
    ClaimWatch watch;
    const TimePoint start{};
    noteAliveRead(watch, 1, start, seconds(6));
    noteAliveUnread(watch);
    CHECK_FALSE(noteAliveRead(watch, 1, start + seconds(600), seconds(6)));
    CHECK(noteAliveRead(watch, 1, start + seconds(606), seconds(6)));
}

// Guards against a daemon that wakes up from a pause and claims by an old read.
TEST_CASE("the same read counts once, whenever it is looked at")
{
    ClaimWatch watch;
    const TimePoint start{};
    noteAliveRead(watch, 1, start, seconds(6));
    CHECK_FALSE(noteAliveRead(watch, 1, start, seconds(6)));
}
