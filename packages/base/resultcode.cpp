#include "base/resultcode.h"

#include <algorithm>
#include <array>

namespace acaciadeal {
namespace {

constexpr std::array table = {
    ResultCodeInfo{ResultCode::Ok, "Ok", "The operation succeeded."},
    ResultCodeInfo{ResultCode::UnknownSetting, "UnknownSetting",
                   "The settings path or key is not in the schema."},
    ResultCodeInfo{ResultCode::WrongType, "WrongType",
                   "A value has another JSON type than the schema requires."},
    ResultCodeInfo{ResultCode::OutOfRange, "OutOfRange", "A value is outside its permitted range."},
    ResultCodeInfo{ResultCode::DuplicateKey, "DuplicateKey",
                   "An object contains the same key twice."},
    ResultCodeInfo{ResultCode::SyntaxError, "SyntaxError",
                   "The text is not valid JSON with comments."},
    ResultCodeInfo{ResultCode::VersionConflict, "VersionConflict",
                   "The path was changed since the version named by the writer."},
    ResultCodeInfo{ResultCode::PermissionDenied, "PermissionDenied",
                   "The token does not permit this change."},
    ResultCodeInfo{ResultCode::ValueTooLarge, "ValueTooLarge", "A value exceeds its size limit."},
    ResultCodeInfo{ResultCode::UnknownPlugin, "UnknownPlugin",
                   "No plug-in of this name is registered."},
    ResultCodeInfo{ResultCode::IncompatibleSettings, "IncompatibleSettings",
                   "Two settings exclude each other."},
    ResultCodeInfo{ResultCode::MissingSetting, "MissingSetting", "A required setting is absent."},
    ResultCodeInfo{ResultCode::FileUnreadable, "FileUnreadable",
                   "A file cannot be opened or read."},
    ResultCodeInfo{ResultCode::MalformedRequest, "MalformedRequest",
                   "The request is not valid; it was not run."},
    ResultCodeInfo{ResultCode::RequestTooLarge, "RequestTooLarge",
                   "The request exceeds the size limit; it was not run."},
    ResultCodeInfo{ResultCode::Overloaded, "Overloaded",
                   "The admission limit of the class is reached; the request was not run."},
    ResultCodeInfo{ResultCode::DeadlineExpired, "DeadlineExpired",
                   "The deadline passed before the request was handed over; it was not run."},
    ResultCodeInfo{ResultCode::NoInstance, "NoInstance",
                   "No usable instance of the service is known; the request was not run."},
    ResultCodeInfo{ResultCode::ShuttingDown, "ShuttingDown",
                   "The daemon is shutting down; the request was not run."},
    ResultCodeInfo{
        ResultCode::RecordUnavailable, "RecordUnavailable",
        "The request may not be repeated and its record cannot be written; it was not run."},
    ResultCodeInfo{ResultCode::NotHandedOver, "NotHandedOver",
                   "No instance accepted the request; it was not run."},
    ResultCodeInfo{ResultCode::OutcomeUnknown, "OutcomeUnknown",
                   "The request was handed over and its outcome is not known yet."},
    ResultCodeInfo{ResultCode::IncompleteAnswer, "IncompleteAnswer",
                   "The backend server closed the connection before the whole answer arrived."},
    ResultCodeInfo{ResultCode::RequestIdReused, "RequestIdReused",
                   "The request id was used before with other content; this request was not run."},
    ResultCodeInfo{ResultCode::RequestNotFound, "RequestNotFound",
                   "No request of this id is recorded."},
    ResultCodeInfo{ResultCode::BackendFailed, "BackendFailed",
                   "The backend server answered with an error."},
    ResultCodeInfo{ResultCode::TaskImpossible, "TaskImpossible",
                   "The task can never run on any host."},
    ResultCodeInfo{ResultCode::TaskNotFound, "TaskNotFound", "No task of this id is known."},
    ResultCodeInfo{ResultCode::TaskTerminal, "TaskTerminal", "The task has already ended."},
    ResultCodeInfo{ResultCode::QuotaExceeded, "QuotaExceeded", "The team's quota is exhausted."},
    ResultCodeInfo{ResultCode::JobIdReused, "JobIdReused",
                   "The job id was used before with other content."},
    ResultCodeInfo{ResultCode::HostUnusable, "HostUnusable", "The host accepts no task."},
    ResultCodeInfo{ResultCode::StalePermit, "StalePermit",
                   "The permit of a start is older than the start window."},
    ResultCodeInfo{ResultCode::StaleEpoch, "StaleEpoch",
                   "The message carries an epoch older than the highest one seen."},
    ResultCodeInfo{ResultCode::RepeatedStart, "RepeatedStart",
                   "The task incarnation was started before."},
    ResultCodeInfo{ResultCode::TornEntry, "TornEntry",
                   "A log entry is truncated or fails verification."},
    ResultCodeInfo{ResultCode::RepeatedEntry, "RepeatedEntry",
                   "A log entry has a sequence number that was already applied."},
    ResultCodeInfo{ResultCode::ForeignEpoch, "ForeignEpoch",
                   "A log entry has an older epoch than the state, or belongs to another shard."},
    ResultCodeInfo{ResultCode::UnsupportedFormat, "UnsupportedFormat",
                   "A stored format version is not supported."},
    ResultCodeInfo{ResultCode::InvariantViolated, "InvariantViolated",
                   "A change contradicts the state; nothing was applied."},
    ResultCodeInfo{ResultCode::MissingEntry, "MissingEntry",
                   "A log entry is absent although a later one exists."},
    ResultCodeInfo{ResultCode::CorruptSnapshot, "CorruptSnapshot",
                   "A snapshot is truncated or fails verification."},
    ResultCodeInfo{ResultCode::PlatformUnavailable, "PlatformUnavailable",
                   "The platform does not answer."},
    ResultCodeInfo{ResultCode::CheckFailed, "CheckFailed",
                   "A check of the transaction failed; nothing was written."},
    ResultCodeInfo{ResultCode::WriteOutcomeUnknown, "WriteOutcomeUnknown",
                   "The answer to a write was lost; the write may have taken effect."},
    ResultCodeInfo{ResultCode::PlatformProtocol, "PlatformProtocol",
                   "The answer of the platform is not valid."},
    ResultCodeInfo{ResultCode::FrameTooLarge, "FrameTooLarge", "A frame exceeds the size limit."},
    ResultCodeInfo{ResultCode::TruncatedFrame, "TruncatedFrame",
                   "The connection ended inside a frame."},
    ResultCodeInfo{ResultCode::InvalidMessage, "InvalidMessage", "A message fails verification."},
    ResultCodeInfo{ResultCode::ConnectionFailed, "ConnectionFailed",
                   "The connection could not be established or was lost."},
    ResultCodeInfo{ResultCode::TimedOut, "TimedOut", "No answer arrived before the timeout."},
    ResultCodeInfo{ResultCode::UnknownMessage, "UnknownMessage", "The message type is not known."},
    ResultCodeInfo{ResultCode::UnknownPath, "UnknownPath",
                   "The HTTP method and path are not served."},
    ResultCodeInfo{ResultCode::UnknownFailureDomain, "UnknownFailureDomain",
                   "No failure domain of this name exists."},
    ResultCodeInfo{ResultCode::UnknownHost, "UnknownHost", "No host of this name is known."},
    ResultCodeInfo{ResultCode::NotHolder, "NotHolder", "This daemon does not hold the shard."},
    ResultCodeInfo{ResultCode::UsageError, "UsageError", "The command line is not valid."},
    ResultCodeInfo{ResultCode::UnknownMetric, "UnknownMetric",
                   "An alert rule names a metric that is not exported."},
    ResultCodeInfo{ResultCode::MalformedRule, "MalformedRule", "An alert rule is not valid."},
    ResultCodeInfo{ResultCode::MissingSeries, "MissingSeries",
                   "The series of an alert rule has vanished."},
};

} // namespace

std::span<const ResultCodeInfo> resultCodes()
{
    return table;
}

std::string_view resultCodeName(ResultCode code)
{
    const auto it = std::find_if(table.begin(), table.end(),
                                 [code](const ResultCodeInfo &info) { return info.code == code; });
    return it == table.end() ? std::string_view("Unrecognized") : it->name;
}

} // namespace acaciadeal
