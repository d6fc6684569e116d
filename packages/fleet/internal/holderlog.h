#ifndef ACACIADEAL_FLEET_INTERNAL_HOLDERLOG_H
#define ACACIADEAL_FLEET_INTERNAL_HOLDERLOG_H

#include "dispatch/dispatcher.h"
#include "metrics/metrics.h"

namespace acaciadeal::internal {

/// Logs and counts what the dispatcher found out since the last call.
void logFindings(Dispatcher &dispatcher, Metrics &metrics);

/// Logs the sums over the fleet.
void logStatus(const FleetState &fleet);

} // namespace acaciadeal::internal

#endif
