#ifndef ACACIADEAL_FLEET_FLEETADAPTER_H
#define ACACIADEAL_FLEET_FLEETADAPTER_H

#include "fleet/fleetconfig.h"
#include "fleet/hostclient.h"
#include "fleet/jobfrontend.h"
#include "fleet/operatortableschema.h"
#include "http/httpserver.h"

#include <functional>
#include <string_view>

namespace acaciadeal {

class EventLoop;

/// What an adapter's request handler for callers uses.
struct CallerEnvironment
{
    JobFrontend &jobs;
    /// Returns the configuration in force, whose queues callers address, or nullptr before the
    /// first one was read.
    std::function<const OperatorView *()> view;
};

/// Plug-in that translates between the fleet daemon and the protocols of one users' platform.
struct FleetAdapter
{
    static constexpr std::string_view settingName = "fleet.adapter";
    /// Returns the functions that send calls to hosts, with connections of their own. Precondition:
    /// @p loop outlives them.
    HostClient (*createHostClient)(EventLoop &loop);
    /// Returns how the rows of operators are decoded.
    OperatorTableSchema (*operatorTableSchema)();
    /// Returns the handler of callers' requests.
    HttpHandler (*createCallerHandler)(CallerEnvironment environment);
};

} // namespace acaciadeal

#endif
