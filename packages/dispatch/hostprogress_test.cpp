#include "dispatch/hostprogress.h"

#include "dispatch/testfixtures.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

/// Runs short jobs on ten hosts, some of which may be slower. Hosts report every half second.
struct SlowHostSimulation
{
    static constexpr int hosts = 10;
    static constexpr Duration runTime = milliseconds(600);

    Dispatcher dispatcher;
    std::map<HostId, double> runTimeFactors;
    std::map<HostId, std::uint64_t> ends;
    std::map<TaskKey, TimePoint> startedAt;
    std::map<HostId, int> startsOn;
    std::set<TaskKey> stopped;

    SlowHostSimulation()
    {
        for (int n = 0; n < hosts; ++n) {
            const FleetHost host = fixtureHost("h" + std::to_string(n), 16000);
            dispatcher.fleet.hosts[host.id] = host;
            runTimeFactors[host.id] = 1;
        }
    }

    void submit(const std::string &id, milliseconds declared, TimePoint now)
    {
        const JobSpec spec{.id = {id},
                           .terms = {.service = {"svc"},
                                     .maxAttempts = 3,
                                     .slowdownFactor = 1.5,
                                     .targetLatency = milliseconds(250)},
                           .steps = {{.tasks = 12,
                                      .taskSize = {.milliCores = 1500, .memoryMiB = 1000},
                                      .estimatedRunTime = declared,
                                      .maxTasksPerHost = 2}}};
        addJob(dispatcher, spec, emptyProgress(spec), 0, false, now);
    }

    void planAt(TimePoint now)
    {
        const Orders orders = plan(dispatcher, now);
        for (const StartRun &order : orders.starts) {
            applyStartOutcome(dispatcher, order, StartOutcome::Started, now);
            startedAt[order.task] = now;
            ++startsOn[order.host];
        }
        for (const StopRun &order : orders.stops) {
            stopped.insert(order.task);
        }
    }

    void reportAll(TimePoint now)
    {
        for (auto &[id, runTimeFactor] : runTimeFactors) {
            HostReport report;
            for (const auto &[key, run] : dispatcher.fleet.hosts[id].runs) {
                const double done = std::chrono::duration<double>(now - startedAt[key]).count()
                                    / std::chrono::duration<double>(runTime).count()
                                    / runTimeFactor;
                if (stopped.erase(key) > 0) {
                    report.ended.push_back(
                        {.number = ++ends[id], .task = key, .run = run, .end = RunEnd::Stopped});
                } else if (done >= 1) {
                    report.ended.push_back(
                        {.number = ++ends[id], .task = key, .run = run, .end = RunEnd::Done});
                } else {
                    report.active.push_back({.task = key,
                                             .run = run,
                                             .percent = static_cast<int>(done * 100),
                                             .load = 1500});
                }
            }
            applyReport(dispatcher, id, report, now, true, now);
        }
        planAt(now);
    }

    /// Simulates @p seconds with two new jobs a second. Returns the number of completed jobs.
    int simulate(int seconds, milliseconds declared = milliseconds(600))
    {
        for (int n = 0; n < seconds * 2; ++n) {
            const TimePoint now = start + n * milliseconds(500);
            submit("j" + std::to_string(n), declared, now);
            reportAll(now);
        }
        int completed = 0;
        for (const auto &[id, job] : dispatcher.fleet.jobs) {
            completed += job->progress.outcome == JobState::Completed ? 1 : 0;
        }
        return completed;
    }
};

} // namespace

// Guards against tasks that stay on a host without progress. Load pattern: a tenth of the hosts
// makes no progress for seconds but still reports.
TEST_CASE("tasks are moved off a host that makes no progress")
{
    SlowHostSimulation simulation;
    simulation.runTimeFactors[{"h3"}] = 1e6;
    const int completed = simulation.simulate(8);
    // All jobs except those of the last two seconds.
    CHECK(completed >= 12);
    CHECK(simulation.startsOn[{"h3"}] < simulation.startsOn[{"h4"}] / 2);
}

// Guards against jobs that end late because one of their tasks runs on a slow host.
TEST_CASE("tasks are moved off a host that runs eight times slower")
{
    SlowHostSimulation simulation;
    simulation.runTimeFactors[{"h3"}] = 8;
    simulation.simulate(8);
    CHECK(simulation.startsOn[{"h3"}] < simulation.startsOn[{"h4"}] / 2);
}

// Guards against avoiding healthy hosts, and stopping their runs, because jobs declare run times
// that are far too short.
TEST_CASE("no host is avoided because of declared run times that are too short")
{
    SlowHostSimulation simulation;
    simulation.simulate(8, milliseconds(150));
    for (const auto &[id, host] : simulation.dispatcher.fleet.hosts) {
        CHECK(host.avoidUntil == TimePoint{});
    }
}

// Guards against taking a host for slow because its backfill tasks were slowed down on purpose.
TEST_CASE("a run that was slowed down or adopted never counts as lagging")
{
    const StepSpec spec{.estimatedRunTime = milliseconds(500)};
    TaskRuntime task{.phase = TaskPhase::Running, .phaseSince = start, .startedFromScratch = true};
    CHECK(isLagging(spec, {}, task, start + std::chrono::seconds(4)));
    task.wasPaced = true;
    CHECK_FALSE(isLagging(spec, {}, task, start + std::chrono::seconds(4)));
    task.wasPaced = false;
    task.startedFromScratch = false;
    CHECK_FALSE(isLagging(spec, {}, task, start + std::chrono::seconds(4)));
}
