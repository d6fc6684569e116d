#ifndef ACACIADEAL_DISPATCH_ADMISSION_H
#define ACACIADEAL_DISPATCH_ADMISSION_H

#include "dispatch/fleetstate.h"

namespace acaciadeal {

struct AdmissionDecision
{
    bool admitted = true;
    /// Whether the job is stored already. A repeated submission is accepted without another write.
    bool stored = false;
    /// Estimated time after which the job would be admitted; only set if it is rejected.
    milliseconds retryAfter{0};
    /// Inputs of the decision, for the log: the work ahead of the job, and the processors that it
    /// can use.
    double backlogCoreSeconds = 0;
    double cores = 0;
};

/// Decides whether a job can be completed before its caller stops waiting for it.
///
/// Load pattern: backfill work arrives faster than idle processors can process it, in a burst or
/// for a whole day, and images that interfere with serving tasks have few hosts to run on. A job
/// that would end after many times its objective is rejected before it is stored, and its caller is
/// told when to retry. @p firstSubmittedAt is when the caller first submitted the job.
AdmissionDecision decideAdmission(FleetState &fleet, const JobSpec &job, TimePoint firstSubmittedAt,
                                  TimePoint now);

/// Returns the declared work of a job's backfill steps in core-seconds. Thread-safe.
double backfillWork(const JobSpec &job);

} // namespace acaciadeal

#endif
