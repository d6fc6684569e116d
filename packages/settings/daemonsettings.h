#ifndef ACACIADEAL_SETTINGS_DAEMONSETTINGS_H
#define ACACIADEAL_SETTINGS_DAEMONSETTINGS_H

#include "base/error.h"
#include "base/identifier.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

/// Settings of a daemon that schedules over the hosts of a users' platform.
struct FleetSettings
{
    /// Plug-in that translates the platform's words.
    std::string adapter;
    /// Address that answers the balancer's probes.
    Endpoint readyListen;
    /// Longest lease that hosts grant; they shorten longer ones.
    milliseconds maxLease{6000};
    /// Share of a core that the daemon gets, and the host's link in Mbit/s; 0 if they are not
    /// known. Daemons on small hosts leave the shard to others where they can.
    double coreShare = 0;
    double linkMbps = 0;
    /// Address of the metrics; port 0 if they are not served.
    Endpoint metricsListen;
};

/// Settings that a daemon reads from its file at start. Everything that may change while it runs is
/// in the settings tree instead.
struct DaemonSettings
{
    DaemonId daemon;
    std::string deployment;
    std::string region;
    FailureDomainId failureDomain;
    /// All failure domains of the deployment, each with one shard of the same name.
    std::vector<FailureDomainId> failureDomains;
    /// Address for callers, operators and metrics.
    Endpoint httpListen;
    /// Address for other daemons.
    Endpoint peerListen;
    /// Peer addresses of other daemons that are tried at start.
    std::vector<Endpoint> seeds;
    std::string platformAdapter = "http";
    Endpoint platformEndpoint;
    Duration platformTimeout = std::chrono::seconds(3);
    /// Runs one worker inside the daemon; only with the in-memory platform.
    bool embeddedWorker = false;
    int trafficThreads = 2;
    std::string routingPolicy = "two-choices";
    std::string placementPolicy = "spread-reserve";
    /// Team tokens by token text; the team "system" may write everything.
    std::map<std::string, TeamId> tokens;
    /// Set for a daemon that schedules over the hosts of a users' platform.
    std::optional<FleetSettings> fleet;
};

/// Parses a settings file: JSON with comments. Errors: SyntaxError with line and column, and
/// UnknownSetting, WrongType, OutOfRange, MissingSetting, DuplicateKey, IncompatibleSettings with
/// the path. Thread-safe.
Result<DaemonSettings> parseDaemonSettings(const std::string &text);

/// Reads and parses a settings file. Errors: FileUnreadable and those of parseDaemonSettings().
Result<DaemonSettings> readDaemonSettings(const std::string &path);

} // namespace acaciadeal

#endif
