#ifndef ACACIADEAL_DISPATCH_WAITORDER_H
#define ACACIADEAL_DISPATCH_WAITORDER_H

#include "dispatch/fleetstate.h"

#include <vector>

namespace acaciadeal {

/// A step with waiting tasks whose dependencies are done.
struct ReadyStep
{
    JobRuntime *job = nullptr;
    std::uint32_t step = 0;
};

/// Returns the steps whose tasks may start, in scheduling order.
///
/// Load pattern: more work waits than fits, and some of it has already missed its objective. Jobs
/// that are so late that their callers no longer wait come last. The others are ordered by
/// priority; within a priority, short tasks come before long-running ones, which would occupy
/// resources for minutes; then jobs that can still meet their objective come before late ones; then
/// by the end of the objective. No step is dropped.
std::vector<ReadyStep> readySteps(FleetState &fleet, TimePoint now);

/// Updates the recent peak of the processors that short committed tasks need, and the processors
/// that are left for long-running tasks. Called once before each scheduling round.
void updateUrgentDemand(FleetState &fleet, TimePoint now);

/// Updates the free processors that restarts of long-running tasks do not need. Called once before
/// each scheduling round, after preparePlacementRound().
///
/// Load pattern: a part of the hosts of a fleet that is full of long-running tasks is replaced, and
/// thousands of others that never ran wait longer than the tasks that ran there. Without the
/// reserve, those would take the new hosts first.
void updateRestartDemand(FleetState &fleet, TimePoint now);

/// Returns whether a long-running task that has been down for @p down must start before all other
/// tasks as soon as the fleet has room for two such tasks. It serves users, so each second of
/// downtime matters. Thread-safe.
bool isOverdue(Duration down);

/// Returns whether a task of a long-running step ran before, waits again, and is overdue.
bool hasOverdueRestart(const StepRuntime &step, TimePoint now);

/// Returns whether the restart of a long-running task that has been down for @p down must take the
/// first place that there is. Thread-safe.
bool isRestartUrgent(Duration down);

/// Returns whether enough processors for the recent peak of short tasks would remain if a
/// long-running task of @p step started.
bool leavesRoomForUrgentTasks(const FleetState &fleet, const StepSpec &step);

} // namespace acaciadeal

#endif
