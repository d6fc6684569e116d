#ifndef ACACIADEAL_REQUESTS_ATTEMPTOUTCOME_H
#define ACACIADEAL_REQUESTS_ATTEMPTOUTCOME_H

#include "base/resultcode.h"
#include "requests/circuitbreaker.h"

#include <cstdint>

namespace acaciadeal {

/// What the daemon observed of one attempt to run a request on an instance.
struct AttemptObservation
{
    /// False only if provably no byte of the request was sent.
    bool handedOver = false;
    /// Ok if a complete answer arrived.
    ResultCode transportResult = ResultCode::Ok;
    /// HTTP status of the answer; 0 if no complete answer arrived.
    unsigned status = 0;
    /// The answer repeats the request's id.
    bool idMatches = false;
    /// The answer carries `x-not-run: true`.
    bool notRunDeclared = false;
};

enum class AttemptOutcome : std::uint8_t {
    /// The answer may be passed on to the caller.
    Answered,
    /// The request ran or may have run, and the instance reported an error.
    BackendError,
    /// The request provably did not run.
    NotRun,
    /// The request may have run, and there is no answer that may be passed on to the caller.
    OutcomeUnknown,
};

struct AttemptClassification
{
    AttemptOutcome outcome = AttemptOutcome::OutcomeUnknown;
    /// Result code to report if the request is not retried.
    ResultCode code = ResultCode::OutcomeUnknown;
    AttemptHealth health = AttemptHealth::Failure;
};

/// Classifies an attempt. A refusal counts as "not run" only if it repeats the request's id;
/// otherwise it may belong to another request. Thread-safe.
AttemptClassification classifyAttempt(const AttemptObservation &observation);

/// Returns whether a request may be retried after an attempt with @p outcome. Thread-safe.
bool mayRetry(AttemptOutcome outcome, bool repeatable);

} // namespace acaciadeal

#endif
