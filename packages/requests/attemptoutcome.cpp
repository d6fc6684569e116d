#include "requests/attemptoutcome.h"

namespace acaciadeal {

AttemptClassification classifyAttempt(const AttemptObservation &observation)
{
    if (!observation.handedOver) {
        return {AttemptOutcome::NotRun, ResultCode::NotHandedOver, AttemptHealth::Failure};
    }
    if (observation.transportResult != ResultCode::Ok) {
        const ResultCode code = observation.transportResult == ResultCode::IncompleteAnswer
                                    ? ResultCode::IncompleteAnswer
                                    : ResultCode::OutcomeUnknown;
        return {AttemptOutcome::OutcomeUnknown, code, AttemptHealth::Failure};
    }
    if (!observation.idMatches) {
        return {AttemptOutcome::OutcomeUnknown, ResultCode::BackendFailed, AttemptHealth::Failure};
    }
    if (observation.status == 503 && observation.notRunDeclared) {
        return {AttemptOutcome::NotRun, ResultCode::NotHandedOver, AttemptHealth::Neutral};
    }
    if (observation.status >= 500) {
        return {AttemptOutcome::BackendError, ResultCode::BackendFailed, AttemptHealth::Failure};
    }
    return {AttemptOutcome::Answered, ResultCode::Ok, AttemptHealth::Success};
}

bool mayRetry(AttemptOutcome outcome, bool repeatable)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return false;
    case AttemptOutcome::NotRun:
        return true;
    case AttemptOutcome::BackendError:
    case AttemptOutcome::OutcomeUnknown:
        return repeatable;
    }
    return false;
}

} // namespace acaciadeal
