#include "dispatch/dispatcher.h"

#include "dispatch/hostprogress.h"
#include "dispatch/interference.h"
#include "dispatch/placement.h"
#include "dispatch/roommemo.h"
#include "dispatch/waitorder.h"

#include <algorithm>

namespace acaciadeal {
namespace {

/// Delay before a task that a host refused is started again.
constexpr Duration refusedDelay = milliseconds(50);
/// The same if the host could not read the order, as other hosts will likely not either.
constexpr Duration malformedDelay = std::chrono::seconds(1);

const StepSpec &stepOf(const JobRuntime &job, const TaskKey &task)
{
    return job.spec.steps[task.step];
}

void note(Dispatcher &dispatcher, Finding finding)
{
    dispatcher.findings.push_back(std::move(finding));
}

void openSteps(JobRuntime &job)
{
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        StepRuntime &step = job.steps[n];
        if (step.open) {
            continue;
        }
        const auto &dependsOn = job.spec.steps[n].dependsOn;
        step.open = std::all_of(dependsOn.begin(), dependsOn.end(), [&job](std::uint32_t other) {
            return isStepDone(job.progress, other);
        });
    }
}

bool isTaskDone(const JobRuntime &job, const TaskKey &task)
{
    return job.progress.steps[task.step].done[task.index];
}

/// Frees the host and lets the task wait again, unless it is done. The checkpoint of the run is
/// kept.
void returnToWaiting(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TaskRuntime &task,
                     TimePoint now)
{
    task.since = now;
    if (FleetHost *const host = findHost(dispatcher.fleet, task.host)) {
        const auto it = host->runs.find(key);
        if (it != host->runs.end() && it->second == task.run) {
            vacate(*host, job, key);
        }
    }
    task.host = {};
    if (task.phase != TaskPhase::Waiting) {
        ++job.steps[key.step].waiting;
    }
    task.phase = TaskPhase::Waiting;
    task.percent = 0;
    task.load = 0;
    task.ownPressure = {};
    task.pace = 100;
    task.wasPaced = false;
    task.isWhole = false;
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
    job.progress.outcome = outcome;
    dispatcher.fleet.dirty.insert(job.spec.id);
    job.endedAt = now;
    dispatcher.fleet.ended.push_back(job.spec.id);
    std::erase(dispatcher.fleet.live, &job);
    dispatcher.fleet.stopping.insert(job.spec.id);
    note(dispatcher, {.kind = Finding::Kind::JobEnded, .job = job.spec.id, .reason = reason});
}

void endIfAllDone(Dispatcher &dispatcher, JobRuntime &job, TimePoint now)
{
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        if (!isStepDone(job.progress, n)) {
            return;
        }
    }
    endJob(dispatcher, job, JobState::Completed, "all tasks are done", now);
}

/// Records that a task is done, and what follows for its step and job.
void recordDone(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TimePoint now)
{
    StepProgress &progress = job.progress.steps[key.step];
    progress.done[key.index] = true;
    dispatcher.fleet.dirty.insert(job.spec.id);
    if (stepOf(job, key).gang) {
        // One end stands for all members.
        for (std::uint32_t n = 0; n < progress.done.size(); ++n) {
            TaskRuntime &member = job.steps[key.step].tasks[n];
            if (n != key.index && member.phase != TaskPhase::Done) {
                progress.done[n] = true;
                returnToWaiting(dispatcher, job, {key.job, key.occurrence, key.step, n}, member,
                                now);
            }
        }
    }
    if (!isStepDone(job.progress, key.step)) {
        return;
    }
    openSteps(job);
    endIfAllDone(dispatcher, job, now);
}

/// Takes over that tasks are done which wait here; one that runs ends its run by itself.
void takeDoneTasks(StepRuntime &step, const StepProgress &progress)
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
    returnToWaiting(dispatcher, job, key, task, now);
    recordDone(dispatcher, job, key, now);
}

void failTask(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TaskRuntime &task,
              TimePoint now)
{
    const HostId host = task.host;
    returnToWaiting(dispatcher, job, key, task, now);
    task.failedOn = host;
}

/// Counts a failed run, once, whether the task has been started again since or not.
void countFailure(Dispatcher &dispatcher, JobRuntime &job, const RunEnding &ended, TimePoint now)
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

void noteSuccess(FleetHost &host)
{
    host.failedJobs.clear();
    host.refusalsInARow = 0;
}

void noteFailure(Dispatcher &dispatcher, FleetHost &host, const JobId &job, TimePoint now)
{
    std::vector<JobId> &jobs = host.failedJobs;
    const std::size_t limit = dispatcher.options.failedJobsBeforeProbation;
    if (jobs.size() < limit && std::find(jobs.begin(), jobs.end(), job) == jobs.end()) {
        jobs.push_back(job);
    }
    if (jobs.size() == limit) {
        avoidHost(dispatcher, host,
                  "runs of " + std::to_string(limit) + " jobs failed without a success", now);
    }
}

void noteRefusal(Dispatcher &dispatcher, FleetHost &host, TimePoint now)
{
    if (++host.refusalsInARow >= dispatcher.options.refusalsBeforeProbation) {
        avoidHost(dispatcher, host,
                  std::to_string(host.refusalsInARow) + " starts refused in a row", now);
    }
}

bool isCurrent(const TaskRuntime &task, const HostId &host, std::uint64_t run)
{
    return task.host == host && task.run == run && task.phase != TaskPhase::Waiting
           && task.phase != TaskPhase::Done;
}

void takeEnd(Dispatcher &dispatcher, FleetHost &host, const RunEnding &ended, TimePoint now)
{
    JobRuntime *const job = findJob(dispatcher.fleet, ended.task.job);
    TaskRuntime *const task = findTask(dispatcher.fleet, ended.task);
    if (job == nullptr || task == nullptr) {
        return;
    }
    note(dispatcher, {.kind = Finding::Kind::RunEnded,
                      .job = ended.task.job,
                      .subject = describe(ended.task),
                      .host = host.id,
                      .run = ended.run,
                      .reason = std::string(runEndName(ended.end))});
    if (ended.end == RunEnd::Failed) {
        countFailure(dispatcher, *job, ended, now);
    }
    const bool current = isCurrent(*task, host.id, ended.run);
    // The end of a run of the previous holder, or of one that was given up and has not been started
    // again.
    const bool inherited = task->phase == TaskPhase::Waiting && ended.run >= task->run;
    if (!current && !inherited) {
        const bool finishedFirst = ended.end == RunEnd::Done && task->phase != TaskPhase::Done
                                   && !stepOf(*job, ended.task).longRunning;
        if (finishedFirst && task->phase == TaskPhase::Waiting) {
            completeTask(dispatcher, *job, ended.task, *task, now);
        } else if (finishedFirst) {
            // The run that was started since is not needed; it occupies its host until it ends.
            dispatcher.fleet.relocating.insert(ended.task);
            recordDone(dispatcher, *job, ended.task, now);
        }
        return;
    }
    if (inherited) {
        task->run = ended.run;
        task->host = host.id;
        job->begun = true;
    }
    if (!ended.checkpoint.empty()) {
        task->checkpoint = ended.checkpoint;
    }
    if (ended.end == RunEnd::Done && !stepOf(*job, ended.task).longRunning) {
        noteSuccess(host);
        if (current && task->isWhole && !task->wasPaced) {
            noteRunTime(job->steps[ended.task.step], now - task->since);
        }
        completeTask(dispatcher, *job, ended.task, *task, now);
    } else if (ended.end == RunEnd::Failed) {
        // A job that fails everywhere says nothing about the host.
        if (task->failedOn.empty()) {
            noteFailure(dispatcher, host, ended.task.job, now);
        }
        failTask(dispatcher, *job, ended.task, *task, now);
    } else {
        returnToWaiting(dispatcher, *job, ended.task, *task, now);
    }
}

/// What is being stopped still occupies its host.
void noteStray(FleetHost &host, const JobRuntime *job, const PresentRun &active)
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
    // A run that was given up may be listed beside the one that occupies the host in its name.
    if (!host.runs.contains(active.task)) {
        host.strays = host.strays + size;
    }
}

void takeActive(Dispatcher &dispatcher, FleetHost &host, const PresentRun &active, TimePoint now)
{
    JobRuntime *const job = findJob(dispatcher.fleet, active.task.job);
    TaskRuntime *const task = findTask(dispatcher.fleet, active.task);
    const bool known = job != nullptr && task != nullptr;
    if (known && task->phase == TaskPhase::Waiting && active.run > task->run
        && !isTerminal(job->progress.outcome)) {
        task->phase = TaskPhase::Running;
        --job->steps[active.task.step].waiting;
        task->run = active.run;
        task->host = host.id;
        task->since = now;
        task->progressedAt = now;
        task->pace = unknownPace;
        job->begun = true;
        occupy(host, *job, active.task, active.run);
        note(dispatcher, {.kind = Finding::Kind::RunAdopted,
                          .job = active.task.job,
                          .subject = describe(active.task),
                          .host = host.id,
                          .run = active.run});
    }
    if (!known || !isCurrent(*task, host.id, active.run)) {
        noteStray(host, job, active);
        dispatcher.strayStops.push_back({host.id, active.task, active.run});
        return;
    }
    if (task->phase == TaskPhase::Starting || task->phase == TaskPhase::Uncertain) {
        task->phase = TaskPhase::Running;
        task->since = now;
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

/// A confirmed run that a later report does not list any more has vanished with a restart.
void loseUnlisted(Dispatcher &dispatcher, FleetHost &host, const HostReport &report,
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
        const bool settled =
            (confirmed && sentAt > task->since)
            || (task->phase == TaskPhase::Uncertain && fenced && sentAt >= task->since);
        if (settled) {
            note(dispatcher, {.kind = Finding::Kind::RunLost,
                              .job = key.job,
                              .subject = describe(key),
                              .host = host.id,
                              .run = run,
                              .reason = confirmed ? "not listed any more" : "never started"});
            returnToWaiting(dispatcher, *job, key, *task, now);
        }
    }
}

/// Returns whether the task still occupies a host.
bool stopTask(Dispatcher &dispatcher, const TaskKey &key, TaskRuntime &task, Orders &orders,
              TimePoint now)
{
    if (task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Done) {
        return false;
    }
    const bool due =
        task.phase == TaskPhase::Running
        || (task.phase == TaskPhase::Stopping && now - task.since >= dispatcher.options.stopRepeat);
    if (due) {
        task.phase = TaskPhase::Stopping;
        task.since = now;
        orders.stops.push_back({task.host, key, task.run});
    }
    return true;
}

void stopEndedJobs(Dispatcher &dispatcher, Orders &orders, TimePoint now)
{
    std::erase_if(dispatcher.fleet.stopping, [&](const JobId &id) {
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

/// Stops runs that are to go on elsewhere; their tasks wait again once the host lists the end.
void stopRelocating(Dispatcher &dispatcher, Orders &orders, TimePoint now)
{
    std::erase_if(dispatcher.fleet.relocating, [&](const TaskKey &key) {
        TaskRuntime *const task = findTask(dispatcher.fleet, key);
        return task == nullptr || !stopTask(dispatcher, key, *task, orders, now);
    });
}

void startTask(Dispatcher &dispatcher, JobRuntime &job, const TaskKey &key, TaskRuntime &task,
               FleetHost &host, Orders &orders, TimePoint now)
{
    task.run = std::max(task.run, dispatcher.fleet.runBase) + 1;
    task.isWhole = task.checkpoint.empty();
    task.phase = TaskPhase::Starting;
    task.host = host.id;
    const Duration waited = now - task.since;
    task.since = now;
    task.progressedAt = now;
    --job.steps[key.step].waiting;
    job.begun = true;
    occupy(host, job, key, task.run);
    if (stepOf(job, key).tailLatencyTarget.count() > 0) {
        dispatcher.fleet.spareForLongRunning -=
            static_cast<double>(stepOf(job, key).taskSize.milliCores);
    }
    orders.starts.push_back({.host = host.id,
                             .task = key,
                             .run = task.run,
                             .payload = job.spec.payload,
                             .checkpoint = task.checkpoint,
                             .waited = waited});
}

/// Which waiting tasks of a step may start.
enum class StartRule : std::uint8_t { OverdueOnly, Any };

bool mayStart(const Dispatcher &dispatcher, const JobRuntime &job, const StepSpec &step,
              const TaskRuntime &task, StartRule rule, RoomMemo &noRoom, TimePoint now)
{
    if (task.phase != TaskPhase::Waiting || now < task.notBefore) {
        return false;
    }
    if (rule == StartRule::OverdueOnly) {
        return isOverdue(now - task.since)
               && hasRoomTwice(dispatcher.fleet, noRoom, job.spec.terms.service, step);
    }
    return !step.longRunning || leavesUrgentRoom(dispatcher.fleet, step);
}

void startStep(Dispatcher &dispatcher, const ReadyStep &ready, StartRule rule, RoomMemo &noRoom,
               Orders &orders, TimePoint now)
{
    JobRuntime &job = *ready.job;
    StepRuntime &step = job.steps[ready.step];
    const StepSpec &spec = job.spec.steps[ready.step];
    const PlacementPermits widest = widestPermits(dispatcher.fleet, job, ready.step);
    if (exceedsAllRoom(dispatcher.fleet, noRoom, job.spec.terms.service, spec)
        || hasNoRoom(noRoom, roomRequest(job, ready.step, widest))) {
        return;
    }
    // Permits for which no host was found; tasks of a step differ in nothing else that matters.
    std::optional<PlacementPermits> failed;
    for (std::uint32_t n = 0; n < step.tasks.size() && step.waiting > 0; ++n) {
        TaskRuntime &task = step.tasks[n];
        const PlacementPermits permits = permitsOf(dispatcher.fleet, job, ready.step, task, now);
        if ((failed && covers(*failed, permits))
            || !mayStart(dispatcher, job, spec, task, rule, noRoom, now)) {
            continue;
        }
        const RoomRequest request = roomRequest(job, ready.step, permits);
        FleetHost *const host = hasNoRoom(noRoom, request)
                                    ? nullptr
                                    : chooseHost(dispatcher.fleet, job, ready.step, task, now);
        if (host != nullptr) {
            startTask(dispatcher, job, {job.spec.id, 0, ready.step, n}, task, *host, orders, now);
            continue;
        }
        rememberNoRoom(noRoom, request);
        if (covers(permits, widest)) {
            return;
        }
        failed = permits;
    }
}

} // namespace

void addJob(Dispatcher &dispatcher, JobSpec spec, JobProgress progress,
            std::uint64_t progressVersion, bool unaccounted, TimePoint now)
{
    dispatcher.fleet.offered.erase(spec.id);
    if (dispatcher.fleet.jobs.contains(spec.id)) {
        return;
    }
    auto job = std::make_unique<JobRuntime>();
    job->spec = std::move(spec);
    job->progress = std::move(progress);
    job->progressVersion = progressVersion;
    job->unaccounted = unaccounted;
    job->acceptedAt = now;
    job->chain = criticalPathLength(job->spec);
    const auto allowed =
        std::chrono::duration_cast<milliseconds>(job->chain * job->spec.terms.slowdownFactor);
    job->objective = now + allowed + job->spec.terms.targetLatency;
    for (std::size_t n = 0; n < job->spec.steps.size(); ++n) {
        StepRuntime step;
        step.image = imageId(dispatcher.fleet.interference, job->spec.steps[n].image);
        step.tasks.resize(job->spec.steps[n].tasks, TaskRuntime{.since = now});
        for (std::size_t task = 0; task < step.tasks.size(); ++task) {
            if (job->progress.steps[n].done[task]) {
                step.tasks[task].phase = TaskPhase::Done;
                job->begun = true;
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
        dispatcher.fleet.live.push_back(job.get());
    }
    openSteps(*job);
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
        takeDoneTasks(runtime->steps[n], progress.steps[n]);
    }
    openSteps(*runtime);
    if (isTerminal(outcome)) {
        return;
    }
    const JobState merged = std::exchange(progress.outcome, outcome);
    if (isTerminal(merged)) {
        endJob(dispatcher, *runtime, merged, "an earlier holder ended it", now);
    } else {
        endIfAllDone(dispatcher, *runtime, now);
    }
}

void takeReport(Dispatcher &dispatcher, const HostId &host, const HostReport &report,
                TimePoint sentAt, bool fenced, TimePoint now)
{
    FleetHost *const state = findHost(dispatcher.fleet, host);
    if (state == nullptr) {
        return;
    }
    for (const RunEnding &ended : report.ended) {
        if (ended.number > state->seenEnd) {
            state->seenEnd = ended.number;
            takeEnd(dispatcher, *state, ended, now);
        }
    }
    state->strays = {};
    state->hasUnknownRun = false;
    for (const PresentRun &active : report.active) {
        takeActive(dispatcher, *state, active, now);
    }
    loseUnlisted(dispatcher, *state, report, sentAt, fenced, now);
    judgeProgress(dispatcher, *state, now);
    learnFromHost(dispatcher.fleet, *state, now);
    adjustPace(dispatcher.fleet, *state, now);
    orderPaces(dispatcher.fleet, *state, dispatcher.paces);
    state->reported = true;
    state->reportedAt = now;
}

void takeStartOutcome(Dispatcher &dispatcher, const StartRun &order, StartOutcome outcome,
                      TimePoint now)
{
    JobRuntime *const job = findJob(dispatcher.fleet, order.task.job);
    TaskRuntime *const task = findTask(dispatcher.fleet, order.task);
    FleetHost *const host = findHost(dispatcher.fleet, order.host);
    if (job == nullptr || task == nullptr || !isCurrent(*task, order.host, order.run)
        || task->phase != TaskPhase::Starting) {
        return;
    }
    switch (outcome) {
    case StartOutcome::Started:
        task->phase = TaskPhase::Running;
        task->since = now;
        if (host != nullptr) {
            host->refusalsInARow = 0;
            orderPaces(dispatcher.fleet, *host, dispatcher.paces);
        }
        return;
    case StartOutcome::Unknown:
        task->phase = TaskPhase::Uncertain;
        task->since = now;
        return;
    case StartOutcome::Unhealthy:
        if (host != nullptr) {
            noteRefusal(dispatcher, *host, now);
        }
        break;
    default:
        break;
    }
    // A start that did not happen ends no wait.
    const TimePoint waitsSince = task->since - order.waited;
    returnToWaiting(dispatcher, *job, order.task, *task, now);
    task->since = waitsSince;
    // The same choice at once would likely meet the same refusal.
    task->notBefore = now + (outcome == StartOutcome::Malformed ? malformedDelay : refusedDelay);
    task->failedOn = order.host;
}

void loseRuns(Dispatcher &dispatcher, const HostId &host, const std::string &reason, TimePoint now)
{
    FleetHost *const state = findHost(dispatcher.fleet, host);
    if (state == nullptr) {
        return;
    }
    const std::map<TaskKey, std::uint64_t> runs = state->runs;
    for (const auto &[key, run] : runs) {
        JobRuntime *const job = findJob(dispatcher.fleet, key.job);
        TaskRuntime *const task = findTask(dispatcher.fleet, key);
        if (job == nullptr || task == nullptr || !isCurrent(*task, host, run)) {
            continue;
        }
        note(dispatcher, {.kind = Finding::Kind::RunLost,
                          .job = key.job,
                          .subject = describe(key),
                          .host = host,
                          .run = run,
                          .reason = reason});
        returnToWaiting(dispatcher, *job, key, *task, now);
    }
    vacateAll(*state);
}

void accountForAll(Dispatcher &dispatcher)
{
    for (auto &[id, job] : dispatcher.fleet.jobs) {
        job->unaccounted = false;
    }
}

bool isHostListOld(const Dispatcher &dispatcher, TimePoint now)
{
    const auto &readAt = dispatcher.fleet.hostsReadAt;
    return readAt && now - *readAt > dispatcher.options.maxHostListAge;
}

Orders plan(Dispatcher &dispatcher, TimePoint now)
{
    Orders orders;
    orders.stops = std::move(dispatcher.strayStops);
    dispatcher.strayStops.clear();
    stopEndedJobs(dispatcher, orders, now);
    stopRelocating(dispatcher, orders, now);
    updateUrgentDemand(dispatcher.fleet, now);
    rateOpenness(dispatcher.fleet);
    RoomMemo noRoom;
    const std::vector<ReadyStep> steps = isHostListOld(dispatcher, now)
                                             ? std::vector<ReadyStep>()
                                             : readySteps(dispatcher.fleet, now);
    for (const ReadyStep &ready : steps) {
        if (ready.job->spec.steps[ready.step].longRunning) {
            startStep(dispatcher, ready, StartRule::OverdueOnly, noRoom, orders, now);
        }
    }
    for (const ReadyStep &ready : steps) {
        startStep(dispatcher, ready, StartRule::Any, noRoom, orders, now);
    }
    orders.paces = std::move(dispatcher.paces);
    dispatcher.paces.clear();
    return orders;
}

std::size_t pendingJobs(const Dispatcher &dispatcher, const std::string &queue)
{
    std::size_t n = 0;
    for (const JobRuntime *const job : dispatcher.fleet.live) {
        if (job->spec.terms.queue == queue && stateOf(*job) == JobState::Queued) {
            ++n;
        }
    }
    return n;
}

} // namespace acaciadeal
