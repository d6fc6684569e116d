#include "scheduling/holder.h"

#include "scheduling/internal/holderdetail.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace acaciadeal {

using internal::addClockDrift;
using internal::findPlacedTask;
using internal::latestLeaseEnd;

namespace {

Resources &loadForClass(HostLoad &load, TaskClass taskClass)
{
    return taskClass == TaskClass::Batch ? load.batch : load.latencyCritical;
}

/// Adds a placed task to the totals by host and rack.
void addPlacementToCounts(Holder &holder, const Task &task)
{
    Resources &load = loadForClass(holder.loadByHost[task.host], task.spec.taskClass);
    load = load + task.spec.size;
    ++holder.placementsByJobAndRack[task.spec.job][holder.state.hosts.at(task.host).rack];
}

/// Reverses addPlacementToCounts(). Precondition: the task is still placed.
void removePlacementFromCounts(Holder &holder, const Task &task)
{
    Resources &load = loadForClass(holder.loadByHost[task.host], task.spec.taskClass);
    load = load - task.spec.size;
    const auto job = holder.placementsByJobAndRack.find(task.spec.job);
    const auto rack = job->second.find(holder.state.hosts.at(task.host).rack);
    if (--rack->second == 0) {
        job->second.erase(rack);
    }
    if (job->second.empty()) {
        holder.placementsByJobAndRack.erase(job);
    }
}

void trackTask(Holder &holder, const Task &task, TimePoint now)
{
    if (isWaiting(task.state)) {
        holder.waitingSince.try_emplace(task.spec.id, now);
    }
    if (task.spec.deadline.count() > 0 && !isEnded(task.state)
        && !holder.deadlineByTask.contains(task.spec.id)) {
        const TimePoint due = now + task.spec.deadline;
        holder.deadlineByTask.emplace(task.spec.id, due);
        holder.tasksByDeadline.emplace(due, task.spec.id);
    }
}

void untrackTask(Holder &holder, const TaskId &id)
{
    holder.waitingSince.erase(id);
    holder.preemptions.erase(id);
    holder.tasksReportedLate.erase(id);
    if (const auto due = holder.deadlineByTask.find(id); due != holder.deadlineByTask.end()) {
        holder.tasksByDeadline.erase({due->second, id});
        holder.deadlineByTask.erase(due);
    }
}

/// Removes the volatile state of a released run, and lets the worker discard its result.
void untrackRun(Holder &holder, const TaskRun &run, const HostId &host)
{
    holder.pendingStarts.erase(run);
    holder.stoppingRuns.erase(run);
    holder.absentRuns.erase(run);
    holder.throttles.erase(run);
    if (holder.ended.erase(run) > 0) {
        holder.resultsToAcknowledge[host].push_back(run);
    }
    if (const auto view = holder.workers.find(host); view != holder.workers.end()) {
        view->second.running.erase(run);
        if (view->second.trialRun == run) {
            view->second.trialRun.reset();
        }
    }
}

/// Recomputes the placement totals after a host has changed its rack.
void recountPlacements(Holder &holder)
{
    holder.placementsByJobAndRack.clear();
    for (auto &[id, load] : holder.loadByHost) {
        load.batch = {};
        load.latencyCritical = {};
    }
    for (const auto &[id, task] : holder.state.tasks) {
        if (task.state == TaskState::Placed) {
            addPlacementToCounts(holder, task);
        }
    }
}

/// Updates the volatile state for one change, before the change is applied to the durable state.
struct BeforeApply
{
    Holder &holder;

    void operator()(const TaskReleased &change) const
    {
        const Task *const task = findPlacedTask(holder.state, {change.task, change.incarnation});
        if (task != nullptr) {
            removePlacementFromCounts(holder, *task);
            untrackRun(holder, {change.task, change.incarnation}, task->host);
        }
    }

    template<typename Other>
    void operator()(const Other & /*change*/) const
    {
    }
};

/// Updates the volatile state for one change, after the change was applied to the durable state.
struct AfterApply
{
    Holder &holder;
    const Proposal &proposal;
    TimePoint now;

    void operator()(const JobAccepted &change) const
    {
        for (const Task &task : change.tasks) {
            const auto known = holder.state.tasks.find(task.spec.id);
            if (known != holder.state.tasks.end()) {
                trackTask(holder, known->second, now);
            }
        }
    }

    void operator()(const HostUpdated &change) const
    {
        holder.workers.try_emplace(change.host);
    }

    void operator()(const HostRemoved &change) const
    {
        holder.workers.erase(change.host);
        holder.loadByHost.erase(change.host);
        holder.resultsToAcknowledge.erase(change.host);
    }

    void operator()(const TaskPlaced &change) const
    {
        const TaskRun run{change.task, change.incarnation};
        const Task *const task = findPlacedTask(holder.state, run);
        if (task == nullptr) {
            return;
        }
        addPlacementToCounts(holder, *task);
        untrackWaiting(change.task);
        PendingStart pending{.run = run, .host = change.host};
        const auto permit = proposal.permits.find(change.host);
        if (permit != proposal.permits.end()) {
            std::tie(pending.permit, pending.permitReceivedAt) = permit->second;
        }
        pending.withdrawn = pending.permit == 0 || !holder.domainInService;
        holder.pendingStarts.insert_or_assign(run, pending);
        WorkerView &view = holder.workers[change.host];
        if (isOnProbation(holder, change.host)) {
            view.trialRun = run;
            view.trialStartedAt = now;
        }
        if (holder.domainInServiceSince) {
            ++holder.placementsSinceReturn;
        }
    }

    void operator()(const TaskReleased &change) const
    {
        const Task &task = holder.state.tasks.at(change.task);
        if (isEnded(task.state)) {
            untrackTask(holder, change.task);
        } else {
            trackTask(holder, task, now);
        }
    }

    void operator()(const TaskCancelled &change) const
    {
        const Task &task = holder.state.tasks.at(change.task);
        if (task.state == TaskState::Placed) {
            holder.stoppingRuns[{change.task, task.incarnation}] = ReleaseReason::Cancelled;
        } else {
            untrackTask(holder, change.task);
        }
    }

    void operator()(const TaskRejected &change) const
    {
        untrackTask(holder, change.task);
    }

    void operator()(const TaskMoved &change) const
    {
        untrackTask(holder, change.task);
    }

    void untrackWaiting(const TaskId &id) const
    {
        holder.waitingSince.erase(id);
        holder.preemptions.erase(id);
    }
};

} // namespace

namespace internal {

Duration addClockDrift(const HolderOptions &options, Duration length, int times)
{
    return length + length * options.clockDriftPpm * times / 1'000'000;
}

const Task *findPlacedTask(const ShardState &state, const TaskRun &run)
{
    const auto it = state.tasks.find(run.task);
    const bool placed = it != state.tasks.end() && it->second.state == TaskState::Placed
                        && it->second.incarnation == run.incarnation;
    return placed ? &it->second : nullptr;
}

std::optional<TimePoint> latestLeaseEnd(const WorkerView &view)
{
    if (view.epochLeaseEnd && view.predecessorLeaseEnd) {
        return std::max(*view.epochLeaseEnd, *view.predecessorLeaseEnd);
    }
    return view.epochLeaseEnd ? view.epochLeaseEnd : view.predecessorLeaseEnd;
}

bool isWithinStartWindow(const Holder &holder, const PendingStart &pending, TimePoint now)
{
    return now - pending.permitReceivedAt < holder.options.startWindow;
}

void scheduleDrainStops(Holder &holder, TimePoint now)
{
    if (holder.domainInService || !holder.platformReachable) {
        holder.drainTokensUpdatedAt = now;
        return;
    }
    const double rate = holder.options.drainPerSecond;
    const std::chrono::duration<double> elapsed = now - holder.drainTokensUpdatedAt;
    holder.drainTokens = std::min(rate, holder.drainTokens + rate * elapsed.count());
    holder.drainTokensUpdatedAt = now;
    while (holder.drainTokens >= 1 && !holder.drainQueue.empty()) {
        const TaskRun run = std::move(holder.drainQueue.front());
        holder.drainQueue.pop_front();
        if (findPlacedTask(holder.state, run) != nullptr
            && holder.stoppingRuns.emplace(run, ReleaseReason::Evicted).second) {
            holder.drainTokens -= 1;
        }
    }
}

} // namespace internal

Holder makeHolder(HolderOptions options, ShardState state, std::uint64_t epoch, TimePoint now)
{
    Holder holder;
    holder.options = std::move(options);
    holder.state = std::move(state);
    holder.epoch = epoch;
    holder.claimedAt = now;
    holder.ownershipConfirmedAt = now;
    holder.drainTokensUpdatedAt = now;
    const milliseconds longestAutonomy =
        std::max(holder.options.autonomy, holder.options.predecessorAutonomy);
    for (const auto &[id, host] : holder.state.hosts) {
        WorkerView &view = holder.workers[id];
        if (!host.tasks.empty()) {
            view.predecessorLeaseEnd = now + addClockDrift(holder.options, longestAutonomy, 2);
        }
    }
    for (const auto &[id, task] : holder.state.tasks) {
        trackTask(holder, task, now);
        if (task.state == TaskState::Placed) {
            addPlacementToCounts(holder, task);
            if (task.cancelRequested) {
                holder.stoppingRuns[{id, task.incarnation}] = ReleaseReason::Cancelled;
            }
        }
    }
    return holder;
}

Result<void> applyProposal(Holder &holder, const Proposal &proposal, const LogEntry &entry,
                           TimePoint now)
{
    const bool rackChanged =
        std::any_of(entry.changes.begin(), entry.changes.end(), [&holder](const Change &change) {
            const auto *const update = std::get_if<HostUpdated>(&change);
            if (update == nullptr) {
                return false;
            }
            const auto host = holder.state.hosts.find(update->host);
            return host != holder.state.hosts.end() && host->second.rack != update->rack;
        });
    // The updates made here need no rollback if apply() refuses the entry, because this holder
    // stops then.
    for (const Change &change : entry.changes) {
        std::visit(BeforeApply{holder}, change);
    }
    if (auto applied = apply(holder.state, entry); !applied) {
        return applied;
    }
    for (const Change &change : entry.changes) {
        std::visit(AfterApply{holder, proposal, now}, change);
    }
    if (rackChanged) {
        recountPlacements(holder);
    }
    return {};
}

std::vector<Change> proposeMoves(const Holder &holder, std::span<const ShardId> targets,
                                 std::size_t limit)
{
    std::vector<Change> changes;
    if (targets.empty()) {
        return changes;
    }
    for (const auto &[key, id] : holder.state.queue) {
        if (changes.size() >= limit) {
            break;
        }
        changes.emplace_back(TaskMoved{id, targets[changes.size() % targets.size()]});
    }
    return changes;
}

void setDomainInService(Holder &holder, bool inService, TimePoint now)
{
    if (inService == holder.domainInService) {
        return;
    }
    holder.domainInService = inService;
    holder.drainQueue.clear();
    holder.drainTokens = 0;
    holder.drainTokensUpdatedAt = now;
    holder.placementsSinceReturn = 0;
    if (inService) {
        holder.domainInServiceSince = now;
        return;
    }
    holder.domainInServiceSince.reset();
    holder.preemptions.clear();
    std::vector<std::tuple<TaskClass, std::uint64_t, TaskRun>> runs;
    for (const auto &[hostId, host] : holder.state.hosts) {
        for (const TaskId &id : host.tasks) {
            const Task &task = holder.state.tasks.at(id);
            runs.emplace_back(task.spec.taskClass, task.acceptanceNumber,
                              TaskRun{id, task.incarnation});
        }
    }
    std::sort(runs.begin(), runs.end());
    for (auto &[taskClass, acceptanceNumber, run] : runs) {
        holder.drainQueue.push_back(std::move(run));
    }
    for (auto &[run, pending] : holder.pendingStarts) {
        pending.withdrawn = true;
    }
}

void confirmHostOff(Holder &holder, const HostId &host)
{
    const auto view = holder.workers.find(host);
    if (view == holder.workers.end()) {
        return;
    }
    view->second.confirmedOff = true;
    for (auto &[run, pending] : holder.pendingStarts) {
        if (pending.host == host) {
            pending.withdrawn = true;
        }
    }
}

void setThrottle(Holder &holder, const TaskRun &run, std::uint32_t percent)
{
    if (findPlacedTask(holder.state, run) != nullptr) {
        holder.throttles[run] = percent;
    }
}

bool isOnProbation(const Holder &holder, const HostId &host)
{
    const auto view = holder.workers.find(host);
    return view != holder.workers.end() && holder.options.probationFailures > 0
           && view->second.failedTasks.size() >= holder.options.probationFailures;
}

bool provablyNotRunning(const Holder &holder, const TaskRun &run, const HostId &host, TimePoint now)
{
    const Task *const task = findPlacedTask(holder.state, run);
    if (task == nullptr || task->host != host) {
        // A release is recorded only when it is proven that the run does not exist.
        const auto known = holder.state.tasks.find(run.task);
        return known != holder.state.tasks.end() && run.incarnation <= known->second.incarnation;
    }
    if (holder.ended.contains(run) || holder.absentRuns.contains(run)) {
        return true;
    }
    const auto pending = holder.pendingStarts.find(run);
    if (pending != holder.pendingStarts.end() && !pending->second.sent) {
        return true;
    }
    const auto view = holder.workers.find(host);
    if (view == holder.workers.end()) {
        return false;
    }
    const auto leaseEnd = latestLeaseEnd(view->second);
    return view->second.confirmedOff || (leaseEnd && now > *leaseEnd);
}

std::vector<TaskId> lateTasks(const Holder &holder, TimePoint now)
{
    std::vector<TaskId> late;
    for (const auto &[due, id] : holder.tasksByDeadline) {
        if (due > now) {
            break;
        }
        late.push_back(id);
    }
    return late;
}

} // namespace acaciadeal
