#ifndef ACACIADEAL_DISPATCH_DISPATCHER_H
#define ACACIADEAL_DISPATCH_DISPATCHER_H

#include "dispatch/fleetstate.h"

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
    /// Since the task was submitted, or its last run ended.
    Duration waited{0};
};

struct StopRun
{
    HostId host;
    TaskKey task;
    std::uint64_t run = 0;
};

/// Sets the speed of a backfill task.
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

/// Something that the holder now believes, for the log.
struct DispatchEvent
{
    enum class Kind : std::uint8_t { RunEnded, RunLost, HostAvoided, JobEnded, RunAdopted };
    Kind kind = Kind::RunEnded;
    JobId job;
    std::string taskName;
    HostId host;
    std::uint64_t run = 0;
    std::string reason;
    /// How long a host is avoided.
    Duration duration{0};
};

struct DispatchOptions
{
    /// Time for which a host is avoided after tasks failed or lagged there: it comes last. Longer
    /// than an ordinary restart of a worker, short enough to use a repaired host again.
    Duration probation = std::chrono::seconds(4);
    /// Distinct jobs whose runs fail on a host, without a success between them, that make it
    /// avoided. Sound hosts see failures too, as runs fail by their own fault.
    std::size_t failedJobsBeforeProbation = 4;
    /// Refusals in a row after which a host that says it is unhealthy is avoided.
    int refusalsBeforeProbation = 2;
    /// Age of the host list up to which tasks are started. Users allow 2 s between a host's notice
    /// that it leaves and the last start there; the rest is for the order's way.
    Duration maxHostListAge = milliseconds(1800);
    /// Delay before a stop order is repeated.
    Duration stopRetryDelay = milliseconds(300);
};

/// Decisions of a shard's holder: pure functions of the state, the events and the time. Not
/// thread-safe.
struct Dispatcher
{
    DispatchOptions options;
    FleetState fleet;
    std::vector<DispatchEvent> events;
    /// Stop orders for runs that no task needs; collected by plan().
    std::vector<StopRun> orphanStops;
    /// Changes of speed; collected by plan().
    std::vector<PaceRun> paces;
};

/// Adds a job; does nothing if it is known. @p unaccounted: its tasks may still be running on hosts
/// that have not reported yet.
void addJob(Dispatcher &dispatcher, JobSpec spec, JobProgress progress,
            std::uint64_t progressVersion, bool inRecovery, TimePoint now);

/// Marks a job as cancelled. Its runs are stopped by the next plan(). Returns false if the job is
/// unknown.
bool cancelJob(Dispatcher &dispatcher, const JobId &job, TimePoint now);

/// Merges progress that an earlier holder has stored into that of a job: what is done there does
/// not start again, and its outcome ends the job. Does nothing if the job is unknown.
void mergeProgress(Dispatcher &dispatcher, const JobId &job, const JobProgress &stored,
                   TimePoint now);

/// Takes in a report. @p sentAt is the time at which the renewal was sent; @p fenced is whether it
/// carried the host's newest token, so that orders before it cannot take effect any more.
void applyReport(Dispatcher &dispatcher, const HostId &host, const HostReport &report,
                 TimePoint sentAt, bool fenced, TimePoint now);

/// Takes in the answer to a start order.
void applyStartOutcome(Dispatcher &dispatcher, const StartRun &order, StartOutcome outcome,
                       TimePoint now);

/// Declares all runs of @p host lost: its lease has lapsed.
void declareRunsLost(Dispatcher &dispatcher, const HostId &host, const std::string &reason,
                     TimePoint now);

/// Ends the recovery: from now on, tasks that no host reported are known not to run.
void endRecovery(Dispatcher &dispatcher);

/// Returns whether the host list is too old to start tasks by it.
bool isHostListOld(const Dispatcher &dispatcher, TimePoint now);

/// Decides which tasks to start and stop.
Orders plan(Dispatcher &dispatcher, TimePoint now);

/// Number of jobs of @p queue of which no task has started.
std::size_t pendingJobs(const Dispatcher &dispatcher, const std::string &queue);

} // namespace acaciadeal

#endif
