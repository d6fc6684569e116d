#ifndef ACACIADEAL_EMBEDDED_WORKER_H
#define ACACIADEAL_EMBEDDED_WORKER_H

#include "base/time.h"
#include "scheduling/workermessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal::embedded {

// Worker side of the lease protocol of docs/design.md, section 2.4. The functions change only the
// Worker and read no clock: the caller passes the time of the worker's own clock. Not thread-safe.

struct WorkerOptions
{
    HostId host;
    Resources capacity;
    /// Maximum age of the permit in orders that start a task.
    milliseconds startWindow{3'000};
    /// Delay until a change of a run's usage shows in reports.
    milliseconds usageLag{5'000};
};

/// Simulated behavior of a task, read from its payload.
struct TaskScript
{
    /// Run time at full speed; 0 if the task runs until it is stopped.
    milliseconds runTime{0};
    bool fails = false;
    bool checkpoints = false;
    /// Processors and memory used, in percent of the declared amounts.
    std::int64_t usePercent = 80;
};

/// Parses a payload: a JSON object with the optional keys run_ms, fail, checkpoint and use_percent.
/// Any other text gives a script with default values that runs for @p expectedRunTime.
TaskScript parseTaskScript(const std::string &payload, milliseconds expectedRunTime);

/// Actual history of one run, independent of the state that daemons hold about it.
struct RunRecord
{
    TaskRun run;
    HostId host;
    ShardId shard;
    std::string bootId;
    /// Epoch of the orders that started the run.
    std::uint64_t epoch = 0;
    std::uint64_t permit = 0;
    milliseconds permitAge{0};
    Resources size;
    /// Checkpoint from which the run resumed, or empty.
    std::string resumedFrom;
    TimePoint startedAt;
    std::optional<TimePoint> endedAt;
    TimePoint leaseEnd;
    /// "finished", "failed", "stopped", "lease-lapsed", "host-restarted", or empty while running.
    std::string outcome;
    std::string checkpoint;
};

struct ActiveRun
{
    StartOrder order;
    ShardId shard;
    TaskScript script;
    TimePoint leaseEnd;
    /// Work done until progressUpdatedAt, in milliseconds at full speed.
    milliseconds progress{0};
    TimePoint progressUpdatedAt;
    /// Current speed in percent of full speed.
    std::uint32_t throttlePercent = 100;
    /// Speed before the last throttle order, in percent of full speed.
    std::uint32_t previousThrottlePercent = 100;
    /// Time of the last throttle order, or of the start if there was none.
    TimePoint throttledAt;
    /// Index in Worker::records.
    std::size_t recordIndex = 0;
};

/// Highest epoch seen for a shard, and the last sequence number of that epoch.
struct ShardFence
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

struct Worker
{
    WorkerOptions options;
    std::uint64_t bootCount = 0;
    std::string bootId;
    std::uint64_t lastPermit = 0;
    /// Issued permits that are still kept, with their issue times.
    std::map<std::uint64_t, TimePoint> permits;
    std::map<ShardId, ShardFence> fences;
    std::map<TaskRun, ActiveRun> running;
    /// Results that no holder has acknowledged, with the shard of the run.
    std::map<TaskRun, std::pair<ShardId, EndedRun>> ended;
    /// Whether every start is refused, as by a host that is about to leave.
    bool refusesStarts = false;
    /// Whether every started task fails immediately.
    bool failsEverything = false;

    // Records and counters for checks by tests; kept across restarts.
    std::vector<RunRecord> records;
    /// Number of order messages received.
    std::uint64_t orders = 0;
    /// Number of order messages ignored as stale.
    std::uint64_t staleOrders = 0;
    /// Number of starts refused as StalePermit.
    std::uint64_t stalePermits = 0;
    /// Number of starts refused as RepeatedStart.
    std::uint64_t repeatedStarts = 0;
    /// Highest total of each resource allocated to running tasks; the three totals may be of
    /// different times.
    Resources peak;
};

Worker makeWorker(WorkerOptions options);

/// Applies @p orders, unless they are stale, and returns the report that answers them.
WorkerReport applyOrders(Worker &worker, const WorkerOrders &orders, TimePoint now);

/// Ends the runs that finished or whose lease lapsed by @p now, each with its actual end time.
void advance(Worker &worker, TimePoint now);

/// Simulates a restart of the host: ends all runs and discards results, permits and fences;
/// options, fault flags, records and counters are kept. The worker gets a new boot id, and permits
/// of earlier boots are unknown to it.
void restart(Worker &worker, TimePoint now);

/// Returns the sum of the sizes of the running tasks.
Resources usedResources(const Worker &worker);

} // namespace acaciadeal::embedded

#endif
