#ifndef ACACIADEAL_DISPATCH_PLACEMENT_H
#define ACACIADEAL_DISPATCH_PLACEMENT_H

#include "dispatch/fleetstate.h"

namespace acaciadeal {

/// Share of the processors committed to a task with a tail target that it uses on average. Such
/// tasks are sized for their peak; what they leave idle is open to backfill tasks.
inline constexpr double servingUse = 0.5;
/// Idle share of a backfill task's processors that a host must have left. Below it a task runs
/// slower than it would by waiting for one of the tasks there to end.
inline constexpr double minBackfillShare = 0.7;
/// Tail-to-target ratio from which a host gets no more backfill tasks.
inline constexpr double crowdedTailRatio = 0.8;

/// Returns whether any host, however busy, could ever run a task of @p step.
bool canEverRun(const FleetState &fleet, const ServiceId &service, const StepSpec &step);

/// Chooses the host for one task of @p job's step @p step, or nullptr if none has room now.
///
/// Load pattern: serving tasks hold most processors for long, urgent short tasks arrive in bunches
/// and need theirs whole, and batch tasks live on what is idle. Urgent and serving tasks go to the
/// host with the largest free share, so that bunches spread; backfill tasks go where most
/// processors are idle and the tails are furthest below their targets.
FleetHost *chooseHost(FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                      const TaskRuntime &task, TimePoint now);

} // namespace acaciadeal

#endif
