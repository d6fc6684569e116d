#include "daemon/claimwatch.h"

#include <doctest/doctest.h>

using namespace acaciadeal;
using std::chrono::seconds;

namespace {

/// A read that is answered without delay.
ReadTimes at(TimePoint time)
{
    return {.sentAt = time, .answeredAt = time};
}

} // namespace

TEST_CASE("a holder is silent once its row was read unchanged for the whole time")
{
    ClaimWatch watch;
    const TimePoint start{};
    CHECK_FALSE(noteAliveRead(watch, 1, at(start), seconds(6)));
    CHECK_FALSE(noteAliveRead(watch, 1, at(start + seconds(5)), seconds(6)));
    CHECK(noteAliveRead(watch, 1, at(start + seconds(6)), seconds(6)));
    CHECK_FALSE(noteAliveRead(watch, 2, at(start + seconds(7)), seconds(6)));
}

// Guards against every shard changing its holder when the platform comes back from an outage, in
// which no holder could renew its row.
TEST_CASE("the time in which the row could not be read does not count")
{
    ClaimWatch watch;
    const TimePoint start{};
    noteAliveRead(watch, 1, at(start), seconds(6));
    noteAliveUnread(watch);
    CHECK_FALSE(noteAliveRead(watch, 1, at(start + seconds(600)), seconds(6)));
    CHECK(noteAliveRead(watch, 1, at(start + seconds(606)), seconds(6)));
}

// Guards against a daemon that wakes up from a pause and claims by an old read.
TEST_CASE("the same read counts once, whenever it is looked at")
{
    ClaimWatch watch;
    const TimePoint start{};
    noteAliveRead(watch, 1, at(start), seconds(6));
    CHECK_FALSE(noteAliveRead(watch, 1, at(start), seconds(6)));
}

// Guards against a live holder losing its shard because an answer was slow: the holder may have
// renewed its row after the platform carried out the read.
TEST_CASE("the time that an answer takes does not count as silence")
{
    ClaimWatch watch;
    const TimePoint start{};
    const auto isSilent = [&](seconds sentAfter, seconds answeredAfter) {
        return noteAliveRead(watch, 1,
                             {.sentAt = start + sentAfter, .answeredAt = start + answeredAfter},
                             seconds(6));
    };
    CHECK_FALSE(isSilent(seconds(0), seconds(2)));
    CHECK_FALSE(isSilent(seconds(5), seconds(8)));
    CHECK_FALSE(isSilent(seconds(7), seconds(10)));
    CHECK(isSilent(seconds(8), seconds(8)));
}
