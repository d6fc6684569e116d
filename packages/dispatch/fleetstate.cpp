#include "dispatch/fleetstate.h"

#include <utility>

namespace acaciadeal {
namespace {

void adjustCommitted(FleetHost &host, const JobRuntime &job, std::uint32_t index, int sign)
{
    const StepSpec &step = job.spec.steps[index];
    const ImageId image = job.steps[index].image;
    Resources size = step.taskSize;
    const auto milliCores = static_cast<double>(sign * size.milliCores);
    if (step.backfill) {
        host.backfillMilliCores += sign * size.milliCores;
        addUse(host.backfillUse, image, milliCores);
        size.milliCores = 0;
    }
    if (step.tailLatencyTarget.count() > 0) {
        host.servingMilliCores += sign * size.milliCores;
        addUse(host.servingUse, image, milliCores);
    }
    host.committed = sign > 0 ? host.committed + size : host.committed - size;
}

} // namespace

const TaskRuntime *findTask(const FleetState &fleet, const TaskKey &task)
{
    const JobRuntime *const job = findJob(fleet, task.job);
    if (job == nullptr || task.occurrence != 0 || task.step >= job->steps.size()
        || task.index >= job->steps[task.step].tasks.size()) {
        return nullptr;
    }
    return &job->steps[task.step].tasks[task.index];
}

TaskRuntime *findTask(FleetState &fleet, const TaskKey &task)
{
    return const_cast<TaskRuntime *>(findTask(std::as_const(fleet), task));
}

const JobRuntime *findJob(const FleetState &fleet, const JobId &job)
{
    const auto it = fleet.jobs.find(job);
    return it == fleet.jobs.end() ? nullptr : it->second.get();
}

JobRuntime *findJob(FleetState &fleet, const JobId &job)
{
    return const_cast<JobRuntime *>(findJob(std::as_const(fleet), job));
}

FleetHost *findHost(FleetState &fleet, const HostId &host)
{
    const auto it = fleet.hosts.find(host);
    return it == fleet.hosts.end() ? nullptr : &it->second;
}

bool isHeldBack(const FleetState &fleet, const JobRuntime &job, const TaskKey &key,
                const TaskRuntime &task)
{
    return (job.inRecovery && !task.accountedFor)
           || (task.run > 0 && fleet.recordedTasks.contains(key));
}

JobState stateOf(const JobRuntime &job)
{
    if (isTerminal(job.progress.outcome)) {
        return job.progress.outcome;
    }
    return job.startConfirmed || job.startOrdered ? JobState::Running : JobState::Queued;
}

void countJob(FleetState &fleet, const JobRuntime &job, bool adds)
{
    if (isTerminal(job.progress.outcome)) {
        return;
    }
    QueueCounts &counts = fleet.queues[job.spec.terms.queue];
    const auto add = [adds](std::size_t &count, bool applies) {
        count = applies ? (adds ? count + 1 : count - 1) : count;
    };
    add(counts.live, true);
    add(counts.pending, !job.startConfirmed);
    add(counts.unconfirmed, job.startOrdered && !job.startConfirmed);
    if (counts.live == 0) {
        fleet.queues.erase(job.spec.terms.queue);
    }
}

bool isUsable(const FleetState &fleet, const FleetHost &host)
{
    return host.listed && host.reported && host.reachable && !host.leaving
           && !fleet.evacuated.contains(host.failureDomain);
}

Resources freeResources(const FleetHost &host)
{
    return host.hasUnknownRun ? Resources{}
                              : host.capacity - host.committed - host.orphanedResources;
}

FleetSummary summarize(const FleetState &fleet)
{
    FleetSummary sum;
    for (const auto &[id, host] : fleet.hosts) {
        ++sum.hosts;
        if (!isUsable(fleet, host)) {
            continue;
        }
        ++sum.usableHosts;
        sum.capacity = sum.capacity + host.capacity;
        sum.committed = sum.committed + host.committed;
        sum.servingMilliCores += host.servingMilliCores;
        sum.backfillMilliCores += host.backfillMilliCores;
    }
    for (const JobRuntime *const job : fleet.liveJobs) {
        for (std::size_t n = 0; n < job->steps.size(); ++n) {
            if (job->steps[n].dependenciesDone) {
                sum.waitingTasks += job->steps[n].waiting;
                sum.waitingBackfillTasks += job->spec.steps[n].backfill ? job->steps[n].waiting : 0;
            }
        }
    }
    for (const auto &[queue, counts] : fleet.queues) {
        sum.pendingJobs += counts.pending;
        sum.unconfirmedJobs += counts.unconfirmed;
    }
    return sum;
}

void addRun(FleetHost &host, const JobRuntime &job, const TaskKey &task, std::uint64_t run)
{
    const auto [it, added] = host.runs.insert_or_assign(task, run);
    if (added) {
        adjustCommitted(host, job, task.step, 1);
    }
}

void removeRun(FleetHost &host, const JobRuntime &job, const TaskKey &task)
{
    if (host.runs.erase(task) > 0) {
        adjustCommitted(host, job, task.step, -1);
    }
}

void removeAllRuns(FleetHost &host)
{
    host.runs.clear();
    host.committed = {};
    host.backfillMilliCores = 0;
    host.servingMilliCores = 0;
    host.orphanedResources = {};
    host.hasUnknownRun = false;
    host.servingUse.clear();
    host.backfillUse.clear();
    host.userPressures.clear();
}

} // namespace acaciadeal
