#ifndef ACACIADEAL_DAEMON_PLUGINS_H
#define ACACIADEAL_DAEMON_PLUGINS_H

#include <string>
#include <vector>

namespace acaciadeal {

/// Registered plug-ins of one kind.
struct PluginGroup
{
    std::string kind;
    std::vector<std::string> names;
};

/// Returns the plug-ins built into the program. Thread-safe.
std::vector<PluginGroup> pluginGroups();

} // namespace acaciadeal

#endif
