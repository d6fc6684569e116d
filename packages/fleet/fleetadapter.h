#ifndef ACACIADEAL_FLEET_FLEETADAPTER_H
#define ACACIADEAL_FLEET_FLEETADAPTER_H

#include "fleet/fleetconfig.h"
#include "fleet/hostport.h"
#include "fleet/jobfront.h"
#include "fleet/operatorport.h"
#include "http/httpserver.h"

#include <functional>
#include <string_view>

namespace acaciadeal {

class HttpClient;

/// What callers reach: jobs by the queues of the configuration in force.
struct CallerEnvironment
{
    JobFront &jobs;
    /// Returns the configuration in force, or nullptr.
    std::function<const OperatorView *()> view;
};

/// Plug-in that translates the words of a users' platform.
struct FleetAdapter
{
    static constexpr std::string_view settingName = "fleet.adapter";
    HostPort (*hosts)(HttpClient &client);
    OperatorRowsPort (*operators)();
    HttpHandler (*callers)(CallerEnvironment environment);
};

} // namespace acaciadeal

#endif
