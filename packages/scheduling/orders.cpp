#include "scheduling/holder.h"
#include "scheduling/internal/holderdetail.h"

#include <algorithm>
#include <utility>

namespace acaciadeal {

using internal::addClockDrift;
using internal::findPlacedTask;
using internal::isWithinStartWindow;

namespace {

// Minimum time between orders that only fetch a permit, set a throttle, ask about an unanswered
// start or acknowledge results.
constexpr milliseconds minOrderInterval{100};
// Minimum time between orders to a worker that has not answered, so that refused connections do not
// cause a busy loop. Two attempts fit into the start window.
constexpr milliseconds retryInterval{1'000};

/// Starts, stops and throttles that the next orders to one worker have to carry.
struct PendingWork
{
    std::vector<PendingStart *> starts;
    std::vector<TaskRun> stops;
    std::vector<ThrottleOrder> throttles;
    /// Whether the outcome of a start that was sent is unknown.
    bool hasUnconfirmedStart = false;
    bool hasNewStop = false;
};

std::map<HostId, PendingWork> collectWork(Holder &holder, TimePoint now)
{
    std::map<HostId, PendingWork> work;
    for (auto &[run, pending] : holder.pendingStarts) {
        if (!pending.sent && holder.stoppingRuns.contains(run)) {
            pending.withdrawn = true;
        }
        PendingWork &item = work[pending.host];
        if (!pending.withdrawn && isWithinStartWindow(holder, pending, now)) {
            item.starts.push_back(&pending);
        } else if (pending.sent) {
            item.hasUnconfirmedStart = true;
        }
    }
    for (auto it = holder.stoppingRuns.begin(); it != holder.stoppingRuns.end();) {
        const Task *const task = findPlacedTask(holder.state, it->first);
        if (task == nullptr) {
            it = holder.stoppingRuns.erase(it);
            continue;
        }
        if (!holder.pendingStarts.contains(it->first) && !holder.ended.contains(it->first)
            && !holder.absentRuns.contains(it->first)) {
            PendingWork &item = work[task->host];
            item.stops.push_back(it->first);
            item.hasNewStop =
                item.hasNewStop || !holder.workers[task->host].deliveredStops.contains(it->first);
        }
        ++it;
    }
    for (const auto &[run, percent] : holder.throttles) {
        const Task *const task = findPlacedTask(holder.state, run);
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
        for (const TaskRun &run : view.orphanedRuns) {
            PendingWork &item = work[host];
            item.stops.push_back(run);
            item.hasNewStop = item.hasNewStop || !view.deliveredStops.contains(run);
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
    if (view.unansweredOrders >= holder.options.unreachableAfter
        || (view.unansweredOrders > 0 && sinceLast < retryInterval)) {
        return false;
    }
    if (work != nullptr
        && (!work->starts.empty() || work->hasNewStop
            || (sinceLast >= minOrderInterval
                && (work->hasUnconfirmedStart || !work->throttles.empty())))) {
        return true;
    }
    const auto results = holder.resultsToAcknowledge.find(host);
    const bool hasResults =
        results != holder.resultsToAcknowledge.end() && !results->second.empty();
    return sinceLast >= minOrderInterval && (hasResults || view.needsPermit);
}

/// Returns the longest lease that may be granted on a permit. The worker counts the lease from the
/// issue of the permit, on a clock that may be slow, and the lease must end before autonomy does.
milliseconds longestGrantableLease(const Holder &holder, TimePoint permitReceivedAt)
{
    const HolderOptions &options = holder.options;
    const milliseconds wanted = holder.platformReachable ? options.lease : options.outageLease;
    const Duration remaining = holder.ownershipConfirmedAt + options.autonomy - permitReceivedAt;
    // This is remaining x (1 - drift), which is below remaining / (1 + drift).
    const Duration longest = remaining - addClockDrift(options, remaining, 1) + remaining;
    return std::clamp(std::chrono::floor<milliseconds>(longest), milliseconds(0), wanted);
}

StartOrder makeStartOrder(const Task &task, const TaskRun &run)
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
    // The permit of each start in the message was received before the append of its placement, so
    // the oldest of these permits is valid for all of them. The renewal uses it too, which shortens
    // the lease by at most the start window.
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
    orders.lease =
        orders.permit == 0 ? milliseconds(0) : longestGrantableLease(holder, permitReceivedAt);
    if (orders.lease.count() == 0) {
        orders.permit = 0;
    }
    if (work != nullptr) {
        // A start may take effect until its start window ends, so its lease must last that long.
        if (orders.permit != 0 && orders.lease >= holder.options.startWindow) {
            for (PendingStart *const pending : work->starts) {
                pending->sent = true;
                pending->sentSequence = orders.sequence;
                orders.starts.push_back(
                    makeStartOrder(holder.state.tasks.at(pending->run.task), pending->run));
            }
        }
        orders.stops = std::move(work->stops);
        orders.throttles = std::move(work->throttles);
    }
    if (const auto results = holder.resultsToAcknowledge.find(host);
        results != holder.resultsToAcknowledge.end()) {
        orders.acknowledged = results->second;
    }
    if (orders.permit != 0) {
        // The lease counts as granted as soon as the orders are sent, because the worker may
        // execute orders that it does not answer.
        const TimePoint leaseEnd =
            permitReceivedAt + addClockDrift(holder.options, Duration(orders.lease), 1);
        view.epochLeaseEnd = std::max(view.epochLeaseEnd.value_or(leaseEnd), leaseEnd);
    }
    view.lastOrderAt = now;
    view.orderInFlight = true;
    view.needsPermit = false;
    view.stopsInFlight = {orders.stops.begin(), orders.stops.end()};
    view.acknowledgementsInFlight = orders.acknowledged;
    return orders;
}

/// Records the runs that the worker reports as running.
void recordRunning(Holder &holder, const HostId &host, WorkerView &view, const WorkerReport &report)
{
    view.running.clear();
    view.orphanedRuns.clear();
    std::int64_t used = 0;
    for (const RunningTask &task : report.running) {
        used += task.usedMilliCores;
        const Task *const placed = findPlacedTask(holder.state, task.run);
        if (placed != nullptr && placed->host == host) {
            view.running.emplace(task.run, task);
            holder.pendingStarts.erase(task.run);
        } else {
            view.orphanedRuns.insert(task.run);
        }
    }
    holder.loadByHost[host].usedMilliCores = used;
}

void recordEnded(Holder &holder, const HostId &host, WorkerView &view, const EndedRun &ended)
{
    const Task *const placed = findPlacedTask(holder.state, ended.run);
    if (placed == nullptr || placed->host != host) {
        // The run was already released, so its result is not needed any more.
        auto &results = holder.resultsToAcknowledge[host];
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

/// Finds the placements for which the worker reports neither a run nor a result. This proves that
/// their runs do not exist, unless the start was sent after the answered orders.
void findAbsentRuns(Holder &holder, const HostId &host, const WorkerView &view,
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
            // Without a pending start, either the previous holder appended the placement, or the
            // run did exist.
            const bool placedByPredecessor = !view.epochAcknowledged && !restarted;
            holder.absentRuns.emplace(run, placedByPredecessor ? ReleaseReason::StartExpired
                                                               : ReleaseReason::HostLost);
        } else if (!pending->second.sent) {
            pending->second.withdrawn = pending->second.withdrawn || restarted;
        } else if (pending->second.sentSequence <= report.sequence) {
            pending->second.withdrawn = true;
            holder.absentRuns.emplace(run, ReleaseReason::StartExpired);
        }
    }
}

void removeAcknowledged(Holder &holder, const HostId &host, WorkerView &view)
{
    const auto results = holder.resultsToAcknowledge.find(host);
    if (results != holder.resultsToAcknowledge.end()) {
        std::erase_if(results->second, [&view](const TaskRun &run) {
            return std::find(view.acknowledgementsInFlight.begin(),
                             view.acknowledgementsInFlight.end(), run)
                   != view.acknowledgementsInFlight.end();
        });
        if (results->second.empty()) {
            holder.resultsToAcknowledge.erase(results);
        }
    }
    view.acknowledgementsInFlight.clear();
}

} // namespace

std::map<HostId, WorkerOrders> dueOrders(Holder &holder, TimePoint now)
{
    internal::scheduleDrainStops(holder, now);
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
    const bool answersOrdersInFlight = report.sequence == view.lastSequence && view.orderInFlight;
    if (report.stale || report.epoch != holder.epoch || report.sequence > view.lastSequence) {
        if (answersOrdersInFlight) {
            onOrdersUnanswered(holder, host, now);
        }
        return;
    }
    if (report.sequence <= view.answeredSequence) {
        return;
    }
    view.orderInFlight = view.orderInFlight && !answersOrdersInFlight;
    const bool restarted = !view.bootId.empty() && view.bootId != report.bootId;
    view.answeredSequence = report.sequence;
    view.bootId = report.bootId;
    view.permit = report.permit;
    view.permitReceivedAt = now;
    view.unansweredOrders = 0;
    view.confirmedOff = false;

    recordRunning(holder, host, view, report);
    if (report.sequence == view.lastSequence) {
        view.deliveredStops.insert(view.stopsInFlight.begin(), view.stopsInFlight.end());
        removeAcknowledged(holder, host, view);
    }
    std::erase_if(view.deliveredStops, [&view](const TaskRun &run) {
        return !view.running.contains(run) && !view.orphanedRuns.contains(run);
    });
    for (const EndedRun &ended : report.ended) {
        recordEnded(holder, host, view, ended);
    }
    findAbsentRuns(holder, host, view, report, restarted);
    if (!view.epochAcknowledged) {
        view.epochAcknowledged = true;
        // The first orders of an epoch carry no permit, so they renew no lease. The leases that the
        // previous holder granted may end before the next renewal is due.
        view.needsPermit = !report.running.empty();
        if (report.running.empty()) {
            view.predecessorLeaseEnd.reset();
        } else if (report.leaseRemaining) {
            view.predecessorLeaseEnd =
                now + addClockDrift(holder.options, Duration(*report.leaseRemaining), 1);
        }
    }
}

void onOrdersUnanswered(Holder &holder, const HostId &host, TimePoint /*now*/)
{
    const auto it = holder.workers.find(host);
    if (it != holder.workers.end()) {
        it->second.orderInFlight = false;
        ++it->second.unansweredOrders;
    }
}

} // namespace acaciadeal
