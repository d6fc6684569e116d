#ifndef ACACIADEAL_DISPATCH_SIMULATEDLOAD_H
#define ACACIADEAL_DISPATCH_SIMULATEDLOAD_H

#include "dispatch/taskrun.h"
#include "jobs/jobspec.h"

#include <random>
#include <vector>

namespace acaciadeal {

enum class JobKind : std::uint8_t {
    /// Short tasks that a caller waits for.
    Urgent,
    /// Backfill tasks, which use processors that others leave idle.
    Batch,
    /// Serving tasks, which serve their own users until the job is cancelled.
    LongRunning,
};

struct SimulatedJob
{
    JobKind kind = JobKind::Urgent;
    JobSpec spec;
    /// Whether every run of its first task fails.
    bool firstTaskAlwaysFails = false;
    bool cancelled = false;
    /// Mean run time of a task, by step.
    std::vector<Duration> meanRunTimes;
};

/// Service of all simulated jobs and hosts.
inline const ServiceId simulatedService{"svc"};

/// Source of all randomness of a simulation. Neither it nor the functions that draw from it are
/// thread-safe.
using Random = std::mt19937_64;

/// Returns a uniformly distributed number from 0 to below 1.
double uniform(Random &random);
/// Returns true with this probability.
bool chance(Random &random, double probability);
/// Returns an exponentially distributed duration, such as the time to the next of several
/// independent events. Precondition: @p mean is positive.
Duration exponential(Random &random, Duration mean);

/// Returns @p duration multiplied by @p factor. Thread-safe.
Duration scaled(Duration duration, double factor);

/// Returns a random job with sizes, run times and limits typical of its kind. @p number makes its
/// id unique.
SimulatedJob generateJob(Random &random, JobKind kind, int number);

/// Returns a random run time of a successful run of a task of @p step. Precondition: the step
/// exists.
Duration drawRunTime(Random &random, const SimulatedJob &job, std::uint32_t step);

/// Returns the share of tasks whose first run fails through a fault of its own. Thread-safe.
double failShareOf(JobKind kind);

/// Returns the tail latency in ms of a serving task of @p step that has run for @p age, without
/// interference from backfill tasks. Thread-safe.
double tailLatencyMs(const StepSpec &step, Duration age);

} // namespace acaciadeal

#endif
