#ifndef ACACIADEAL_JOBS_JOBPROGRESS_H
#define ACACIADEAL_JOBS_JOBPROGRESS_H

#include "jobs/jobspec.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal {

enum class JobState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

/// Returns whether @p state is final. Thread-safe.
bool isTerminal(JobState state);

/// Durable progress of one step.
struct StepProgress
{
    /// Whether each task is done, by task index.
    std::vector<bool> done;
    /// Run numbers of the failed runs, by task; tasks without a failed run are absent. Run numbers
    /// rather than a count, so that a failure that a host reports again after a takeover is not
    /// counted twice.
    std::map<std::uint32_t, std::set<std::uint64_t>> failedRuns;

    friend bool operator==(const StepProgress &, const StepProgress &) = default;
};

/// Durable progress of a job. Progress only grows, and merge() forms the union of two versions, so
/// late or repeated writes of an older version need not be prevented: they are merged.
struct JobProgress
{
    std::vector<StepProgress> steps;
    /// Set when the job reaches a terminal state. When merging, Completed takes precedence over
    /// Failed, and Failed over Cancelled.
    JobState outcome = JobState::Queued;

    friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

/// Returns the progress of a job of which no run has ended. Thread-safe.
JobProgress emptyProgress(const JobSpec &job);

/// Merges @p other into @p progress. Steps and tasks that @p progress does not have are ignored.
/// Returns whether @p progress changed.
bool merge(JobProgress &progress, const JobProgress &other);

/// Returns whether @p progress shows that a task has started: a run of it has ended. Thread-safe.
bool showsStart(const JobProgress &progress);

/// Returns whether all tasks of the step with index @p step are done. Precondition: it exists.
bool isStepDone(const JobProgress &progress, std::size_t step);

/// Checks that the row of the job, and that of its progress before any run has failed, have at most
/// maxJobRowBytes. Errors: RequestTooLarge. Thread-safe.
Result<void> validateRowSizes(const JobSpec &job);

/// Convert a progress to and from the text stored in its row. The text has at most maxJobRowBytes
/// if the job passes validateRowSizes(): if it would have more, failed runs are left out that are
/// not needed (of done tasks and of ended jobs) and, if that does not suffice, those of the tasks
/// that failed least. After a takeover such a task has more attempts. decodeProgress() takes the
/// number of steps and tasks from the job's spec, and fails with CorruptSnapshot if the text does
/// not fit it. Thread-safe.
std::string encodeProgress(const JobProgress &progress);
Result<JobProgress> decodeProgress(const JobSpec &job, const std::string &text);

} // namespace acaciadeal

#endif
