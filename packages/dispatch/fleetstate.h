#ifndef ACACIADEAL_DISPATCH_FLEETSTATE_H
#define ACACIADEAL_DISPATCH_FLEETSTATE_H

#include "base/identifier.h"
#include "base/resources.h"
#include "base/time.h"
#include "dispatch/interference.h"
#include "dispatch/taskrun.h"
#include "jobs/jobprogress.h"
#include "jobs/jobspec.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciadeal {

enum class TaskPhase : std::uint8_t {
    Waiting,
    /// A start order was sent and has not been answered yet.
    Starting,
    /// The start order timed out. The host's next fenced report shows whether the run exists.
    Uncertain,
    Running,
    Stopping,
    Done,
};

/// Value of TaskRuntime::pace if the speed of the run is not known: an earlier holder may have
/// changed it, or the order that set it was not answered. It is ordered again after the next
/// report.
inline constexpr int unknownPace = -1;

/// In-memory state of one task, in addition to its durable progress.
struct TaskRuntime
{
    TaskPhase phase = TaskPhase::Waiting;
    /// Number of the latest start. It also increases over changes of the holder, because the
    /// numbers of each epoch start above those of the previous one.
    std::uint64_t run = 0;
    /// Set unless the phase is Waiting or Done.
    HostId host;
    std::string checkpoint;
    /// Waiting: when the wait began. Starting: when the start order was sent. Running: when the
    /// start was confirmed. Uncertain: when the start order timed out. Stopping: when the stop
    /// order was last sent.
    TimePoint phaseSince;
    /// When a run of the task was last known to be present; when the task was added if none was.
    /// Only valid in phase Waiting, and earlier than phaseSince after a run was declared lost.
    TimePoint downSince;
    /// Progress in the last report, and when it last increased.
    int percent = 0;
    TimePoint progressedAt;
    /// Tail latency or processors in use, as in PresentRun.
    double load = 0;
    /// Only used for serving tasks.
    UserPressure userPressure;
    /// Speed ordered last, in percent of full speed, or unknownPace.
    int pace = 100;
    /// Whether the speed of this run was ever changed by an order.
    bool wasPaced = false;
    /// Whether this holder knows the task's last run, so that the task cannot be running on a host
    /// that has not reported.
    bool accountedFor = false;
    /// Whether this holder started the run, and without a checkpoint: it was neither resumed nor
    /// adopted.
    bool startedFromScratch = false;
    /// The task is not started before this time.
    TimePoint notBefore;
    /// Host on which the task last failed or was refused.
    HostId lastFailedHost;
};

struct StepRuntime
{
    std::vector<TaskRuntime> tasks;
    ImageId image = 0;
    /// Number of tasks in phase Waiting.
    std::uint32_t waiting = 0;
    /// Whether all steps that this one depends on are done, so that its tasks may start.
    bool dependenciesDone = false;
    /// When it was last logged why tasks of the step wait.
    TimePoint reasonLoggedAt;
    /// Shortest run time of a completed task; 0 if none has completed.
    Duration shortestRunTime{0};
};

struct JobRuntime
{
    JobSpec spec;
    JobProgress progress;
    /// Version of the progress row; 0 if there is none.
    std::uint64_t progressVersion = 0;
    TimePoint acceptedAt;
    /// Time by which the job should be completed. A later completion is worth less to the caller.
    TimePoint objective;
    /// Declared run time of the longest chain of dependent steps.
    milliseconds criticalPath{0};
    std::vector<StepRuntime> steps;
    /// Whether tasks of the job may be running on hosts that have not reported to this holder yet.
    bool inRecovery = false;
    /// Whether this holder has ordered the start of a task of the job. An order may be refused or
    /// never reach its host.
    bool startOrdered = false;
    /// Whether a host has confirmed that a task of the job started: it answered the start order, or
    /// reported a run or the end of one.
    bool startConfirmed = false;
    /// When the job reached a terminal state; unset before.
    TimePoint endedAt;
};

/// A host that runs tasks, as known to the holder.
struct FleetHost
{
    HostId id;
    FailureDomainId failureDomain;
    ServiceId service;
    std::set<std::string> labels;
    RackId rack;
    Resources capacity;
    bool leaving = false;
    /// Whether it is on the platform's host list.
    bool listed = false;
    /// Whether it has sent a complete report to this holder, so that its runs are known.
    bool reported = false;
    /// When its last report arrived.
    TimePoint reportedAt;
    /// Whether it answered the last lease renewal.
    bool reachable = false;
    /// Start of the host's current incarnation, as time of day; unset if it is not known.
    std::optional<milliseconds> bootedAt;
    /// Runs that occupy the host, including those being started or stopped.
    std::map<TaskKey, std::uint64_t> runs;
    /// Sum of the task sizes of the runs, without the processors of backfill tasks.
    Resources committed;
    std::int64_t backfillMilliCores = 0;
    /// Processors committed to tasks with a tail latency target; included in `committed`.
    std::int64_t servingMilliCores = 0;
    /// Committed processors of serving tasks, and processors of backfill tasks, by image.
    ImageUse servingUse;
    ImageUse backfillUse;
    /// By image, the highest pressure on a serving task from its own users in the last report.
    std::vector<std::pair<ImageId, double>> userPressures;
    /// Sum of the task sizes of reported runs that no task needs any more. They occupy the host
    /// until it no longer reports them.
    Resources orphanedResources;
    /// Whether the host reported a run of an unknown job, whose size is therefore unknown too.
    bool hasUnknownRun = false;
    /// Share of the waiting backfill work that could run here without interfering with serving
    /// tasks; 1 on a host without serving tasks. See preparePlacementRound().
    double backfillSuitability = 1;
    /// Numbers of the last run end that was applied, and of the last one whose effect is stored.
    std::uint64_t lastSeenEnd = 0;
    std::uint64_t lastDurableEnd = 0;
    /// Distinct jobs with a failed run on the host since its last success, at most as many as cause
    /// the host to be avoided.
    std::vector<JobId> failedJobs;
    /// Consecutive starts that the host refused as unhealthy; 0 after a start or a success.
    int consecutiveRefusals = 0;
    /// Until this time, tasks are placed on other hosts if possible.
    TimePoint avoidUntil;
    /// No task starts on the host before this time. Limits the runs that a failing host gets while
    /// it is avoided.
    TimePoint noStartsBefore;
    /// Allowed speed of interfering backfill tasks, in percent of full speed.
    int pace = 100;
    TimePoint paceChangedAt;
    /// Highest ratio of a serving task's tail latency to its target in the last report.
    double tailRatio = 0;
    /// Since when that ratio has been above 1 without interruption; unset if it is not.
    std::optional<TimePoint> overTargetSince;
    /// Whether all backfill tasks on the host are paused because the ratio stayed above 1,
    /// regardless of the interference model.
    bool backfillPaused = false;
};

/// Numbers of the live jobs of a queue.
struct QueueCounts
{
    std::size_t live = 0;
    /// Jobs of which no host has confirmed the start of a task.
    std::size_t pending = 0;
    /// Pending jobs with start orders.
    std::size_t unconfirmed = 0;

    friend bool operator==(const QueueCounts &, const QueueCounts &) = default;
};

/// Scheduling state of a shard's holder. Not thread-safe; used by one control thread.
struct FleetState
{
    std::unordered_map<JobId, std::unique_ptr<JobRuntime>> jobs;
    std::map<HostId, FleetHost> hosts;
    std::set<FailureDomainId> evacuated;
    /// Time as of which the host list is current; unset if its age is not tracked.
    std::optional<TimePoint> hostListReadAt;
    InterferenceModel interference;
    /// Services of whose usable processors about half or less are committed; see
    /// preparePlacementRound().
    std::set<ServiceId> mostlyIdleServices;
    /// Recent peak of the processors that short committed tasks need; see updateUrgentDemand().
    double urgentPeakMilliCores = 0;
    TimePoint urgentDemandAt;
    /// Usable hosts of the current scheduling round; see preparePlacementRound().
    std::vector<FleetHost *> usableHosts;
    /// Processors that long-running tasks may still take in the current scheduling round; see
    /// updateUrgentDemand().
    double longRunningSpareMilliCores = 0;
    /// Free processors of the current scheduling round beyond those that waiting restarts of
    /// long-running tasks need; see updateRestartDemand().
    std::int64_t spareBesidesRestarts = 0;
    /// Backfill work in core-seconds of jobs that were admitted and are being stored.
    std::map<JobId, double> pendingJobWork;
    /// Jobs that are not in a terminal state.
    std::vector<JobRuntime *> liveJobs;
    /// Counts of liveJobs, by queue; see updateQueueCounts().
    std::map<std::string, QueueCounts> queues;
    /// Jobs in a terminal state that may still have runs on hosts.
    std::set<JobId> stoppingJobs;
    /// Tasks of live jobs whose runs are being stopped, either to start on another host or because
    /// the task is done.
    std::set<TaskKey> relocatingTasks;
    /// Tasks whose runs the stored lease record lists. A later holder takes it that they run
    /// nowhere else, so they do not start before the record has been replaced.
    std::set<TaskKey> recordedTasks;
    /// Jobs whose progress differs from the stored row.
    std::set<JobId> dirty;
    /// The runs that this holder starts get numbers above this one.
    std::uint64_t runNumberBase = 0;
    /// Jobs in a terminal state, in the order in which they ended.
    std::vector<JobId> ended;
};

/// Returns the runtime state of the task, or nullptr if there is no such job or task.
TaskRuntime *findTask(FleetState &fleet, const TaskKey &task);
const TaskRuntime *findTask(const FleetState &fleet, const TaskKey &task);
JobRuntime *findJob(FleetState &fleet, const JobId &job);
const JobRuntime *findJob(const FleetState &fleet, const JobId &job);
FleetHost *findHost(FleetState &fleet, const HostId &host);

/// Returns whether the task has to wait although it has no run: it may be running on a host that
/// has not reported, or the stored lease record lists a run of it.
bool isHeldBack(const FleetState &fleet, const JobRuntime &job, const TaskKey &key,
                const TaskRuntime &task);

/// Returns the job's state as reported to callers. A job counts as running from its first start
/// order on, whether a task of it has begun or not; it stays pending until a start is confirmed.
JobState stateOf(const JobRuntime &job);

/// Calls @p change and updates the counts of the job's queue. Everything that changes whether a job
/// is live, pending or unconfirmed is done through this function.
template<typename Change>
void updateQueueCounts(FleetState &fleet, JobRuntime &job, const Change &change);

/// Adds the job to the counts of its queue, or subtracts it, if it is live.
void countJob(FleetState &fleet, const JobRuntime &job, bool adds);

template<typename Change>
void updateQueueCounts(FleetState &fleet, JobRuntime &job, const Change &change)
{
    countJob(fleet, job, false);
    change();
    countJob(fleet, job, true);
}

/// Totals over all hosts and jobs, for logs and status pages.
struct FleetSummary
{
    int hosts = 0;
    /// Listed, reachable, not leaving, not evacuated.
    int usableHosts = 0;
    /// Totals over the usable hosts.
    Resources capacity;
    Resources committed;
    std::int64_t servingMilliCores = 0;
    std::int64_t backfillMilliCores = 0;
    /// Waiting tasks whose step's dependencies are done, and how many of them are backfill tasks.
    std::size_t waitingTasks = 0;
    std::size_t waitingBackfillTasks = 0;
    /// Totals over the queues.
    std::size_t pendingJobs = 0;
    std::size_t unconfirmedJobs = 0;
};

FleetSummary summarize(const FleetState &fleet);

/// Returns whether the host may get new tasks, regardless of its free resources and of whether it
/// is avoided.
bool isUsable(const FleetState &fleet, const FleetHost &host);

/// Returns the host's resources that are neither committed nor used by orphaned runs; none if it
/// has a run of unknown size.
Resources freeResources(const FleetHost &host);

/// Adds a run to @p host, or removes it, and updates the committed resources.
void addRun(FleetHost &host, const JobRuntime &job, const TaskKey &task, std::uint64_t run);
void removeRun(FleetHost &host, const JobRuntime &job, const TaskKey &task);
/// Removes all runs from @p host, including orphaned ones.
void removeAllRuns(FleetHost &host);

} // namespace acaciadeal

#endif
