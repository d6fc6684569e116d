#ifndef ACACIADEAL_DISPATCH_SIMULATEDLOAD_H
#define ACACIADEAL_DISPATCH_SIMULATEDLOAD_H

#include "dispatch/taskrun.h"
#include "jobs/jobspec.h"

#include <random>
#include <vector>

namespace acaciadeal {

enum class JobKind : std::uint8_t {
    /// Short tasks whose caller waits.
    Urgent,
    /// Tasks that use processors which others leave idle.
    Batch,
    /// Serves its own users until it is cancelled.
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
    std::vector<Duration> meanRunTime;
};

/// Service of all jobs and hosts.
inline const ServiceId simulatedService{"svc"};

/// Source of all randomness of a simulation. Neither it nor the functions that draw from it are
/// thread-safe.
using Random = std::mt19937_64;

/// Returns a number from 0 to below 1.
double uniform(Random &random);
/// Returns true with this probability.
bool chance(Random &random, double probability);
/// Returns the time to the next of several independent events. Precondition: @p mean is positive.
Duration exponential(Random &random, Duration mean);

/// Returns the product. Thread-safe.
Duration scaled(Duration duration, double factor);

/// Returns a job with the sizes, run times and limits of its kind; @p number makes its id unique.
SimulatedJob drawJob(Random &random, JobKind kind, int number);

/// Returns the run time of a task of @p step if it succeeds. Precondition: the step exists.
Duration drawRunTime(Random &random, const SimulatedJob &job, std::uint32_t step);

/// Returns the share of runs that fail by their own fault, the first time. Thread-safe.
double failShareOf(JobKind kind);

/// Returns the tail latency in ms, after a run time of @p age, of a serving task that batch tasks
/// do not disturb. Thread-safe.
double tailOf(const StepSpec &step, Duration age);

} // namespace acaciadeal

#endif
