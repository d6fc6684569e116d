#include "daemon/holdersettings.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <string>

namespace acaciadeal {
namespace {

template<typename T>
void setNumber(const SettingsTree &tree, const std::string &path, T &target)
{
    if (const auto number = effectiveNumber(tree, path)) {
        target = static_cast<T>(*number);
    }
}

void setMilliseconds(const SettingsTree &tree, const std::string &path, milliseconds &target)
{
    if (const auto number = effectiveNumber(tree, path)) {
        target = milliseconds(static_cast<std::int64_t>(*number));
    }
}

/// Parses a quota. A resource that it does not mention is unlimited.
Resources quotaOf(const std::string &text)
{
    constexpr auto unlimited = std::numeric_limits<std::int64_t>::max() / 2;
    const auto value = nlohmann::json::parse(text, nullptr, false);
    Resources quota{unlimited, unlimited, unlimited};
    if (value.is_object()) {
        quota.milliCores = value.value("milli_cores", unlimited);
        quota.memoryMiB = value.value("memory_mib", unlimited);
        quota.accelerators = value.value("accelerators", unlimited);
    }
    return quota;
}

} // namespace

void applyHolderSettings(const SettingsTree &tree, HolderOptions &options)
{
    setMilliseconds(tree, "/system/leases/lease_ms", options.lease);
    setMilliseconds(tree, "/system/leases/renew_period_ms", options.renewPeriod);
    setMilliseconds(tree, "/system/leases/outage_lease_ms", options.outageLease);
    setMilliseconds(tree, "/system/leases/autonomy_ms", options.autonomy);
    setNumber(tree, "/system/workers/probation_failures", options.probationFailures);
    setNumber(tree, "/system/workers/unreachable_after", options.unreachableAfter);
    setNumber(tree, "/system/drain_rate", options.drainPerSecond);
    setNumber(tree, "/system/refill_rate", options.refillPerSecond);
    options.quotas.clear();
    const std::string prefix = "/teams/";
    const std::string suffix = "/quota";
    for (const auto &[path, value] : tree.values) {
        if (path.starts_with(prefix) && path.ends_with(suffix) && !value.value.empty()
            && value.value != "null") {
            const TeamId team{
                path.substr(prefix.size(), path.size() - prefix.size() - suffix.size())};
            options.quotas[team] = quotaOf(value.value);
        }
    }
}

} // namespace acaciadeal
