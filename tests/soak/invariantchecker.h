#ifndef ACACIADEAL_SOAK_INVARIANTCHECKER_H
#define ACACIADEAL_SOAK_INVARIANTCHECKER_H

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal::soak {

/// Time without a disturbance after which users hold a daemon to guarantees with a time limit.
inline constexpr Duration contactTimeout = std::chrono::seconds(3);

/// Name of a task in the hosts' protocol: "job.occurrence.step.index".
using TaskName = std::string;

struct StepPlan
{
    int tasks = 1;
    int milliCores = 1000;
    int runMs = 300;
    /// Whether the tasks run until their job is cancelled.
    bool longRunning = false;
};

/// Job from its caller's point of view. Its steps run in sequence.
struct JobRecord
{
    std::string payload;
    std::vector<StepPlan> steps;
    bool accepted = false;
    TimePoint acceptedAt;
    /// Whether an attempt ended without an answer that rules out that the job was accepted.
    bool possiblyAccepted = false;
    bool cancelled = false;
    /// Whether a cancellation was answered with "no such job", so that the job may never run.
    bool deniedAfterCancel = false;
    bool completed = false;
    bool failed = false;
    /// When a caller first saw that the job had ended; unset before.
    std::optional<TimePoint> endSeenAt;
    /// Whether a host has started a task of the job.
    bool started = false;
};

/// Records what callers and hosts observe, and reports every violation of the scheduler's
/// guarantees. Not thread-safe.
class InvariantChecker
{
public:
    std::map<std::string, JobRecord> jobs;
    std::vector<std::string> violations;

    void reportViolation(const std::string &rule, const std::string &what);
    /// Records that a host started a run. @p host includes the boot time, so that a host before and
    /// after a restart counts as two.
    void onStart(const std::string &host, const TaskName &task, std::uint64_t run,
                 const std::string &payload, int maxAttempts);
    /// Records that a run ended. Only the outcomes "done" and "failed" count as results of the
    /// task.
    void onEnd(const std::string &host, const TaskName &task, std::uint64_t run,
               const std::string &outcome, TimePoint now);
    /// Records that a daemon acknowledged the end of the run to the host.
    void onEndAcknowledged(const TaskName &task, std::uint64_t run, const std::string &outcome);
    /// Records the state of the job as a caller saw it; "unknown" if the daemon knew no such job,
    /// and empty if it gave no answer.
    void onState(const std::string &job, const std::string &state, TimePoint now);
    /// Records that @p daemon showed a state for an id that no caller submitted.
    void onUnknownJobShown(const std::string &daemon, const std::string &id);
    /// Records the count of pending jobs that @p daemon gave for a question sent at @p askedAt.
    /// Precondition: the daemon was in touch for contactTimeout before the question.
    void onPendingCount(const std::string &daemon, std::size_t count, TimePoint askedAt);
    /// Records the count of pending jobs that @p daemon gave after all jobs had time to finish;
    /// nullopt if it gave none.
    void onFinalPendingCount(const std::string &daemon, std::optional<std::size_t> count);
    /// Reports long-running tasks that should run again: 6 s after the last run, or after the
    /// acceptance of the job, and 3 s more for which there was room for two such tasks. A task is
    /// reported once for each time that it stays away. @p roomSince is the time since which there
    /// has been such room, @p calmSince that of the last disruption that was not planned.
    void checkLongRunningTasks(TimePoint roomSince, TimePoint calmSince, TimePoint now);
    /// Checks the guarantees that must hold after the faults have ended and jobs had time to
    /// finish.
    void checkFinalState();

private:
    struct TaskRecord
    {
        /// Current runs, with their hosts.
        std::map<std::uint64_t, std::string> active;
        std::set<std::uint64_t> doneRuns;
        /// Runs with outcome "done" after which another run was started.
        std::set<std::uint64_t> restartedDoneRuns;
        std::set<std::uint64_t> acknowledgedFailures;
        bool doneAcknowledged = false;
        /// Last run, and when it ended; unset if there was none.
        std::string lastRun;
        std::optional<TimePoint> lastRunEndedAt;
        bool reportedAsLost = false;
    };

    bool isStepDone(const std::string &job, int step);

    std::map<TaskName, TaskRecord> m_tasks;
};

struct TaskNameParts
{
    std::string job;
    int step = 0;
    int index = 0;
};
/// Precondition: @p task has the form described at TaskName.
TaskNameParts parseTaskName(const TaskName &task);

} // namespace acaciadeal::soak

#endif
