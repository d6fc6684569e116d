#include "requests/attemptoutcome.h"

namespace acaciadeal {

AttemptJudgement judgeAttempt(const AttemptObservation &observation)
{
    if (!observation.handedOver) {
        return {AttemptVerdict::NotRun, ResultCode::NotHandedOver, AttemptHealth::Failure};
    }
    if (observation.transport != ResultCode::Ok) {
        const ResultCode code = observation.transport == ResultCode::IncompleteAnswer
                                    ? ResultCode::IncompleteAnswer
                                    : ResultCode::OutcomeUnknown;
        return {AttemptVerdict::OutcomeUnknown, code, AttemptHealth::Failure};
    }
    if (!observation.idMatches) {
        return {AttemptVerdict::OutcomeUnknown, ResultCode::BackendFailed, AttemptHealth::Failure};
    }
    if (observation.status == 503 && observation.notRunDeclared) {
        return {AttemptVerdict::NotRun, ResultCode::NotHandedOver, AttemptHealth::Neutral};
    }
    if (observation.status >= 500) {
        return {AttemptVerdict::BackendError, ResultCode::BackendFailed, AttemptHealth::Failure};
    }
    return {AttemptVerdict::Answered, ResultCode::Ok, AttemptHealth::Success};
}

bool mayRepeat(AttemptVerdict verdict, bool repeatable)
{
    switch (verdict) {
    case AttemptVerdict::Answered:
        return false;
    case AttemptVerdict::NotRun:
        return true;
    case AttemptVerdict::BackendError:
    case AttemptVerdict::OutcomeUnknown:
        return repeatable;
    }
    return false;
}

} // namespace acaciadeal
