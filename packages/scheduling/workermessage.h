#ifndef ACACIADEAL_SCHEDULING_WORKERMESSAGE_H
#define ACACIADEAL_SCHEDULING_WORKERMESSAGE_H

#include "base/error.h"
#include "state/task.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

/// Names one placement of a task.
struct TaskRun
{
    TaskId task;
    std::uint32_t incarnation = 0;

    friend auto operator<=>(const TaskRun &, const TaskRun &) = default;
};

struct StartOrder
{
    TaskRun run;
    TaskClass taskClass = TaskClass::Batch;
    Resources size;
    milliseconds expectedRunTime{0};
    std::string payload;
    /// Checkpoint to resume from; empty to start anew.
    std::string checkpoint;

    friend bool operator==(const StartOrder &, const StartOrder &) = default;
};

struct ThrottleOrder
{
    TaskRun run;
    /// Share of the declared processors that the task may use, in percent.
    std::uint32_t percent = 100;

    friend bool operator==(const ThrottleOrder &, const ThrottleOrder &) = default;
};

/// Message from a shard's holder to a worker. The worker ignores it as a whole if the epoch is
/// lower than the highest seen, or the sequence not higher than the last one of that epoch. It runs
/// the starts only if the permit is within the start window, and renews the leases of all tasks of
/// the shard to the permit's issue time plus the lease.
struct WorkerOrders
{
    ShardId shard;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    /// Newest permit of this worker; 0 if there is none yet, in which case nothing is started or
    /// renewed.
    std::uint64_t permit = 0;
    milliseconds lease{0};
    std::vector<StartOrder> starts;
    /// Runs to checkpoint, if they can, and stop.
    std::vector<TaskRun> stops;
    std::vector<ThrottleOrder> throttles;
    /// Ended runs whose result is durable; the worker forgets them.
    std::vector<TaskRun> acknowledged;

    friend bool operator==(const WorkerOrders &, const WorkerOrders &) = default;
};

enum class RunOutcome : std::uint8_t { Finished, Failed, Stopped, LeaseLapsed };

struct EndedRun
{
    TaskRun run;
    RunOutcome outcome = RunOutcome::Finished;
    /// At most maxCheckpointNameBytes bytes.
    std::string checkpoint;
    std::string detail;

    friend bool operator==(const EndedRun &, const EndedRun &) = default;
};

/// Lagging usage of one running task.
struct RunningTask
{
    TaskRun run;
    std::int64_t usedMilliCores = 0;
    std::int64_t usedMemoryMiB = 0;
    std::uint32_t throttlePercent = 100;

    friend bool operator==(const RunningTask &, const RunningTask &) = default;
};

struct RefusedStart
{
    TaskRun run;
    /// StalePermit, RepeatedStart or HostUnusable.
    ResultCode code = ResultCode::Ok;

    friend bool operator==(const RefusedStart &, const RefusedStart &) = default;
};

/// A checkpoint name becomes part of a log entry, which has at most 64 KB.
constexpr std::size_t maxCheckpointNameBytes = 1'024;

/// Answer of a worker. It always reports all running and all unacknowledged ended runs of the
/// shard.
struct WorkerReport
{
    /// Changes when the worker restarts; nothing started before is running then.
    std::string bootId;
    /// Highest epoch seen for the shard.
    std::uint64_t epoch = 0;
    /// Sequence of the orders that this report answers.
    std::uint64_t sequence = 0;
    /// Whether the orders were ignored because of their epoch or sequence.
    bool stale = false;
    std::uint64_t permit = 0;
    std::vector<RunningTask> running;
    std::vector<EndedRun> ended;
    std::vector<RefusedStart> refused;
    /// Longest remaining lease of any running task of the shard when the permit was issued. Without
    /// it, a new holder has to assume the longest lease that its predecessor may have granted.
    std::optional<milliseconds> leaseRemaining;

    friend bool operator==(const WorkerReport &, const WorkerReport &) = default;
};

// JSON forms used on the worker interface. Decoding errors: MalformedRequest. Thread-safe.

std::string encodeOrders(const WorkerOrders &orders);
Result<WorkerOrders> decodeOrders(const std::string &text);
std::string encodeReport(const WorkerReport &report);
Result<WorkerReport> decodeReport(const std::string &text);

} // namespace acaciadeal

#endif
