#include "dispatch/dispatcher.h"

#include "dispatch/hostprogress.h"
#include "dispatch/interference.h"
#include "dispatch/placement.h"
#include "dispatch/roomcache.h"
#include "dispatch/waitorder.h"

#include <algorithm>

namespace acaciadeal {
namespace {

/// Delay before a task whose start was refused is started again.
constexpr Duration refusedDelay = milliseconds(50);
/// The same if the host could not parse the order. Longer, because other hosts will likely not be
/// able to parse it either.
constexpr Duration malformedDelay = std::chrono::seconds(1);

const StepSpec &stepOf(const JobRuntime &job, const TaskKey &task)
{
    return job.spec.steps[task.step];
}

void addEvent(Dispatcher &dispatcher, DispatchEvent event)
{
    dispatcher.events.push_back(std::move(event));
}

void unblockSteps(JobRuntime &job)
{
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        StepRuntime &step = job.steps[n];
        if (step.dependenciesDone) {
            continue;
        }
        const auto &dependsOn = job.spec.steps[n].dependsOn;
        step.dependenciesDone =
            std::all_of(dependsOn.begin(), dependsOn.end(),
                        [&job](std::uint32_t other) { return isStepDone(job.progress, other); });
    }
}

bool isTaskDone(const JobRuntime &job, const TaskKey &task)
{
    return job.progress.steps[task.step].done[task.index];
}

/// Returns when the current run of a task was last known to be present on @p host. If it never was,
/// returns since when the task was down before the start was ordered.
TimePoint lastPresentAt(const TaskRuntime &task, const FleetHost &host)
{
    switch (task.phase) {
    case TaskPhase::Running:
        return std::max(task.phaseSince, host.reportedAt);
    case TaskPhase::Stopping:
        return std::max(task.downSince, host.reportedAt);
    default:
        return task.downSince;
    }
}

/// Removes the task's run from its host. Sets the task to Done if it is recorded as done, otherwise
/// to Waiting. Keeps its checkpoint. @p downSince becomes TaskRuntime::downSince.
void returnToWaiting(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TaskRuntime &task,
                     TimePoint downSince, TimePoint now)
{
    task.phaseSince = now;
    task.downSince = downSince;
    if (FleetHost *const host = findHost(dispatcher.fleet, task.host)) {
        const auto it = host->runs.find(key);
        if (it != host->runs.end() && it->second == task.run) {
            removeRun(*host, job, key);
        }
    }
    task.host = {};
    if (task.phase != TaskPhase::Waiting) {
        ++job.steps[key.step].waiting;
    }
    task.phase = TaskPhase::Waiting;
    task.percent = 0;
    task.load = 0;
    task.userPressure = {};
    task.pace = 100;
    task.wasPaced = false;
    task.startedFromScratch = false;
    if (isTaskDone(job, key)) {
        task.phase = TaskPhase::Done;
        --job.steps[key.step].waiting;
    }
}

void endJob(Dispatcher &dispatcher, JobRuntime &job, JobState outcome, const std::string &reason,
            TimePoint now)
{
    if (isTerminal(job.progress.outcome)) {
        return;
    }
    updateQueueCounts(dispatcher.fleet, job, [&] { job.progress.outcome = outcome; });
    dispatcher.fleet.dirty.insert(job.spec.id);
    job.endedAt = now;
    dispatcher.fleet.ended.push_back(job.spec.id);
    std::erase(dispatcher.fleet.liveJobs, &job);
    dispatcher.fleet.stoppingJobs.insert(job.spec.id);
    addEvent(dispatcher,
             {.kind = DispatchEvent::Kind::JobEnded, .job = job.spec.id, .reason = reason});
}

void endJobIfAllDone(Dispatcher &dispatcher, JobRuntime &job, TimePoint now)
{
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        if (!isStepDone(job.progress, n)) {
            return;
        }
    }
    endJob(dispatcher, job, JobState::Completed, "all tasks are done", now);
}

/// Records that a task is done. If that completes its gang, step or job, updates those too.
void recordTaskDone(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TimePoint now)
{
    StepProgress &progress = job.progress.steps[key.step];
    progress.done[key.index] = true;
    dispatcher.fleet.dirty.insert(job.spec.id);
    if (stepOf(job, key).gang) {
        // The end of one member ends the whole gang.
        for (std::uint32_t n = 0; n < progress.done.size(); ++n) {
            TaskRuntime &member = job.steps[key.step].tasks[n];
            if (n != key.index && member.phase != TaskPhase::Done) {
                progress.done[n] = true;
                returnToWaiting(dispatcher, job, {key.job, key.occurrence, key.step, n}, member,
                                now, now);
            }
        }
    }
    if (!isStepDone(job.progress, key.step)) {
        return;
    }
    unblockSteps(job);
    endJobIfAllDone(dispatcher, job, now);
}

/// Marks waiting tasks as done according to @p progress. Running tasks are left alone, as they are
/// marked when their runs end.
void markWaitingTasksDone(StepRuntime &step, const StepProgress &progress)
{
    for (std::size_t n = 0; n < step.tasks.size(); ++n) {
        if (progress.done[n] && step.tasks[n].phase == TaskPhase::Waiting) {
            step.tasks[n].phase = TaskPhase::Done;
            --step.waiting;
        }
    }
}

void completeTask(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TaskRuntime &task,
                  TimePoint now)
{
    job.progress.steps[key.step].done[key.index] = true;
    returnToWaiting(dispatcher, job, key, task, now, now);
    recordTaskDone(dispatcher, job, key, now);
}

void failTask(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TaskRuntime &task,
              TimePoint now)
{
    const HostId host = task.host;
    returnToWaiting(dispatcher, job, key, task, now, now);
    task.lastFailedHost = host;
}

/// Counts a failed run as an attempt, once per run number, even if the task has been started again
/// since. Ends the job if its attempts are used up.
void countFailure(Dispatcher &dispatcher, JobRuntime &job, const ReportedRunEnd &ended,
                  TimePoint now)
{
    if (stepOf(job, ended.task).longRunning || isTerminal(job.progress.outcome)
        || isTaskDone(job, ended.task)) {
        return;
    }
    auto &runs = job.progress.steps[ended.task.step].failedRuns[ended.task.index];
    if (!runs.insert(ended.run).second) {
        return;
    }
    dispatcher.fleet.dirty.insert(job.spec.id);
    if (runs.size() >= job.spec.terms.maxAttempts) {
        endJob(dispatcher, job, JobState::Failed,
               "task " + describe(ended.task) + " failed " + std::to_string(runs.size()) + " times",
               now);
    }
}

void resetFailureCounts(FleetHost &host)
{
    host.failedJobs.clear();
    host.consecutiveRefusals = 0;
}

void recordFailure(Dispatcher &dispatcher, FleetHost &host, const JobId &job, TimePoint now)
{
    std::vector<JobId> &jobs = host.failedJobs;
    const std::size_t limit = dispatcher.options.failedJobsBeforeAvoiding;
    if (jobs.size() < limit && std::find(jobs.begin(), jobs.end(), job) == jobs.end()) {
        jobs.push_back(job);
    }
    if (jobs.size() == limit) {
        avoidHost(dispatcher, host,
                  "runs of " + std::to_string(limit) + " jobs failed without a success in between",
                  now);
    }
}

void recordRefusal(Dispatcher &dispatcher, FleetHost &host, TimePoint now)
{
    if (++host.consecutiveRefusals >= dispatcher.options.refusalsBeforeAvoiding) {
        avoidHost(dispatcher, host,
                  std::to_string(host.consecutiveRefusals)
                      + " consecutive starts refused as unhealthy",
                  now);
    }
}

/// Records that a task of the job is known to have started.
void confirmStart(Dispatcher &dispatcher, JobRuntime &job)
{
    if (!job.startConfirmed) {
        updateQueueCounts(dispatcher.fleet, job, [&job] { job.startConfirmed = true; });
    }
}

bool isCurrentRun(const TaskRuntime &task, const HostId &host, std::uint64_t run)
{
    return task.host == host && task.run == run && task.phase != TaskPhase::Waiting
           && task.phase != TaskPhase::Done;
}

void applyRunEnd(Dispatcher &dispatcher, FleetHost &host, const ReportedRunEnd &ended,
                 TimePoint now)
{
    JobRuntime *const job = findJob(dispatcher.fleet, ended.task.job);
    TaskRuntime *const task = findTask(dispatcher.fleet, ended.task);
    if (job == nullptr || task == nullptr) {
        return;
    }
    confirmStart(dispatcher, *job);
    addEvent(dispatcher, {.kind = DispatchEvent::Kind::RunEnded,
                          .job = ended.task.job,
                          .taskName = describe(ended.task),
                          .host = host.id,
                          .run = ended.run,
                          .reason = std::string(runEndName(ended.end))});
    if (ended.end == RunEnd::Failed) {
        countFailure(dispatcher, *job, ended, now);
    }
    const bool current = isCurrentRun(*task, host.id, ended.run);
    // The run was started by an earlier holder, or was declared lost and its task has not been
    // started again.
    const bool inherited = task->phase == TaskPhase::Waiting && ended.run >= task->run;
    if (!current && !inherited) {
        const bool finishedFirst = ended.end == RunEnd::Done && task->phase != TaskPhase::Done
                                   && !stepOf(*job, ended.task).longRunning;
        if (finishedFirst && task->phase == TaskPhase::Waiting) {
            completeTask(dispatcher, *job, ended.task, *task, now);
        } else if (finishedFirst) {
            // The run that was started later is not needed; it occupies its host until it has
            // stopped.
            dispatcher.fleet.relocatingTasks.insert(ended.task);
            recordTaskDone(dispatcher, *job, ended.task, now);
        }
        return;
    }
    if (inherited) {
        task->run = ended.run;
        task->host = host.id;
    }
    if (!ended.checkpoint.empty()) {
        task->checkpoint = ended.checkpoint;
    }
    if (ended.end == RunEnd::Done && !stepOf(*job, ended.task).longRunning) {
        resetFailureCounts(host);
        if (current && task->startedFromScratch && !task->wasPaced) {
            recordRunTime(job->steps[ended.task.step], now - task->phaseSince);
        }
        completeTask(dispatcher, *job, ended.task, *task, now);
    } else if (ended.end == RunEnd::Failed) {
        // Only the first failure of a task counts against the host: a job that fails on every host
        // says nothing about this one.
        if (task->lastFailedHost.empty()) {
            recordFailure(dispatcher, host, ended.task.job, now);
        }
        failTask(dispatcher, *job, ended.task, *task, now);
    } else {
        returnToWaiting(dispatcher, *job, ended.task, *task, now, now);
    }
}

/// Accounts for a reported run that no task needs. It occupies the host until it has stopped.
void addOrphanedRun(FleetHost &host, const JobRuntime *job, const PresentRun &active)
{
    if (job == nullptr || active.task.step >= job->spec.steps.size()) {
        host.hasUnknownRun = true;
        return;
    }
    const StepSpec &step = stepOf(*job, active.task);
    Resources size = step.taskSize;
    if (step.backfill) {
        size.milliCores = 0;
    }
    // If the host also has the current run of the same task, its resources are already committed.
    if (!host.runs.contains(active.task)) {
        host.orphanedResources = host.orphanedResources + size;
    }
}

/// Returns whether what an earlier holder knew of the run @p run of a task is still new.
bool mayInherit(const JobRuntime *job, const TaskRuntime *task, std::uint64_t run)
{
    return job != nullptr && task != nullptr && !isTerminal(job->progress.outcome)
           && task->phase == TaskPhase::Waiting && run > task->run;
}

/// Records that a waiting task has a run that an earlier holder ordered.
void adoptRun(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TaskRuntime &task,
              FleetHost &host, std::uint64_t run, TaskPhase phase, TimePoint now)
{
    task.phase = phase;
    --job.steps[key.step].waiting;
    task.run = run;
    task.host = host.id;
    task.phaseSince = now;
    task.progressedAt = now;
    task.pace = unknownPace;
    task.accountedFor = true;
    addRun(host, job, key, run);
    addEvent(dispatcher, {.kind = DispatchEvent::Kind::RunAdopted,
                          .job = key.job,
                          .taskName = describe(key),
                          .host = host.id,
                          .run = run});
}

void applyActiveRun(Dispatcher &dispatcher, FleetHost &host, const PresentRun &active,
                    TimePoint now)
{
    JobRuntime *const job = findJob(dispatcher.fleet, active.task.job);
    TaskRuntime *const task = findTask(dispatcher.fleet, active.task);
    const bool known = job != nullptr && task != nullptr;
    if (known) {
        confirmStart(dispatcher, *job);
    }
    if (known && task->phase == TaskPhase::Uncertain && active.run > task->run) {
        // The earlier holder ordered this run when it knew that the inherited one was over.
        returnToWaiting(dispatcher, *job, active.task, *task, task->downSince, now);
    }
    if (known && task->phase == TaskPhase::Waiting && active.run > task->run
        && !isTerminal(job->progress.outcome)) {
        adoptRun(dispatcher, *job, active.task, *task, host, active.run, TaskPhase::Running, now);
    }
    if (!known || !isCurrentRun(*task, host.id, active.run)) {
        addOrphanedRun(host, job, active);
        dispatcher.orphanStops.push_back({host.id, active.task, active.run});
        return;
    }
    if (task->phase == TaskPhase::Starting || task->phase == TaskPhase::Uncertain) {
        task->phase = TaskPhase::Running;
        task->phaseSince = now;
        task->progressedAt = now;
    }
    if (!active.checkpoint.empty()) {
        task->checkpoint = active.checkpoint;
    }
    if (active.percent > task->percent) {
        task->progressedAt = now;
    }
    task->percent = active.percent;
    task->load = active.load;
}

/// Declares runs lost that @p report does not list. A confirmed run is lost if the report was
/// requested after the confirmation: it has vanished with a restart of the host. A run whose start
/// order timed out is lost if the report is fenced and was requested since: it can no longer start.
void declareUnlistedRunsLost(Dispatcher &dispatcher, FleetHost &host, const HostReport &report,
                             TimePoint sentAt, bool fenced, TimePoint now)
{
    std::set<TaskKey> listed;
    for (const PresentRun &active : report.active) {
        listed.insert(active.task);
    }
    const std::map<TaskKey, std::uint64_t> runs = host.runs;
    for (const auto &[key, run] : runs) {
        JobRuntime *const job = findJob(dispatcher.fleet, key.job);
        TaskRuntime *const task = findTask(dispatcher.fleet, key);
        if (job == nullptr || task == nullptr || listed.contains(key)) {
            continue;
        }
        const bool confirmed =
            task->phase == TaskPhase::Running || task->phase == TaskPhase::Stopping;
        const bool isLost =
            (confirmed && sentAt > task->phaseSince)
            || (task->phase == TaskPhase::Uncertain && fenced && sentAt >= task->phaseSince);
        if (isLost) {
            addEvent(dispatcher, {.kind = DispatchEvent::Kind::RunLost,
                                  .job = key.job,
                                  .taskName = describe(key),
                                  .host = host.id,
                                  .run = run,
                                  .reason = confirmed ? "the host no longer reports the run"
                                                      : "the host does not have the run"});
            returnToWaiting(dispatcher, *job, key, *task, lastPresentAt(*task, host), now);
        }
    }
}

/// Orders the run of a task to stop if that is due. Returns whether the task still occupies a host.
bool stopTask(Dispatcher &dispatcher, const TaskKey &key, TaskRuntime &task, Orders &orders,
              TimePoint now)
{
    if (task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Done) {
        return false;
    }
    const bool due = task.phase == TaskPhase::Running
                     || (task.phase == TaskPhase::Stopping
                         && now - task.phaseSince >= dispatcher.options.stopRetryDelay);
    if (due) {
        task.phase = TaskPhase::Stopping;
        task.phaseSince = now;
        orders.stops.push_back({task.host, key, task.run});
    }
    return true;
}

void stopEndedJobs(Dispatcher &dispatcher, Orders &orders, TimePoint now)
{
    std::erase_if(dispatcher.fleet.stoppingJobs, [&](const JobId &id) {
        JobRuntime *const job = findJob(dispatcher.fleet, id);
        if (job == nullptr) {
            return true;
        }
        bool present = false;
        for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
            std::vector<TaskRuntime> &tasks = job->steps[step].tasks;
            for (std::uint32_t n = 0; n < tasks.size(); ++n) {
                present = stopTask(dispatcher, {id, 0, step, n}, tasks[n], orders, now) || present;
            }
        }
        return !present;
    });
}

/// Stops the runs of relocating tasks. A task waits again once its host has reported the end of the
/// run.
void stopRelocatingTasks(Dispatcher &dispatcher, Orders &orders, TimePoint now)
{
    std::erase_if(dispatcher.fleet.relocatingTasks, [&](const TaskKey &key) {
        TaskRuntime *const task = findTask(dispatcher.fleet, key);
        return task == nullptr || !stopTask(dispatcher, key, *task, orders, now);
    });
}

void startTask(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TaskRuntime &task,
               FleetHost &host, Orders &orders, TimePoint now)
{
    // The processors that restarts need are not in the spare ones.
    const bool isRestart = stepOf(job, key).longRunning && task.run > 0;
    task.run = std::max(task.run, dispatcher.fleet.runNumberBase) + 1;
    task.startedFromScratch = task.checkpoint.empty();
    task.phase = TaskPhase::Starting;
    task.host = host.id;
    const Duration waited = now - task.phaseSince;
    if (!isRestart && !stepOf(job, key).backfill) {
        dispatcher.fleet.spareBesidesRestarts -= stepOf(job, key).taskSize.milliCores;
    }
    task.phaseSince = now;
    task.progressedAt = now;
    --job.steps[key.step].waiting;
    if (!job.startOrdered) {
        updateQueueCounts(dispatcher.fleet, job, [&job] { job.startOrdered = true; });
    }
    addRun(host, job, key, task.run);
    if (stepOf(job, key).tailLatencyTarget.count() > 0) {
        dispatcher.fleet.longRunningSpareMilliCores -=
            static_cast<double>(stepOf(job, key).taskSize.milliCores);
    }
    orders.starts.push_back({.host = host.id,
                             .task = key,
                             .run = task.run,
                             .payload = job.spec.payload,
                             .checkpoint = task.checkpoint,
                             .waited = waited});
}

/// Selects the waiting tasks of a step that may start.
enum class StartRule : std::uint8_t {
    /// Overdue long-running tasks that ran before.
    Restart,
    /// Overdue long-running tasks, as far as waiting restarts leave room.
    OverdueOnly,
    Any,
};

bool mayStart(const Dispatcher &dispatcher, const JobRuntime &job, const StepSpec &step,
              const TaskRuntime &task, StartRule rule, RoomCache &roomCache, TimePoint now)
{
    if (task.phase != TaskPhase::Waiting || now < task.notBefore) {
        return false;
    }
    const Duration down = now - task.downSince;
    if (rule == StartRule::Restart) {
        return task.run > 0 && isOverdue(down)
               && (isRestartUrgent(down)
                   || hasRoomForTwo(dispatcher.fleet, roomCache, job.spec.terms.service, step));
    }
    if (rule == StartRule::OverdueOnly) {
        return isOverdue(down) && dispatcher.fleet.spareBesidesRestarts >= step.taskSize.milliCores
               && hasRoomForTwo(dispatcher.fleet, roomCache, job.spec.terms.service, step);
    }
    return !step.longRunning || leavesRoomForUrgentTasks(dispatcher.fleet, step);
}

/// Returns whether a long-running task has no run that this holder knows.
bool hasUnknownPast(const TaskRuntime &task)
{
    return task.phase == TaskPhase::Waiting && task.run == 0;
}

bool anyTaskRuns(const StepRuntime &step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskRuntime &task) {
        return task.run > 0 && task.phase != TaskPhase::Waiting;
    });
}

void presumeLost(StepRuntime &step, TimePoint downSince)
{
    for (TaskRuntime &task : step.tasks) {
        if (hasUnknownPast(task)) {
            // Its number is not known; those of this holder are higher in any case.
            task.run = 1;
            task.downSince = std::min(task.downSince, downSince);
        }
    }
}

/// Takes long-running tasks that have no run for tasks whose run was lost with its host, as
/// described at endRecovery().
void presumeLost(FleetState &fleet, const LostHosts &lost)
{
    std::vector<StepRuntime *> others;
    std::int64_t otherMilliCores = 0;
    for (const auto &[id, job] : fleet.jobs) {
        for (std::size_t n = 0; n < job->steps.size(); ++n) {
            StepRuntime &step = job->steps[n];
            const StepSpec &spec = job->spec.steps[n];
            if (!job->inRecovery || isTerminal(job->progress.outcome) || !spec.longRunning
                || !step.dependenciesDone) {
                continue;
            }
            if (anyTaskRuns(step)) {
                presumeLost(step, lost.since);
                continue;
            }
            others.push_back(&step);
            otherMilliCores +=
                spec.taskSize.milliCores
                * std::count_if(step.tasks.begin(), step.tasks.end(), &hasUnknownPast);
        }
    }
    std::int64_t largestHost = 0;
    for (const auto &[id, host] : fleet.hosts) {
        largestHost = std::max(largestHost, host.capacity.milliCores);
    }
    if (otherMilliCores <= static_cast<std::int64_t>(lost.count) * largestHost) {
        for (StepRuntime *const step : others) {
            presumeLost(*step, lost.since);
        }
    }
}

void startStep(Dispatcher &dispatcher, const ReadyStep &ready, StartRule rule, RoomCache &roomCache,
               Orders &orders, TimePoint now)
{
    JobRuntime &job = *ready.job;
    StepRuntime &step = job.steps[ready.step];
    const StepSpec &spec = job.spec.steps[ready.step];
    const PlacementPermits widest = widestPermits(dispatcher.fleet, job, ready.step);
    if (fitsNoHost(dispatcher.fleet, roomCache, job.spec.terms.service, spec)
        || hasNoRoom(roomCache, roomRequest(job, ready.step, widest))) {
        return;
    }
    // Permits for which no host was found. Apart from the permits, all tasks of a step have the
    // same requirements.
    std::optional<PlacementPermits> failed;
    for (std::uint32_t n = 0; n < step.tasks.size() && step.waiting > 0; ++n) {
        TaskRuntime &task = step.tasks[n];
        const TaskKey key{.job = job.spec.id, .step = ready.step, .index = n};
        const PlacementPermits permits = permitsOf(dispatcher.fleet, job, ready.step, task, now);
        if ((failed && covers(*failed, permits)) || isHeldBack(dispatcher.fleet, job, key, task)
            || !mayStart(dispatcher, job, spec, task, rule, roomCache, now)) {
            continue;
        }
        const RoomRequest request = roomRequest(job, ready.step, permits);
        FleetHost *const host = hasNoRoom(roomCache, request)
                                    ? nullptr
                                    : chooseHost(dispatcher.fleet, job, ready.step, task, now);
        if (host != nullptr) {
            startTask(dispatcher, job, key, task, *host, orders, now);
            continue;
        }
        cacheNoRoom(roomCache, request);
        if (covers(permits, widest)) {
            return;
        }
        failed = permits;
    }
}

} // namespace

void addJob(Dispatcher &dispatcher, JobSpec spec, JobProgress progress,
            std::uint64_t progressVersion, bool inRecovery, TimePoint now)
{
    dispatcher.fleet.pendingJobWork.erase(spec.id);
    if (dispatcher.fleet.jobs.contains(spec.id)) {
        return;
    }
    auto job = std::make_unique<JobRuntime>();
    job->spec = std::move(spec);
    job->progress = std::move(progress);
    job->progressVersion = progressVersion;
    job->inRecovery = inRecovery;
    job->acceptedAt = now;
    job->criticalPath = criticalPathLength(job->spec);
    const auto allowed = std::chrono::duration_cast<milliseconds>(job->criticalPath
                                                                  * job->spec.terms.slowdownFactor);
    job->objective = now + allowed + job->spec.terms.targetLatency;
    for (std::size_t n = 0; n < job->spec.steps.size(); ++n) {
        StepRuntime step;
        step.image = imageId(dispatcher.fleet.interference, job->spec.steps[n].image);
        step.tasks.resize(job->spec.steps[n].tasks,
                          TaskRuntime{.phaseSince = now, .downSince = now});
        for (std::size_t task = 0; task < step.tasks.size(); ++task) {
            if (job->progress.steps[n].done[task]) {
                step.tasks[task].phase = TaskPhase::Done;
            } else {
                ++step.waiting;
            }
        }
        job->steps.push_back(std::move(step));
    }
    if (isTerminal(job->progress.outcome)) {
        job->endedAt = now;
        dispatcher.fleet.ended.push_back(job->spec.id);
    } else {
        dispatcher.fleet.liveJobs.push_back(job.get());
    }
    job->startConfirmed = showsStart(job->progress);
    unblockSteps(*job);
    countJob(dispatcher.fleet, *job, true);
    const JobId id = job->spec.id;
    dispatcher.fleet.jobs.emplace(id, std::move(job));
}

bool cancelJob(Dispatcher &dispatcher, const JobId &job, TimePoint now)
{
    JobRuntime *const runtime = findJob(dispatcher.fleet, job);
    if (runtime == nullptr) {
        return false;
    }
    endJob(dispatcher, *runtime, JobState::Cancelled, "cancelled by the caller", now);
    return true;
}

void mergeProgress(Dispatcher &dispatcher, const JobId &job, const JobProgress &stored,
                   TimePoint now)
{
    JobRuntime *const runtime = findJob(dispatcher.fleet, job);
    if (runtime == nullptr) {
        return;
    }
    JobProgress &progress = runtime->progress;
    const JobState outcome = progress.outcome;
    merge(progress, stored);
    for (std::size_t n = 0; n < runtime->steps.size(); ++n) {
        markWaitingTasksDone(runtime->steps[n], progress.steps[n]);
    }
    unblockSteps(*runtime);
    if (isTerminal(outcome)) {
        return;
    }
    const JobState merged = std::exchange(progress.outcome, outcome);
    if (showsStart(progress)) {
        confirmStart(dispatcher, *runtime);
    }
    if (isTerminal(merged)) {
        endJob(dispatcher, *runtime, merged, "an earlier holder had ended the job", now);
    } else {
        endJobIfAllDone(dispatcher, *runtime, now);
    }
}

void inheritRun(Dispatcher &dispatcher, const HostId &host, const TaskKey &key, std::uint64_t run,
                TimePoint lastPresentAt, TimePoint now)
{
    JobRuntime *const job = findJob(dispatcher.fleet, key.job);
    TaskRuntime *const task = findTask(dispatcher.fleet, key);
    FleetHost *const state = findHost(dispatcher.fleet, host);
    if (state == nullptr || !mayInherit(job, task, run)) {
        return;
    }
    // The order may still be on its way to the host.
    adoptRun(dispatcher, *job, key, *task, *state, run, TaskPhase::Uncertain, now);
    task->downSince = lastPresentAt;
    updateQueueCounts(dispatcher.fleet, *job, [job] { job->startOrdered = true; });
}

void inheritWait(Dispatcher &dispatcher, const TaskKey &key, std::uint64_t run, TimePoint since,
                 TimePoint downSince)
{
    JobRuntime *const job = findJob(dispatcher.fleet, key.job);
    TaskRuntime *const task = findTask(dispatcher.fleet, key);
    if (!mayInherit(job, task, run)) {
        return;
    }
    task->run = run;
    task->phaseSince = since;
    task->downSince = downSince;
    task->accountedFor = true;
    updateQueueCounts(dispatcher.fleet, *job, [job] { job->startOrdered = true; });
}

void applyReport(Dispatcher &dispatcher, const HostId &host, const HostReport &report,
                 TimePoint sentAt, bool fenced, TimePoint now)
{
    FleetHost *const state = findHost(dispatcher.fleet, host);
    if (state == nullptr) {
        return;
    }
    for (const ReportedRunEnd &ended : report.ended) {
        if (ended.number > state->lastSeenEnd) {
            state->lastSeenEnd = ended.number;
            applyRunEnd(dispatcher, *state, ended, now);
        }
    }
    state->orphanedResources = {};
    state->hasUnknownRun = false;
    for (const PresentRun &active : report.active) {
        applyActiveRun(dispatcher, *state, active, now);
    }
    if (report.complete) {
        declareUnlistedRunsLost(dispatcher, *state, report, sentAt, fenced, now);
    }
    checkHostProgress(dispatcher, *state, now);
    updateModelFromHost(dispatcher.fleet, *state, now);
    adjustPace(dispatcher.fleet, *state, now);
    orderPaces(dispatcher.fleet, *state, dispatcher.paces);
    state->reported = state->reported || report.complete;
    state->reportedAt = now;
}

void applyStartOutcome(Dispatcher &dispatcher, const StartRun &order, StartOutcome outcome,
                       TimePoint now)
{
    JobRuntime *const job = findJob(dispatcher.fleet, order.task.job);
    TaskRuntime *const task = findTask(dispatcher.fleet, order.task);
    FleetHost *const host = findHost(dispatcher.fleet, order.host);
    if (job != nullptr && outcome == StartOutcome::Started) {
        // Also if the run is not the current one any more: it has started nevertheless.
        confirmStart(dispatcher, *job);
    }
    if (job == nullptr || task == nullptr || !isCurrentRun(*task, order.host, order.run)
        || task->phase != TaskPhase::Starting) {
        return;
    }
    switch (outcome) {
    case StartOutcome::Started:
        task->phase = TaskPhase::Running;
        task->phaseSince = now;
        if (host != nullptr) {
            host->consecutiveRefusals = 0;
            orderPaces(dispatcher.fleet, *host, dispatcher.paces);
        }
        return;
    case StartOutcome::Unknown:
        task->phase = TaskPhase::Uncertain;
        task->phaseSince = now;
        return;
    case StartOutcome::Unhealthy:
        if (host != nullptr) {
            recordRefusal(dispatcher, *host, now);
        }
        break;
    default:
        break;
    }
    // A refused start does not reset the time for which the task has waited.
    const TimePoint waitsSince = task->phaseSince - order.waited;
    returnToWaiting(dispatcher, *job, order.task, *task, task->downSince, now);
    task->phaseSince = waitsSince;
    // An immediate retry would likely choose the same host and be refused again.
    task->notBefore = now + (outcome == StartOutcome::Malformed ? malformedDelay : refusedDelay);
    if (outcome != StartOutcome::NotSent && outcome != StartOutcome::HostRestarted) {
        task->lastFailedHost = order.host;
    }
}

void declareRunsLost(Dispatcher &dispatcher, const HostId &host, const std::string &reason,
                     TimePoint now)
{
    FleetHost *const state = findHost(dispatcher.fleet, host);
    if (state == nullptr) {
        return;
    }
    const std::map<TaskKey, std::uint64_t> runs = state->runs;
    for (const auto &[key, run] : runs) {
        JobRuntime *const job = findJob(dispatcher.fleet, key.job);
        TaskRuntime *const task = findTask(dispatcher.fleet, key);
        if (job == nullptr || task == nullptr || !isCurrentRun(*task, host, run)) {
            continue;
        }
        addEvent(dispatcher, {.kind = DispatchEvent::Kind::RunLost,
                              .job = key.job,
                              .taskName = describe(key),
                              .host = host,
                              .run = run,
                              .reason = reason});
        returnToWaiting(dispatcher, *job, key, *task, lastPresentAt(*task, *state), now);
    }
    removeAllRuns(*state);
}

void endRecovery(Dispatcher &dispatcher, const std::optional<LostHosts> &lost)
{
    if (lost) {
        presumeLost(dispatcher.fleet, *lost);
    }
    for (auto &[id, job] : dispatcher.fleet.jobs) {
        job->inRecovery = false;
    }
}

bool isHostListOld(const Dispatcher &dispatcher, TimePoint now)
{
    const auto &readAt = dispatcher.fleet.hostListReadAt;
    return readAt && now - *readAt > dispatcher.options.maxHostListAge;
}

Orders plan(Dispatcher &dispatcher, TimePoint now)
{
    Orders orders;
    orders.stops = std::move(dispatcher.orphanStops);
    dispatcher.orphanStops.clear();
    stopEndedJobs(dispatcher, orders, now);
    stopRelocatingTasks(dispatcher, orders, now);
    updateUrgentDemand(dispatcher.fleet, now);
    preparePlacementRound(dispatcher.fleet);
    updateRestartDemand(dispatcher.fleet, now);
    RoomCache roomCache;
    const std::vector<ReadyStep> steps = isHostListOld(dispatcher, now)
                                             ? std::vector<ReadyStep>()
                                             : readySteps(dispatcher.fleet, now);
    for (const ReadyStep &ready : steps) {
        if (ready.job->spec.steps[ready.step].longRunning
            && hasOverdueRestart(ready.job->steps[ready.step], now)) {
            startStep(dispatcher, ready, StartRule::Restart, roomCache, orders, now);
        }
    }
    for (const ReadyStep &ready : steps) {
        if (ready.job->spec.steps[ready.step].longRunning) {
            startStep(dispatcher, ready, StartRule::OverdueOnly, roomCache, orders, now);
        }
    }
    for (const ReadyStep &ready : steps) {
        startStep(dispatcher, ready, StartRule::Any, roomCache, orders, now);
    }
    orders.paces = std::move(dispatcher.paces);
    dispatcher.paces.clear();
    return orders;
}

std::size_t pendingJobs(const Dispatcher &dispatcher, const std::string &queue)
{
    const auto it = dispatcher.fleet.queues.find(queue);
    return it == dispatcher.fleet.queues.end() ? 0 : it->second.pending;
}

std::map<std::string, std::size_t> pendingJobsByQueue(const Dispatcher &dispatcher)
{
    std::map<std::string, std::size_t> pending;
    for (const auto &[queue, counts] : dispatcher.fleet.queues) {
        pending[queue] = counts.pending;
    }
    return pending;
}

} // namespace acaciadeal
