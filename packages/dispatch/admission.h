#ifndef ACACIADEAL_DISPATCH_ADMISSION_H
#define ACACIADEAL_DISPATCH_ADMISSION_H

#include "dispatch/fleetstate.h"

namespace acaciadeal {

struct AdmissionDecision
{
    bool admitted = true;
    /// Whether the job is stored already: a repetition is accepted without another write.
    bool stored = false;
    /// Time after which the job would be admitted, as far as can be told; set for a rejection.
    milliseconds retryAfter{0};
    /// Inputs of the decision, for the log: work ahead of the job and processors for it.
    double backlogCoreSeconds = 0;
    double cores = 0;
};

/// Decides whether a job can be served before its caller stops waiting for it.
///
/// Load pattern: batch jobs arrive faster than idle processors can carry, in a burst or for the
/// whole day, and images that disturb serving tasks have few hosts to run on. A job that would end
/// after many times its objective is rejected before it is stored, and its caller learns when to
/// come back. @p asked is when the caller first handed the job in.
AdmissionDecision decideAdmission(FleetState &fleet, const JobSpec &job, TimePoint firstSubmittedAt,
                                  TimePoint now);

/// Returns the declared work of a job's backfill steps in core-seconds. Thread-safe.
double backfillWork(const JobSpec &job);

} // namespace acaciadeal

#endif
