#ifndef ACACIADEAL_REQUESTS_ATTEMPTOUTCOME_H
#define ACACIADEAL_REQUESTS_ATTEMPTOUTCOME_H

#include "base/resultcode.h"
#include "requests/circuitbreaker.h"

#include <cstdint>

namespace acaciadeal {

/// What was seen of one attempt to run a request on an instance.
struct AttemptObservation
{
    /// False only if provably no byte of the request was sent.
    bool handedOver = false;
    /// Ok if a whole answer arrived.
    ResultCode transport = ResultCode::Ok;
    unsigned status = 0;
    /// The answer repeats the request's id.
    bool idMatches = false;
    /// The answer carries `x-not-run: true`.
    bool notRunDeclared = false;
};

enum class AttemptOutcome : std::uint8_t {
    /// The answer may be passed on.
    Answered,
    /// The request ran, or may have, and the instance reported an error of its own.
    BackendError,
    /// The request provably did not run.
    NotRun,
    /// The request may have run, and there is no answer that may be passed on.
    OutcomeUnknown,
};

struct AttemptClassification
{
    AttemptOutcome outcome = AttemptOutcome::OutcomeUnknown;
    /// What to report if the request is not tried again.
    ResultCode code = ResultCode::OutcomeUnknown;
    AttemptHealth health = AttemptHealth::Failure;
};

/// Classifies an attempt. A refusal counts as "not run" only if it repeats the request's id;
/// without it the refusal may belong to another request. Thread-safe.
AttemptClassification classifyAttempt(const AttemptObservation &observation);

/// Returns whether an attempt with @p verdict may be followed by another one. Thread-safe.
bool mayRetry(AttemptOutcome outcome, bool repeatable);

} // namespace acaciadeal

#endif
