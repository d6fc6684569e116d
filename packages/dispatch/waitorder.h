#ifndef ACACIADEAL_DISPATCH_WAITORDER_H
#define ACACIADEAL_DISPATCH_WAITORDER_H

#include "dispatch/fleetstate.h"

#include <vector>

namespace acaciadeal {

/// A step with tasks that may start.
struct ReadyStep
{
    JobRuntime *job = nullptr;
    std::uint32_t step = 0;
};

/// Returns the steps whose tasks may start, in the order in which they should.
///
/// Load pattern: more work waits than there is room for, and some of it has already missed what
/// its caller waits for. By class priority; within a class, short tasks before long-running ones,
/// which would hold the room for minutes; then jobs that can still meet their objective by its end,
/// then late ones; last those so late that nobody waits for them any more. Nothing is dropped.
std::vector<ReadyStep> readySteps(FleetState &fleet, TimePoint now);

/// Follows the processors that short committed tasks need, at their recent peak, and what they
/// leave for long-running ones. Called once before a round of decisions.
void updateUrgentDemand(FleetState &fleet, TimePoint now);

/// Returns whether a long-running task that has waited for @p waited has to start before everything
/// else once the fleet has room for it twice over: each second away counts. Thread-safe.
bool isOverdue(Duration waited);

/// Returns whether a long-running task may start although others wait: it leaves the room that
/// short tasks need from time to time.
bool leavesRoomForUrgentTasks(const FleetState &fleet, const StepSpec &step);

} // namespace acaciadeal

#endif
