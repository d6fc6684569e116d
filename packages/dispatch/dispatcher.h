#ifndef ACACIADEAL_DISPATCH_DISPATCHER_H
#define ACACIADEAL_DISPATCH_DISPATCHER_H

#include "dispatch/fleetstate.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

struct StartRun
{
    HostId host;
    TaskKey task;
    std::uint64_t run = 0;
    std::string payload;
    std::string checkpoint;
    /// Time since the task was submitted or its last run ended.
    Duration waited{0};
};

struct StopRun
{
    HostId host;
    TaskKey task;
    std::uint64_t run = 0;
};

/// Order to limit the speed of a run of a backfill task, in percent of full speed.
struct PaceRun
{
    HostId host;
    TaskKey task;
    std::uint64_t run = 0;
    int percent = 100;
};

struct Orders
{
    std::vector<StartRun> starts;
    std::vector<StopRun> stops;
    std::vector<PaceRun> paces;
};

/// Something to log that the dispatcher detected or decided.
struct DispatchEvent
{
    enum class Kind : std::uint8_t { RunEnded, RunLost, HostAvoided, JobEnded, RunAdopted };
    Kind kind = Kind::RunEnded;
    JobId job;
    /// The task as text; empty for events of a host or job.
    std::string taskName;
    HostId host;
    std::uint64_t run = 0;
    std::string reason;
    /// How long the host is avoided; only set for HostAvoided.
    Duration duration{0};
};

struct DispatchOptions
{
    /// Time for which a host is avoided after tasks failed or lagged there: tasks are placed on it
    /// only if no other host fits. Longer than an ordinary restart of a worker, and short enough to
    /// use a repaired host again soon.
    Duration avoidDuration = std::chrono::seconds(4);
    /// Number of distinct jobs with failed runs on a host, without a success in between, after
    /// which the host is avoided. Runs also fail on healthy hosts, through faults of the task
    /// itself.
    std::size_t failedJobsBeforeAvoiding = 4;
    /// Consecutive starts refused as unhealthy after which the host is avoided.
    int refusalsBeforeAvoiding = 2;
    /// No tasks are started if the host list is older than this. The requirement is that nothing
    /// starts on a host later than 2 s after it announced that it leaves; the difference of 200 ms
    /// allows for the delivery of the start order.
    Duration maxHostListAge = milliseconds(1800);
    /// Delay before a stop order is sent again.
    Duration stopRetryDelay = milliseconds(300);
};

/// Scheduling logic of a shard's holder. Its decisions depend only on the state, the reported
/// events and the time that is passed in; it performs no I/O. Not thread-safe.
struct Dispatcher
{
    DispatchOptions options;
    FleetState fleet;
    std::vector<DispatchEvent> events;
    /// Stop orders for orphaned runs; moved into the next result of plan().
    std::vector<StopRun> orphanStops;
    /// Speed orders; moved into the next result of plan().
    std::vector<PaceRun> paces;
};

/// Adds a job; does nothing if it is already known. @p inRecovery says that its tasks may still be
/// running on hosts that have not reported yet.
void addJob(Dispatcher &dispatcher, JobSpec spec, JobProgress progress,
            std::uint64_t progressVersion, bool inRecovery, TimePoint now);

/// Marks a job as cancelled. The next call of plan() orders its runs to stop. Returns false if the
/// job is unknown.
bool cancelJob(Dispatcher &dispatcher, const JobId &job, TimePoint now);

/// Merges progress stored by an earlier holder into the progress of a job: tasks that are done
/// there do not start again, and a terminal outcome ends the job. Does nothing if the job is
/// unknown.
void mergeProgress(Dispatcher &dispatcher, const JobId &job, const JobProgress &stored,
                   TimePoint now);

/// Takes over a run that the previous holder ordered on @p host, which has not reported to this
/// holder yet. The task waits until a report, or the end of the host's lease, shows that the run is
/// over. @p lastPresentAt is when the host last had it, as far as known; if it turns out to be
/// over, the task has been down since then. Does nothing if the task is unknown, done, of an ended
/// job, or has a run already.
void inheritRun(Dispatcher &dispatcher, const HostId &host, const TaskKey &key, std::uint64_t run,
                TimePoint lastPresentAt, TimePoint now);

/// Takes over a task that waited under the previous holder since @p since, after its run @p run. It
/// is known not to run, and was last known to run at @p downSince. Does nothing if the task is
/// unknown, done, of an ended job, or has a run.
void inheritWait(Dispatcher &dispatcher, const TaskKey &key, std::uint64_t run, TimePoint since,
                 TimePoint downSince);

/// Applies the report of a host. @p sentAt is the time at which the lease renewal was sent.
/// @p fenced says whether the renewal carried the newest fencing token for the host, so that orders
/// sent before it can no longer take effect.
void applyReport(Dispatcher &dispatcher, const HostId &host, const HostReport &report,
                 TimePoint sentAt, bool fenced, TimePoint now);

/// Applies the host's answer to a start order.
void applyStartOutcome(Dispatcher &dispatcher, const StartRun &order, StartOutcome outcome,
                       TimePoint now);

/// Declares all runs of @p host lost because its lease has expired; their tasks wait again.
void declareRunsLost(Dispatcher &dispatcher, const HostId &host, const std::string &reason,
                     TimePoint now);

/// Hosts of an earlier holder that were lost before they reported to this one.
struct LostHosts
{
    std::size_t count = 0;
    /// A time when they may still have been present.
    TimePoint since;
};

/// Ends the recovery after a change of the holder. From now on, tasks that no host has reported are
/// known not to be running and may start. If hosts were lost, long-running tasks without a run
/// count as restarts: those of steps of which other tasks run, because these were started together,
/// and all others if the lost hosts had room for them.
void endRecovery(Dispatcher &dispatcher, const std::optional<LostHosts> &lost = std::nullopt);

/// Returns whether the host list is too old to start tasks.
bool isHostListOld(const Dispatcher &dispatcher, TimePoint now);

/// Runs a scheduling round: decides which tasks to start and to stop, and collects speed orders.
Orders plan(Dispatcher &dispatcher, TimePoint now);

/// Returns the number of live jobs of @p queue of which no host has confirmed the start of a task.
std::size_t pendingJobs(const Dispatcher &dispatcher, const std::string &queue);

/// Returns pendingJobs() of every queue with live jobs.
std::map<std::string, std::size_t> pendingJobsByQueue(const Dispatcher &dispatcher);

} // namespace acaciadeal

#endif
