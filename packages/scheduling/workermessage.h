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

/// Identifies one placement of a task.
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
    /// Checkpoint to resume from; empty to start from the beginning.
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

/// Message from a shard's holder to a worker. The worker ignores the whole message if its epoch is
/// lower than the highest one seen, or if its sequence is not higher than the last one of that
/// epoch. The worker executes the starts only if the permit was issued within the start window, and
/// extends the leases of all tasks of the shard until the permit's issue time plus the lease.
struct WorkerOrders
{
    ShardId shard;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    /// Permit of this worker that the starts and the renewal use; 0 if there is none, in which case
    /// nothing is started or renewed.
    std::uint64_t permit = 0;
    milliseconds lease{0};
    std::vector<StartOrder> starts;
    /// Runs to stop, after writing a checkpoint if the task supports it.
    std::vector<TaskRun> stops;
    std::vector<ThrottleOrder> throttles;
    /// Ended runs whose results are durable; the worker discards them.
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

/// Usage of one running task; lags behind the actual usage.
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

/// Limit for checkpoint names, because they become part of a log entry, which has at most 64 KB.
constexpr std::size_t maxCheckpointNameBytes = 1'024;

/// Answer of a worker to orders. It always reports all running and all unacknowledged ended runs of
/// the shard.
struct WorkerReport
{
    /// Changes when the worker restarts; no run that was started before is running then.
    std::string bootId;
    /// Highest epoch seen for the shard.
    std::uint64_t epoch = 0;
    /// Sequence of the orders that this report answers.
    std::uint64_t sequence = 0;
    /// Whether the orders were ignored because of their epoch or sequence.
    bool stale = false;
    /// Permit issued with this answer. It identifies the time of the answer on the worker's clock;
    /// the worker checks the age of starts and counts leases from that time.
    std::uint64_t permit = 0;
    std::vector<RunningTask> running;
    std::vector<EndedRun> ended;
    std::vector<RefusedStart> refused;
    /// Longest remaining lease of any running task of the shard, measured when the permit was
    /// issued. Without it, a new holder has to assume the longest lease that the previous holder
    /// may have granted.
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
