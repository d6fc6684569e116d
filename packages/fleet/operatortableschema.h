#ifndef ACACIADEAL_FLEET_OPERATORTABLESCHEMA_H
#define ACACIADEAL_FLEET_OPERATORTABLESCHEMA_H

#include "base/error.h"
#include "fleet/fleetconfig.h"

#include <functional>
#include <optional>
#include <string>

namespace acaciadeal {

/// Describes the platform's table in which operators store their settings, and how to decode it.
struct OperatorTableSchema
{
    std::string table;
    /// Key of the row that holds the configuration.
    std::string configKey;
    std::function<Result<FleetConfig>(const std::string &value)> decodeConfig;
    /// Returns the failure domain that is evacuated while a row with this key exists; nullopt if
    /// the key is not that of an evacuation.
    std::function<std::optional<FailureDomainId>(const std::string &key)> evacuatedBy;
};

} // namespace acaciadeal

#endif
