#include "scheduling/holder.h"

#include "scheduling/internal/holderdetail.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace acaciadeal {

using internal::lapseBound;
using internal::placedTask;
using internal::withDrift;

namespace {

Resources &loadOf(HostLoad &load, TaskClass taskClass)
{
    return taskClass == TaskClass::Batch ? load.batch : load.latencyCritical;
}

/// Adds a placed task to the sums by host and rack.
void countPlacement(Holder &holder, const Task &task)
{
    Resources &load = loadOf(holder.loads[task.host], task.spec.taskClass);
    load = load + task.spec.size;
    ++holder.racksOfJob[task.spec.job][holder.state.hosts.at(task.host).rack];
}

/// Reverses countPlacement(). Precondition: the task is still placed.
void discountPlacement(Holder &holder, const Task &task)
{
    Resources &load = loadOf(holder.loads[task.host], task.spec.taskClass);
    load = load - task.spec.size;
    const auto job = holder.racksOfJob.find(task.spec.job);
    const auto rack = job->second.find(holder.state.hosts.at(task.host).rack);
    if (--rack->second == 0) {
        job->second.erase(rack);
    }
    if (job->second.empty()) {
        holder.racksOfJob.erase(job);
    }
}

void beginWaiting(Holder &holder, const Task &task, TimePoint now)
{
    if (isWaiting(task.state)) {
        holder.waitingSince.try_emplace(task.spec.id, now);
    }
    if (task.spec.deadline.count() > 0 && !isEnded(task.state)
        && !holder.dueAt.contains(task.spec.id)) {
        const TimePoint due = now + task.spec.deadline;
        holder.dueAt.emplace(task.spec.id, due);
        holder.deadlines.emplace(due, task.spec.id);
    }
}

void forgetTask(Holder &holder, const TaskId &id)
{
    holder.waitingSince.erase(id);
    holder.preemptions.erase(id);
    holder.lateReported.erase(id);
    if (const auto due = holder.dueAt.find(id); due != holder.dueAt.end()) {
        holder.deadlines.erase({due->second, id});
        holder.dueAt.erase(due);
    }
}

/// Drops what is known of a run that is released, and lets the worker forget its result.
void forgetRun(Holder &holder, const TaskRun &run, const HostId &host)
{
    holder.pendingStarts.erase(run);
    holder.stopping.erase(run);
    holder.absent.erase(run);
    holder.throttles.erase(run);
    if (holder.ended.erase(run) > 0) {
        holder.toAcknowledge[host].push_back(run);
    }
    if (const auto view = holder.workers.find(host); view != holder.workers.end()) {
        view->second.running.erase(run);
        if (view->second.trial == run) {
            view->second.trial.reset();
        }
    }
}

/// Counts all placements anew, after a host has changed its rack.
void recount(Holder &holder)
{
    holder.racksOfJob.clear();
    for (auto &[id, load] : holder.loads) {
        load.batch = {};
        load.latencyCritical = {};
    }
    for (const auto &[id, task] : holder.state.tasks) {
        if (task.state == TaskState::Placed) {
            countPlacement(holder, task);
        }
    }
}

/// Updates the volatile state for one change before it is applied.
struct Before
{
    Holder &holder;

    void operator()(const TaskReleased &change) const
    {
        const Task *const task = placedTask(holder.state, {change.task, change.incarnation});
        if (task != nullptr) {
            discountPlacement(holder, *task);
            forgetRun(holder, {change.task, change.incarnation}, task->host);
        }
    }

    template<typename Other>
    void operator()(const Other & /*change*/) const
    {
    }
};

/// Updates the volatile state for one change after it was applied.
struct After
{
    Holder &holder;
    const Proposal &proposal;
    TimePoint now;

    void operator()(const JobAccepted &change) const
    {
        for (const Task &task : change.tasks) {
            const auto known = holder.state.tasks.find(task.spec.id);
            if (known != holder.state.tasks.end()) {
                beginWaiting(holder, known->second, now);
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
        holder.loads.erase(change.host);
        holder.toAcknowledge.erase(change.host);
    }

    void operator()(const TaskPlaced &change) const
    {
        const TaskRun run{change.task, change.incarnation};
        const Task *const task = placedTask(holder.state, run);
        if (task == nullptr) {
            return;
        }
        countPlacement(holder, *task);
        forgetWaiting(change.task);
        PendingStart pending{.run = run, .host = change.host};
        const auto permit = proposal.permits.find(change.host);
        if (permit != proposal.permits.end()) {
            std::tie(pending.permit, pending.permitReceivedAt) = permit->second;
        }
        pending.withdrawn = pending.permit == 0 || !holder.domainIn;
        holder.pendingStarts.insert_or_assign(run, pending);
        WorkerView &view = holder.workers[change.host];
        if (isOnProbation(holder, change.host)) {
            view.trial = run;
            view.trialStartedAt = now;
        }
        if (holder.domainInSince) {
            ++holder.refilled;
        }
    }

    void operator()(const TaskReleased &change) const
    {
        const Task &task = holder.state.tasks.at(change.task);
        if (isEnded(task.state)) {
            forgetTask(holder, change.task);
        } else {
            beginWaiting(holder, task, now);
        }
    }

    void operator()(const TaskCancelled &change) const
    {
        const Task &task = holder.state.tasks.at(change.task);
        if (task.state == TaskState::Placed) {
            holder.stopping[{change.task, task.incarnation}] = ReleaseReason::Cancelled;
        } else {
            forgetTask(holder, change.task);
        }
    }

    void operator()(const TaskRejected &change) const
    {
        forgetTask(holder, change.task);
    }

    void operator()(const TaskMoved &change) const
    {
        forgetTask(holder, change.task);
    }

    void forgetWaiting(const TaskId &id) const
    {
        holder.waitingSince.erase(id);
        holder.preemptions.erase(id);
    }
};

} // namespace

namespace internal {

Duration withDrift(const HolderOptions &options, Duration length, int times)
{
    return length + length * options.clockDriftPpm * times / 1'000'000;
}

const Task *placedTask(const ShardState &state, const TaskRun &run)
{
    const auto it = state.tasks.find(run.task);
    const bool placed = it != state.tasks.end() && it->second.state == TaskState::Placed
                        && it->second.incarnation == run.incarnation;
    return placed ? &it->second : nullptr;
}

std::optional<TimePoint> lapseBound(const WorkerView &view)
{
    if (view.leaseBound && view.predecessorBound) {
        return std::max(*view.leaseBound, *view.predecessorBound);
    }
    return view.leaseBound ? view.leaseBound : view.predecessorBound;
}

bool withinWindow(const Holder &holder, const PendingStart &pending, TimePoint now)
{
    return now - pending.permitReceivedAt < holder.options.startWindow;
}

void drain(Holder &holder, TimePoint now)
{
    if (holder.domainIn || !holder.platformReachable) {
        holder.drainedAt = now;
        return;
    }
    const double rate = holder.options.drainPerSecond;
    const std::chrono::duration<double> elapsed = now - holder.drainedAt;
    holder.drainAllowance = std::min(rate, holder.drainAllowance + rate * elapsed.count());
    holder.drainedAt = now;
    while (holder.drainAllowance >= 1 && !holder.drainQueue.empty()) {
        const TaskRun run = std::move(holder.drainQueue.front());
        holder.drainQueue.pop_front();
        if (placedTask(holder.state, run) != nullptr
            && holder.stopping.emplace(run, ReleaseReason::Evicted).second) {
            holder.drainAllowance -= 1;
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
    holder.drainedAt = now;
    const milliseconds longest =
        std::max(holder.options.autonomy, holder.options.predecessorAutonomy);
    for (const auto &[id, host] : holder.state.hosts) {
        WorkerView &view = holder.workers[id];
        if (!host.tasks.empty()) {
            view.predecessorBound = now + withDrift(holder.options, longest, 2);
        }
    }
    for (const auto &[id, task] : holder.state.tasks) {
        beginWaiting(holder, task, now);
        if (task.state == TaskState::Placed) {
            countPlacement(holder, task);
            if (task.cancelRequested) {
                holder.stopping[{id, task.incarnation}] = ReleaseReason::Cancelled;
            }
        }
    }
    return holder;
}

Result<void> commitProposal(Holder &holder, const Proposal &proposal, const LogEntry &entry,
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
    // A refused entry ends this holder, so the updates made before apply() need no reversal.
    for (const Change &change : entry.changes) {
        std::visit(Before{holder}, change);
    }
    if (auto applied = apply(holder.state, entry); !applied) {
        return applied;
    }
    for (const Change &change : entry.changes) {
        std::visit(After{holder, proposal, now}, change);
    }
    if (rackChanged) {
        recount(holder);
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

void setDomainState(Holder &holder, bool in, TimePoint now)
{
    if (in == holder.domainIn) {
        return;
    }
    holder.domainIn = in;
    holder.drainQueue.clear();
    holder.drainAllowance = 0;
    holder.drainedAt = now;
    holder.refilled = 0;
    if (in) {
        holder.domainInSince = now;
        return;
    }
    holder.domainInSince.reset();
    holder.preemptions.clear();
    std::vector<std::tuple<TaskClass, std::uint64_t, TaskRun>> runs;
    for (const auto &[hostId, host] : holder.state.hosts) {
        for (const TaskId &id : host.tasks) {
            const Task &task = holder.state.tasks.at(id);
            runs.emplace_back(task.spec.taskClass, task.acceptanceNumber, TaskRun{id, task.incarnation});
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
    if (placedTask(holder.state, run) != nullptr) {
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
    const Task *const task = placedTask(holder.state, run);
    if (task == nullptr || task->host != host) {
        // A release is recorded only on a proof.
        const auto known = holder.state.tasks.find(run.task);
        return known != holder.state.tasks.end() && run.incarnation <= known->second.incarnation;
    }
    if (holder.ended.contains(run) || holder.absent.contains(run)) {
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
    const auto bound = lapseBound(view->second);
    return view->second.confirmedOff || (bound && now > *bound);
}

std::vector<TaskId> lateTasks(const Holder &holder, TimePoint now)
{
    std::vector<TaskId> late;
    for (const auto &[due, id] : holder.deadlines) {
        if (due > now) {
            break;
        }
        late.push_back(id);
    }
    return late;
}

} // namespace acaciadeal
