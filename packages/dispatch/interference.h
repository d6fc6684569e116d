#ifndef ACACIADEAL_DISPATCH_INTERFERENCE_H
#define ACACIADEAL_DISPATCH_INTERFERENCE_H

#include "dispatch/fleetstate.h"

#include <vector>

namespace acaciadeal {

struct PaceRun;

/// Takes the tails of the host's serving tasks from their last reported loads.
void updateTailRatio(FleetState &fleet, FleetHost &host);

/// Adjusts the speed of the host's backfill tasks to the tails of its serving tasks.
///
/// Load pattern: batch tasks beside a serving task push its tail over the target, by amounts that
/// differ by image and change within seconds. The pace halves at once when a tail nears its target
/// and comes back in small steps while there is headroom, so that a serving task is never over its
/// target for long.
void adjustPace(FleetHost &host, TimePoint now);

/// Adds an order for each running backfill task whose speed differs from the host's pace.
void orderPaces(FleetState &fleet, FleetHost &host, std::vector<PaceRun> &orders);

} // namespace acaciadeal

#endif
