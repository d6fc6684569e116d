#include "daemon/holderwatch.h"

#include <doctest/doctest.h>

using namespace acaciadeal;
using std::chrono::seconds;

namespace {

/// A read that is answered without delay.
ReadTimes instantRead(TimePoint time)
{
    return {.sentAt = time, .answeredAt = time};
}

} // namespace

TEST_CASE("a holder is silent once its row was read unchanged for the whole time")
{
    HolderWatch watch;
    const TimePoint start{};
    CHECK_FALSE(observeAliveRow(watch, 1, instantRead(start), seconds(6)));
    CHECK_FALSE(observeAliveRow(watch, 1, instantRead(start + seconds(5)), seconds(6)));
    CHECK(observeAliveRow(watch, 1, instantRead(start + seconds(6)), seconds(6)));
    CHECK_FALSE(observeAliveRow(watch, 2, instantRead(start + seconds(7)), seconds(6)));
}

// Guards against every shard changing its holder when the platform comes back from an outage, in
// which no holder could renew its row.
TEST_CASE("the time in which the row could not be read does not count")
{
    HolderWatch watch;
    const TimePoint start{};
    observeAliveRow(watch, 1, instantRead(start), seconds(6));
    resetHolderWatch(watch);
    CHECK_FALSE(observeAliveRow(watch, 1, instantRead(start + seconds(600)), seconds(6)));
    CHECK(observeAliveRow(watch, 1, instantRead(start + seconds(606)), seconds(6)));
}

// Guards against a daemon that wakes up from a pause and claims by an old read.
TEST_CASE("the same read counts once, whenever it is looked at")
{
    HolderWatch watch;
    const TimePoint start{};
    observeAliveRow(watch, 1, instantRead(start), seconds(6));
    CHECK_FALSE(observeAliveRow(watch, 1, instantRead(start), seconds(6)));
}

// Guards against a live holder losing its shard because an answer was slow: the holder may have
// renewed its row after the platform carried out the read.
TEST_CASE("the time that an answer takes does not count as silence")
{
    HolderWatch watch;
    const TimePoint start{};
    const auto isSilent = [&](seconds sentAfter, seconds answeredAfter) {
        return observeAliveRow(watch, 1,
                               {.sentAt = start + sentAfter, .answeredAt = start + answeredAfter},
                               seconds(6));
    };
    CHECK_FALSE(isSilent(seconds(0), seconds(2)));
    CHECK_FALSE(isSilent(seconds(5), seconds(8)));
    CHECK_FALSE(isSilent(seconds(7), seconds(10)));
    CHECK(isSilent(seconds(8), seconds(8)));
}
