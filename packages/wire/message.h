#ifndef ACACIADEAL_WIRE_MESSAGE_H
#define ACACIADEAL_WIRE_MESSAGE_H

#include "base/error.h"
#include "base/identifier.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace acaciadeal {

/// Information about one daemon that daemons exchange.
struct MemberInfo
{
    DaemonId daemon;
    /// Increases with each start of the daemon.
    std::uint64_t incarnation = 0;
    FailureDomainId failureDomain;
    Endpoint http;
    Endpoint peer;

    friend bool operator==(const MemberInfo &, const MemberInfo &) = default;
};

/// Sent periodically; the receiver answers with its own Heartbeat.
struct Heartbeat
{
    MemberInfo sender;
    std::vector<MemberInfo> members;
    /// Instances that are leaving according to the host list or to their own answers, but not only
    /// according to other daemons.
    std::vector<std::string> leavingInstances;
    std::uint64_t settingsVersion = 0;
    /// Whether the sender is shutting down and accepts no more work.
    bool leaving = false;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Requests the settings entries after a version; answered with SettingsEntries.
struct SettingsFetch
{
    std::uint64_t afterVersion = 0;

    friend bool operator==(const SettingsFetch &, const SettingsFetch &) = default;
};

/// One accepted change of the settings tree.
struct SettingsEntry
{
    /// Position in the total order of changes, from 1 without gaps.
    std::uint64_t version = 0;
    std::string path;
    /// JSON text; empty if the path was removed.
    std::string value;
    /// Number of changes of this path up to and including this one.
    std::uint64_t pathVersion = 0;
    TeamId team;
    RequestId requestId;

    friend bool operator==(const SettingsEntry &, const SettingsEntry &) = default;
};

/// Entries in ascending order of version. Also sent as a request to push new entries; the answer is
/// then an empty SettingsEntries.
struct SettingsEntries
{
    std::vector<SettingsEntry> entries;

    friend bool operator==(const SettingsEntries &, const SettingsEntries &) = default;
};

/// A caller's request that is forwarded to a daemon in another failure domain.
struct ForwardedRequest
{
    RequestId id;
    std::string tenant;
    std::string requestClass;
    ServiceId service;
    bool repeatable = false;
    /// Time left until the caller's deadline.
    milliseconds timeout{0};
    std::string body;

    friend bool operator==(const ForwardedRequest &, const ForwardedRequest &) = default;
};

struct ForwardedAnswer
{
    unsigned status = 0;
    std::string body;

    friend bool operator==(const ForwardedAnswer &, const ForwardedAnswer &) = default;
};

/// Error response to a message that was not carried out.
struct Refusal
{
    Error error;

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

using PeerMessage = std::variant<Heartbeat, SettingsFetch, SettingsEntries, ForwardedRequest,
                                 ForwardedAnswer, Refusal>;

} // namespace acaciadeal

#endif
