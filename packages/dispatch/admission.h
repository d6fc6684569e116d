#ifndef ACACIADEAL_DISPATCH_ADMISSION_H
#define ACACIADEAL_DISPATCH_ADMISSION_H

#include "dispatch/fleetstate.h"

namespace acaciadeal {

struct AdmissionDecision
{
    bool admitted = true;
    /// Time after which the job would be admitted, as far as can be told; set for a rejection.
    milliseconds retryAfter{0};
    /// Inputs of the decision, for the log: work ahead of the job and processors for it.
    double backlogCoreSeconds = 0;
    double cores = 0;
};

/// Decides whether a job can still meet its objective behind the work that was accepted before it.
///
/// Load pattern: batch jobs arrive at twice the rate that idle processors can carry, for a burst or
/// for the whole day. Accepted in full, every one of them would be late. A job that could not
/// finish in time is rejected before it is stored, so the others are served in time, and its
/// caller learns at once when to come back. @p asked is when the caller first handed the job in.
AdmissionDecision judgeAdmission(const FleetState &fleet, const JobSpec &job, TimePoint asked,
                                 TimePoint now);

/// Returns the declared work of a job's backfill steps in core-seconds. Thread-safe.
double backfillWork(const JobSpec &job);

} // namespace acaciadeal

#endif
