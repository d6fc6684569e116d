#include "scheduling/holder.h"
#include "scheduling/internal/holderdetail.h"

#include <algorithm>
#include <utility>

namespace acaciadeal {

using internal::placedTask;
using internal::withDrift;
using internal::withinWindow;

namespace {

// Shortest time between orders that only fetch a permit or acknowledge results.
constexpr milliseconds shortPeriod{100};
// Time between orders to a worker that has not answered, so that a refused connection does not
// become a busy loop. Two attempts fit into the start window.
constexpr milliseconds retryPeriod{1'000};

/// Work for one worker that the next orders have to carry.
struct PendingWork
{
    std::vector<PendingStart *> starts;
    std::vector<TaskRun> stops;
    std::vector<ThrottleOrder> throttles;
    /// Whether a start that was sent has an unknown outcome.
    bool unknownStart = false;
    bool newStop = false;
};

std::map<HostId, PendingWork> collectWork(Holder &holder, TimePoint now)
{
    std::map<HostId, PendingWork> work;
    for (auto &[run, pending] : holder.pendingStarts) {
        if (!pending.sent && holder.stopping.contains(run)) {
            pending.withdrawn = true;
        }
        PendingWork &item = work[pending.host];
        if (!pending.withdrawn && withinWindow(holder, pending, now)) {
            item.starts.push_back(&pending);
        } else if (pending.sent) {
            item.unknownStart = true;
        }
    }
    for (auto it = holder.stopping.begin(); it != holder.stopping.end();) {
        const Task *const task = placedTask(holder.state, it->first);
        if (task == nullptr) {
            it = holder.stopping.erase(it);
            continue;
        }
        if (!holder.pendingStarts.contains(it->first) && !holder.ended.contains(it->first)
            && !holder.absent.contains(it->first)) {
            PendingWork &item = work[task->host];
            item.stops.push_back(it->first);
            item.newStop =
                item.newStop || !holder.workers[task->host].stopsDelivered.contains(it->first);
        }
        ++it;
    }
    for (const auto &[run, percent] : holder.throttles) {
        const Task *const task = placedTask(holder.state, run);
        if (task == nullptr) {
            continue;
        }
        const WorkerView &view = holder.workers[task->host];
        const auto running = view.running.find(run);
        if (running != view.running.end() && running->second.throttlePercent != percent) {
            work[task->host].throttles.push_back({run, percent});
        }
    }
    for (auto &[host, view] : holder.workers) {
        for (const TaskRun &run : view.strays) {
            PendingWork &item = work[host];
            item.stops.push_back(run);
            item.newStop = item.newStop || !view.stopsDelivered.contains(run);
        }
    }
    return work;
}

bool isDue(const Holder &holder, const HostId &host, const WorkerView &view,
           const PendingWork *work, TimePoint now)
{
    if (view.orderInFlight) {
        return false;
    }
    if (!view.lastOrderAt || now - *view.lastOrderAt >= holder.options.renewPeriod) {
        return true;
    }
    const Duration sinceLast = now - *view.lastOrderAt;
    if (view.unanswered >= holder.options.unreachableAfter
        || (view.unanswered > 0 && sinceLast < retryPeriod)) {
        return false;
    }
    if (work != nullptr
        && (!work->starts.empty() || work->newStop
            || (sinceLast >= shortPeriod && (work->unknownStart || !work->throttles.empty())))) {
        return true;
    }
    const auto results = holder.toAcknowledge.find(host);
    const bool hasResults = results != holder.toAcknowledge.end() && !results->second.empty();
    return sinceLast >= shortPeriod && (hasResults || view.permitWanted);
}

/// Longest lease that may be granted on a permit: the worker counts it from the issue of the permit
/// with a clock that may be slow, and it must end by the end of autonomy.
milliseconds grantable(const Holder &holder, TimePoint permitReceivedAt)
{
    const HolderOptions &options = holder.options;
    const milliseconds wanted = holder.platformReachable ? options.lease : options.outageLease;
    const Duration left = holder.ownershipConfirmedAt + options.autonomy - permitReceivedAt;
    const Duration longest =
        left - withDrift(options, left, 1) + left; // left x (1 - drift) is below left / (1 + drift)
    return std::clamp(std::chrono::floor<milliseconds>(longest), milliseconds(0), wanted);
}

StartOrder startOrder(const Task &task, const TaskRun &run)
{
    return {.run = run,
            .taskClass = task.spec.taskClass,
            .size = task.spec.size,
            .expectedRunTime = task.spec.expectedRunTime,
            .payload = task.spec.payload,
            .checkpoint = task.checkpoint};
}

WorkerOrders makeOrders(Holder &holder, const HostId &host, WorkerView &view, PendingWork *work,
                        TimePoint now)
{
    view.lastSequence = ++holder.orderSequence;
    WorkerOrders orders{
        .shard = holder.state.shard, .epoch = holder.epoch, .sequence = view.lastSequence};
    // The permit of every start in the message was received before its append, so the oldest of
    // them is valid for all. It also serves the renewal, which it shortens by the start window at
    // most.
    TimePoint permitReceivedAt = view.permitReceivedAt.value_or(TimePoint{});
    orders.permit = view.permitReceivedAt ? view.permit : 0;
    if (work != nullptr) {
        for (const PendingStart *const pending : work->starts) {
            if (pending->permitReceivedAt < permitReceivedAt) {
                permitReceivedAt = pending->permitReceivedAt;
                orders.permit = pending->permit;
            }
        }
    }
    orders.lease = orders.permit == 0 ? milliseconds(0) : grantable(holder, permitReceivedAt);
    if (orders.lease.count() == 0) {
        orders.permit = 0;
    }
    if (work != nullptr) {
        // A start may take effect until its window closes, so its lease has to outlast the window.
        if (orders.permit != 0 && orders.lease >= holder.options.startWindow) {
            for (PendingStart *const pending : work->starts) {
                pending->sent = true;
                pending->sentSequence = orders.sequence;
                orders.starts.push_back(
                    startOrder(holder.state.tasks.at(pending->run.task), pending->run));
            }
        }
        orders.stops = std::move(work->stops);
        orders.throttles = std::move(work->throttles);
    }
    if (const auto results = holder.toAcknowledge.find(host);
        results != holder.toAcknowledge.end()) {
        orders.acknowledged = results->second;
    }
    if (orders.permit != 0) {
        // Counted from sending, because orders that are not answered may have been carried out.
        const TimePoint bound =
            permitReceivedAt + withDrift(holder.options, Duration(orders.lease), 1);
        view.leaseBound = std::max(view.leaseBound.value_or(bound), bound);
    }
    view.lastOrderAt = now;
    view.orderInFlight = true;
    view.permitWanted = false;
    view.stopsInFlight = {orders.stops.begin(), orders.stops.end()};
    view.acknowledgedInFlight = orders.acknowledged;
    return orders;
}

/// Records which runs the worker reports as running.
void takeRunning(Holder &holder, const HostId &host, WorkerView &view, const WorkerReport &report)
{
    view.running.clear();
    view.strays.clear();
    std::int64_t used = 0;
    for (const RunningTask &task : report.running) {
        used += task.usedMilliCores;
        const Task *const placed = placedTask(holder.state, task.run);
        if (placed != nullptr && placed->host == host) {
            view.running.emplace(task.run, task);
            holder.pendingStarts.erase(task.run);
        } else {
            view.strays.insert(task.run);
        }
    }
    holder.loads[host].usedMilliCores = used;
}

void takeEnded(Holder &holder, const HostId &host, WorkerView &view, const EndedRun &ended)
{
    const Task *const placed = placedTask(holder.state, ended.run);
    if (placed == nullptr || placed->host != host) {
        // The run was released before; its result is of no use any more.
        auto &results = holder.toAcknowledge[host];
        if (std::find(results.begin(), results.end(), ended.run) == results.end()) {
            results.push_back(ended.run);
        }
        return;
    }
    holder.pendingStarts.erase(ended.run);
    if (!holder.ended.emplace(ended.run, std::pair(host, ended)).second) {
        return;
    }
    if (ended.outcome == RunOutcome::Failed) {
        view.failedTasks.insert(ended.run.task);
    } else if (ended.outcome == RunOutcome::Finished) {
        view.failedTasks.clear();
    }
}

/// Finds the placements that the worker neither runs nor has a result for. This proves that they
/// do not exist, unless their start is younger than the answered orders.
void findAbsent(Holder &holder, const HostId &host, const WorkerView &view,
                const WorkerReport &report, bool restarted)
{
    const auto state = holder.state.hosts.find(host);
    if (state == holder.state.hosts.end()) {
        return;
    }
    for (const TaskId &id : state->second.tasks) {
        const TaskRun run{id, holder.state.tasks.at(id).incarnation};
        if (view.running.contains(run) || holder.ended.contains(run)) {
            continue;
        }
        const auto pending = holder.pendingStarts.find(run);
        if (pending == holder.pendingStarts.end()) {
            // Without a pending start, the predecessor appended the start, or the run existed.
            const bool predecessor = !view.epochAcknowledged && !restarted;
            holder.absent.emplace(run, predecessor ? ReleaseReason::StartExpired
                                                   : ReleaseReason::HostLost);
        } else if (!pending->second.sent) {
            pending->second.withdrawn = pending->second.withdrawn || restarted;
        } else if (pending->second.sentSequence <= report.sequence) {
            pending->second.withdrawn = true;
            holder.absent.emplace(run, ReleaseReason::StartExpired);
        }
    }
}

void removeAcknowledged(Holder &holder, const HostId &host, WorkerView &view)
{
    const auto results = holder.toAcknowledge.find(host);
    if (results != holder.toAcknowledge.end()) {
        std::erase_if(results->second, [&view](const TaskRun &run) {
            return std::find(view.acknowledgedInFlight.begin(), view.acknowledgedInFlight.end(),
                             run)
                   != view.acknowledgedInFlight.end();
        });
        if (results->second.empty()) {
            holder.toAcknowledge.erase(results);
        }
    }
    view.acknowledgedInFlight.clear();
}

} // namespace

std::map<HostId, WorkerOrders> dueOrders(Holder &holder, TimePoint now)
{
    internal::drain(holder, now);
    auto work = collectWork(holder, now);
    std::map<HostId, WorkerOrders> orders;
    for (auto &[host, view] : holder.workers) {
        const auto item = work.find(host);
        PendingWork *const pending = item == work.end() ? nullptr : &item->second;
        if (isDue(holder, host, view, pending, now)) {
            orders.emplace(host, makeOrders(holder, host, view, pending, now));
        }
    }
    return orders;
}

void onReport(Holder &holder, const HostId &host, const WorkerReport &report, TimePoint now)
{
    const auto it = holder.workers.find(host);
    if (it == holder.workers.end()) {
        return;
    }
    WorkerView &view = it->second;
    const bool newest = report.sequence == view.lastSequence && view.orderInFlight;
    if (report.stale || report.epoch != holder.epoch || report.sequence > view.lastSequence) {
        if (newest) {
            onNoReport(holder, host, now);
        }
        return;
    }
    if (report.sequence <= view.answeredSequence) {
        return;
    }
    view.orderInFlight = view.orderInFlight && !newest;
    const bool restarted = !view.bootId.empty() && view.bootId != report.bootId;
    view.answeredSequence = report.sequence;
    view.bootId = report.bootId;
    view.permit = report.permit;
    view.permitReceivedAt = now;
    view.unanswered = 0;
    view.confirmedOff = false;

    takeRunning(holder, host, view, report);
    if (report.sequence == view.lastSequence) {
        view.stopsDelivered.insert(view.stopsInFlight.begin(), view.stopsInFlight.end());
        removeAcknowledged(holder, host, view);
    }
    std::erase_if(view.stopsDelivered, [&view](const TaskRun &run) {
        return !view.running.contains(run) && !view.strays.contains(run);
    });
    for (const EndedRun &ended : report.ended) {
        takeEnded(holder, host, view, ended);
    }
    findAbsent(holder, host, view, report, restarted);
    if (!view.epochAcknowledged) {
        view.epochAcknowledged = true;
        // The first orders of an epoch carry no permit. The leases that the predecessor granted may
        // end before the next renewal is due.
        view.permitWanted = !report.running.empty();
        if (report.running.empty()) {
            view.predecessorBound.reset();
        } else if (report.leaseRemaining) {
            view.predecessorBound =
                now + withDrift(holder.options, Duration(*report.leaseRemaining), 1);
        }
    }
}

void onNoReport(Holder &holder, const HostId &host, TimePoint /*now*/)
{
    const auto it = holder.workers.find(host);
    if (it != holder.workers.end()) {
        it->second.orderInFlight = false;
        ++it->second.unanswered;
    }
}

} // namespace acaciadeal
