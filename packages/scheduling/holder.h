#ifndef ACACIADEAL_SCHEDULING_HOLDER_H
#define ACACIADEAL_SCHEDULING_HOLDER_H

#include "base/time.h"
#include "scheduling/placementpolicy.h"
#include "scheduling/workermessage.h"
#include "state/shardstate.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciadeal {

struct HolderOptions
{
    PlacementPolicy placement;
    milliseconds lease{15'000};
    /// Lease granted while the platform is unreachable. It may be long, because the tasks cannot be
    /// placed on another host during that time.
    milliseconds outageLease{600'000};
    milliseconds renewPeriod{5'000};
    /// Leases end at most this long after the holder last confirmed that it owns the shard.
    milliseconds autonomy{3'600'000};
    /// Autonomy of the previous holder, whose settings may have been different.
    milliseconds predecessorAutonomy{0};
    /// How long after issuing a permit a worker accepts starts that carry it.
    milliseconds startWindow{3'000};
    /// Allowed difference between the rates of two clocks, in parts per million.
    std::int64_t clockDriftPpm = 5'000;
    /// Number of distinct tasks that fail without a success in between after which a host is on
    /// probation, that is, gets one trial task at a time.
    std::uint32_t probationFailures = 3;
    /// How long a trial task has to run on a host on probation to count as a success, which ends
    /// the probation; a service never finishes.
    milliseconds trialPeriod{60'000};
    /// Number of consecutive unanswered orders after which a host gets no new starts.
    std::uint32_t unreachableAfter = 3;
    /// Maximum number of tasks stopped per second while the failure domain is out of service.
    std::uint32_t drainPerSecond = 20;
    /// Maximum number of placements in the first second after the failure domain returns to
    /// service. The limit grows by the same number every second.
    std::uint32_t refillPerSecond = 50;
    /// Maximum number of changes in one log entry; keeps an entry below 64 KB.
    std::size_t maxChangesPerEntry = 400;
    /// Maximum resources committed to a team in this shard; a team without an entry has no limit.
    std::map<TeamId, Resources> quotas;
};

/// Volatile state that the holder keeps about one worker, in addition to the durable state.
struct WorkerView
{
    std::string bootId;
    /// Permit from the latest answer of the worker; 0 before the first answer.
    std::uint64_t permit = 0;
    std::optional<TimePoint> permitReceivedAt;
    /// Latest time, on the holder's clock, at which any lease granted by this epoch can end.
    std::optional<TimePoint> epochLeaseEnd;
    /// Whether the worker has acknowledged the current epoch.
    bool epochAcknowledged = false;
    /// Sequence of the latest orders to the worker.
    std::uint64_t lastSequence = 0;
    std::optional<TimePoint> lastOrderAt;
    bool orderInFlight = false;
    std::uint32_t unansweredOrders = 0;
    /// Distinct tasks that failed on the host since the last success there.
    std::set<TaskId> failedTasks;
    /// Whether an operator has confirmed that the host is powered off.
    bool confirmedOff = false;
    std::map<TaskRun, RunningTask> running;
    /// Latest time at which a lease granted by an earlier epoch can end. Empty once no run started
    /// by an earlier epoch can exist.
    std::optional<TimePoint> predecessorLeaseEnd;
    /// Sequence of the latest orders that the worker has answered.
    std::uint64_t answeredSequence = 0;
    /// The one run allowed on a host on probation, until it ends or has run for the trial period.
    std::optional<TaskRun> trialRun;
    TimePoint trialStartedAt;
    /// Whether a fresh permit is needed from this worker before its next regular orders: to start a
    /// waiting task, or to renew leases after a claim.
    bool needsPermit = false;
    /// Runs that the worker reports as running but that the durable state does not place on it.
    std::set<TaskRun> orphanedRuns;
    /// Stops in the latest orders.
    std::set<TaskRun> stopsInFlight;
    /// Stops that the worker has received; they are resent only together with lease renewals.
    std::set<TaskRun> deliveredStops;
    /// Runs whose results the latest orders acknowledge.
    std::vector<TaskRun> acknowledgementsInFlight;
};

/// Totals over the tasks placed on a host, maintained so that a proposal need not scan the tasks.
struct HostLoad
{
    Resources batch;
    Resources latencyCritical;
    /// As last reported by the worker; lags behind the actual usage.
    std::int64_t usedMilliCores = 0;
};

/// Evictions in progress that free capacity for an urgent task.
struct Preemption
{
    HostId host;
    std::set<TaskRun> victims;
};

/// Durable placement whose start order the worker has not answered yet.
struct PendingStart
{
    TaskRun run;
    HostId host;
    /// Permit that was held before the append of the placement was sent; 0 if there was none.
    std::uint64_t permit = 0;
    TimePoint permitReceivedAt;
    bool sent = false;
    /// Sequence of the latest orders that carried the start.
    std::uint64_t sentSequence = 0;
    /// Whether the start must no longer be sent.
    bool withdrawn = false;
};

/// State of a shard's holder: the durable shard state and the volatile state derived from it. Used
/// only by the control thread.
struct Holder
{
    HolderOptions options;
    ShardState state;
    std::uint64_t epoch = 0;
    /// Local time at which the holder learned that its claim was committed.
    TimePoint claimedAt;
    /// Time at which the last confirmed write of the row `alive/<shard>` was started. The write
    /// succeeds only while the holder owns the shard.
    TimePoint ownershipConfirmedAt;
    bool domainInService = true;
    std::optional<TimePoint> domainInServiceSince;
    bool platformReachable = true;
    std::map<HostId, WorkerView> workers;
    /// Sequence of the latest orders to any worker. All workers share one counter, because a host
    /// that is removed and added again still remembers the last sequence of the epoch.
    std::uint64_t orderSequence = 0;
    std::map<TaskRun, PendingStart> pendingStarts;
    /// Runs to stop, with the release reason to record.
    std::map<TaskRun, ReleaseReason> stoppingRuns;
    /// Ended runs that workers have reported and that are not durable yet.
    std::map<TaskRun, std::pair<HostId, EndedRun>> ended;
    /// Runs whose results are durable, so that the worker may discard them.
    std::map<HostId, std::vector<TaskRun>> resultsToAcknowledge;
    std::map<TaskId, TimePoint> waitingSince;
    std::set<TaskId> tasksReportedLate;
    /// Runs that provably do not exist and have no result, with the release reason to record.
    std::map<TaskRun, ReleaseReason> absentRuns;
    /// Limit of a run's processor use, in percent of its declared processors.
    std::map<TaskRun, std::uint32_t> throttles;
    std::map<TaskId, Preemption> preemptions;
    std::map<HostId, HostLoad> loadByHost;
    /// Number of placed tasks by job and rack.
    std::unordered_map<JobId, std::map<RackId, std::uint32_t>> placementsByJobAndRack;
    /// Runs to stop while the failure domain is out of service, in this order.
    std::deque<TaskRun> drainQueue;
    /// Token bucket that limits the drain rate: one token per stop.
    double drainTokens = 0;
    TimePoint drainTokensUpdatedAt;
    /// Number of placements since the failure domain returned to service.
    std::uint64_t placementsSinceReturn = 0;
    /// Where the next proposal resumes the scan of the queue, if the last one did not reach the
    /// end.
    std::optional<QueueKey> scanPosition;
    /// Tasks with a deadline in the order in which they become late, and the deadline of each.
    std::set<std::pair<TimePoint, TaskId>> tasksByDeadline;
    std::map<TaskId, TimePoint> deadlineByTask;
};

/// Changes to append, and the permits that the starts among them may use.
struct Proposal
{
    std::vector<Change> changes;
    bool containsStart = false;
    /// For each host that gets a placement, its permit at the time of the proposal and when the
    /// permit was received.
    std::map<HostId, std::pair<std::uint64_t, TimePoint>> permits;
};

/// Creates a holder from the recovered @p state after a claim. Every placed task counts as possibly
/// running until its worker acknowledges the new epoch or the autonomy period has passed.
Holder makeHolder(HolderOptions options, ShardState state, std::uint64_t epoch, TimePoint now);

/// Returns the next changes to append: results of ended runs, releases of runs whose lease lapsed,
/// expired starts, placements, and rejections of tasks that can never run. Proposes nothing while
/// the platform is unreachable. Records in @p holder the evictions that urgent tasks need and the
/// hosts from which a permit is needed. The cost grows with the number of hosts and placements, not
/// of tasks. Precondition: no append is in flight.
Proposal proposeChanges(Holder &holder, TimePoint now);

/// Returns at most @p limit TaskMoved changes that distribute the waiting tasks over @p targets
/// round-robin. The same transaction must write movedTask() to the inbox of each change's target.
std::vector<Change> proposeMoves(const Holder &holder, std::span<const ShardId> targets,
                                 std::size_t limit);

/// Applies a proposal that was appended to the log. @p entry starts with the changes of @p
/// proposal, which changes of the caller may follow. Errors: those of apply(); the holder must stop
/// then.
Result<void> applyProposal(Holder &holder, const Proposal &proposal, const LogEntry &entry,
                           TimePoint now);

/// Returns the orders that are due, at most one message per worker, and marks them as in flight. A
/// worker gets orders every renewPeriod; earlier only if there is something to start, stop,
/// throttle or acknowledge, or if a permit is needed (at most every 100 ms).
std::map<HostId, WorkerOrders> dueOrders(Holder &holder, TimePoint now);

/// Processes a worker's answer, received at @p now. Ignores an answer from another epoch, or to
/// orders that are not newer than the latest answered ones.
void onReport(Holder &holder, const HostId &host, const WorkerReport &report, TimePoint now);

/// Records that orders were not answered. The worker may have executed them nevertheless.
void onOrdersUnanswered(Holder &holder, const HostId &host, TimePoint now);

/// Sets whether the failure domain is in service. Taking it out of service stops placements and
/// starts draining.
void setDomainInService(Holder &holder, bool inService, TimePoint now);

/// Records an operator's confirmation that a host is powered off.
void confirmHostOff(Holder &holder, const HostId &host);

/// Limits @p run to @p percent of its declared processors; 100 removes the limit.
void setThrottle(Holder &holder, const TaskRun &run, std::uint32_t percent);

/// Returns whether @p host is on probation: it gets one trial task at a time, because distinct
/// tasks failed on it.
bool isOnProbation(const Holder &holder, const HostId &host);

/// Returns whether it is proven that no run of this placement can exist any more. The list of
/// proofs is in docs/design.md, section 2.4.
bool provablyNotRunning(const Holder &holder, const TaskRun &run, const HostId &host,
                        TimePoint now);

/// Returns a sentence for operators that says what a task is doing, or why it waits and which limit
/// blocks it.
std::string explainTask(const Holder &holder, const TaskId &task, TimePoint now);

/// Returns the tasks that have passed their deadline.
std::vector<TaskId> lateTasks(const Holder &holder, TimePoint now);

} // namespace acaciadeal

#endif
