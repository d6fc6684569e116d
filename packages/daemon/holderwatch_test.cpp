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

TEST_CASE("a holder times out once its alive row was unchanged for the whole timeout")
{
    HolderWatch watch;
    const TimePoint start{};
    CHECK_FALSE(observeAliveRow(watch, 1, instantRead(start), seconds(6)));
    CHECK_FALSE(observeAliveRow(watch, 1, instantRead(start + seconds(5)), seconds(6)));
    CHECK(observeAliveRow(watch, 1, instantRead(start + seconds(6)), seconds(6)));
    CHECK_FALSE(observeAliveRow(watch, 2, instantRead(start + seconds(7)), seconds(6)));
}

// Guards against every shard changing its holder when the platform comes back from an outage, in
// which no holder could update its alive row.
TEST_CASE("time in which the alive row could not be read does not count towards the timeout")
{
    HolderWatch watch;
    const TimePoint start{};
    observeAliveRow(watch, 1, instantRead(start), seconds(6));
    resetHolderWatch(watch);
    CHECK_FALSE(observeAliveRow(watch, 1, instantRead(start + seconds(600)), seconds(6)));
    CHECK(observeAliveRow(watch, 1, instantRead(start + seconds(606)), seconds(6)));
}

// Guards against a daemon that resumes after a pause and claims a shard based on an old read.
TEST_CASE("evaluating the same read again does not count towards the timeout")
{
    HolderWatch watch;
    const TimePoint start{};
    observeAliveRow(watch, 1, instantRead(start), seconds(6));
    CHECK_FALSE(observeAliveRow(watch, 1, instantRead(start), seconds(6)));
}

// Guards against a live holder losing its shard because an answer was slow: the holder may have
// updated its alive row after the platform executed the read.
TEST_CASE("the latency of an answer does not count towards the timeout")
{
    HolderWatch watch;
    const TimePoint start{};
    const auto hasTimedOut = [&](seconds sentAfter, seconds answeredAfter) {
        return observeAliveRow(watch, 1,
                               {.sentAt = start + sentAfter, .answeredAt = start + answeredAfter},
                               seconds(6));
    };
    CHECK_FALSE(hasTimedOut(seconds(0), seconds(2)));
    CHECK_FALSE(hasTimedOut(seconds(5), seconds(8)));
    CHECK_FALSE(hasTimedOut(seconds(7), seconds(10)));
    CHECK(hasTimedOut(seconds(8), seconds(8)));
}
