#include "dispatch/dispatcher.h"
#include "dispatch/interference.h"
#include "dispatch/placement.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

/// Replays the load that was seen on the users' days: serving tasks of one image whose loads swing
/// by half with phases of their own, beside one batch image that disturbs it and one that does not.
struct Replay
{
    static constexpr double capacity = 32000;
    static constexpr double heavySlope = 2.0;

    InterferenceModel model;
    ImageId serving = imageId(model, "serving");
    ImageId heavy = imageId(model, "heavy");
    ImageId light = imageId(model, "light");
    std::vector<OwnPressure> tasks = std::vector<OwnPressure>(5);

    /// Load of a task's own users, with the users' period of 20 s.
    static double loadOf(std::size_t task, double seconds)
    {
        return 0.45 + 0.2 * std::sin((seconds + 4.0 * static_cast<double>(task)) * 2 * M_PI / 20);
    }

    /// Plays reports every half second, each with the tails of all tasks.
    void play(int reports)
    {
        for (int n = 0; n < reports; ++n) {
            const TimePoint now = start + n * milliseconds(500);
            const double heavyShare = n % 3 == 0 ? 0.08 : 0.0;
            const double lightShare = n % 2 == 0 ? 0.2 : 0.0;
            ImageUse use;
            if (heavyShare > 0) {
                addUse(use, heavy, heavyShare * capacity);
            }
            if (lightShare > 0) {
                addUse(use, light, lightShare * capacity);
            }
            for (std::size_t task = 0; task < tasks.size(); ++task) {
                const double pressure = loadOf(task, n / 2.0) + heavySlope * heavyShare;
                observeTail(model, serving, tasks[task], 0.2 / (1.0 - pressure), use, capacity,
                            now);
            }
        }
    }
};

/// A host with one serving and one batch task, both running.
struct Crowded
{
    Dispatcher dispatcher;
    FleetHost &host;
    TaskRuntime *serving = nullptr;

    Crowded()
        : host(dispatcher.fleet.hosts[{"h"}])
    {
        host.id = {"h"};
        host.service = {"svc"};
        host.capacity = {.milliCores = 32000, .memoryMiB = 64000};
        host.listed = true;
        host.reachable = true;
        host.reported = true;
        run("s", {.taskSize = {.milliCores = 6000},
                  .longRunning = true,
                  .image = "serving",
                  .tailLatencyTarget = milliseconds(50)});
        run("b", {.taskSize = {.milliCores = 3000},
                  .estimatedRunTime = milliseconds(1000),
                  .image = "batch",
                  .backfill = true});
        serving = findTask(dispatcher.fleet, {.job = {"s"}});
    }

    void run(const std::string &id, const StepSpec &step)
    {
        JobSpec job{.id = {id}, .terms = {.service = {"svc"}, .maxAttempts = 3}, .steps = {step}};
        JobProgress empty = emptyProgress(job);
        addJob(dispatcher, std::move(job), std::move(empty), 0, false, start);
        for (const StartRun &order : plan(dispatcher, start).starts) {
            takeStartOutcome(dispatcher, order, StartOutcome::Started, start);
        }
    }

    /// Returns the speeds that were ordered after a report with this tail.
    std::vector<int> report(int tailMs, double batchLoad, Duration after)
    {
        HostReport report;
        report.active.push_back(
            {.task = {.job = {"s"}}, .run = 1, .percent = 100, .load = 1.0 * tailMs});
        report.active.push_back(
            {.task = {.job = {"b"}}, .run = 1, .percent = 50, .load = batchLoad});
        takeReport(dispatcher, {"h"}, report, start + after, true, start + after);
        std::vector<int> speeds;
        for (const PaceRun &order : plan(dispatcher, start + after).paces) {
            speeds.push_back(order.percent);
        }
        return speeds;
    }
};

} // namespace

// Guards against a model that blames an image for what another one does, which would keep most
// batch tasks from most hosts.
TEST_CASE("the model tells disturbing images from harmless ones")
{
    Replay replay;
    replay.play(120);
    CHECK(slopeOf(replay.model, replay.serving, replay.heavy)
          == doctest::Approx(Replay::heavySlope).epsilon(0.25));
    CHECK(slopeOf(replay.model, replay.serving, replay.light) < 0.3);
}

// Guards against one level for all tasks of an image: their users come and go at different times.
TEST_CASE("the load of each serving task's own users is followed")
{
    Replay replay;
    constexpr int reports = 121;
    replay.play(reports);
    for (std::size_t task = 0; task < replay.tasks.size(); ++task) {
        CAPTURE(task);
        CHECK(
            std::abs(replay.tasks[task].estimate.value - Replay::loadOf(task, (reports - 1) / 2.0))
            < 0.1);
    }
}

// Guards against reports that follow each other closely being taken for independent readings.
TEST_CASE("a report that overlaps with the last observation is passed over")
{
    Replay replay;
    observeTail(replay.model, replay.serving, replay.tasks[0], 0.4, {}, Replay::capacity, start);
    const double before = replay.tasks[0].estimate.value;
    observeTail(replay.model, replay.serving, replay.tasks[0], 2.0, {}, Replay::capacity,
                start + milliseconds(100));
    CHECK(replay.tasks[0].estimate.value == before);
}

// Guards against a takeover after which everything has to be learned again at the cost of users.
TEST_CASE("a model survives its text form under other short names")
{
    Replay replay;
    replay.play(100);
    InterferenceModel other;
    imageId(other, "something else");
    REQUIRE(decodeModel(encodeModel(replay.model), other));
    CHECK(slopeOf(other, imageId(other, "serving"), imageId(other, "heavy"))
          == doctest::Approx(slopeOf(replay.model, replay.serving, replay.heavy)));
    CHECK_FALSE(decodeModel("{\"images\":[\"a\"],\"slope\":[[7,0,0,0]]}", other));
}

// Guards against pairs that are never tried because nothing is known of them.
TEST_CASE("an unknown pair is assumed to disturb little enough to be tried")
{
    InterferenceModel model;
    const ImageId serving = imageId(model, "s");
    const ImageId batch = imageId(model, "b");
    CHECK(slopeOf(model, serving, batch) * 0.1 <= maxDisturbance);
}

// Guards against batch tasks beside a serving task at the peak of its load, and against hosts that
// stay empty at its trough. Load pattern: loads swing by half within seconds.
TEST_CASE("the load of a serving task decides whether a disturbing batch task may join it")
{
    Crowded crowded;
    InterferenceModel &model = crowded.dispatcher.fleet.interference;
    const ImageId serving = imageId(model, "serving");
    setSlope(model, serving, imageId(model, "batch"), {.value = 1, .variance = 0});
    const auto startsAfter = [&](int tailMs, Duration after, const std::string &id) {
        crowded.report(tailMs, 0, after);
        const JobSpec spec{.id = {id},
                           .terms = {.service = {"svc"}, .maxAttempts = 3},
                           .steps = {{.taskSize = {.milliCores = 3000},
                                      .estimatedRunTime = milliseconds(1000),
                                      .image = "batch",
                                      .backfill = true}}};
        addJob(crowded.dispatcher, spec, emptyProgress(spec), 0, false, start + after);
        return plan(crowded.dispatcher, start + after).starts.size();
    };
    CHECK(startsAfter(35, milliseconds(500), "peak") == 0);
    CHECK(startsAfter(12, milliseconds(1500), "trough") == 1);
    CHECK(findTask(crowded.dispatcher.fleet, {.job = {"peak"}})->phase == TaskPhase::Starting);
}

// Guards against harm: a serving task over its target for seconds while a batch task of an image
// that the model holds harmless works on beside it.
TEST_CASE("a tail that stays over its target pauses every batch task beside it")
{
    Crowded crowded;
    InterferenceModel &model = crowded.dispatcher.fleet.interference;
    const ImageId serving = imageId(model, "serving");
    const ImageId batch = imageId(model, "batch");
    setSlope(model, serving, batch, {.value = 0, .variance = 0});
    CHECK(crowded.report(60, 3000, milliseconds(700)).empty());
    CHECK(crowded.report(60, 3000, milliseconds(1400)).empty());
    const std::vector<int> paused = crowded.report(60, 3000, milliseconds(1600));
    CHECK(paused == std::vector<int>{0});
    // It goes on once the tail has room again.
    const std::vector<int> resumed = crowded.report(20, 0, milliseconds(2300));
    REQUIRE(resumed.size() == 1);
    CHECK(resumed[0] > 0);
}

// Guards against a speed that never rises again from 0.
TEST_CASE("a batch task that stands still speeds up when the tail is low")
{
    Crowded crowded;
    crowded.host.pace = 0;
    const std::vector<int> speeds = crowded.report(15, 0, milliseconds(700));
    REQUIRE(speeds.size() == 1);
    CHECK(speeds[0] > 0);
}

// Guards against batch tasks beside serving tasks that they disturb while other hosts are free.
TEST_CASE("a disturbing batch task goes to the host without serving tasks")
{
    Crowded crowded;
    InterferenceModel &model = crowded.dispatcher.fleet.interference;
    const ImageId serving = imageId(model, "serving");
    const ImageId heavy = imageId(model, "heavy");
    setSlope(model, serving, heavy, {.value = 3, .variance = 0.01});
    const JobSpec spec{.id = {"x"},
                       .terms = {.service = {"svc"}, .maxAttempts = 3},
                       .steps = {{.taskSize = {.milliCores = 3000},
                                  .estimatedRunTime = milliseconds(1000),
                                  .image = "heavy",
                                  .backfill = true}}};
    addJob(crowded.dispatcher, spec, emptyProgress(spec), 0, false, start);
    CHECK(plan(crowded.dispatcher, start).starts.empty());
    FleetHost &free = crowded.dispatcher.fleet.hosts[{"free"}];
    free = crowded.host;
    free.id = {"free"};
    vacateAll(free);
    const Orders orders = plan(crowded.dispatcher, start);
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].host.value == "free");
}

// Guards against a batch job that never runs in an idle fleet because its image disturbs what
// serves on every host. Load pattern: the end of a day, serving tasks on all hosts and no backlog.
TEST_CASE("a disturbing batch task that has waited starts if most of the fleet is idle")
{
    Crowded crowded;
    InterferenceModel &model = crowded.dispatcher.fleet.interference;
    const ImageId serving = imageId(model, "serving");
    const ImageId heavy = imageId(model, "heavy");
    setSlope(model, serving, heavy, {.value = 3, .variance = 0.01});
    const JobSpec spec{.id = {"x"},
                       .terms = {.service = {"svc"}, .maxAttempts = 3},
                       .steps = {{.taskSize = {.milliCores = 3000},
                                  .estimatedRunTime = milliseconds(1000),
                                  .image = "heavy",
                                  .backfill = true}}};
    addJob(crowded.dispatcher, spec, emptyProgress(spec), 0, false, start);
    CHECK(plan(crowded.dispatcher, start).starts.empty());
    // What other batch tasks use counts as idle.
    setSlope(model, serving, imageId(model, "batch"), {.value = 0, .variance = 0});
    crowded.run("other", {.taskSize = {.milliCores = 17000},
                          .estimatedRunTime = milliseconds(1000),
                          .image = "batch",
                          .backfill = true});
    CHECK(plan(crowded.dispatcher, start + disturbAfter).starts.size() == 1);
}
