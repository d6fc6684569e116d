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

/// Returns whether a job in @p state does not change any more. Thread-safe.
bool isTerminal(JobState state);

/// Durable progress of one step.
struct StepProgress
{
    /// One entry for each task.
    std::vector<bool> done;
    /// Numbers of the failed runs by task; tasks without one are absent. Numbers and not a count,
    /// so that an end which is listed again after a takeover is not counted twice.
    std::map<std::uint32_t, std::set<std::uint64_t>> failedRuns;

    friend bool operator==(const StepProgress &, const StepProgress &) = default;
};

/// Durable progress of a job. It only grows, and merge() of two versions is their union, so a late
/// or repeated write of an older version can be merged instead of being prevented.
struct JobProgress
{
    std::vector<StepProgress> steps;
    /// Set by the first terminal state; Completed wins over Failed over Cancelled when merging.
    JobState outcome = JobState::Queued;

    friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

/// Returns the progress of a job of which nothing has ended. Thread-safe.
JobProgress emptyProgress(const JobSpec &job);

/// Adds what @p other contains to @p progress; steps or tasks beyond those of @p progress are
/// ignored. Returns whether @p progress changed.
bool merge(JobProgress &progress, const JobProgress &other);

/// Returns whether all tasks of step @p step are done. Precondition: the step exists.
bool isStepDone(const JobProgress &progress, std::size_t step);

/// Text form of a progress row. decodeProgress() needs the job's spec for the numbers of tasks and
/// fails with CorruptSnapshot on anything else. Thread-safe.
std::string encodeProgress(const JobProgress &progress);
Result<JobProgress> decodeProgress(const JobSpec &job, const std::string &text);

} // namespace acaciadeal

#endif
