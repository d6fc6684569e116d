#ifndef ACACIADEAL_DISPATCH_HOSTPROGRESS_H
#define ACACIADEAL_DISPATCH_HOSTPROGRESS_H

#include "dispatch/dispatcher.h"

namespace acaciadeal {

/// Marks a host as avoided for the time DispatchOptions::avoidDuration. @p reason is for the log.
void avoidHost(Dispatcher &dispatcher, FleetHost &host, std::string reason, TimePoint now);

/// Records the run time of a completed task, to compare it with other tasks of the step.
void recordRunTime(StepRuntime &step, Duration runTime);

/// Returns whether the task's current run, judged by its progress, takes several times as long as
/// normal. Normal is the shortest run time of a completed task of the step, or the declared run
/// time if none has completed.
bool isLagging(const StepSpec &spec, const StepRuntime &step, const TaskRuntime &task,
               TimePoint now);

/// Detects a slow host by the progress of its running tasks. Called after each report.
///
/// Load pattern: for seconds, a tenth of the hosts runs several times slower or makes no progress
/// at all, but still answers. If tasks of two jobs lag on a host, it is avoided for a while and the
/// lagging runs are stopped, so that their tasks start on other hosts.
void checkHostProgress(Dispatcher &dispatcher, FleetHost &host, TimePoint now);

} // namespace acaciadeal

#endif
