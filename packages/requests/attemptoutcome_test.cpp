#include "requests/attemptoutcome.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

// Guards against "not run" being reported for a request that may have run.
TEST_CASE("an attempt counts as not run only if no byte was sent or the instance refused it by id")
{
    CHECK(classifyAttempt({.handedOver = false, .transportResult = ResultCode::ConnectionFailed})
              .outcome
          == AttemptOutcome::NotRun);
    CHECK(classifyAttempt({.handedOver = true, .transportResult = ResultCode::ConnectionFailed})
              .outcome
          == AttemptOutcome::OutcomeUnknown);
    CHECK(classifyAttempt({.handedOver = true, .transportResult = ResultCode::TimedOut}).outcome
          == AttemptOutcome::OutcomeUnknown);

    AttemptObservation refusal{
        .handedOver = true, .status = 503, .idMatches = true, .notRunDeclared = true};
    CHECK(classifyAttempt(refusal).outcome == AttemptOutcome::NotRun);
    CHECK(classifyAttempt(refusal).health == AttemptHealth::Neutral);
    refusal.idMatches = false;
    CHECK(classifyAttempt(refusal).outcome == AttemptOutcome::OutcomeUnknown);
    refusal.idMatches = true;
    refusal.notRunDeclared = false;
    CHECK(classifyAttempt(refusal).outcome == AttemptOutcome::BackendError);
    refusal = {.handedOver = true, .status = 500, .idMatches = true, .notRunDeclared = true};
    CHECK(classifyAttempt(refusal).outcome == AttemptOutcome::BackendError);
}

// Guards against a truncated answer, or the answer to another request, being passed on.
TEST_CASE("only a complete answer with the request's id is passed on")
{
    AttemptObservation answer{.handedOver = true, .status = 200, .idMatches = true};
    CHECK(classifyAttempt(answer).outcome == AttemptOutcome::Answered);
    answer.status = 404;
    CHECK(classifyAttempt(answer).outcome == AttemptOutcome::Answered);
    answer.idMatches = false;
    CHECK(classifyAttempt(answer).outcome == AttemptOutcome::OutcomeUnknown);
    answer = {.handedOver = true, .transportResult = ResultCode::IncompleteAnswer};
    CHECK(classifyAttempt(answer).outcome == AttemptOutcome::OutcomeUnknown);
    CHECK(classifyAttempt(answer).code == ResultCode::IncompleteAnswer);
}

// Guards against a request that may not be repeated running twice.
TEST_CASE("a non-repeatable request is retried only if it did not run")
{
    CHECK(mayRetry(AttemptOutcome::NotRun, false));
    CHECK_FALSE(mayRetry(AttemptOutcome::OutcomeUnknown, false));
    CHECK_FALSE(mayRetry(AttemptOutcome::BackendError, false));
    CHECK_FALSE(mayRetry(AttemptOutcome::Answered, true));
    CHECK(mayRetry(AttemptOutcome::OutcomeUnknown, true));
    CHECK(mayRetry(AttemptOutcome::BackendError, true));
}
