#ifndef ACACIADEAL_KERNEL_PLUGINREGISTRY_H
#define ACACIADEAL_KERNEL_PLUGINREGISTRY_H

#include "base/error.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciadeal {

/// Plug-ins of one kind by name. @p Plugin is a plain struct of function pointers or factories and
/// declares `static constexpr std::string_view kind`, the setting that selects it.
///
/// Plug-ins register from static objects before main() starts, so the registry needs no lock.
/// The object files that contain them must be linked as CMake OBJECT libraries; from a static
/// library the linker would drop them.
template<typename Plugin>
class PluginRegistry
{
public:
    static PluginRegistry &instance()
    {
        static PluginRegistry registry;
        return registry;
    }

    /// Adds @p plugin. Precondition: called before main(), with a name that is not taken.
    bool add(std::string name, Plugin plugin)
    {
        return m_plugins.emplace(std::move(name), std::move(plugin)).second;
    }

    /// Returns the plug-in called @p name, or UnknownPlugin naming the ones that exist.
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
