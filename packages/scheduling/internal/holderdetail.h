#ifndef ACACIADEAL_SCHEDULING_INTERNAL_HOLDERDETAIL_H
#define ACACIADEAL_SCHEDULING_INTERNAL_HOLDERDETAIL_H

#include "scheduling/holder.h"

namespace acaciadeal::internal {

/// Returns @p length extended by @p times the allowed clock drift over that length.
Duration addClockDrift(const HolderOptions &options, Duration length, int times);

/// Returns the task of @p run while it is placed under this incarnation, else nullptr.
const Task *findPlacedTask(const ShardState &state, const TaskRun &run);

/// Returns the latest time at which a lease on the worker can end, or nothing if no lease can
/// exist.
std::optional<TimePoint> latestLeaseEnd(const WorkerView &view);

/// Returns whether the worker would still accept a start with the permit of @p pending.
bool isWithinStartWindow(const Holder &holder, const PendingStart &pending, TimePoint now);

/// Moves runs from the drain queue to the runs to stop, as many as the drain rate allows.
void scheduleDrainStops(Holder &holder, TimePoint now);

} // namespace acaciadeal::internal

#endif
