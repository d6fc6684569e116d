#include "dispatch/waitreason.h"

#include "dispatch/placement.h"
#include "dispatch/testfixtures.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));
const JobId id = {"j"};

TimePoint at(int ms)
{
    return start + milliseconds(ms);
}

/// Two hosts and one waiting job with a long-running task.
struct Fleet
{
    Dispatcher dispatcher;

    explicit Fleet(const StepSpec &step = longStep())
    {
        for (const char *const name : {"a", "b"}) {
            FleetHost &host = dispatcher.fleet.hosts[{name}];
            host = fixtureHost(name, 8000);
            host.reportedAt = start;
        }
        const JobSpec spec = {.id = id,
                              .terms = {.queue = "q", .service = {"svc"}, .maxAttempts = 3},
                              .steps = {step}};
        addJob(dispatcher, spec, emptyProgress(spec), 0, false, start);
    }

    static StepSpec longStep()
    {
        return {.tasks = 1,
                .taskSize = {.milliCores = 3000, .memoryMiB = 1000},
                .longRunning = true,
                .tailLatencyTarget = milliseconds(100)};
    }

    FleetHost &host(const char *name)
    {
        return dispatcher.fleet.hosts.at({name});
    }

    JobRuntime &job()
    {
        return *findJob(dispatcher.fleet, id);
    }

    WaitReason explain(TimePoint now)
    {
        preparePlacementRound(dispatcher.fleet);
        return explainWait(dispatcher, job(), 0, job().steps[0].tasks[0], now);
    }
};

} // namespace

// Guards against logs that do not show why a task waits.
TEST_CASE("the reported rule is the one that keeps the task waiting")
{
    Fleet fleet;
    fleet.dispatcher.fleet.longRunningSpareMilliCores = 1e6;
    CHECK(fleet.explain(at(100)).rule == WaitRule::NextRound);

    SUBCASE("the holder is new")
    {
        fleet.job().inRecovery = true;
        CHECK(fleet.explain(at(100)).rule == WaitRule::HolderIsNew);
    }
    SUBCASE("the holder is new, and knows that the task's last run is over")
    {
        fleet.job().inRecovery = true;
        fleet.job().steps[0].tasks[0].accountedFor = true;
        CHECK(fleet.explain(at(100)).rule == WaitRule::NextRound);
    }
    SUBCASE("the stored lease record lists the task's last run")
    {
        fleet.job().steps[0].tasks[0].run = 1;
        fleet.dispatcher.fleet.recordedTasks.insert({.job = fleet.job().spec.id});
        CHECK(fleet.explain(at(100)).rule == WaitRule::LeaseRecord);
    }
    SUBCASE("an earlier step is not done")
    {
        fleet.job().steps[0].dependenciesDone = false;
        CHECK(fleet.explain(at(100)).rule == WaitRule::EarlierStep);
    }
    SUBCASE("the host list is too old")
    {
        fleet.dispatcher.fleet.hostListReadAt = start;
        CHECK(fleet.explain(at(5000)).rule == WaitRule::OldHostList);
    }
    SUBCASE("a host refused the start")
    {
        fleet.job().steps[0].tasks[0].notBefore = at(200);
        CHECK(fleet.explain(at(100)).rule == WaitRule::StartRefused);
    }
    SUBCASE("all hosts are too small")
    {
        fleet.host("a").capacity.milliCores = 1000;
        fleet.host("b").capacity.milliCores = 1000;
        CHECK(fleet.explain(at(100)).rule == WaitRule::NoSuchHost);
    }
    SUBCASE("no host has enough free resources")
    {
        fleet.host("a").committed.milliCores = 6000;
        fleet.host("b").hasUnknownRun = true;
        CHECK(fleet.explain(at(100)).rule == WaitRule::NoRoom);
    }
    SUBCASE("the room is reserved for short tasks")
    {
        fleet.dispatcher.fleet.longRunningSpareMilliCores = 0;
        fleet.dispatcher.fleet.spareBesidesRestarts = 16000;
        CHECK(fleet.explain(at(100)).rule == WaitRule::UrgentRoom);
        CHECK(fleet.explain(at(3000)).rule == WaitRule::NextRound);
    }
    SUBCASE("the room is kept for restarts")
    {
        fleet.dispatcher.fleet.longRunningSpareMilliCores = 0;
        fleet.dispatcher.fleet.spareBesidesRestarts = 0;
        CHECK(fleet.explain(at(3000)).rule == WaitRule::RestartRoom);
        fleet.job().steps[0].tasks[0].run = 1;
        CHECK(fleet.explain(at(3000)).rule == WaitRule::NextRound);
    }
}

TEST_CASE("room on avoided hosts only is reported differently from no room")
{
    Fleet fleet;
    fleet.dispatcher.fleet.longRunningSpareMilliCores = 1e6;
    fleet.host("a").committed.milliCores = 6000;
    fleet.host("b").avoidUntil = at(4000);
    const WaitReason reason = fleet.explain(at(900));
    CHECK(reason.rule == WaitRule::AvoidedHosts);
    CHECK(reason.places == 2);
    CHECK(reason.suitableHosts == 0);
    CHECK(reason.avoidedHosts == 1);
    CHECK(reason.usableHosts == 2);
    CHECK(reason.waited == milliseconds(900));
    CHECK(reason.oldestReport == milliseconds(900));
    CHECK(fleet.explain(at(1000)).rule == WaitRule::NextRound);
}

TEST_CASE("a reached limit of tasks per host is reported differently from no room")
{
    StepSpec step = Fleet::longStep();
    step.tasks = 3;
    step.maxTasksPerHost = 1;
    Fleet fleet(step);
    fleet.dispatcher.fleet.longRunningSpareMilliCores = 1e6;
    addRun(fleet.host("a"), fleet.job(), {.job = id, .index = 1}, 1);
    addRun(fleet.host("b"), fleet.job(), {.job = id, .index = 2}, 1);
    CHECK(fleet.explain(at(100)).rule == WaitRule::TasksPerHost);
}

TEST_CASE("a lack of idle processors for a batch task is reported differently from no room")
{
    StepSpec step = Fleet::longStep();
    step.longRunning = false;
    step.tailLatencyTarget = milliseconds(0);
    step.backfill = true;
    Fleet fleet(step);
    fleet.host("a").backfillMilliCores = 7000;
    fleet.host("b").backfillMilliCores = 7000;
    CHECK(fleet.explain(at(100)).rule == WaitRule::Interference);
}

// Guards against a log without the restarts of long-running tasks, which matter most, because the
// number of its lines is limited.
TEST_CASE("waiting restarts of long-running tasks are reported before first starts")
{
    Fleet fleet;
    const JobSpec other = {.id = {"older"},
                           .terms = {.queue = "q", .service = {"svc"}, .maxAttempts = 3},
                           .steps = {Fleet::longStep()}};
    addJob(fleet.dispatcher, other, emptyProgress(other), 0, false, start - milliseconds(500));
    fleet.job().steps[0].tasks[0].run = 1;
    const std::vector<WaitingStep> steps =
        waitingSteps(fleet.dispatcher.fleet, milliseconds(2000), at(3000));
    REQUIRE(steps.size() == 2);
    CHECK(steps[0].job->spec.id == id);
    CHECK(steps[0].isRestart);
    CHECK(steps[1].waited == milliseconds(3500));
    CHECK(waitingSteps(fleet.dispatcher.fleet, milliseconds(3200), at(3000)).size() == 1);
}

// Guards against steps that are never logged because others have waited longer.
TEST_CASE("the waiting step that was logged longest ago is reported first")
{
    Fleet fleet;
    const JobSpec other = {.id = {"younger"},
                           .terms = {.queue = "q", .service = {"svc"}, .maxAttempts = 3},
                           .steps = {Fleet::longStep()}};
    addJob(fleet.dispatcher, other, emptyProgress(other), 0, false, at(500));
    const auto first = [&fleet](TimePoint now) {
        return waitingSteps(fleet.dispatcher.fleet, milliseconds(2000), now)[0];
    };
    CHECK(first(at(3000)).job->spec.id == id);
    recordReasonLogged(fleet.dispatcher.fleet, first(at(3000)), at(3000));
    CHECK(first(at(4000)).job->spec.id == other.id);
    recordReasonLogged(fleet.dispatcher.fleet, first(at(4000)), at(4000));
    CHECK(first(at(5000)).job->spec.id == id);
}
