#ifndef ACACIADEAL_STATE_CHANGE_H
#define ACACIADEAL_STATE_CHANGE_H

#include "state/task.h"

#include <string>
#include <variant>
#include <vector>

namespace acaciadeal {

/// Adds a job and its tasks to the queue. Submitted tasks (moves = 0) are ignored if the job is
/// already known. A task from another shard (moves > 0) is added unless this shard has already
/// applied the same move: the tasks of a job may arrive one at a time, and a task may return to a
/// shard that it left.
struct JobAccepted
{
    JobId job;
    /// Initial state of the tasks in this shard. A task moved from another shard keeps its
    /// incarnation, checkpoint and counters.
    std::vector<Task> tasks;

    friend bool operator==(const JobAccepted &, const JobAccepted &) = default;
};

/// Adds a host, or updates its rack, its capacity or whether it accepts new tasks. Precondition:
/// the new capacity is not below the resources that are committed on the host.
struct HostUpdated
{
    HostId host;
    RackId rack;
    Resources capacity;
    /// False for a host that is leaving, drained, or about to be removed.
    bool acceptsTasks = true;

    friend bool operator==(const HostUpdated &, const HostUpdated &) = default;
};

/// Removes a host. Precondition: no task is placed on it.
struct HostRemoved
{
    HostId host;

    friend bool operator==(const HostRemoved &, const HostRemoved &) = default;
};

/// Places a queued or evicted task on a host.
struct TaskPlaced
{
    TaskId task;
    /// The task's previous incarnation plus one.
    std::uint32_t incarnation = 0;
    HostId host;

    friend bool operator==(const TaskPlaced &, const TaskPlaced &) = default;
};

/// Ends a placement. Finished, Failed (after maxFailures) and Cancelled end the task. Any other
/// reason returns it to the queue, or cancels it if its cancellation was requested.
struct TaskReleased
{
    TaskId task;
    std::uint32_t incarnation = 0;
    ReleaseReason reason = ReleaseReason::Finished;
    /// Newest checkpoint; if empty, the task keeps its previous one.
    std::string checkpoint;
    std::string detail;

    friend bool operator==(const TaskReleased &, const TaskReleased &) = default;
};

/// Cancels a waiting task immediately, and marks a placed task to be stopped. Has no effect on an
/// ended task, because one log entry may contain both the task's final release and its
/// cancellation.
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

/// Moves a waiting task to another shard. The same transaction must store the result of movedTask()
/// in that shard's inbox.
struct TaskMoved
{
    TaskId task;
    ShardId toShard;

    friend bool operator==(const TaskMoved &, const TaskMoved &) = default;
};

using Change = std::variant<JobAccepted, HostUpdated, HostRemoved, TaskPlaced, TaskReleased,
                            TaskCancelled, TaskRejected, TaskMoved>;

/// Changes that are applied atomically. A log entry is stored as one row of the platform's table.
struct LogEntry
{
    ShardId shard;
    std::uint64_t epoch = 0;
    /// Position in the shard's log, from 1 without gaps.
    std::uint64_t sequence = 0;
    /// Distinguishes entries with the same sequence after the response to a write was lost.
    std::string transactionId;
    std::vector<Change> changes;

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

} // namespace acaciadeal

#endif
