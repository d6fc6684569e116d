#ifndef ACACIADEAL_DISPATCH_PLACEMENT_H
#define ACACIADEAL_DISPATCH_PLACEMENT_H

#include "dispatch/fleetstate.h"

namespace acaciadeal {

/// Part of a backfill task's processors that a host must have left. Below it a task runs slower
/// than it would by waiting for one of the tasks there to end.
inline constexpr double minBackfillShare = 0.7;
/// Tail-to-target ratio that a backfill task may bring a serving task to.
inline constexpr double maxExpectedTailRatio = 0.85;

/// Returns whether any host, however busy, could ever run a task of @p step.
bool canEverRun(const FleetState &fleet, const ServiceId &service, const StepSpec &step);

/// Chooses the host for one task of @p job's step @p step, or nullptr if none has room now.
///
/// Load pattern: serving tasks hold most processors for long, urgent short tasks arrive in bunches
/// and need theirs whole, and batch tasks live on what is idle but disturb what serves beside them.
/// Serving tasks are packed onto as few hosts as possible, so that whole hosts stay free of them;
/// urgent tasks fill the gaps of the packed hosts first; batch tasks go to hosts without serving
/// tasks, and beside those only where the pair of images is known not to disturb.
FleetHost *chooseHost(FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                      const TaskRuntime &task, TimePoint now);

} // namespace acaciadeal

#endif
