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

/// What daemons tell each other about one daemon.
struct MemberInfo
{
    DaemonId daemon;
    /// Higher for each start of the daemon.
    std::uint64_t incarnation = 0;
    FailureDomainId failureDomain;
    Endpoint http;
    Endpoint peer;

    friend bool operator==(const MemberInfo &, const MemberInfo &) = default;
};

/// Sent periodically; the answer is a Heartbeat of the receiver.
struct Heartbeat
{
    MemberInfo sender;
    std::vector<MemberInfo> members;
    std::vector<std::string> leavingInstances;
    std::uint64_t settingsVersion = 0;
    /// Whether the sender is shutting down and takes no more work.
    bool leaving = false;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Asks for the settings entries after a version; the answer is SettingsEntries.
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
    /// Number of changes of this path up to this one.
    std::uint64_t pathVersion = 0;
    TeamId team;
    RequestId requestId;

    friend bool operator==(const SettingsEntry &, const SettingsEntry &) = default;
};

/// Entries in ascending order of version. As a request it pushes new entries and is answered by
/// empty SettingsEntries.
struct SettingsEntries
{
    std::vector<SettingsEntry> entries;

    friend bool operator==(const SettingsEntries &, const SettingsEntries &) = default;
};

/// A caller's request forwarded to a daemon of another failure domain.
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

/// Answer to a message that was not carried out.
struct Refusal
{
    Error error;

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

using PeerMessage = std::variant<Heartbeat, SettingsFetch, SettingsEntries, ForwardedRequest,
                                 ForwardedAnswer, Refusal>;

} // namespace acaciadeal

#endif
