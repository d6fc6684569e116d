#ifndef ACACIADEAL_BASE_RESULTCODE_H
#define ACACIADEAL_BASE_RESULTCODE_H

#include <cstdint>
#include <span>
#include <string_view>

namespace acaciadeal {

/// Numbered outcome of an operation. The numbers are part of the public interface: they appear in
/// HTTP answers, logs and exit messages, and are listed in docs/result-codes.md.
/// A number is never reused for another meaning.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    UnknownSetting = 1001,
    WrongType = 1002,
    OutOfRange = 1003,
    DuplicateKey = 1004,
    SyntaxError = 1005,
    VersionConflict = 1006,
    PermissionDenied = 1007,
    ValueTooLarge = 1008,
    UnknownPlugin = 1009,
    IncompatibleSettings = 1010,
    MissingSetting = 1011,
    FileUnreadable = 1012,

    MalformedRequest = 2001,
    RequestTooLarge = 2002,
    Overloaded = 2010,
    DeadlineExpired = 2011,
    NoInstance = 2012,
    ShuttingDown = 2013,
    RecordUnavailable = 2014,
    NotHandedOver = 2015,
    OutcomeUnknown = 2020,
    IncompleteAnswer = 2021,
    RequestIdReused = 2022,
    RequestNotFound = 2023,
    BackendFailed = 2024,

    TaskImpossible = 3001,
    TaskNotFound = 3002,
    TaskTerminal = 3003,
    QuotaExceeded = 3004,
    JobIdReused = 3005,
    HostUnusable = 3006,
    StalePermit = 3007,
    StaleEpoch = 3008,
    RepeatedStart = 3009,
    JobNotFound = 3010,
    QueueNotFound = 3011,
    NotReady = 3012,
    JobCancelled = 3013,
    HostReplaced = 3014,

    TornEntry = 4001,
    RepeatedEntry = 4002,
    ForeignEpoch = 4003,
    UnsupportedFormat = 4004,
    InvariantViolated = 4005,
    MissingEntry = 4006,
    CorruptSnapshot = 4007,

    PlatformUnavailable = 5001,
    CheckFailed = 5002,
    WriteOutcomeUnknown = 5003,
    PlatformProtocol = 5004,
    HistoryLost = 5005,
    WriteRejected = 5006,

    FrameTooLarge = 6001,
    TruncatedFrame = 6002,
    InvalidMessage = 6003,
    ConnectionFailed = 6004,
    TimedOut = 6005,
    UnknownMessage = 6006,

    UnknownPath = 7001,
    UnknownFailureDomain = 7002,
    UnknownHost = 7003,
    NotHolder = 7004,

    UsageError = 8001,

    UnknownMetric = 9001,
    MalformedRule = 9002,
    MissingSeries = 9003,
};

/// One row of the result code table.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    std::string_view meaning;
};

/// Returns all result codes in ascending order. Thread-safe.
std::span<const ResultCodeInfo> resultCodes();

/// Returns the name of @p code, or "Unrecognized" for a number that is not in the table.
/// Thread-safe.
std::string_view resultCodeName(ResultCode code);

} // namespace acaciadeal

#endif
