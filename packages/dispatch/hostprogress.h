#ifndef ACACIADEAL_DISPATCH_HOSTPROGRESS_H
#define ACACIADEAL_DISPATCH_HOSTPROGRESS_H

#include "dispatch/dispatcher.h"

namespace acaciadeal {

/// Avoids a host for a probation, because of @p reason.
void avoidHost(Dispatcher &dispatcher, FleetHost &host, std::string reason, TimePoint now);

/// Notes how long a task of a step took, for comparison with its siblings.
void recordRunTime(StepRuntime &step, Duration runTime);

/// Returns whether the run takes several times as long as the same work takes elsewhere, by its
/// progress: as the shortest run of a sibling, or else as declared.
bool isLagging(const StepSpec &spec, const StepRuntime &step, const TaskRuntime &task,
               TimePoint now);

/// Judges a host by the progress of its running tasks after a report.
///
/// Load pattern: a tenth of the hosts runs several times slower for seconds, or lets everything on
/// it stand still, and answers all the same. A host on which tasks of two jobs lag is
/// avoided for a while, and what lags there is stopped, to start elsewhere.
void checkHostProgress(Dispatcher &dispatcher, FleetHost &host, TimePoint now);

} // namespace acaciadeal

#endif
