#ifndef ACACIADEAL_FLEET_FLEETDAEMON_H
#define ACACIADEAL_FLEET_FLEETDAEMON_H

#include "base/error.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace acaciadeal {

/// Daemon that schedules jobs on the hosts of a users' platform. Every daemon serves callers; at
/// any time at most one of them holds the shard and makes the scheduling decisions. Thread-safe.
class FleetDaemon
{
public:
    /// Precondition: @p settings have a fleet section.
    explicit FleetDaemon(const DaemonSettings &settings);
    ~FleetDaemon();
    FleetDaemon(const FleetDaemon &) = delete;
    FleetDaemon &operator=(const FleetDaemon &) = delete;

    /// Opens the sockets and starts serving. Errors: UnknownPlugin, ConnectionFailed.
    Result<void> start();
    /// Releases the shard, finishes the requests in progress, and returns.
    void shutDown();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
