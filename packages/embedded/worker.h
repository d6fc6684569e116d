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

// Worker side of the lease protocol of docs/design.md, section 2.4. Pure: every function takes the
// worker's own time. Not thread-safe.

struct WorkerOptions
{
    HostId host;
    Resources capacity;
    /// Greatest age of the permit of a start.
    milliseconds startWindow{3'000};
    /// How far reported usage lags behind.
    milliseconds usageLag{5'000};
};

/// Behavior of a task, from its payload.
struct TaskScript
{
    /// Run time at full speed; 0 runs until the task is stopped.
    milliseconds runTime{0};
    bool fails = false;
    bool checkpoints = false;
    /// Used processors in percent of the declared ones.
    std::int64_t usePercent = 80;
};

/// Reads {"run_ms","fail","checkpoint","use_percent"}. Other text gives the declared run time.
TaskScript parseTaskScript(const std::string &payload, milliseconds expectedRunTime);

/// What really happened to one run, independent of what any daemon believes.
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
    std::uint32_t throttlePercent = 100;
    std::uint32_t previousThrottlePercent = 100;
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
    std::map<std::uint64_t, TimePoint> permits;
    std::map<ShardId, ShardFence> fences;
    std::map<TaskRun, ActiveRun> running;
    /// Results that no holder has acknowledged, with the shard of the run.
    std::map<TaskRun, std::pair<ShardId, EndedRun>> ended;
    /// Refuses every start, as a host that is leaving does.
    bool refusesStarts = false;
    /// Every started task fails at once.
    bool failsEverything = false;

    // The stand-in's own record; survives restarts.
    std::vector<RunRecord> records;
    std::uint64_t orders = 0;
    std::uint64_t staleOrders = 0;
    std::uint64_t stalePermits = 0;
    std::uint64_t repeatedStarts = 0;
    /// Largest amounts that were running together.
    Resources peak;
};

Worker makeWorker(WorkerOptions options);

/// Carries out @p orders and returns the answer.
WorkerReport applyOrders(Worker &worker, const WorkerOrders &orders, TimePoint now);

/// Ends the runs that finished or whose lease lapsed up to @p now, each at its own time.
void advance(Worker &worker, TimePoint now);

/// Ends all runs and forgets everything but the records. The worker gets a new boot id, and permits
/// of earlier boots are unknown to it.
void restart(Worker &worker, TimePoint now);

/// Sum of the sizes of the running tasks.
Resources usedResources(const Worker &worker);

} // namespace acaciadeal::embedded

#endif
