#include "requests/attemptoutcome.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

// Guards against "not run" being reported for a request that may have run.
TEST_CASE("only an attempt without a byte sent or with a refusal of its own counts as not run")
{
    CHECK(judgeAttempt({.handedOver = false, .transport = ResultCode::ConnectionFailed}).verdict
          == AttemptVerdict::NotRun);
    CHECK(judgeAttempt({.handedOver = true, .transport = ResultCode::ConnectionFailed}).verdict
          == AttemptVerdict::OutcomeUnknown);
    CHECK(judgeAttempt({.handedOver = true, .transport = ResultCode::TimedOut}).verdict
          == AttemptVerdict::OutcomeUnknown);

    AttemptObservation refusal{
        .handedOver = true, .status = 503, .idMatches = true, .notRunDeclared = true};
    CHECK(judgeAttempt(refusal).verdict == AttemptVerdict::NotRun);
    CHECK(judgeAttempt(refusal).health == AttemptHealth::Neutral);
    refusal.idMatches = false;
    CHECK(judgeAttempt(refusal).verdict == AttemptVerdict::OutcomeUnknown);
    refusal.idMatches = true;
    refusal.notRunDeclared = false;
    CHECK(judgeAttempt(refusal).verdict == AttemptVerdict::BackendError);
    refusal = {.handedOver = true, .status = 500, .idMatches = true, .notRunDeclared = true};
    CHECK(judgeAttempt(refusal).verdict == AttemptVerdict::BackendError);
}

// Guards against a truncated answer, or the answer to another request, being passed on.
TEST_CASE("only a whole answer with the request's id is passed on")
{
    AttemptObservation answer{.handedOver = true, .status = 200, .idMatches = true};
    CHECK(judgeAttempt(answer).verdict == AttemptVerdict::Answered);
    answer.status = 404;
    CHECK(judgeAttempt(answer).verdict == AttemptVerdict::Answered);
    answer.idMatches = false;
    CHECK(judgeAttempt(answer).verdict == AttemptVerdict::OutcomeUnknown);
    answer = {.handedOver = true, .transport = ResultCode::IncompleteAnswer};
    CHECK(judgeAttempt(answer).verdict == AttemptVerdict::OutcomeUnknown);
    CHECK(judgeAttempt(answer).code == ResultCode::IncompleteAnswer);
}

// Guards against a second run of a request that may not be repeated.
TEST_CASE("a non-repeatable request is tried again only if it did not run")
{
    CHECK(mayRepeat(AttemptVerdict::NotRun, false));
    CHECK_FALSE(mayRepeat(AttemptVerdict::OutcomeUnknown, false));
    CHECK_FALSE(mayRepeat(AttemptVerdict::BackendError, false));
    CHECK_FALSE(mayRepeat(AttemptVerdict::Answered, true));
    CHECK(mayRepeat(AttemptVerdict::OutcomeUnknown, true));
    CHECK(mayRepeat(AttemptVerdict::BackendError, true));
}
