#ifndef ACACIADEAL_KERNEL_PLUGINREGISTRY_H
#define ACACIADEAL_KERNEL_PLUGINREGISTRY_H

#include "base/error.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciadeal {

/// Registry of the plug-ins of one type, by name. @p Plugin is a plain struct of function pointers
/// or factories and declares `static constexpr std::string_view settingName`, the name of the
/// setting that selects the plug-in.
///
/// Static objects register the plug-ins before main() starts, so the registry needs no lock.
/// Plug-ins must be linked from CMake OBJECT libraries: from a static library, the linker would
/// drop object files to which nothing refers.
template<typename Plugin>
class PluginRegistry
{
public:
    static PluginRegistry &instance()
    {
        static PluginRegistry registry;
        return registry;
    }

    /// Adds @p plugin. Precondition: called before main(), with a name that is not registered yet.
    bool add(std::string name, Plugin plugin)
    {
        return m_plugins.emplace(std::move(name), std::move(plugin)).second;
    }

    /// Returns the plug-in called @p name, or UnknownPlugin with a list of the registered names.
    /// Thread-safe after main() has started.
    Result<Plugin> find(const std::string &name) const
    {
        const auto it = m_plugins.find(name);
        if (it != m_plugins.end()) {
            return it->second;
        }
        std::string message = "unknown plug-in \"" + name + "\"; available:";
        for (const auto &entry : m_plugins) {
            message += " " + entry.first;
        }
        return failure(ResultCode::UnknownPlugin, std::move(message),
                       std::string(Plugin::settingName));
    }

    /// Returns the registered names in alphabetical order. Thread-safe after main() has started.
    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &entry : m_plugins) {
            result.push_back(entry.first);
        }
        return result;
    }

private:
    std::map<std::string, Plugin> m_plugins;
};

/// Registers a plug-in when a static object of this type is constructed.
template<typename Plugin>
struct PluginRegistration
{
    PluginRegistration(std::string name, Plugin plugin)
    {
        PluginRegistry<Plugin>::instance().add(std::move(name), std::move(plugin));
    }
};

} // namespace acaciadeal

#endif
