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

/// Returns whether a long-running task that has waited for @p waited must start before all other
/// tasks as soon as the fleet has room for two such tasks. It serves users, so each second of
/// downtime matters. Thread-safe.
bool isOverdue(Duration waited);

/// Returns whether enough processors for the recent peak of short tasks would remain if a
/// long-running task of @p step started.
bool leavesRoomForUrgentTasks(const FleetState &fleet, const StepSpec &step);

} // namespace acaciadeal

#endif
