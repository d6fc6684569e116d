#ifndef ACACIADEAL_FLEET_FLEETDAEMON_H
#define ACACIADEAL_FLEET_FLEETDAEMON_H

#include "base/error.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace acaciadeal {

/// A daemon that schedules jobs of steps over the hosts of a users' platform. Every daemon serves
/// callers; one of them at a time holds the shard and decides. Thread-safe.
class FleetDaemon
{
public:
    /// Precondition: @p settings have a fleet section.
    explicit FleetDaemon(const DaemonSettings &settings);
    ~FleetDaemon();
    FleetDaemon(const FleetDaemon &) = delete;
    FleetDaemon &operator=(const FleetDaemon &) = delete;

    /// Opens the sockets and begins to serve. Errors: UnknownPlugin, ConnectionFailed.
    Result<void> start();
    /// Hands the shard over, finishes what is in progress, and returns.
    void shutDown();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
