#ifndef ACACIADEAL_JOBS_JOBSPEC_H
#define ACACIADEAL_JOBS_JOBSPEC_H

#include "base/error.h"
#include "base/identifier.h"
#include "base/resources.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

/// A group of equal tasks of a job.
struct StepSpec
{
    std::uint32_t tasks = 1;
    Resources taskSize;
    /// Declared run time of a task; a rough estimate.
    milliseconds estimatedRunTime{0};
    /// Indexes of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> dependsOn;
    bool checkpointing = false;
    /// The tasks work only together, and one end stands for all of them.
    bool gang = false;
    /// The tasks should share one rack.
    bool rackLocal = false;
    /// Label that a host must have; empty if any host will do.
    std::string requiredLabel;
    /// Rack where the data is; empty if there is none.
    RackId dataRack;
    /// Most tasks of the step on one host; 0 if there is no limit.
    std::uint32_t maxTasksPerHost = 0;
    /// Copies of a task may run in parallel; the first one to finish counts.
    bool copiesAllowed = false;
    /// The tasks run until the job is cancelled and are restarted however they end.
    bool longRunning = false;
    /// Tasks of one image behave alike.
    std::string image;
    /// Bound of the tail latency of a task that serves its own users; 0 if there is none.
    milliseconds tailLatencyTarget{0};
    /// The tasks use processors that others leave idle; their processors are not committed.
    bool backfill = false;
    /// Tasks that may be away at once because of the scheduler; none if there is no limit.
    std::optional<std::uint32_t> maxUnavailable;

    friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

/// Terms under which a queue accepted a job; kept with the job, since the queue may be removed.
struct QueueTerms
{
    std::string queue;
    ServiceId service;
    /// 0 comes first.
    int priority = 0;
    /// Failed attempts of a task after which the job is given up.
    std::uint32_t maxAttempts = 1;
    /// The job's objective is this multiple of its longest chain of work, plus the target latency.
    double slowdownFactor = 1.0;
    milliseconds targetLatency{0};

    friend bool operator==(const QueueTerms &, const QueueTerms &) = default;
};

struct JobSpec
{
    JobId id;
    QueueTerms terms;
    /// Opaque to the scheduler; handed to each task.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of runs of all steps at fixed times; 0 for a job that runs once, at once.
    std::uint32_t repetitions = 0;
    /// Time of day of acceptance since 1970, for the order of waiting after a takeover.
    milliseconds acceptedAt{0};

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// Most tasks of one job. Bounds the memory that a single request can claim.
inline constexpr std::uint32_t maxTasksPerJob = 20'000;

/// Checks that counts are positive, dependencies name earlier steps and sizes are not negative.
/// Errors: MalformedRequest naming the field. Thread-safe.
Result<void> validateJob(const JobSpec &job);

/// Returns whether all steps run until the job is cancelled. Thread-safe.
bool isLongRunning(const JobSpec &job);

/// Returns the declared run time of the longest chain of steps. Thread-safe.
milliseconds criticalPathLength(const JobSpec &job);

/// Text form of a job's row. decodeJob() fails with CorruptSnapshot on anything else. Thread-safe.
std::string encodeJob(const JobSpec &job);
Result<JobSpec> decodeJob(const std::string &text);

} // namespace acaciadeal

#endif
