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

/// A group of identical tasks of a job.
struct StepSpec
{
    std::uint32_t tasks = 1;
    Resources taskSize;
    /// Declared run time of a task; a rough estimate.
    milliseconds estimatedRunTime{0};
    /// Indexes of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> dependsOn;
    bool checkpointing = false;
    /// The tasks work only if all of them run at the same time; once one is done, all count as
    /// done.
    bool gang = false;
    /// The tasks should share one rack.
    bool rackLocal = false;
    /// Label that a host must have; empty if any host will do.
    std::string requiredLabel;
    /// Rack where the data is; empty if there is none.
    RackId dataRack;
    /// Maximum number of tasks of the step on one host; 0 if there is no limit.
    std::uint32_t maxTasksPerHost = 0;
    /// Whether copies of a task may run in parallel, of which the first to finish counts.
    bool copiesAllowed = false;
    /// The tasks run until the job is cancelled; a task that ends for whatever reason is
    /// restarted.
    bool longRunning = false;
    /// Image that the tasks run; tasks of the same image are assumed to behave alike.
    std::string image;
    /// Upper bound of the tail latency of a task that serves requests itself; 0 if there is none.
    milliseconds tailLatencyTarget{0};
    /// The tasks use processor time that other tasks leave idle; no processors are committed to
    /// them.
    bool backfill = false;
    /// Maximum number of tasks that may be down at the same time because of scheduler decisions;
    /// unset if there is no limit.
    std::optional<std::uint32_t> maxUnavailable;

    friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

/// Settings of the queue at the time it accepted a job. Stored with the job, because the queue may
/// be removed later.
struct QueueTerms
{
    std::string queue;
    ServiceId service;
    /// 0 is the highest priority.
    int priority = 0;
    /// Number of failed attempts of one task after which the job fails.
    std::uint32_t maxAttempts = 1;
    /// The job's objective is its critical path times this factor, plus the target latency.
    double slowdownFactor = 1.0;
    milliseconds targetLatency{0};

    friend bool operator==(const QueueTerms &, const QueueTerms &) = default;
};

struct JobSpec
{
    JobId id;
    QueueTerms terms;
    /// Opaque to the scheduler; passed to each task.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of times that all steps run on a schedule; 0 for a job that runs once, immediately.
    std::uint32_t repetitions = 0;
    /// Wall-clock time of acceptance since the Unix epoch. Keeps the order of waiting jobs after a
    /// takeover.
    milliseconds acceptedAt{0};

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// Maximum number of tasks of one job. Bounds the memory that a single request can use.
inline constexpr std::uint32_t maxTasksPerJob = 20'000;

/// Maximum size of a job's row and of the row of its progress. The platform accepts values of
/// 65,536 bytes; in base64, so that the limit holds whether it counts bytes before or after the
/// encoding.
inline constexpr std::size_t maxJobRowBytes = 65'536 / 4 * 3;

/// Checks that the job has steps and at most maxTasksPerJob tasks, that no step is without tasks,
/// that sizes are not negative, and that dependencies name earlier steps. Errors:
/// MalformedRequest, or RequestTooLarge for too many tasks; both name the field. Thread-safe.
Result<void> validateJob(const JobSpec &job);

/// Returns whether all steps run until the job is cancelled. Thread-safe.
bool isLongRunning(const JobSpec &job);

/// Returns the sum of the estimated run times along the longest path of dependent steps.
/// Thread-safe.
milliseconds criticalPathLength(const JobSpec &job);

/// Convert a job to and from the text stored in its row. decodeJob() fails with CorruptSnapshot if
/// the text is not a valid job. Thread-safe.
std::string encodeJob(const JobSpec &job);
Result<JobSpec> decodeJob(const std::string &text);

} // namespace acaciadeal

#endif
