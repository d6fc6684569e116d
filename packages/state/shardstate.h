#ifndef ACACIADEAL_STATE_SHARDSTATE_H
#define ACACIADEAL_STATE_SHARDSTATE_H

#include "base/error.h"
#include "state/change.h"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace acaciadeal {

struct HostState
{
    HostId id;
    RackId rack;
    Resources capacity;
    /// Sum of the sizes of the tasks placed on the host.
    Resources committed;
    bool acceptsTasks = true;
    std::set<TaskId> tasks;

    friend bool operator==(const HostState &, const HostState &) = default;
};

/// Sort key of a waiting task in the queue: urgent before latency-critical before batch, then in
/// order of acceptance.
struct QueueKey
{
    TaskClass taskClass = TaskClass::Batch;
    std::uint64_t acceptanceNumber = 0;

    friend auto operator<=>(const QueueKey &, const QueueKey &) = default;
};

/// Persistent state of one shard: the contents of its snapshot and log. Not thread-safe.
struct ShardState
{
    ShardId shard;
    FailureDomainId failureDomain;
    /// Epoch of the last applied log entry.
    std::uint64_t epoch = 0;
    std::uint64_t lastSequence = 0;
    std::uint64_t lastAcceptanceNumber = 0;
    std::unordered_map<TaskId, Task> tasks;
    std::map<HostId, HostState> hosts;
    std::unordered_set<JobId> jobs;
    /// Waiting tasks (Queued or Evicted); derived from tasks.
    std::map<QueueKey, TaskId> queue;
    /// Resources committed to placed tasks by team; derived from tasks.
    std::map<TeamId, Resources> committedByTeam;
};

/// Applies all changes of @p entry, or returns an error and leaves the state unchanged.
/// Errors: RepeatedEntry (sequence already applied), MissingEntry (gap in the sequence),
/// ForeignEpoch (older epoch or another shard), InvariantViolated (a change contradicts the state,
/// such as a placement that exceeds the host's capacity).
Result<void> apply(ShardState &state, const LogEntry &entry);

/// Checks one change against the state without applying it. Errors: InvariantViolated.
Result<void> check(const ShardState &state, const Change &change);

/// Returns whether a task in @p state waits for a placement.
bool isWaiting(TaskState state);

/// Returns whether @p state is terminal: finished, failed, cancelled, impossible, or moved to
/// another shard.
bool isEnded(TaskState state);

/// Returns the form in which @p task enters the target shard of a TaskMoved change.
Task movedTask(const Task &task);

/// Recomputes the queue and the committed resources from tasks and hosts. Errors: InvariantViolated
/// (a task is placed on an unknown host, or the committed resources exceed a host's capacity).
Result<void> rebuildIndexes(ShardState &state);

/// Removes ended tasks with an acceptance number below @p acceptedBefore, to bound the memory of
/// the shard. Job ids are kept, so that a repeated submission is still recognized.
void removeEndedTasks(ShardState &state, std::uint64_t acceptedBefore);

} // namespace acaciadeal

#endif
