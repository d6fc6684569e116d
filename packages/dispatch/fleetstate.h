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
    /// A start order is on its way.
    Starting,
    /// A start order got no answer; the host's next fenced report settles it.
    Uncertain,
    Running,
    Stopping,
    Done,
};

/// Speed of a run that an earlier holder may have changed, or whose order got no answer. The next
/// report orders it anew.
inline constexpr int unknownPace = -1;

/// What the holder knows of one task beyond its durable progress.
struct TaskRuntime
{
    TaskPhase phase = TaskPhase::Waiting;
    /// Number of the newest start; rises over takeovers because it begins with the epoch.
    std::uint64_t run = 0;
    /// Set unless the phase is Waiting or Done.
    HostId host;
    std::string checkpoint;
    /// Start order sent; later, start confirmed; while waiting, since when it waits.
    TimePoint since;
    /// Work share reported last, and when it last grew.
    int percent = 0;
    TimePoint progressedAt;
    /// Tail or processors in use, as in PresentRun.
    double load = 0;
    /// Of a serving task.
    OwnPressure ownPressure;
    /// Speed in percent that was ordered last, or unknownPace.
    int pace = 100;
    /// Whether this run was ever slowed by us.
    bool wasPaced = false;
    /// Whether this run did its whole work under this holder: neither resumed nor adopted.
    bool isWhole = false;
    /// Not started again before this time.
    TimePoint notBefore;
    /// Host on which the task failed last.
    HostId failedOn;
};

struct StepRuntime
{
    std::vector<TaskRuntime> tasks;
    ImageId image = 0;
    /// Number of tasks in phase Waiting.
    std::uint32_t waiting = 0;
    /// Whether all steps that it depends on are done.
    bool open = false;
    /// When the reason of its waiting tasks was logged last.
    TimePoint explainedAt;
    /// Shortest run of a task that was done; 0 before the first.
    Duration shortestRun{0};
};

struct JobRuntime
{
    JobSpec spec;
    JobProgress progress;
    /// Version of the progress row; 0 if there is none.
    std::uint64_t progressVersion = 0;
    TimePoint acceptedAt;
    /// End of the objective; later completion earns less.
    TimePoint objective;
    /// Declared run time of the longest chain.
    milliseconds chain{0};
    std::vector<StepRuntime> steps;
    /// Whether its tasks may still run on hosts that have not reported to this holder.
    bool unaccounted = false;
    /// Whether a task was ever started.
    bool begun = false;
    /// Set in a terminal state.
    TimePoint endedAt;
};

/// Pool member that runs tasks.
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
    /// Whether it has reported to this holder, so that what runs there is known.
    bool reported = false;
    /// When its last report arrived.
    TimePoint reportedAt;
    /// Whether its last renewal was answered.
    bool reachable = false;
    std::optional<milliseconds> bootedAt;
    /// Runs that occupy the host, including those being started or stopped.
    std::map<TaskKey, std::uint64_t> runs;
    /// Sum of the runs' sizes; processors of backfill tasks are counted apart.
    Resources committed;
    std::int64_t backfillMilliCores = 0;
    /// Part of the committed processors that belongs to tasks with a tail target.
    std::int64_t servingMilliCores = 0;
    /// Committed processors of serving tasks, and processors of backfill tasks, by image.
    ImageUse servingUse;
    ImageUse backfillUse;
    /// Highest pressure of the own users of a serving task, by image, as of the last report.
    std::vector<std::pair<ImageId, double>> ownPressures;
    /// Sizes of listed runs that no task needs; they occupy the host until they are gone.
    Resources strays;
    /// Whether a listed run belongs to a job that is not known, so that its size is not.
    bool hasUnknownRun = false;
    /// Share of the waiting backfill work that could run here without disturbing; 1 if nothing
    /// serves here. See rateOpenness().
    double openness = 1;
    /// Highest end number that was taken in, and the highest whose effect is durable.
    std::uint64_t seenEnd = 0;
    std::uint64_t durableEnd = 0;
    /// Jobs of which a run failed there since the last success, up to the number that makes the
    /// host avoided.
    std::vector<JobId> failedJobs;
    /// Starts in a row that the host refused as unhealthy; 0 after a start or a success.
    int refusalsInARow = 0;
    TimePoint avoidUntil;
    /// Nothing starts there before this time, so that a failing host gets few runs while it is
    /// avoided.
    TimePoint tryFrom;
    /// Allowed speed of backfill tasks in percent.
    int pace = 100;
    TimePoint paceChangedAt;
    /// Highest ratio of a serving task's tail to its target in the last report.
    double tailRatio = 0;
    /// Since when that ratio has been above 1 without a break; unset below.
    std::optional<TimePoint> overTargetSince;
    /// Whether all backfill tasks here stand still because of it, whatever the model says.
    bool backfillPaused = false;
};

/// Everything that the holder of a shard knows. Not thread-safe; used by one control thread.
struct FleetState
{
    std::unordered_map<JobId, std::unique_ptr<JobRuntime>> jobs;
    std::map<HostId, FleetHost> hosts;
    std::set<FailureDomainId> evacuated;
    /// Moment that the host list shows; unset if that is not followed.
    std::optional<TimePoint> hostsReadAt;
    InterferenceModel interference;
    /// Services of whose usable processors about half or less are committed; see rateOpenness().
    std::set<ServiceId> halfEmpty;
    /// Processors that short committed tasks need, at their recent peak; see updateUrgentDemand().
    double urgentMilliCores = 0;
    TimePoint urgentDemandAt;
    /// Usable hosts, for one round of decisions; see rateOpenness().
    std::vector<FleetHost *> usable;
    /// Processors that serving tasks may still take in this round; see updateUrgentDemand().
    double spareForLongRunning = 0;
    /// Work in core-seconds of jobs that were admitted and are being stored.
    std::map<JobId, double> offered;
    /// Jobs that are not in a terminal state.
    std::vector<JobRuntime *> live;
    /// Jobs in a terminal state of which a run may still be present.
    std::set<JobId> stopping;
    /// Tasks of live jobs whose runs are stopped, to start elsewhere or because the task is done.
    std::set<TaskKey> relocating;
    /// Jobs whose progress differs from its row.
    std::set<JobId> dirty;
    /// Runs of this holder are numbered from here.
    std::uint64_t runBase = 0;
    /// Jobs in a terminal state, in the order of their ends.
    std::vector<JobId> ended;
};

/// Returns the task's runtime record, or nullptr if there is no such job or task.
TaskRuntime *findTask(FleetState &fleet, const TaskKey &task);
const TaskRuntime *findTask(const FleetState &fleet, const TaskKey &task);
JobRuntime *findJob(FleetState &fleet, const JobId &job);
const JobRuntime *findJob(const FleetState &fleet, const JobId &job);
FleetHost *findHost(FleetState &fleet, const HostId &host);

/// Returns the state as callers see it.
JobState stateOf(const JobRuntime &job);

/// Sums over a fleet, for operators.
struct FleetSummary
{
    int hosts = 0;
    /// Listed, reachable, not leaving, not evacuated.
    int usableHosts = 0;
    /// Of the usable hosts.
    Resources capacity;
    Resources committed;
    std::int64_t servingMilliCores = 0;
    std::int64_t backfillMilliCores = 0;
    /// Tasks that may start now, and those of them that are backfill tasks.
    std::size_t waitingTasks = 0;
    std::size_t waitingBackfillTasks = 0;
};

FleetSummary summarize(const FleetState &fleet);

/// Returns whether the host may get new tasks, apart from its room and a probation.
bool isUsable(const FleetState &fleet, const FleetHost &host);

/// Returns what committed tasks, and runs that no task needs, leave of the host.
Resources freeOn(const FleetHost &host);

/// Records that @p run occupies @p host, or no longer does.
void occupy(FleetHost &host, const JobRuntime &job, const TaskKey &task, std::uint64_t run);
void vacate(FleetHost &host, const JobRuntime &job, const TaskKey &task);
/// Records that nothing occupies @p host.
void vacateAll(FleetHost &host);

} // namespace acaciadeal

#endif
