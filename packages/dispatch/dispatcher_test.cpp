#include "dispatch/dispatcher.h"

#include "dispatch/placement.h"
#include "dispatch/testfixtures.h"

#include <array>
#include <doctest/doctest.h>
#include <random>
#include <utility>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

TimePoint at(int ms)
{
    return start + milliseconds(ms);
}

StepSpec step(std::uint32_t tasks, std::int64_t milliCores)
{
    return {.tasks = tasks,
            .taskSize = {.milliCores = milliCores, .memoryMiB = 1000},
            .estimatedRunTime = milliseconds(1000)};
}

JobSpec job(const std::string &id, std::vector<StepSpec> steps)
{
    return fixtureJob(id, std::move(steps));
}

void addHost(Dispatcher &dispatcher, const std::string &id, std::int64_t milliCores = 8000)
{
    dispatcher.fleet.hosts[{id}] = fixtureHost(id, milliCores);
}

void add(Dispatcher &dispatcher, const JobSpec &spec, TimePoint now = start)
{
    addJob(dispatcher, spec, emptyProgress(spec), 0, false, now);
}

/// Returns the job with a lower priority than that of job().
JobSpec withLowerPriority(JobSpec spec)
{
    ++spec.terms.priority;
    return spec;
}

TaskKey key(const std::string &id, std::uint32_t index = 0, std::uint32_t stepIndex = 0)
{
    return {.job = {id}, .step = stepIndex, .index = index};
}

/// Adds a host and a job with one task, whose start order times out at @p timedOutAt.
void addUnansweredStart(Dispatcher &dispatcher, TimePoint timedOutAt)
{
    addHost(dispatcher, "h");
    add(dispatcher, job("j", {step(1, 1000)}));
    const Orders orders = plan(dispatcher, at(0));
    REQUIRE(orders.starts.size() == 1);
    applyStartOutcome(dispatcher, orders.starts[0], StartOutcome::Unknown, timedOutAt);
}

/// Runs a scheduling round and confirms all starts.
Orders startAll(Dispatcher &dispatcher, TimePoint now)
{
    Orders orders = plan(dispatcher, now);
    for (const StartRun &order : orders.starts) {
        applyStartOutcome(dispatcher, order, StartOutcome::Started, now);
    }
    return orders;
}

/// Calls startAll() and returns the started tasks, separated by spaces.
std::string startedTasks(Dispatcher &dispatcher, TimePoint now)
{
    std::string tasks;
    for (const StartRun &order : startAll(dispatcher, now).starts) {
        tasks += (tasks.empty() ? "" : " ") + describe(order.task);
    }
    return tasks;
}

StepSpec batchStep(std::uint32_t tasks, std::int64_t milliCores)
{
    StepSpec spec = step(tasks, milliCores);
    spec.image = "batch";
    spec.backfill = true;
    return spec;
}

/// Adds a host with a serving task that uses a quarter of it and with which the image "batch"
/// strongly interferes.
void addHostWithInterference(Dispatcher &dispatcher, const std::string &id)
{
    addHost(dispatcher, id);
    StepSpec serving = step(1, 2000);
    serving.image = "serving";
    serving.longRunning = true;
    serving.tailLatencyTarget = milliseconds(100);
    add(dispatcher, job("serving", {serving}));
    REQUIRE(startAll(dispatcher, start).starts.size() == 1);
    InterferenceModel &model = dispatcher.fleet.interference;
    setSlope(model, imageId(model, "serving"), imageId(model, "batch"), {.value = 5.0});
}

/// Applies a report of @p host with the ends @p ended. Its other runs that the dispatcher knows are
/// reported as present.
void report(Dispatcher &dispatcher, const std::string &host, std::vector<ReportedRunEnd> ended,
            TimePoint now)
{
    HostReport result{.ended = std::move(ended)};
    for (const auto &entry : dispatcher.fleet.hosts[{host}].runs) {
        const TaskKey &task = entry.first;
        const std::uint64_t run = entry.second;
        const bool gone =
            std::any_of(result.ended.begin(), result.ended.end(),
                        [&task](const ReportedRunEnd &end) { return end.task == task; });
        if (!gone) {
            result.active.push_back({.task = task, .run = run, .percent = 50});
        }
    }
    applyReport(dispatcher, {host}, result, now, true, now);
}

} // namespace

// Guards against a step that starts before the steps it depends on are done.
TEST_CASE("a step starts when all tasks of the steps it depends on are done")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    StepSpec second = step(1, 1000);
    second.dependsOn = {0};
    add(dispatcher, job("j", {step(2, 1000), second}));
    CHECK(startAll(dispatcher, at(0)).starts.size() == 2);
    report(dispatcher, "h", {{.number = 1, .task = key("j", 0), .run = 1, .end = RunEnd::Done}},
           at(10));
    CHECK(plan(dispatcher, at(10)).starts.empty());
    report(dispatcher, "h", {{.number = 2, .task = key("j", 1), .run = 1, .end = RunEnd::Done}},
           at(20));
    const Orders orders = startAll(dispatcher, at(20));
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].task == key("j", 0, 1));
    report(dispatcher, "h", {{.number = 3, .task = key("j", 0, 1), .run = 1, .end = RunEnd::Done}},
           at(30));
    CHECK(stateOf(*findJob(dispatcher.fleet, {"j"})) == JobState::Completed);
}

namespace {

/// Starts a task on h1, declares the run lost, and starts the task again on h2. A second step
/// depends on it.
void restartOnSecondHost(Dispatcher &dispatcher)
{
    StepSpec second = step(1, 1000);
    second.dependsOn = {0};
    addHost(dispatcher, "h1");
    add(dispatcher, job("j", {step(1, 1000), second}));
    REQUIRE(startAll(dispatcher, at(0)).starts.size() == 1);
    dispatcher.fleet.hosts[{"h1"}].reachable = false;
    declareRunsLost(dispatcher, {"h1"}, "test", at(100));
    addHost(dispatcher, "h2", 1000);
    REQUIRE(startAll(dispatcher, at(100)).starts.size() == 1);
    dispatcher.fleet.hosts[{"h1"}].reachable = true;
}

} // namespace

// Guards against a job that makes no progress although a host has reported the task as done.
TEST_CASE("a task is done when a run that was declared lost ends as done")
{
    Dispatcher dispatcher;
    restartOnSecondHost(dispatcher);
    report(dispatcher, "h1", {{.number = 1, .task = key("j"), .run = 1, .end = RunEnd::Done}},
           at(200));
    const Orders orders = startAll(dispatcher, at(200));
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].task == key("j", 0, 1));
    REQUIRE(orders.stops.size() == 1);
    CHECK(orders.stops[0].host.value == "h2");
}

// Guards against starting a completed task again because the run that completed it is not its
// latest.
TEST_CASE("a waiting task is done when an earlier run of it ends as done")
{
    Dispatcher dispatcher;
    restartOnSecondHost(dispatcher);
    declareRunsLost(dispatcher, {"h2"}, "test", at(150));
    dispatcher.fleet.hosts[{"h2"}].reachable = false;
    report(dispatcher, "h1", {{.number = 1, .task = key("j"), .run = 1, .end = RunEnd::Done}},
           at(200));
    const Orders orders = startAll(dispatcher, at(200));
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].task == key("j", 0, 1));
    CHECK(orders.stops.empty());
}

// Guards against a batch task that stays paused forever after a change of the holder.
TEST_CASE("the speed of an adopted batch run is ordered again after a change of the holder")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    StepSpec batch = step(1, 1000);
    batch.backfill = true;
    const JobSpec spec = job("j", {batch});
    addJob(dispatcher, spec, emptyProgress(spec), 0, true, at(0));
    const HostReport paused{.active = {{.task = key("j"), .run = 7, .percent = 40, .load = 0}}};
    applyReport(dispatcher, {"h"}, paused, at(100), true, at(100));
    const Orders orders = plan(dispatcher, at(100));
    REQUIRE(orders.paces.size() == 1);
    CHECK(orders.paces[0].run == 7);
    CHECK(orders.paces[0].percent == 100);
}

// Guards against a second run after a planned stop of the holder, and against a task that waits for
// ever.
TEST_CASE(
    "a run that the previous holder handed over keeps its task back until it is known to be over")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1");
    addHost(dispatcher, "h2");
    dispatcher.fleet.hosts[{"h1"}].reachable = false;
    const JobSpec spec = job("j", {step(1, 1000)});
    addJob(dispatcher, spec, emptyProgress(spec), 0, true, at(0));
    inheritRun(dispatcher, {"h1"}, key("j"), 7, at(0), at(0));
    CHECK(startAll(dispatcher, at(10)).starts.empty());
    SUBCASE("the host answers and does not list it")
    {
        applyReport(dispatcher, {"h1"}, {}, at(20), true, at(30));
    }
    SUBCASE("the lease of the host is over")
    {
        declareRunsLost(dispatcher, {"h1"}, "the lease has expired", at(30));
    }
    // The recovery has not finished: other hosts may not have reported.
    const Orders orders = startAll(dispatcher, at(40));
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].run > 7);
}

// Guards against a healthy run that is stopped because a record lists an older run elsewhere.
// Review of issue 30.
TEST_CASE("a later run on another host takes the place of a run that was handed over")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1");
    addHost(dispatcher, "h2");
    const JobSpec spec = job("j", {step(1, 1000)});
    addJob(dispatcher, spec, emptyProgress(spec), 0, true, at(0));
    inheritRun(dispatcher, {"h1"}, key("j"), 7, at(0), at(0));
    const HostReport listing{.active = {{.task = key("j"), .run = 8}}};
    applyReport(dispatcher, {"h2"}, listing, at(10), true, at(10));
    declareRunsLost(dispatcher, {"h1"}, "the lease has expired", at(20));
    endRecovery(dispatcher);
    const Orders orders = startAll(dispatcher, at(30));
    CHECK(orders.stops.empty());
    CHECK(orders.starts.empty());
    CHECK(findTask(dispatcher.fleet, key("j"))->host == HostId{"h2"});
}

// Guards against restarts that lose their precedence with each change of the holder.
TEST_CASE("a task that waits for its restart keeps its last run and its wait under the next holder")
{
    Dispatcher dispatcher;
    StepSpec serving = step(1, 1000);
    serving.longRunning = true;
    const JobSpec spec = job("j", {serving});
    addJob(dispatcher, spec, emptyProgress(spec), 0, true, at(5000));
    inheritWait(dispatcher, key("j"), 7, at(1000), at(100));
    const TaskRuntime &task = *findTask(dispatcher.fleet, key("j"));
    CHECK(task.run == 7);
    CHECK(task.phaseSince == at(1000));
    CHECK(task.downSince == at(100));
    addHost(dispatcher, "h");
    const Orders orders = startAll(dispatcher, at(6000));
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].waited == milliseconds(5000));
}

// Guards against committing a host beyond its capacity while a run that is no longer needed is
// being stopped.
TEST_CASE("a run whose task is done elsewhere occupies its host until it ends")
{
    Dispatcher dispatcher;
    restartOnSecondHost(dispatcher);
    dispatcher.fleet.hosts[{"h1"}].leaving = true;
    report(dispatcher, "h1", {{.number = 1, .task = key("j"), .run = 1, .end = RunEnd::Done}},
           at(200));
    CHECK(startAll(dispatcher, at(200)).starts.empty());
    report(dispatcher, "h2", {{.number = 1, .task = key("j"), .run = 2, .end = RunEnd::Failed}},
           at(300));
    const Orders orders = startAll(dispatcher, at(300));
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].task == key("j", 0, 1));
    CHECK(findJob(dispatcher.fleet, {"j"})->progress.steps[0].failedRuns[0].empty());
    report(dispatcher, "h2", {{.number = 2, .task = key("j", 0, 1), .run = 1, .end = RunEnd::Done}},
           at(400));
    CHECK(stateOf(*findJob(dispatcher.fleet, {"j"})) == JobState::Completed);
    CHECK(startAll(dispatcher, at(400)).starts.empty());
}

// Guards against a job that fails too early: after a takeover, a host reports run ends again that
// the earlier holder had already counted and stored.
TEST_CASE("a failed run that is reported again after a takeover is counted once")
{
    Dispatcher before;
    addHost(before, "h");
    const JobSpec spec = job("j", {step(1, 1000)});
    add(before, spec);
    startAll(before, at(0));
    const ReportedRunEnd ended{.number = 1, .task = key("j"), .run = 1, .end = RunEnd::Failed};
    report(before, "h", {ended}, at(10));
    const auto stored =
        decodeProgress(spec, encodeProgress(findJob(before.fleet, {"j"})->progress));
    REQUIRE(stored);

    Dispatcher after;
    after.fleet.runNumberBase = 100;
    addHost(after, "h");
    addJob(after, spec, *stored, 1, true, at(20));
    report(after, "h", {ended}, at(30));
    CHECK(findJob(after.fleet, {"j"})->progress.steps[0].failedRuns[0].size() == 1);
}

// Guards against one attempt too many. The run has failed on its host and for the caller, even
// though it was declared lost when the host stopped answering.
TEST_CASE("a run that was declared lost counts as an attempt if it ends as failed")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1");
    addHost(dispatcher, "h2");
    add(dispatcher, job("j", {step(1, 1000)}));
    const Orders first = startAll(dispatcher, at(0));
    const HostId unresponsiveHost = first.starts[0].host;
    const std::string other = unresponsiveHost.value == "h1" ? "h2" : "h1";
    dispatcher.fleet.hosts[unresponsiveHost].reachable = false;
    declareRunsLost(dispatcher, unresponsiveHost, "the host does not answer", at(5000));
    const Orders second = startAll(dispatcher, at(5000));
    REQUIRE(second.starts.size() == 1);
    CHECK(second.starts[0].host.value == other);
    dispatcher.fleet.hosts[unresponsiveHost].reachable = true;
    report(dispatcher, unresponsiveHost.value,
           {{.number = 1, .task = key("j"), .run = 1, .end = RunEnd::Failed}}, at(6000));
    CHECK(findJob(dispatcher.fleet, {"j"})->progress.steps[0].failedRuns[0].size() == 1);
    CHECK(findTask(dispatcher.fleet, key("j"))->phase == TaskPhase::Running);
}

// Guards against committing a host beyond its capacity while an orphaned run is being stopped.
TEST_CASE("a reported run that no task needs occupies its host until it is gone")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h", 8000);
    JobSpec old = job("old", {step(1, 6000)});
    add(dispatcher, old);
    cancelJob(dispatcher, {"old"}, at(0));
    HostReport listing;
    listing.active.push_back({.task = key("old"), .run = 7});
    applyReport(dispatcher, {"h"}, listing, at(1), true, at(1));
    add(dispatcher, job("new", {step(1, 4000)}));
    Orders orders = plan(dispatcher, at(2));
    CHECK(orders.starts.empty());
    REQUIRE(orders.stops.size() == 1);
    CHECK(orders.stops[0].run == 7);
    applyReport(dispatcher, {"h"}, {}, at(3), true, at(3));
    CHECK(plan(dispatcher, at(4)).starts.size() == 1);
}

// The same for a run of an unknown job, whose size is not known either.
TEST_CASE("a host with a run of an unknown job gets no task")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h", 8000);
    HostReport listing;
    listing.active.push_back({.task = key("forgotten"), .run = 1});
    applyReport(dispatcher, {"h"}, listing, at(1), true, at(1));
    add(dispatcher, job("new", {step(1, 100)}));
    CHECK(plan(dispatcher, at(2)).starts.empty());
}

// Guards against a second run of a task whose first start order was not answered and is executed
// late.
TEST_CASE("a task with an unanswered start order starts again only after a fenced report")
{
    Dispatcher dispatcher;
    addUnansweredStart(dispatcher, at(400));
    applyReport(dispatcher, {"h"}, {}, at(401), false, at(410));
    CHECK(plan(dispatcher, at(410)).starts.empty());
    applyReport(dispatcher, {"h"}, {}, at(420), true, at(430));
    const Orders again = plan(dispatcher, at(430));
    REQUIRE(again.starts.size() == 1);
    CHECK(again.starts[0].run == 2);
}

// Guards against a task that waits for a second renewal, whose answer the host may delay by a
// second. The first renewal is sent at the very time at which the start order times out.
TEST_CASE("a renewal sent when a start order times out is sufficient to start the task again")
{
    Dispatcher dispatcher;
    addUnansweredStart(dispatcher, at(200));
    applyReport(dispatcher, {"h"}, {}, at(200), true, at(210));
    CHECK(plan(dispatcher, at(210)).starts.size() == 1);
}

// Guards against a job that is reported as failed although none of its runs has failed.
TEST_CASE("a job does not fail because a host cannot parse a start order")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1");
    addHost(dispatcher, "h2");
    add(dispatcher, job("j", {step(1, 1000)}));
    const Orders first = plan(dispatcher, at(0));
    REQUIRE(first.starts.size() == 1);
    applyStartOutcome(dispatcher, first.starts[0], StartOutcome::Malformed, at(10));
    CHECK_FALSE(isTerminal(stateOf(*findJob(dispatcher.fleet, {"j"}))));
    const Orders second = plan(dispatcher, at(2000));
    REQUIRE(second.starts.size() == 1);
    CHECK(second.starts[0].host != first.starts[0].host);
}

// Guards against declaring a present run lost. A report requested before the start was confirmed
// may not list the run.
TEST_CASE("a confirmed run is declared lost only if a later report does not list it")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    add(dispatcher, job("j", {step(1, 1000)}));
    startAll(dispatcher, at(100));
    applyReport(dispatcher, {"h"}, {}, at(50), true, at(110));
    CHECK(findTask(dispatcher.fleet, key("j"))->phase == TaskPhase::Running);
    applyReport(dispatcher, {"h"}, {}, at(150), true, at(160));
    CHECK(findTask(dispatcher.fleet, key("j"))->phase == TaskPhase::Waiting);
}

// Guards against starting a task again whose run has ended as done: a host with many ends lists
// only the first ones, and the run is in neither list.
TEST_CASE("a run is not declared lost by a report that leaves out ends")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    add(dispatcher, job("j", {step(1, 1000)}));
    startAll(dispatcher, at(100));
    applyReport(dispatcher, {"h"}, {.complete = false}, at(150), true, at(160));
    CHECK(findTask(dispatcher.fleet, key("j"))->phase == TaskPhase::Running);
    CHECK(plan(dispatcher, at(170)).starts.empty());
    report(dispatcher, "h", {{.number = 501, .task = key("j"), .run = 1, .end = RunEnd::Done}},
           at(180));
    CHECK(stateOf(*findJob(dispatcher.fleet, {"j"})) == JobState::Completed);
    CHECK(plan(dispatcher, at(190)).starts.empty());
}

// The same for a run whose start was not answered: it may have ended already.
TEST_CASE("a task with an unanswered start waits for a report that leaves out no ends")
{
    Dispatcher dispatcher;
    addUnansweredStart(dispatcher, at(200));
    applyReport(dispatcher, {"h"}, {.complete = false}, at(210), true, at(220));
    CHECK(plan(dispatcher, at(220)).starts.empty());
    applyReport(dispatcher, {"h"}, {}, at(230), true, at(240));
    CHECK(plan(dispatcher, at(240)).starts.size() == 1);
}

// Guards against treating a host's runs as known before all its ends have been read.
TEST_CASE("a host counts as reported only after a report that leaves out no ends")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    dispatcher.fleet.hosts[{"h"}].reported = false;
    applyReport(dispatcher, {"h"}, {.complete = false}, at(10), true, at(10));
    CHECK_FALSE(dispatcher.fleet.hosts[{"h"}].reported);
    applyReport(dispatcher, {"h"}, {}, at(20), true, at(20));
    CHECK(dispatcher.fleet.hosts[{"h"}].reported);
}

// Guards against a count of pending jobs that leaves out jobs of which only orders exist: users saw
// a count of 0 while ten jobs had waited for over 5 s. MIXED.
TEST_CASE("a job is pending until a host confirms that one of its tasks started")
{
    for (const StartOutcome outcome :
         {StartOutcome::Unhealthy, StartOutcome::NotSent, StartOutcome::NoRoom,
          StartOutcome::Outdated, StartOutcome::LeaseLapsed, StartOutcome::Fenced,
          StartOutcome::WrongInstance, StartOutcome::Malformed, StartOutcome::Unknown}) {
        CAPTURE(startOutcomeName(outcome));
        Dispatcher dispatcher;
        addHost(dispatcher, "h");
        add(dispatcher, job("j", {step(1, 1000)}));
        CHECK(pendingJobs(dispatcher, "q") == 1);
        const Orders orders = plan(dispatcher, at(0));
        REQUIRE(orders.starts.size() == 1);
        CHECK(pendingJobs(dispatcher, "q") == 1);
        applyStartOutcome(dispatcher, orders.starts[0], outcome, at(10));
        CHECK(pendingJobs(dispatcher, "q") == 1);
        CHECK(summarize(dispatcher.fleet).pendingJobs == 1);
        CHECK(summarize(dispatcher.fleet).unconfirmedJobs == 1);
    }
}

// Guards against jobs that stay pending although a task of theirs has started.
TEST_CASE("a job is not pending any more once the start of a task is known")
{
    const JobSpec spec = job("j", {step(2, 1000)});
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    const auto isPending = [&dispatcher] {
        return pendingJobs(dispatcher, "q") == 1;
    };
    SUBCASE("the host answers the order")
    {
        add(dispatcher, spec);
        startAll(dispatcher, at(0));
    }
    SUBCASE("the host answers the order of a run that is not the current one any more")
    {
        add(dispatcher, spec);
        const Orders orders = plan(dispatcher, at(0));
        declareRunsLost(dispatcher, {"h"}, "test", at(5));
        REQUIRE(isPending());
        applyStartOutcome(dispatcher, orders.starts.at(0), StartOutcome::Started, at(10));
    }
    SUBCASE("the host reports a run whose order was not answered")
    {
        add(dispatcher, spec);
        const Orders orders = plan(dispatcher, at(0));
        applyStartOutcome(dispatcher, orders.starts.at(0), StartOutcome::Unknown, at(10));
        REQUIRE(isPending());
        HostReport reported{.active = {{.task = key("j"), .run = orders.starts.at(0).run}}};
        applyReport(dispatcher, {"h"}, reported, at(11), true, at(12));
    }
    SUBCASE("the host reports a run of an earlier holder")
    {
        addJob(dispatcher, spec, emptyProgress(spec), 0, true, start);
        REQUIRE(isPending());
        applyReport(dispatcher, {"h"}, {.active = {{.task = key("j"), .run = 7}}}, at(0), true,
                    at(1));
    }
    SUBCASE("the host reports that a run of an earlier holder failed")
    {
        addJob(dispatcher, spec, emptyProgress(spec), 0, true, start);
        report(dispatcher, "h", {{.number = 1, .task = key("j"), .run = 7, .end = RunEnd::Failed}},
               at(1));
    }
    SUBCASE("the stored progress has a failed run")
    {
        JobProgress progress = emptyProgress(spec);
        progress.steps[0].failedRuns[1] = {3};
        addJob(dispatcher, spec, progress, 1, false, start);
    }
    SUBCASE("progress that an earlier holder stored late has a task that is done")
    {
        add(dispatcher, spec);
        REQUIRE(isPending());
        JobProgress progress = emptyProgress(spec);
        progress.steps[0].done[1] = true;
        mergeProgress(dispatcher, {"j"}, progress, at(1));
    }
    CHECK_FALSE(isPending());
    CHECK(stateOf(*findJob(dispatcher.fleet, {"j"})) == JobState::Running);
    // A loss of the run does not undo its start.
    declareRunsLost(dispatcher, {"h"}, "test", at(20));
    CHECK_FALSE(isPending());
}

// Guards against avoiding a healthy host because orders wait for its connections.
TEST_CASE("a start that was not sent does not count against the host")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    for (int n = 0; n < 2 * dispatcher.options.refusalsBeforeAvoiding; ++n) {
        add(dispatcher, job("j" + std::to_string(n), {step(1, 100)}));
    }
    for (const StartRun &order : plan(dispatcher, at(0)).starts) {
        applyStartOutcome(dispatcher, order, StartOutcome::NotSent, at(100));
    }
    CHECK(dispatcher.fleet.hosts[{"h"}].avoidUntil <= at(100));
    CHECK_FALSE(plan(dispatcher, at(300)).starts.empty());
}

// Guards against counts that drift away from the jobs they are made of.
TEST_CASE("the counts of a queue are those of its live jobs")
{
    std::mt19937 random(20261205);
    const auto draw = [&random](int below) {
        return static_cast<int>(random() % static_cast<unsigned>(below));
    };
    const std::array outcomes{StartOutcome::Started, StartOutcome::Started, StartOutcome::NoRoom,
                              StartOutcome::Unknown, StartOutcome::NotSent};
    Dispatcher dispatcher;
    addHost(dispatcher, "h1");
    addHost(dispatcher, "h2");
    std::map<std::string, std::uint64_t> ends;
    for (int n = 0; n < 600; ++n) {
        CAPTURE(n);
        const TimePoint now = at(100 * n);
        const std::string id = "j" + std::to_string(n);
        JobSpec spec = job(id, {step(1 + static_cast<std::uint32_t>(draw(3)), 3000)});
        spec.terms.queue = draw(2) == 0 ? "q" : "other";
        add(dispatcher, spec, now);
        for (const StartRun &order : plan(dispatcher, now).starts) {
            applyStartOutcome(dispatcher, order, outcomes[static_cast<std::size_t>(draw(5))], now);
        }
        const std::string host = draw(2) == 0 ? "h1" : "h2";
        const auto &runs = dispatcher.fleet.hosts[{host}].runs;
        const std::string other = "j" + std::to_string(draw(n + 1));
        if (draw(8) == 0) {
            declareRunsLost(dispatcher, {host}, "test", now);
        } else if (draw(8) == 0) {
            cancelJob(dispatcher, {other}, now);
        } else if (draw(8) == 0) {
            JobProgress progress = findJob(dispatcher.fleet, {other})->progress;
            progress.steps[0].failedRuns[0] = {1};
            progress.outcome = draw(3) == 0 ? JobState::Completed : progress.outcome;
            mergeProgress(dispatcher, {other}, progress, now);
        } else if (!runs.empty()) {
            const auto [task, run] = *runs.begin();
            const RunEnd how = draw(3) == 0 ? RunEnd::Failed : RunEnd::Done;
            report(dispatcher, host,
                   {{.number = ++ends[host], .task = task, .run = run, .end = how}}, now);
        }
        std::map<std::string, QueueCounts> expected;
        for (const JobRuntime *const live : dispatcher.fleet.liveJobs) {
            QueueCounts &counts = expected[live->spec.terms.queue];
            ++counts.live;
            counts.pending += live->startConfirmed ? 0 : 1;
            counts.unconfirmed += live->startOrdered && !live->startConfirmed ? 1 : 0;
        }
        REQUIRE(dispatcher.fleet.queues == expected);
    }
    CHECK(dispatcher.fleet.ended.size() > 100);
    CHECK_FALSE(dispatcher.fleet.queues.empty());
}

// Guards against long-running tasks that stay away in a full fleet: a part of the hosts is
// replaced, and thousands of tasks that never ran wait longer and take the new ones. Review,
// case 4.
TEST_CASE("long-running tasks that lost their host start before those that never ran")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h", 8000);
    StepSpec lasting = step(1, 2000);
    lasting.longRunning = true;
    lasting.tailLatencyTarget = milliseconds(100);
    JobSpec lost = job("lost", {step(4, 2000)});
    lost.steps[0].longRunning = true;
    lost.steps[0].tailLatencyTarget = milliseconds(100);
    add(dispatcher, lost, at(10));
    REQUIRE(startAll(dispatcher, at(20)).starts.size() == 4);
    // Their objectives are earlier, and they are overdue. The short task raises the peak demand.
    for (int n = 0; n < 8; ++n) {
        add(dispatcher, job("new" + std::to_string(n), {lasting}), at(0));
    }
    add(dispatcher, job("short", {step(1, 8000)}), at(0));
    CHECK(plan(dispatcher, at(6000)).starts.empty());
    REQUIRE(cancelJob(dispatcher, {"short"}, at(6050)));
    dispatcher.fleet.hosts[{"h"}].reportedAt = at(6100);
    declareRunsLost(dispatcher, {"h"}, "the host was replaced", at(6100));
    CHECK(plan(dispatcher, at(6110)).starts.empty());
    const Orders overdue = plan(dispatcher, at(8700));
    // The last place is not taken before the restart is urgent.
    REQUIRE(overdue.starts.size() == 3);
    for (const StartRun &order : overdue.starts) {
        CHECK(order.task.job.value == "lost");
    }
    const Orders urgent = plan(dispatcher, at(10700));
    REQUIRE(urgent.starts.size() == 1);
    CHECK(urgent.starts[0].task.job.value == "lost");
}

// Guards against tasks that never start because the restart of a task that fits nowhere waits.
TEST_CASE("free processors are not kept for a restart that finds no place")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1", 8000);
    addHost(dispatcher, "h2", 4000);
    JobSpec large = job("large", {step(1, 8000)});
    large.steps[0].longRunning = true;
    add(dispatcher, large, at(0));
    REQUIRE(startAll(dispatcher, at(10)).starts.size() == 1);
    declareRunsLost(dispatcher, {"h1"}, "the host does not answer", at(100));
    dispatcher.fleet.hosts[{"h1"}].reachable = false;
    StepSpec lasting = step(1, 2000);
    lasting.longRunning = true;
    lasting.tailLatencyTarget = milliseconds(100);
    add(dispatcher, job("new", {lasting}), at(100));
    // The peak demand of short tasks leaves the new task only the room of overdue ones.
    add(dispatcher, job("short", {step(1, 4500)}), at(100));
    CHECK(plan(dispatcher, at(3000)).starts.empty());
    const Orders later = plan(dispatcher, at(9200));
    REQUIRE(later.starts.size() == 1);
    CHECK(later.starts[0].task.job.value == "new");
}

// Guards against an overdue restart that waits for room for two while short tasks take each place.
TEST_CASE("an urgent restart takes the only place before a short task")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1", 2000);
    addHost(dispatcher, "h2", 2000);
    JobSpec lost = job("lost", {step(2, 2000)});
    lost.steps[0].longRunning = true;
    add(dispatcher, lost, at(0));
    REQUIRE(startAll(dispatcher, at(10)).starts.size() == 2);
    declareRunsLost(dispatcher, {"h1"}, "the host does not answer", at(100));
    dispatcher.fleet.hosts[{"h1"}].reachable = false;
    CHECK(plan(dispatcher, at(110)).starts.empty());
    add(dispatcher, job("short", {step(1, 2000)}), at(4900));
    dispatcher.fleet.hosts[{"h1"}].reachable = true;
    const Orders orders = plan(dispatcher, at(5000));
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].task.job.value == "lost");
}

// Guards against a long-running task whose host is gone and that stays away for longer than users
// allow, because its downtime counts from the end of the host's lease. Issue 30.
TEST_CASE("the downtime of a restart counts from the last report of the lost host")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1", 2000);
    JobSpec lost = job("lost", {step(1, 2000)});
    lost.steps[0].longRunning = true;
    add(dispatcher, lost, at(0));
    const Orders first = startAll(dispatcher, at(10));
    REQUIRE(first.starts.size() == 1);
    const HostReport report{.active = {{.task = key("lost"), .run = first.starts[0].run}}};
    add(dispatcher, job("short", {step(1, 2000)}), at(20));
    SUBCASE("last report long ago")
    {
        applyReport(dispatcher, {"h1"}, report, at(990), true, at(1000));
        declareRunsLost(dispatcher, {"h1"}, "its lease has expired", at(7200));
        const Orders urgent = plan(dispatcher, at(7210));
        REQUIRE(urgent.starts.size() == 1);
        CHECK(urgent.starts[0].task.job.value == "lost");
        // Neither a refused start nor one without an answer resets the downtime.
        applyStartOutcome(dispatcher, urgent.starts[0], StartOutcome::NoRoom, at(7220));
        findJob(dispatcher.fleet, {"short"})->steps[0].tasks[0].notBefore = at(7280);
        const Orders again = plan(dispatcher, at(7280));
        REQUIRE(again.starts.size() == 1);
        CHECK(again.starts[0].task.job.value == "lost");
        applyStartOutcome(dispatcher, again.starts[0], StartOutcome::Unknown, at(7480));
        applyReport(dispatcher, {"h1"}, {}, at(7490), true, at(7500));
        const Orders third = plan(dispatcher, at(7510));
        REQUIRE(third.starts.size() == 1);
        CHECK(third.starts[0].task.job.value == "lost");
    }
    SUBCASE("last report shortly before")
    {
        applyReport(dispatcher, {"h1"}, report, at(6990), true, at(7000));
        declareRunsLost(dispatcher, {"h1"}, "its address has another host", at(7200));
        const Orders orders = plan(dispatcher, at(7210));
        REQUIRE(orders.starts.size() == 1);
        CHECK(orders.starts[0].task.job.value == "short");
    }
}

// Guards against a long-running task that stays away because its downtime counts from the change of
// the holder. Issue 30.
TEST_CASE(
    "the downtime of a restart counts from the last lease of a host that a holder handed over")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1", 2000);
    addHost(dispatcher, "h2", 2000);
    dispatcher.fleet.hosts[{"h1"}].reachable = false;
    JobSpec lost = job("lost", {step(1, 2000)});
    lost.steps[0].longRunning = true;
    add(dispatcher, lost, at(5000));
    add(dispatcher, job("short", {step(1, 2000)}), at(5000));
    std::string first;
    SUBCASE("granted long ago")
    {
        inheritRun(dispatcher, {"h1"}, key("lost"), 7, at(1000), at(5000));
        first = "lost";
    }
    SUBCASE("granted until the holder changed")
    {
        inheritRun(dispatcher, {"h1"}, key("lost"), 7, at(4900), at(5000));
        first = "short";
    }
    declareRunsLost(dispatcher, {"h1"}, "its lease has expired", at(7200));
    const Orders orders = plan(dispatcher, at(7210));
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].task.job.value == first);
}

// Guards against starting tasks that may still be running on a host that has not reported.
TEST_CASE("tasks of a recovered job wait until the recovery ends")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    const JobSpec spec = job("j", {step(1, 1000)});
    addJob(dispatcher, spec, emptyProgress(spec), 0, true, at(0));
    CHECK(plan(dispatcher, at(1)).starts.empty());
    endRecovery(dispatcher);
    CHECK(plan(dispatcher, at(2)).starts.size() == 1);
}

// Guards against a restart that comes after tasks that never ran, because the new holder does not
// know that the task ran on a host that was lost before it reported. Review, case 7.
TEST_CASE("after a recovery a long-running task that a lost host may have run is a restart")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    JobSpec spec = job("j", {step(2, 1000)});
    spec.steps[0].longRunning = true;
    addJob(dispatcher, spec, emptyProgress(spec), 0, true, at(10'000));
    const TaskRuntime &task = *findTask(dispatcher.fleet, {.job = {"j"}, .index = 1});
    const auto reportSibling = [&] {
        const HostReport listing{.active = {{.task = key("j"), .run = 1}}};
        applyReport(dispatcher, {"h"}, listing, at(10'010), true, at(10'010));
    };
    SUBCASE("another task of the step runs")
    {
        reportSibling();
        endRecovery(dispatcher, LostHosts{.count = 0, .since = at(7000)});
        CHECK(task.run > 0);
        CHECK(task.downSince == at(7000));
    }
    SUBCASE("no task of the step runs, and the lost hosts had room for all such tasks")
    {
        endRecovery(dispatcher, LostHosts{.count = 1, .since = at(7000)});
        CHECK(task.run > 0);
        CHECK(task.downSince == at(7000));
    }
    SUBCASE("the lost hosts did not have room for all tasks without a run")
    {
        JobSpec wide = job("wide", {step(100, 1000)});
        wide.steps[0].longRunning = true;
        addJob(dispatcher, wide, emptyProgress(wide), 0, true, at(10'000));
        endRecovery(dispatcher, LostHosts{.count = 1, .since = at(7000)});
        CHECK(task.run == 0);
    }
    SUBCASE("all hosts have reported")
    {
        reportSibling();
        endRecovery(dispatcher);
        CHECK(task.run == 0);
        CHECK(task.downSince == at(10'000));
    }
}

// Guards against starting a task in an evacuated failure domain or on a leaving host.
TEST_CASE("evacuated and leaving hosts get no task")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    add(dispatcher, job("j", {step(1, 1000)}));
    dispatcher.fleet.evacuated = {{"a"}};
    CHECK(plan(dispatcher, at(0)).starts.empty());
    dispatcher.fleet.evacuated.clear();
    dispatcher.fleet.hosts[{"h"}].leaving = true;
    CHECK(plan(dispatcher, at(0)).starts.empty());
    dispatcher.fleet.hosts[{"h"}].leaving = false;
    CHECK(plan(dispatcher, at(0)).starts.size() == 1);
}

// Guards against runs of a job that was cancelled.
TEST_CASE("the runs of a cancelled job are stopped and not started again")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    add(dispatcher, job("j", {step(2, 1000)}));
    startAll(dispatcher, at(0));
    CHECK(cancelJob(dispatcher, {"j"}, at(10)));
    CHECK(plan(dispatcher, at(10)).stops.size() == 2);
    report(dispatcher, "h", {{.number = 1, .task = key("j", 0), .run = 1, .end = RunEnd::Stopped}},
           at(20));
    CHECK(plan(dispatcher, at(20)).starts.empty());
    CHECK(plan(dispatcher, at(20) + dispatcher.options.stopRetryDelay).stops.size() == 1);
}

// Guards against starts on hosts that have announced that they leave, while the host list cannot be
// read. Without this rule, there were starts 3 s after the notice; the requirement allows 2 s.
TEST_CASE("no task starts while the host list is too old")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    add(dispatcher, job("j", {step(1, 1000)}));
    dispatcher.fleet.hostListReadAt = at(0);
    CHECK(plan(dispatcher, at(1900)).starts.empty());
    dispatcher.fleet.hostListReadAt = at(1000);
    CHECK(plan(dispatcher, at(1900)).starts.size() == 1);
}

// Guards against a task that waits although a host has room. Memory may run out before processors
// do.
TEST_CASE("a step that needs little memory is not blocked by one that needs more than is free")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    StepSpec much = step(1, 1000);
    much.taskSize.memoryMiB = 40000;
    add(dispatcher, job("running", {much}));
    CHECK(startAll(dispatcher, at(0)).starts.size() == 1);
    add(dispatcher, job("much", {much}));
    add(dispatcher, withLowerPriority(job("little", {step(1, 1000)})));
    CHECK(startedTasks(dispatcher, at(10)) == "little/0/0");
}

// The same for accelerators.
TEST_CASE("a step without accelerators is not blocked by one that needs them")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h");
    StepSpec accelerated = step(1, 1000);
    accelerated.taskSize.accelerators = 1;
    add(dispatcher, job("accelerated", {accelerated}));
    add(dispatcher, withLowerPriority(job("plain", {step(1, 1000)})));
    CHECK(startedTasks(dispatcher, at(0)) == "plain/0/0");
}

// Guards against a service whose tasks wait although its own hosts are empty.
TEST_CASE("a service with free hosts is not blocked by a full one")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1");
    addHost(dispatcher, "h2");
    dispatcher.fleet.hosts[{"h2"}].service = {"other"};
    add(dispatcher, job("running", {step(1, 8000)}));
    CHECK(startAll(dispatcher, at(0)).starts.size() == 1);
    add(dispatcher, job("full", {step(1, 1000)}));
    JobSpec other = withLowerPriority(job("other", {step(1, 1000)}));
    other.terms.service = {"other"};
    add(dispatcher, other);
    CHECK(startedTasks(dispatcher, at(10)) == "other/0/0");
}

// Guards against a batch task that waits in an idle fleet as long as newer ones arrive, which may
// not interfere with serving tasks yet.
TEST_CASE("a batch task that may interfere is not blocked by one that may not yet")
{
    Dispatcher dispatcher;
    addHostWithInterference(dispatcher, "h");
    add(dispatcher, withLowerPriority(job("old", {batchStep(1, 1000)})), at(0));
    CHECK(startAll(dispatcher, at(10)).starts.empty());
    add(dispatcher, job("young", {batchStep(1, 1000)}), at(10) + allowInterferenceAfter);
    CHECK(startedTasks(dispatcher, at(20) + allowInterferenceAfter) == "old/0/0");
}

// The same among tasks of one step, the first of which has returned to waiting after a run.
TEST_CASE("a batch task that may interfere is not blocked by a task of its step that may not yet")
{
    Dispatcher dispatcher;
    addHostWithInterference(dispatcher, "h");
    add(dispatcher, job("j", {batchStep(2, 1000)}), at(0));
    CHECK(startAll(dispatcher, at(10)).starts.empty());
    findTask(dispatcher.fleet, key("j", 0))->phaseSince = at(10) + allowInterferenceAfter;
    CHECK(startedTasks(dispatcher, at(20) + allowInterferenceAfter) == "j/0/1");
}

// Guards against batch tasks without interference that wait because of others that interfere with
// serving tasks.
TEST_CASE("a batch task is not blocked by one with another image that interferes")
{
    Dispatcher dispatcher;
    addHostWithInterference(dispatcher, "h");
    InterferenceModel &model = dispatcher.fleet.interference;
    setSlope(model, imageId(model, "serving"), imageId(model, "harmless"), {.value = 0});
    add(dispatcher, job("interfering", {batchStep(1, 1000)}), at(10));
    StepSpec harmless = batchStep(1, 1000);
    harmless.image = "harmless";
    add(dispatcher, withLowerPriority(job("harmless", {harmless})), at(10));
    CHECK(startedTasks(dispatcher, at(10)) == "harmless/0/0");
}

// Guards against optimizations that skip a task for which a host has room.
TEST_CASE("no task that may start is left waiting while a host suits it")
{
    std::mt19937 random(20261204);
    const auto draw = [&random](int below) {
        return static_cast<int>(random() % static_cast<unsigned>(below));
    };
    for (int round = 0; round < 300; ++round) {
        CAPTURE(round);
        Dispatcher dispatcher;
        addHostWithInterference(dispatcher, "h0");
        for (int n = 1; n < 4; ++n) {
            addHost(dispatcher, "h" + std::to_string(n));
            FleetHost &host = dispatcher.fleet.hosts[{"h" + std::to_string(n)}];
            host.capacity.memoryMiB = 1000 * (4 + draw(12));
            host.capacity.accelerators = draw(3);
            host.service = {draw(3) == 0 ? "other" : "svc"};
            if (draw(2) == 0) {
                host.labels = {"disk"};
            }
        }
        const TimePoint now = at(10) + allowInterferenceAfter;
        for (int n = 0; n < 12; ++n) {
            const auto tasks = static_cast<std::uint32_t>(1 + draw(4));
            StepSpec spec = draw(2) == 0 ? batchStep(tasks, 500 * (1 + draw(6)))
                                         : step(tasks, 500 * (1 + draw(6)));
            spec.image = std::array{"serving", "batch", "light"}[static_cast<std::size_t>(draw(3))];
            spec.taskSize.memoryMiB = 1000 * (1 + draw(5));
            spec.taskSize.accelerators = draw(4) == 0 ? 1 : 0;
            spec.requiredLabel = draw(4) == 0 ? "disk" : "";
            spec.maxTasksPerHost = draw(4) == 0 ? 1 : 0;
            JobSpec added = job("j" + std::to_string(n), {spec});
            added.terms.priority = draw(2);
            added.terms.service = {draw(3) == 0 ? "other" : "svc"};
            add(dispatcher, added, now);
            for (TaskRuntime &task : findJob(dispatcher.fleet, added.id)->steps[0].tasks) {
                task.phaseSince = draw(2) == 0 ? now : start;
            }
        }
        // A start may make a host suitable for a batch task that was considered before, as it
        // interferes less with fewer idle processors. The next round starts it.
        bool changed = true;
        while (changed) {
            changed = !startAll(dispatcher, now).starts.empty();
        }
        for (const JobRuntime *const waiting : dispatcher.fleet.liveJobs) {
            for (const TaskRuntime &task : waiting->steps[0].tasks) {
                if (task.phase == TaskPhase::Waiting) {
                    CHECK(chooseHost(dispatcher.fleet, *waiting, 0, task, now) == nullptr);
                }
            }
        }
    }
}

// Guards against a long downtime of a long-running task, despite room for two such tasks, because a
// host refuses the start.
TEST_CASE("a refused start does not reset the wait of a long-running task")
{
    Dispatcher dispatcher;
    addHost(dispatcher, "h1");
    addHost(dispatcher, "h2");
    // The recent peak demand of short tasks exceeds the fleet, so only an overdue task may start.
    dispatcher.fleet.urgentPeakMilliCores = 1e6;
    dispatcher.fleet.urgentDemandAt = start;
    StepSpec serving = step(1, 2000);
    serving.longRunning = true;
    serving.tailLatencyTarget = milliseconds(100);
    add(dispatcher, job("serving", {serving}));
    bool refused = false;
    int startedAt = 0;
    for (int ms = 0; startedAt == 0 && ms < 10000; ms += 100) {
        for (const StartRun &order : plan(dispatcher, at(ms)).starts) {
            const bool refuses = !std::exchange(refused, true);
            applyStartOutcome(dispatcher, order,
                              refuses ? StartOutcome::NoRoom : StartOutcome::Started, at(ms));
            startedAt = refuses ? 0 : ms;
        }
    }
    REQUIRE(refused);
    CHECK(startedAt < 3000);
}

// Guards against batch tasks that wait in an idle service because another one is full.
TEST_CASE("a batch task that may interfere is not blocked by the load of another service")
{
    Dispatcher dispatcher;
    addHostWithInterference(dispatcher, "h");
    for (int n = 0; n < 4; ++n) {
        addHost(dispatcher, "other" + std::to_string(n));
        dispatcher.fleet.hosts[{"other" + std::to_string(n)}].service = {"other"};
    }
    JobSpec full = job("full", {step(4, 8000)});
    full.terms.service = {"other"};
    add(dispatcher, full);
    REQUIRE(startAll(dispatcher, at(0)).starts.size() == 4);
    add(dispatcher, job("batch", {batchStep(1, 1000)}), at(0));
    CHECK(startedTasks(dispatcher, at(10)).empty());
    CHECK(startedTasks(dispatcher, at(10) + allowInterferenceAfter) == "batch/0/0");
}

namespace {

/// Two hosts with simulated runs and a dispatcher whose job may be inherited by another one. Runs
/// end in any way, orders and reports get lost, hosts restart, and stored progress may be old.
class RandomRuns
{
public:
    explicit RandomRuns(std::uint64_t seed)
        : m_random(seed)
    {
        StepSpec gang = step(3, 500);
        gang.gang = true;
        gang.dependsOn = {0};
        StepSpec last = step(2, 500);
        last.dependsOn = {1};
        m_job = job("j", {step(3, 500), gang, last});
        m_stored.push_back(emptyProgress(m_job));
        takeOver();
    }

    void playRound()
    {
        m_now += 60;
        executeOrders();
        for (const char *const id : {"h1", "h2"}) {
            endRandomRun(m_hosts[id]);
            sendReport(id);
            if (chance(3)) {
                declareRunsLost(m_dispatcher, {id}, "test", at(m_now));
            }
            if (chance(2)) {
                // The runs vanish without an end, and ends are numbered from 1 again.
                m_hosts[id] = {};
                m_dispatcher.fleet.hosts[{id}].lastSeenEnd = 0;
            }
        }
        if (chance(10)) {
            m_stored.push_back(runtime().progress);
        }
        if (chance(4)) {
            mergeProgress(m_dispatcher, {"j"}, anyStored(), at(m_now));
        }
        if (chance(2)) {
            takeOver();
        }
    }

    JobState state()
    {
        return stateOf(runtime());
    }

    /// Returns the tasks that count as done although no host has reported that, separated by
    /// spaces. One such end of a gang's member stands for all of them.
    std::string unfoundedDone()
    {
        std::string tasks;
        for (std::uint32_t n = 0; n < m_job.steps.size(); ++n) {
            const std::vector<bool> &done = runtime().progress.steps[n].done;
            for (std::uint32_t index = 0; index < done.size(); ++index) {
                const bool ended =
                    m_job.steps[n].gang
                        ? std::any_of(m_doneTasks.begin(), m_doneTasks.end(),
                                      [n](const TaskKey &task) { return task.step == n; })
                        : m_doneTasks.contains(key("j", index, n));
                if (done[index] && !ended) {
                    tasks += " " + describe(key("j", index, n));
                }
            }
        }
        return tasks;
    }

    bool areAllDone()
    {
        const JobProgress &progress = runtime().progress;
        return isStepDone(progress, 0) && isStepDone(progress, 1) && isStepDone(progress, 2);
    }

private:
    struct Host
    {
        std::map<TaskKey, std::uint64_t> runs;
        std::vector<ReportedRunEnd> ended;
    };

    int draw(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
    }
    bool chance(int percent)
    {
        return draw(100) < percent;
    }
    JobRuntime &runtime()
    {
        return *findJob(m_dispatcher.fleet, {"j"});
    }
    const JobProgress &anyStored()
    {
        return m_stored[static_cast<std::size_t>(draw(static_cast<int>(m_stored.size())))];
    }

    void takeOver()
    {
        m_dispatcher = {};
        m_dispatcher.fleet.runNumberBase = 1000 * ++m_epoch;
        addHost(m_dispatcher, "h1", 2000);
        addHost(m_dispatcher, "h2", 2000);
        addJob(m_dispatcher, m_job, anyStored(), 0, false, at(m_now));
    }

    void executeOrders()
    {
        const Orders orders = plan(m_dispatcher, at(m_now));
        for (const StartRun &order : orders.starts) {
            const int kind = draw(10);
            if (kind < 8) {
                m_hosts[order.host.value].runs[order.task] = order.run;
            }
            const StartOutcome outcome = kind < 6   ? StartOutcome::Started
                                         : kind < 9 ? StartOutcome::Unknown
                                                    : StartOutcome::Unhealthy;
            applyStartOutcome(m_dispatcher, order, outcome, at(m_now));
        }
        for (const StopRun &order : orders.stops) {
            Host &host = m_hosts[order.host.value];
            const auto it = host.runs.find(order.task);
            if (it != host.runs.end() && it->second == order.run) {
                endRun(host, order.task, chance(20) ? RunEnd::Done : RunEnd::Stopped);
            }
        }
    }

    void endRandomRun(Host &host)
    {
        if (host.runs.empty() || chance(40)) {
            return;
        }
        const auto it = std::next(host.runs.begin(), draw(static_cast<int>(host.runs.size())));
        constexpr std::array ends{RunEnd::Done,        RunEnd::Done,       RunEnd::Stopped,
                                  RunEnd::LeaseLapsed, RunEnd::GangBroken, RunEnd::GangIncomplete};
        endRun(host, it->first,
               chance(3) ? RunEnd::Failed
                         : ends[static_cast<std::size_t>(draw(static_cast<int>(ends.size())))]);
    }

    void endRun(Host &host, TaskKey task, RunEnd end)
    {
        host.ended.push_back(
            {.number = host.ended.size() + 1, .task = task, .run = host.runs.at(task), .end = end});
        host.runs.erase(task);
        if (end == RunEnd::Done) {
            m_doneTasks.insert(task);
        }
        // Ends of tasks that the job does not have.
        if (chance(20)) {
            task.occurrence = chance(50) ? 1 : 0;
            task.index += task.occurrence == 0 ? 3 : 0;
            host.ended.push_back({.number = host.ended.size() + 1,
                                  .task = task,
                                  .run = 1'000'000,
                                  .end = RunEnd::Done});
        }
    }

    /// Applies a report of the host, which may be lost or list only its first ends. Ends that were
    /// reported before are listed again.
    void sendReport(const std::string &id)
    {
        if (chance(30)) {
            return;
        }
        const Host &host = m_hosts[id];
        HostReport report{.ended = host.ended};
        if (chance(20)) {
            report.ended.resize(report.ended.size() / 2);
            report.complete = report.ended.size() == host.ended.size();
        }
        for (const auto &[task, run] : host.runs) {
            report.active.push_back({.task = task, .run = run, .percent = 50});
        }
        applyReport(m_dispatcher, {id}, report, at(m_now), chance(80), at(m_now));
    }

    std::mt19937_64 m_random;
    Dispatcher m_dispatcher;
    JobSpec m_job;
    std::map<std::string, Host> m_hosts;
    std::set<TaskKey> m_doneTasks;
    /// Progress as stored at some time.
    std::vector<JobProgress> m_stored;
    std::uint64_t m_epoch = 0;
    int m_now = 0;
};

} // namespace

// Guards against a job that callers see as completed while a task has not ended as done, whatever
// gets lost, repeated or comes late. MIXED.
TEST_CASE("a job is completed only if each of its tasks has ended as done")
{
    int completed = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        RandomRuns runs(seed);
        for (int round = 0; round < 150; ++round) {
            runs.playRound();
            REQUIRE(runs.unfoundedDone() == "");
            REQUIRE((runs.state() != JobState::Completed || runs.areAllDone()));
        }
        completed += runs.state() == JobState::Completed ? 1 : 0;
    }
    // Otherwise the rounds show nothing.
    CHECK(completed > 100);
}
