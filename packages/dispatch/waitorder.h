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
/// its caller waits for. Long-running tasks first, since each second away counts; then by class
/// priority; within a class, jobs that can still meet their objective by the end of the objective;
/// then late ones; last those so late that nobody waits for them any more. Nothing is dropped.
std::vector<ReadyStep> readySteps(FleetState &fleet, TimePoint now);

} // namespace acaciadeal

#endif
