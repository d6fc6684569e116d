#include "dispatch/hostprogress.h"

#include "dispatch/testfixtures.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

/// Replays short jobs over ten hosts, of which some run slower. Reports follow every half second.
struct Replay
{
    static constexpr int hosts = 10;
    static constexpr Duration runTime = milliseconds(600);

    Dispatcher dispatcher;
    std::map<HostId, double> slowness;
    std::map<HostId, std::uint64_t> ends;
    std::map<TaskKey, TimePoint> startedAt;
    std::map<HostId, int> startsOn;
    std::set<TaskKey> stopped;

    Replay()
    {
        for (int n = 0; n < hosts; ++n) {
            const FleetHost host = fixtureHost("h" + std::to_string(n), 16000);
            dispatcher.fleet.hosts[host.id] = host;
            slowness[host.id] = 1;
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
        for (auto &[id, slow] : slowness) {
            HostReport report;
            for (const auto &[key, run] : dispatcher.fleet.hosts[id].runs) {
                const double done = std::chrono::duration<double>(now - startedAt[key]).count()
                                    / std::chrono::duration<double>(runTime).count() / slow;
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

    /// Plays @p seconds of two jobs a second; returns how many have completed by then.
    int play(int seconds, milliseconds declared = milliseconds(600))
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

// Guards against tasks that wait on a host where everything stands still. Load pattern: a tenth of
// the hosts stands still for seconds and answers reports all the same.
TEST_CASE("work leaves a host on which everything stands still")
{
    Replay replay;
    replay.slowness[{"h3"}] = 1e6;
    const int completed = replay.play(8);
    // All but the jobs of the last two seconds.
    CHECK(completed >= 12);
    CHECK(replay.startsOn[{"h3"}] < replay.startsOn[{"h4"}] / 2);
}

// Guards against jobs that end late because one of their tasks runs on a slow host.
TEST_CASE("work leaves a host that runs eight times slower")
{
    Replay replay;
    replay.slowness[{"h3"}] = 8;
    replay.play(8);
    CHECK(replay.startsOn[{"h3"}] < replay.startsOn[{"h4"}] / 2);
}

// Guards against healthy hosts being avoided, and work thrown away, because jobs declare run times
// that are far too short.
TEST_CASE("wrongly declared run times speak against no host")
{
    Replay replay;
    replay.play(8, milliseconds(150));
    for (const auto &[id, host] : replay.dispatcher.fleet.hosts) {
        CHECK(host.avoidUntil == TimePoint{});
    }
}

// Guards against a slowed batch task being taken for a slow host.
TEST_CASE("a task that was paced or adopted is not judged")
{
    const StepSpec spec{.estimatedRunTime = milliseconds(500)};
    TaskRuntime task{.phase = TaskPhase::Running, .since = start, .startedFromScratch = true};
    CHECK(isLagging(spec, {}, task, start + std::chrono::seconds(4)));
    task.wasPaced = true;
    CHECK_FALSE(isLagging(spec, {}, task, start + std::chrono::seconds(4)));
    task.wasPaced = false;
    task.startedFromScratch = false;
    CHECK_FALSE(isLagging(spec, {}, task, start + std::chrono::seconds(4)));
}
