#include "daemon/plugins.h"

#include "fleet/fleetadapter.h"
#include "kernel/pluginregistry.h"
#include "requests/routingpolicy.h"
#include "scheduling/placementpolicy.h"
#include "store/platform.h"

namespace acaciadeal {
namespace {

template<typename Plugin>
PluginGroup groupOf()
{
    return {std::string(Plugin::settingName), PluginRegistry<Plugin>::instance().names()};
}

} // namespace

std::vector<PluginGroup> pluginGroups()
{
    return {groupOf<PlatformPlugin>(), groupOf<RoutingPolicy>(), groupOf<PlacementPolicy>(),
            groupOf<FleetAdapter>()};
}

} // namespace acaciadeal
