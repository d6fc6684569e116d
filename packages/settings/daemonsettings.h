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

/// Settings of a daemon that schedules on the hosts of the users' platform.
struct FleetSettings
{
    /// Name of the plug-in (FleetAdapter) that translates between the daemon's interfaces and the
    /// protocol and data formats of the platform.
    std::string adapter;
    /// Listen address for the load balancer's readiness probes.
    Endpoint readyListen;
    /// Longest lease that hosts grant; a longer requested lease is shortened to this.
    milliseconds maxLease{6000};
    /// CPU share of the daemon in cores, and network bandwidth of its host in Mbit/s; 0 if unknown.
    /// Daemons on small hosts leave the shard to other daemons where possible.
    double coreShare = 0;
    double linkMbps = 0;
    /// Listen address for metrics requests; port 0 if metrics are not served.
    Endpoint metricsListen;
};

/// Settings that a daemon reads from its settings file at startup. Settings that can change at run
/// time are in the settings tree instead.
struct DaemonSettings
{
    DaemonId daemon;
    std::string deployment;
    std::string region;
    FailureDomainId failureDomain;
    /// All failure domains of the deployment, each with one shard of the same name.
    std::vector<FailureDomainId> failureDomains;
    /// Listen address for callers, operators and metrics.
    Endpoint httpListen;
    /// Listen address for other daemons.
    Endpoint peerListen;
    /// Peer addresses of other daemons to contact at startup.
    std::vector<Endpoint> seeds;
    std::string platformAdapter = "http";
    Endpoint platformEndpoint;
    Duration platformTimeout = std::chrono::seconds(3);
    /// Whether one worker runs inside the daemon; only with the in-memory platform.
    bool embeddedWorker = false;
    int trafficThreads = 2;
    std::string routingPolicy = "two-choices";
    std::string placementPolicy = "spread-reserve";
    /// Team by access token; the team "system" may write all settings.
    std::map<std::string, TeamId> tokens;
    /// Set for a daemon that schedules on the hosts of the users' platform.
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
