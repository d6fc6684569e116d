#ifndef ACACIADEAL_SCHEDULING_INTERNAL_HOLDERDETAIL_H
#define ACACIADEAL_SCHEDULING_INTERNAL_HOLDERDETAIL_H

#include "scheduling/holder.h"

namespace acaciadeal::internal {

/// Returns @p length plus @p times the drift allowance.
Duration addClockDrift(const HolderOptions &options, Duration length, int times);

/// Returns the task of @p run while it is placed under this incarnation, else nullptr.
const Task *findPlacedTask(const ShardState &state, const TaskRun &run);

/// Returns the time after which every lease on the worker has ended, if any was granted.
std::optional<TimePoint> latestLeaseEnd(const WorkerView &view);

/// Returns whether a worker would still accept a start with the permit of @p pending.
bool isWithinStartWindow(const Holder &holder, const PendingStart &pending, TimePoint now);

/// Moves as many runs from the drain queue to the stops as the drain rate allows.
void scheduleDrainStops(Holder &holder, TimePoint now);

} // namespace acaciadeal::internal

#endif
