#ifndef ACACIADEAL_FLEET_OPERATORTABLESCHEMA_H
#define ACACIADEAL_FLEET_OPERATORTABLESCHEMA_H

#include "base/error.h"
#include "fleet/fleetconfig.h"

#include <functional>
#include <optional>
#include <string>

namespace acaciadeal {

/// How operators say what they want, in rows of one table.
struct OperatorTableSchema
{
    std::string table;
    /// Key of the row with the configuration.
    std::string configKey;
    std::function<Result<FleetConfig>(const std::string &value)> decodeConfig;
    /// Returns the failure domain that the row with this key takes out, if it is such a row.
    std::function<std::optional<FailureDomainId>(const std::string &key)> evacuatedBy;
};

} // namespace acaciadeal

#endif
