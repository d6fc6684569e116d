#include "dispatch/dispatcher.h"
#include "dispatch/testfixtures.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));
/// The requirement allows a task to wait this long while there is room for two such tasks.
constexpr Duration maxAcceptedWait = std::chrono::seconds(3);

TimePoint at(int ms)
{
    return start + milliseconds(ms);
}

StepSpec shortStep()
{
    return {.tasks = 1,
            .taskSize = {.milliCores = 1000, .memoryMiB = 1000},
            .estimatedRunTime = milliseconds(600)};
}

StepSpec longStep()
{
    return {.tasks = 1,
            .taskSize = {.milliCores = 3000, .memoryMiB = 1000},
            .longRunning = true,
            .tailLatencyTarget = milliseconds(100)};
}

/// Hosts with 8 processors. They report the runs that the dispatcher expects, and the run ends
/// passed to end().
struct Fleet
{
    Dispatcher dispatcher;
    std::map<HostId, std::uint64_t> ends;

    explicit Fleet(int hosts)
    {
        for (int n = 0; n < hosts; ++n) {
            const std::string id = "h" + std::to_string(n);
            dispatcher.fleet.hosts[{id}] = fixtureHost(id, 8000);
        }
    }

    void submit(const std::string &id, const StepSpec &step, TimePoint now)
    {
        const JobSpec spec = fixtureJob(id, {step});
        addJob(dispatcher, spec, emptyProgress(spec), 0, false, now);
    }

    /// Runs a scheduling round and confirms all starts.
    std::vector<StartRun> planAt(TimePoint now)
    {
        std::vector<StartRun> starts = plan(dispatcher, now).starts;
        for (const StartRun &order : starts) {
            applyStartOutcome(dispatcher, order, StartOutcome::Started, now);
        }
        return starts;
    }

    void end(const StartRun &order, RunEnd how, TimePoint now)
    {
        HostReport report;
        report.ended.push_back(
            {.number = ++ends[order.host], .task = order.task, .run = order.run, .end = how});
        for (const auto &[task, run] : dispatcher.fleet.hosts.at(order.host).runs) {
            if (task != order.task) {
                report.active.push_back({.task = task, .run = run, .percent = 100});
            }
        }
        applyReport(dispatcher, order.host, report, now, true, now);
    }

    /// Lets runs of @p jobs jobs fail on host @p id, so that it becomes avoided.
    void failRunsOn(const HostId &id, int jobs, TimePoint now)
    {
        for (auto &[other, host] : dispatcher.fleet.hosts) {
            host.reachable = other == id;
        }
        for (int n = 0; n < jobs; ++n) {
            submit(id.value + "-fails" + std::to_string(n), shortStep(), now);
        }
        for (const StartRun &order : planAt(now)) {
            end(order, RunEnd::Failed, now);
            cancelJob(dispatcher, order.task.job, now);
        }
        for (auto &[other, host] : dispatcher.fleet.hosts) {
            host.reachable = true;
        }
        REQUIRE(dispatcher.fleet.hosts.at(id).avoidUntil > now);
    }

    void removeHost(const std::string &id, TimePoint now)
    {
        declareRunsLost(dispatcher, {id}, "test", now);
        dispatcher.fleet.hosts.erase({id});
    }
};

/// Returns when a task of job @p id starts, with a scheduling round every 50 ms from @p from.
/// Returns nothing if it has not started after @p maxWait.
std::optional<TimePoint> startOf(const std::string &id, Fleet &fleet, TimePoint from,
                                 Duration maxWait)
{
    for (TimePoint now = from; now <= from + maxWait; now += milliseconds(50)) {
        for (const StartRun &order : fleet.planAt(now)) {
            if (order.task.job.value == id) {
                return now;
            }
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against a long downtime of a long-running task while the only hosts with room are avoided.
TEST_CASE("a long-running task that lost its host restarts on an avoided host if no other has room")
{
    Fleet fleet(2);
    fleet.submit("long", longStep(), at(0));
    REQUIRE(fleet.planAt(at(0)).size() == 1);
    const HostId first = findTask(fleet.dispatcher.fleet, {.job = {"long"}})->host;
    const HostId other = {first.value == "h0" ? "h1" : "h0"};
    fleet.failRunsOn(other, 5, at(9900));
    fleet.removeHost(first.value, at(10000));
    const auto started = startOf("long", fleet, at(10000), std::chrono::seconds(10));
    REQUIRE(started);
    CHECK(*started - at(10000) < maxAcceptedWait);
}

// Guards against a task that may use an avoided host but is blocked by another task of its step
// that may not use it yet.
TEST_CASE("a long-running task starts although a task with a shorter wait finds no host")
{
    Fleet fleet(1);
    fleet.failRunsOn({"h0"}, 5, at(0));
    StepSpec step = longStep();
    step.tasks = 2;
    fleet.submit("long", step, at(0));
    TaskRuntime *const young = findTask(fleet.dispatcher.fleet, {.job = {"long"}});
    REQUIRE(young != nullptr);
    young->downSince = at(1400);
    const std::vector<StartRun> starts = fleet.planAt(at(1500));
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.index == 1);
}

// Guards against a job that waits in an idle fleet because the few hosts with its label are
// avoided.
TEST_CASE("a short task may start on an avoided host in an idle fleet")
{
    Fleet fleet(4);
    fleet.dispatcher.fleet.hosts.at({"h0"}).labels = {"scanner"};
    fleet.failRunsOn({"h0"}, 5, at(0));
    StepSpec step = shortStep();
    step.requiredLabel = "scanner";
    fleet.submit("labelled", step, at(0));
    const auto started = startOf("labelled", fleet, at(0), std::chrono::seconds(10));
    REQUIRE(started);
    CHECK(*started - at(0) < maxAcceptedWait);
}

// Guards against jobs that use up their attempts on a host where every run fails, in a full fleet.
TEST_CASE("a short task does not start on an avoided host in a full fleet")
{
    Fleet fleet(2);
    fleet.failRunsOn({"h0"}, 5, at(0));
    StepSpec filling = shortStep();
    filling.tasks = 8;
    fleet.submit("filling", filling, at(0));
    REQUIRE(fleet.planAt(at(0)).size() == 8);
    fleet.dispatcher.fleet.hosts.at({"h0"}).committed = {.milliCores = 3000};
    fleet.submit("next", shortStep(), at(0));
    CHECK(fleet.planAt(at(3000)).empty());
}

// Guards against avoiding healthy hosts because several consecutive runs failed through faults of
// the tasks.
TEST_CASE("no host is avoided at the usual failure rate of runs on healthy hosts")
{
    constexpr int hosts = 48;
    constexpr double failureShare = 0.05;
    constexpr int rounds = 100;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        std::bernoulli_distribution fails(failureShare);
        Fleet fleet(hosts);
        for (int round = 0; round < rounds; ++round) {
            const TimePoint now = at(500 * round);
            for (int n = 0; n < hosts; ++n) {
                fleet.submit(std::to_string(round) + "-" + std::to_string(n), shortStep(), now);
            }
            for (const StartRun &order : fleet.planAt(now)) {
                fleet.end(order, fails(random) ? RunEnd::Failed : RunEnd::Done,
                          now + milliseconds(400));
            }
        }
        int avoided = 0;
        for (const DispatchEvent &event : fleet.dispatcher.events) {
            avoided += event.kind == DispatchEvent::Kind::HostAvoided ? 1 : 0;
        }
        CHECK(avoided == 0);
    }
}

// Guards against avoiding a host because of a job whose tasks fail on every host.
TEST_CASE("a host is not avoided for the failures of one job")
{
    Fleet fleet(1);
    StepSpec step = shortStep();
    step.tasks = 8;
    fleet.submit("failing", step, at(0));
    for (const StartRun &order : fleet.planAt(at(0))) {
        fleet.end(order, RunEnd::Failed, at(100));
    }
    CHECK(fleet.dispatcher.fleet.hosts.at({"h0"}).avoidUntil <= at(100));
}

TEST_CASE("a host on which runs of several jobs fail is avoided")
{
    Fleet fleet(1);
    fleet.failRunsOn({"h0"}, 4, at(0));
    fleet.submit("next", shortStep(), at(100));
    CHECK(fleet.planAt(at(100)).empty());
}

// Guards against a failing host that is not avoided because some of its failures belong to a job
// that fails on every host.
TEST_CASE("a repeated failure of a task does not reset the failure count of a host")
{
    Fleet fleet(1);
    StepSpec step = shortStep();
    fleet.submit("failing", step, at(0));
    fleet.submit("failing too", step, at(0));
    for (const StartRun &order : fleet.planAt(at(0))) {
        fleet.end(order, RunEnd::Failed, at(0));
    }
    fleet.submit("third", step, at(2100));
    fleet.submit("fourth", step, at(2100));
    std::vector<StartRun> starts = fleet.planAt(at(2100));
    REQUIRE(starts.size() == 4);
    for (const char *const name : {"failing", "third", "failing too", "fourth"}) {
        const auto it = std::find_if(starts.begin(), starts.end(), [name](const StartRun &order) {
            return order.task.job.value == name;
        });
        REQUIRE(it != starts.end());
        fleet.end(*it, RunEnd::Failed, at(2200));
    }
    CHECK(fleet.dispatcher.fleet.hosts.at({"h0"}).avoidUntil > at(2200));
}

// Guards against sending starts repeatedly to an unhealthy host that refuses them.
TEST_CASE("a host that refuses starts of one job is avoided")
{
    Fleet fleet(1);
    StepSpec step = shortStep();
    step.tasks = 2;
    fleet.submit("j", step, at(0));
    for (const StartRun &order : plan(fleet.dispatcher, at(0)).starts) {
        applyStartOutcome(fleet.dispatcher, order, StartOutcome::Unhealthy, at(10));
    }
    CHECK(fleet.dispatcher.fleet.hosts.at({"h0"}).avoidUntil > at(10));
}

// Guards against a task that waits forever because it failed on the only host on which it can run.
TEST_CASE("a task starts again on the only suitable host after it failed there")
{
    Fleet fleet(2);
    fleet.dispatcher.fleet.hosts.at({"h0"}).labels = {"scanner"};
    StepSpec step = shortStep();
    step.requiredLabel = "scanner";
    fleet.submit("labelled", step, at(0));
    const std::vector<StartRun> starts = fleet.planAt(at(0));
    REQUIRE(starts.size() == 1);
    fleet.end(starts[0], RunEnd::Failed, at(100));
    fleet.dispatcher.fleet.hosts.at({"h1"}).committed = {.milliCores = 8000};
    fleet.dispatcher.fleet.hosts.at({"h0"}).committed = {.milliCores = 4000};
    CHECK(fleet.planAt(at(3000)).empty());
    CHECK(fleet.planAt(at(4200)).size() == 1);
}

// Guards against long-running tasks that start and fail on a failing host without a delay.
TEST_CASE("a host on which every run fails gets starts only once a second while it is avoided")
{
    Fleet fleet(1);
    fleet.failRunsOn({"h0"}, 5, at(0));
    StepSpec step = longStep();
    step.tasks = 30;
    fleet.submit("long", step, at(0));
    std::size_t starts = 0;
    for (int ms = 0; ms < 5000; ms += 100) {
        for (const StartRun &order : fleet.planAt(at(ms))) {
            ++starts;
            fleet.end(order, RunEnd::Failed, at(ms + 50));
        }
    }
    constexpr std::size_t places = 2;
    CHECK(starts > 0);
    CHECK(starts <= places * 5);
}

// Guards against the failure of a job with many tasks when the only host with room fails every run.
// The host is not avoided because of the failures of a single job.
TEST_CASE("a job does not use up its attempts on one host where every run fails")
{
    Fleet fleet(2);
    StepSpec filling = shortStep();
    filling.tasks = 8;
    fleet.submit("filling", filling, at(0));
    REQUIRE(fleet.planAt(at(0)).size() == 8);
    const HostId healthy = findTask(fleet.dispatcher.fleet, {.job = {"filling"}})->host;
    for (auto &[id, host] : fleet.dispatcher.fleet.hosts) {
        host.committed = id == healthy ? host.capacity : Resources{};
    }
    StepSpec wide = shortStep();
    wide.tasks = 8;
    fleet.submit("wide", wide, at(100));
    for (int ms = 100; ms < 2000; ms += 100) {
        for (const StartRun &order : fleet.planAt(at(ms))) {
            REQUIRE(order.host != healthy);
            fleet.end(order, RunEnd::Failed, at(ms + 50));
        }
    }
    const JobRuntime *const job = findJob(fleet.dispatcher.fleet, {"wide"});
    REQUIRE(job != nullptr);
    CHECK(stateOf(*job) != JobState::Failed);
}
