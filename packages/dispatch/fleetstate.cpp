#include "dispatch/fleetstate.h"

namespace acaciadeal {
namespace {

void account(FleetHost &host, const StepSpec &step, int sign)
{
    Resources size = step.taskSize;
    if (step.backfill) {
        host.backfillMilliCores += sign * size.milliCores;
        size.milliCores = 0;
    }
    if (step.tailTarget.count() > 0) {
        host.servingMilliCores += sign * size.milliCores;
    }
    host.committed = sign > 0 ? host.committed + size : host.committed - size;
}

} // namespace

TaskRuntime *findTask(FleetState &fleet, const TaskKey &task)
{
    JobRuntime *const job = findJob(fleet, task.job);
    if (job == nullptr || task.occurrence != 0 || task.step >= job->steps.size()
        || task.index >= job->steps[task.step].tasks.size()) {
        return nullptr;
    }
    return &job->steps[task.step].tasks[task.index];
}

JobRuntime *findJob(FleetState &fleet, const JobId &job)
{
    const auto it = fleet.jobs.find(job);
    return it == fleet.jobs.end() ? nullptr : it->second.get();
}

FleetHost *findHost(FleetState &fleet, const HostId &host)
{
    const auto it = fleet.hosts.find(host);
    return it == fleet.hosts.end() ? nullptr : &it->second;
}

JobState stateOf(const JobRuntime &job)
{
    if (isTerminal(job.progress.outcome)) {
        return job.progress.outcome;
    }
    return job.begun ? JobState::Running : JobState::Queued;
}

void occupy(FleetHost &host, const StepSpec &step, const TaskKey &task, std::uint64_t run)
{
    const auto [it, added] = host.runs.insert_or_assign(task, run);
    if (added) {
        account(host, step, 1);
    }
}

void vacate(FleetHost &host, const StepSpec &step, const TaskKey &task)
{
    if (host.runs.erase(task) > 0) {
        account(host, step, -1);
    }
}

} // namespace acaciadeal
