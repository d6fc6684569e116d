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
    /// Lease granted while the platform is unreachable; nothing can be placed elsewhere then.
    milliseconds outageLease{600'000};
    milliseconds renewPeriod{5'000};
    /// Longest time after the last confirmed ownership until which leases may run.
    milliseconds autonomy{3'600'000};
    /// Autonomy of the holder before this one, which may have run with other settings.
    milliseconds predecessorAutonomy{0};
    /// How long a worker accepts a start after it issued the permit.
    milliseconds startWindow{3'000};
    /// Allowed difference between the rates of two clocks, in parts per million.
    std::int64_t clockDriftPpm = 5'000;
    /// Failures of distinct tasks in a row after which a host gets one trial task at a time.
    std::uint32_t probationFailures = 3;
    /// How long a trial task has to run on a host on probation to count as a success; a service
    /// never finishes.
    milliseconds trialPeriod{60'000};
    /// Unanswered orders in a row after which a host gets no new starts.
    std::uint32_t unreachableAfter = 3;
    /// Most tasks that are stopped per second while the failure domain is out.
    std::uint32_t drainPerSecond = 20;
    /// Most placements in the first second after the failure domain came back; the limit grows by
    /// the same number every second.
    std::uint32_t refillPerSecond = 50;
    /// Most changes in one log entry; keeps an entry below 64 KB.
    std::size_t maxChangesPerEntry = 400;
    /// Committed amounts allowed to a team in this shard; a team without an entry has no limit.
    std::map<TeamId, Resources> quotas;
};

/// What the holder knows of one worker beyond the durable state.
struct WorkerView
{
    std::string bootId;
    std::uint64_t permit = 0;
    std::optional<TimePoint> permitReceivedAt;
    /// Latest time, on the holder's clock, at which any lease granted by this epoch can end.
    std::optional<TimePoint> epochLeaseEnd;
    /// Whether the worker has acknowledged the current epoch.
    bool epochAcknowledged = false;
    std::uint64_t lastSequence = 0;
    std::optional<TimePoint> lastOrderAt;
    bool orderInFlight = false;
    std::uint32_t unansweredOrders = 0;
    /// Distinct tasks that failed since the last success.
    std::set<TaskId> failedTasks;
    bool confirmedOff = false;
    std::map<TaskRun, RunningTask> running;
    /// Latest time at which a lease granted by an earlier epoch can end; empty once nothing started
    /// by an earlier epoch can be running.
    std::optional<TimePoint> predecessorLeaseEnd;
    /// Sequence of the newest orders that the worker has answered.
    std::uint64_t answeredSequence = 0;
    /// Only start given to a host on probation, until it ends or outlasts the trial period.
    std::optional<TaskRun> trialRun;
    TimePoint trialStartedAt;
    /// Whether work waits for a fresh permit of this worker.
    bool needsPermit = false;
    /// Runs that the worker reports and that the durable state does not place on it.
    std::set<TaskRun> orphanedRuns;
    std::set<TaskRun> stopsInFlight;
    /// Stops that the worker has received; they are repeated with renewals only.
    std::set<TaskRun> deliveredStops;
    std::vector<TaskRun> acknowledgedInFlight;
};

/// Sums over the tasks placed on a host, kept so that a proposal need not scan tasks.
struct HostLoad
{
    Resources batch;
    Resources latencyCritical;
    /// Reported by the worker, with a lag.
    std::int64_t usedMilliCores = 0;
};

/// Evictions under way to make room for an urgent task.
struct Preemption
{
    HostId host;
    std::set<TaskRun> victims;
};

/// Placement that is durable and whose start order has not been answered.
struct PendingStart
{
    TaskRun run;
    HostId host;
    /// Permit received before the append was sent; 0 if there was none.
    std::uint64_t permit = 0;
    TimePoint permitReceivedAt;
    bool sent = false;
    /// Sequence of the newest orders that carried the start.
    std::uint64_t sentSequence = 0;
    /// Whether the start must not be sent any more.
    bool withdrawn = false;
};

/// Volatile state of a shard's holder. Used only by the control thread.
struct Holder
{
    HolderOptions options;
    ShardState state;
    std::uint64_t epoch = 0;
    /// Local time at which the claim was known to be committed.
    TimePoint claimedAt;
    /// Start time of the last confirmed write of the alive row.
    TimePoint ownershipConfirmedAt;
    bool domainInService = true;
    std::optional<TimePoint> domainInServiceSince;
    bool platformReachable = true;
    std::map<HostId, WorkerView> workers;
    /// Sequence of the newest orders to any worker. One counter serves all, because a host that is
    /// removed and added again still remembers the last sequence of the epoch.
    std::uint64_t orderSequence = 0;
    std::map<TaskRun, PendingStart> pendingStarts;
    /// Runs that should stop, with the reason that will be recorded.
    std::map<TaskRun, ReleaseReason> stoppingRuns;
    /// Ended runs reported by workers and not durable yet.
    std::map<TaskRun, std::pair<HostId, EndedRun>> ended;
    /// Durable results that the worker may forget.
    std::map<HostId, std::vector<TaskRun>> resultsToAcknowledge;
    std::map<TaskId, TimePoint> waitingSince;
    std::set<TaskId> tasksReportedLate;
    /// Runs that provably do not exist and have no result, with the reason that will be recorded.
    std::map<TaskRun, ReleaseReason> absentRuns;
    /// Share of its processors that a run should be limited to, in percent.
    std::map<TaskRun, std::uint32_t> throttles;
    std::map<TaskId, Preemption> preemptions;
    std::map<HostId, HostLoad> loadByHost;
    /// Number of placed tasks by job and rack.
    std::unordered_map<JobId, std::map<RackId, std::uint32_t>> placementsByJobAndRack;
    /// Placements to stop while the failure domain is out, in this order.
    std::deque<TaskRun> drainQueue;
    double drainTokens = 0;
    TimePoint drainTokensUpdatedAt;
    /// Placements since the failure domain came back.
    std::uint64_t placementsSinceReturn = 0;
    /// Where the scan of the queue goes on if it did not reach the end.
    std::optional<QueueKey> scanPosition;
    /// Times at which tasks become late, and the same by task.
    std::set<std::pair<TimePoint, TaskId>> tasksByDeadline;
    std::map<TaskId, TimePoint> deadlineByTask;
};

/// Changes to append, and the permits that starts of the entry may use.
struct Proposal
{
    std::vector<Change> changes;
    bool containsStart = false;
    /// Permit of each host at the time of the proposal, for the placements in it.
    std::map<HostId, std::pair<std::uint64_t, TimePoint>> permits;
};

/// Starts a holder from the recovered @p state after a claim. Every placed task is first treated as
/// possibly running: workers have to acknowledge the new epoch, or autonomy has to pass.
Holder makeHolder(HolderOptions options, ShardState state, std::uint64_t epoch, TimePoint now);

/// Returns the next changes to append: results of ended runs, lapses, expired starts, placements,
/// rejections of tasks that can never run. Nothing is proposed while the platform is unreachable.
/// Marks evictions that urgent tasks need, and hosts whose permit is needed. The cost grows with
/// the number of hosts and of placements, not of tasks. Precondition: no append is in flight.
Proposal proposeChanges(Holder &holder, TimePoint now);

/// Returns TaskMoved changes that distribute the waiting tasks over @p targets in turn, at most
/// @p limit. Each needs movedTask() in the inbox of its target in the same transaction.
std::vector<Change> proposeMoves(const Holder &holder, std::span<const ShardId> targets,
                                 std::size_t limit);

/// Applies a proposal that was appended. @p entry starts with the changes of @p proposal and may go
/// on with changes of the caller. Errors: those of apply(); the holder must stop then.
Result<void> applyProposal(Holder &holder, const Proposal &proposal, const LogEntry &entry,
                            TimePoint now);

/// Returns the orders that are due, at most one per worker, and marks them in flight. A worker gets
/// orders once every renewPeriod; earlier only if there is something to start, stop, throttle or
/// acknowledge, or if waiting work needs a permit (at most every 100 ms).
std::map<HostId, WorkerOrders> dueOrders(Holder &holder, TimePoint now);

/// Takes in the answer of a worker, received at @p now. An answer to older orders than the newest
/// answered ones, or from another epoch, is ignored.
void onReport(Holder &holder, const HostId &host, const WorkerReport &report, TimePoint now);

/// Records that orders were not answered. They may have been carried out.
void onOrdersUnanswered(Holder &holder, const HostId &host, TimePoint now);

/// Takes in the failure domain's state. Taking it out stops placements and begins draining.
void setDomainState(Holder &holder, bool in, TimePoint now);

/// Records an operator's confirmation that a host is powered off.
void confirmHostOff(Holder &holder, const HostId &host);

/// Limits @p run to @p percent of its declared processors; 100 removes the limit.
void setThrottle(Holder &holder, const TaskRun &run, std::uint32_t percent);

/// Returns whether @p host gets one trial task at a time after failures of distinct tasks.
bool isOnProbation(const Holder &holder, const HostId &host);

/// Returns whether no run of this placement can exist any more: see the list of proofs in
/// docs/design.md, section 2.4.
bool provablyNotRunning(const Holder &holder, const TaskRun &run, const HostId &host,
                        TimePoint now);

/// Why a task waits or what it does, for operators: a sentence and the limit that binds.
std::string explainTask(const Holder &holder, const TaskId &task, TimePoint now);

/// Returns the tasks that are beyond their deadline.
std::vector<TaskId> lateTasks(const Holder &holder, TimePoint now);

} // namespace acaciadeal

#endif
