#include "scheduling/holder.h"
#include "scheduling/internal/holderdetail.h"

#include <algorithm>

namespace acaciadeal {
namespace {

std::string formatResources(const Resources &value)
{
    return std::to_string(value.milliCores) + " millicores, " + std::to_string(value.memoryMiB)
           + " MiB and " + std::to_string(value.accelerators) + " accelerators";
}

std::string formatSeconds(Duration length)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(length).count()) + " s";
}

std::string explainPlaced(const Holder &holder, const Task &task, TimePoint now)
{
    const TaskRun run{task.spec.id, task.incarnation};
    const std::string host = "host " + task.host.value;
    if (holder.ended.contains(run)) {
        return "The task has ended on " + host + "; its result is not durable yet.";
    }
    if (holder.absentRuns.contains(run)) {
        return "The task does not run on " + host + "; its release is not durable yet.";
    }
    if (holder.stoppingRuns.contains(run)) {
        return "The task is being stopped on " + host + ".";
    }
    if (holder.pendingStarts.contains(run)) {
        return "The start of the task on " + host + " has not been answered.";
    }
    const auto view = holder.workers.find(task.host);
    if (view != holder.workers.end() && view->second.running.contains(run)
        && view->second.unansweredOrders == 0) {
        return "The task runs on " + host + ".";
    }
    std::string text = "The task may be running on " + host + ", which does not answer";
    if (view != holder.workers.end()) {
        if (const auto leaseEnd = internal::latestLeaseEnd(view->second)) {
            text += "; its lease ends in " + formatSeconds(std::max(Duration(0), *leaseEnd - now))
                    + " at the latest";
        }
    }
    return text + ".";
}

std::string explainWaiting(const Holder &holder, const Task &task)
{
    if (!holder.platformReachable) {
        return "The task waits because the platform is unreachable.";
    }
    if (!holder.domainInService) {
        return "The task waits because the failure domain is out of service.";
    }
    if (const auto quota = holder.options.quotas.find(task.spec.team);
        quota != holder.options.quotas.end()) {
        const auto used = holder.state.committedByTeam.find(task.spec.team);
        const Resources committed =
            used == holder.state.committedByTeam.end() ? Resources{} : used->second;
        if (!fits(task.spec.size, quota->second - committed)) {
            return "The task waits for the quota of team " + task.spec.team.value + ": "
                   + formatResources(committed) + " of " + formatResources(quota->second)
                   + " are committed and the task needs " + formatResources(task.spec.size) + ".";
        }
    }
    if (const auto preemption = holder.preemptions.find(task.spec.id);
        preemption != holder.preemptions.end()) {
        return "The task waits for evictions on host " + preemption->second.host.value + ".";
    }
    std::size_t largeEnough = 0;
    std::size_t unusable = 0;
    std::size_t fitting = 0;
    for (const auto &[id, host] : holder.state.hosts) {
        const auto view = holder.workers.find(id);
        if (!fits(task.spec.size, host.capacity)) {
            continue;
        }
        ++largeEnough;
        if (!host.acceptsTasks || view == holder.workers.end() || !view->second.epochAcknowledged
            || view->second.unansweredOrders >= holder.options.unreachableAfter) {
            ++unusable;
        } else if (fits(task.spec.size, host.capacity - host.committed)) {
            ++fitting;
        }
    }
    if (fitting > 0) {
        return "The task waits for its turn; it fits on " + std::to_string(fitting) + " hosts.";
    }
    return "The task waits for " + formatResources(task.spec.size)
           + " on one host: " + std::to_string(largeEnough) + " hosts are large enough, "
           + std::to_string(unusable) + " of them do not accept tasks and "
           + std::to_string(largeEnough - unusable) + " are full.";
}

} // namespace

std::string explainTask(const Holder &holder, const TaskId &id, TimePoint now)
{
    const auto it = holder.state.tasks.find(id);
    if (it == holder.state.tasks.end()) {
        return "The task is not known in shard " + holder.state.shard.value + ".";
    }
    const Task &task = it->second;
    switch (task.state) {
    case TaskState::Queued:
    case TaskState::Evicted: {
        const auto since = holder.waitingSince.find(id);
        const Duration waited =
            since == holder.waitingSince.end() ? Duration(0) : now - since->second;
        return explainWaiting(holder, task) + " It has waited for " + formatSeconds(waited) + ".";
    }
    case TaskState::Placed:
        return explainPlaced(holder, task, now);
    case TaskState::Finished:
        return "The task has finished.";
    case TaskState::Failed:
        return "The task was given up after " + std::to_string(task.failures)
               + " failures: " + task.detail;
    case TaskState::Cancelled:
        return "The task was cancelled.";
    case TaskState::Impossible:
        return "The task can never run: " + task.detail;
    case TaskState::Moved:
        return "The task was moved to shard " + task.detail + ".";
    }
    return {};
}

} // namespace acaciadeal
