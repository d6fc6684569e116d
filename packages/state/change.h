#ifndef ACACIADEAL_STATE_CHANGE_H
#define ACACIADEAL_STATE_CHANGE_H

#include "state/task.h"

#include <string>
#include <variant>
#include <vector>

namespace acaciadeal {

/// Adds a job and its tasks to the queue. Submitted tasks (moves = 0) of a known job change
/// nothing. A task from another shard (moves > 0) is added unless this shard has seen the same
/// move, because the tasks of a job may arrive one by one and may return to a shard that they left.
struct JobAccepted
{
    JobId job;
    /// Tasks as they enter the queue; a task moved from another shard keeps incarnation, checkpoint
    /// and counters.
    std::vector<Task> tasks;

    friend bool operator==(const JobAccepted &, const JobAccepted &) = default;
};

/// Adds a host, or changes its capacity or whether it takes new tasks. Precondition: the new
/// capacity covers what is committed.
struct HostUpdated
{
    HostId host;
    RackId rack;
    Resources capacity;
    /// False for a host that is leaving, drained, or on the way out of the host list.
    bool acceptsTasks = true;

    friend bool operator==(const HostUpdated &, const HostUpdated &) = default;
};

/// Removes a host. Precondition: no task is placed on it.
struct HostRemoved
{
    HostId host;

    friend bool operator==(const HostRemoved &, const HostRemoved &) = default;
};

/// Commits a host to a queued or evicted task.
struct TaskPlaced
{
    TaskId task;
    /// One more than the task's incarnation before.
    std::uint32_t incarnation = 0;
    HostId host;

    friend bool operator==(const TaskPlaced &, const TaskPlaced &) = default;
};

/// Ends a placement. Finished, Failed (after maxFailures) and Cancelled end the task; every other
/// reason makes it wait for its next placement.
struct TaskReleased
{
    TaskId task;
    std::uint32_t incarnation = 0;
    ReleaseReason reason = ReleaseReason::Finished;
    /// Newest checkpoint; empty keeps the one known before.
    std::string checkpoint;
    std::string detail;

    friend bool operator==(const TaskReleased &, const TaskReleased &) = default;
};

/// Cancels a waiting task at once, and marks a placed one for stopping. Has no effect on an ended
/// task, because the cancellation may share an entry with the task's last release.
struct TaskCancelled
{
    TaskId task;

    friend bool operator==(const TaskCancelled &, const TaskCancelled &) = default;
};

/// Ends a waiting task that can never run.
struct TaskRejected
{
    TaskId task;
    std::string reason;

    friend bool operator==(const TaskRejected &, const TaskRejected &) = default;
};

/// Hands a waiting task to another shard. The same transaction has to store movedTask() in that
/// shard's inbox.
struct TaskMoved
{
    TaskId task;
    ShardId toShard;

    friend bool operator==(const TaskMoved &, const TaskMoved &) = default;
};

using Change = std::variant<JobAccepted, HostUpdated, HostRemoved, TaskPlaced, TaskReleased,
                            TaskCancelled, TaskRejected, TaskMoved>;

/// Changes that take effect together. One log entry is one row of the platform's table.
struct LogEntry
{
    ShardId shard;
    std::uint64_t epoch = 0;
    /// Position in the shard's log, from 1 without gaps.
    std::uint64_t sequence = 0;
    /// Tells entries of the same sequence apart when the answer to a write was lost.
    std::string transactionId;
    std::vector<Change> changes;

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

} // namespace acaciadeal

#endif
