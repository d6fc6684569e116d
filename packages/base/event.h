#ifndef ACACIADEAL_BASE_EVENT_H
#define ACACIADEAL_BASE_EVENT_H

#include <cstdint>
#include <span>
#include <string_view>

namespace acaciadeal {

enum class Severity : std::uint8_t { Info, Warning, Error };

/// Numbered log event. The numbers are part of the public interface and are listed in
/// docs/log-events.md. A number is never reused for another meaning.
enum class EventId : std::uint16_t {
    DaemonStarted = 1001,
    DaemonStopping = 1002,
    DaemonStopped = 1003,
    SettingsFileRejected = 1004,
    EmbeddedPlatform = 1005,
    SettingsApplied = 1101,
    SettingsDenied = 1102,
    SettingsStale = 1103,
    SettingsReloaded = 1104,
    RequestRefused = 2001,
    RequestOutcomeUnknown = 2002,
    AnswerIncomplete = 2003,
    InstanceSuspended = 2004,
    InstanceResumed = 2005,
    ShardClaimed = 3001,
    ShardLost = 3002,
    ShardReleased = 3003,
    ShardRecovered = 3004,
    LogEntryRefused = 3005,
    TaskEvicted = 3006,
    TaskImpossible = 3007,
    HostUnreachable = 3008,
    HostOnProbation = 3009,
    TaskLate = 3010,
    DomainChanged = 3011,
    OperatorConfirmedHostOff = 3012,
    PlatformUnreachable = 4001,
    PlatformReachable = 4002,
    WriteOutcomeUnknown = 4003,
    MemberJoined = 5001,
    MemberLost = 5002,
    FrameRefused = 5003,
    AlertFiring = 6001,
    AlertResolved = 6002,
    AlertSeriesMissing = 6003,
    AdminDenied = 7001,
    JobAccepted = 8001,
    JobRejected = 8002,
    JobOutcomeUnknown = 8003,
    JobCancelled = 8004,
    JobEnded = 8005,
    TaskOrdered = 8006,
    TaskNotStarted = 8007,
    RunEnded = 8008,
    RunLost = 8009,
    RunAdopted = 8010,
    HostAvoided = 8011,
    HostReachable = 8012,
    ConfigurationApplied = 8013,
    EvacuationChanged = 8014,
    RowIgnored = 8015,
    LogLinesDropped = 8016,
    TaskPaced = 8017,
    JobInquired = 8018,
    FleetStatus = 8019,
    JobOffered = 8020,
    TaskWaits = 8021,
    HostReportIncomplete = 8022,
    QueueInquired = 8023,
    PendingJobsCounted = 8024,
    HolderNotNotified = 8025,
    RowRejected = 8026,
    LeasesInherited = 8027,
    LeasesHandedOver = 8028,
    RecoveryFinished = 8029,
    HostRestarted = 8030,
};

/// Entry of the event catalogue.
struct EventInfo
{
    EventId id;
    Severity severity;
    std::string_view name;
    std::string_view meaning;
};

/// Returns all events in ascending order. Thread-safe.
std::span<const EventInfo> eventCatalogue();

/// Returns the catalogue entry of @p id. Precondition: @p id is in the catalogue. Thread-safe.
const EventInfo &eventInfo(EventId id);

/// Returns the name of @p severity as written in logs. Thread-safe.
std::string_view severityName(Severity severity);

} // namespace acaciadeal

#endif
