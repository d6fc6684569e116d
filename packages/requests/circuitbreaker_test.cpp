#include "requests/circuitbreaker.h"

#include <doctest/doctest.h>

using namespace acaciadeal;
using std::chrono::seconds;

namespace {

const BreakerOptions options;
const TimePoint start{};

void fail(CircuitBreaker &breaker, std::uint32_t times)
{
    for (std::uint32_t n = 0; n < times; ++n) {
        recordAttemptStart(breaker);
        recordAttemptEnd(breaker, options, AttemptHealth::Failure, false, start);
    }
}

} // namespace

// Guards against a single failure suspending an instance, and against a failing instance staying in
// use.
TEST_CASE("the breaker opens after consecutive failures")
{
    CircuitBreaker breaker;
    fail(breaker, 4);
    CHECK(allowsRequest(breaker, start));
    recordAttemptEnd(breaker, options, AttemptHealth::Neutral, false, start);
    CHECK(allowsRequest(breaker, start));
    fail(breaker, 1);
    CHECK(breaker.state == BreakerState::Open);
    CHECK_FALSE(allowsRequest(breaker, start));
}

// Guards against an instance that fails every other request staying in use.
TEST_CASE("the breaker opens after ten failures among twenty attempts")
{
    CircuitBreaker breaker;
    for (int n = 0; n < 9; ++n) {
        fail(breaker, 1);
        recordAttemptEnd(breaker, options, AttemptHealth::Success, false, start);
    }
    CHECK(allowsRequest(breaker, start));
    fail(breaker, 1);
    CHECK_FALSE(allowsRequest(breaker, start));
}

// Guards against many requests at once overloading an instance that has just recovered.
TEST_CASE("one trial request decides whether the breaker closes")
{
    CircuitBreaker breaker;
    fail(breaker, 5);
    const TimePoint firstTrial = start + seconds(1);
    CHECK_FALSE(allowsRequest(breaker, firstTrial - milliseconds(1)));
    REQUIRE(allowsRequest(breaker, firstTrial));
    recordAttemptStart(breaker);
    CHECK(breaker.state == BreakerState::HalfOpen);
    CHECK_FALSE(allowsRequest(breaker, firstTrial));

    // A late success of an earlier attempt does not show that the instance works now.
    recordAttemptEnd(breaker, options, AttemptHealth::Success, false, firstTrial);
    CHECK_FALSE(allowsRequest(breaker, firstTrial));

    recordAttemptEnd(breaker, options, AttemptHealth::Failure, true, firstTrial);
    CHECK_FALSE(allowsRequest(breaker, firstTrial + seconds(2) - milliseconds(1)));
    REQUIRE(allowsRequest(breaker, firstTrial + seconds(2)));
    recordAttemptStart(breaker);
    recordAttemptEnd(breaker, options, AttemptHealth::Success, true, firstTrial + seconds(2));
    CHECK(breaker.state == BreakerState::Closed);
    CHECK(allowsRequest(breaker, firstTrial + seconds(2)));
}

// Guards against a trial that was refused blocking all further trials.
TEST_CASE("a trial that says nothing about the instance's health is followed by another trial")
{
    CircuitBreaker breaker;
    fail(breaker, 5);
    recordAttemptStart(breaker);
    recordAttemptEnd(breaker, options, AttemptHealth::Neutral, true, start + seconds(1));
    CHECK_FALSE(allowsRequest(breaker, start + seconds(1)));
    CHECK(allowsRequest(breaker, start + seconds(2)));
}

TEST_CASE("the suspension grows only up to its limit")
{
    CircuitBreaker breaker;
    fail(breaker, 5);
    TimePoint now = start;
    for (int n = 0; n < 10; ++n) {
        now = breaker.suspendedUntil;
        recordAttemptStart(breaker);
        recordAttemptEnd(breaker, options, AttemptHealth::Failure, true, now);
    }
    CHECK(breaker.suspendedUntil - now == seconds(30));
}
