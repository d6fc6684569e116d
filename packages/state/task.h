#ifndef ACACIADEAL_STATE_TASK_H
#define ACACIADEAL_STATE_TASK_H

#include "base/identifier.h"
#include "base/resources.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace acaciadeal {

enum class TaskClass : std::uint8_t { Urgent, LatencyCritical, Batch };

/// Task properties declared by the submitter. Declared sizes and run times may be very inaccurate.
struct TaskSpec
{
    TaskId id;
    JobId job;
    TeamId team;
    TaskClass taskClass = TaskClass::Batch;
    Resources size;
    /// Declared run time; 0 if the task runs until it is stopped.
    milliseconds expectedRunTime{0};
    /// Time from acceptance by which the task should have finished; 0 if there is none. A task that
    /// exceeds it is reported as late and keeps running.
    milliseconds deadline{0};
    /// Number of failures after which the task is no longer retried.
    std::uint32_t maxFailures = 3;
    /// Opaque to the scheduler.
    std::string payload;

    friend bool operator==(const TaskSpec &, const TaskSpec &) = default;
};

/// Persistent task states. Placed covers starting, running and stopping, which are distinguished
/// only in the memory of the shard's holder.
enum class TaskState : std::uint8_t {
    Queued,
    Placed,
    Evicted,
    Finished,
    Failed,
    Cancelled,
    Impossible,
    Moved,
};

/// Why a placed task no longer occupies its host.
enum class ReleaseReason : std::uint8_t {
    Finished,
    Failed,
    /// Stopped by the scheduler, with a checkpoint if the task made one.
    Evicted,
    /// The worker never carried out the start.
    StartExpired,
    /// The lease has provably expired, the worker has restarted, or its host is confirmed off.
    HostLost,
    Cancelled,
};

struct Task
{
    TaskSpec spec;
    TaskState state = TaskState::Queued;
    /// Number of placements so far. Each start contains it, so that workers can distinguish starts.
    std::uint32_t incarnation = 0;
    /// Host on which the task is placed; non-empty if and only if the state is Placed.
    HostId host;
    /// Name of the newest checkpoint; empty if there is none.
    std::string checkpoint;
    std::uint32_t failures = 0;
    std::uint32_t evictions = 0;
    bool cancelRequested = false;
    /// Why the task is Impossible or Failed, or the shard to which it was Moved.
    std::string detail;
    /// Position in the order of acceptance within the shard.
    std::uint64_t acceptanceNumber = 0;
    /// Number of times that the task was moved to another shard. Distinguishes a task that arrives
    /// from another shard from a repeated submission of its job.
    std::uint32_t moves = 0;

    friend bool operator==(const Task &, const Task &) = default;
};

} // namespace acaciadeal

#endif
