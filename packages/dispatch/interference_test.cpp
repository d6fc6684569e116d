#include "dispatch/dispatcher.h"
#include "dispatch/interference.h"
#include "dispatch/placement.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

/// Simulates the load pattern of the users' sites: serving tasks of one image, whose loads vary by
/// half with different phases, next to one backfill image that interferes with them and one that
/// is harmless.
struct TailLatencySimulation
{
    static constexpr double capacity = 32000;
    static constexpr double interferingSlope = 2.0;

    InterferenceModel model;
    ImageId serving = imageId(model, "serving");
    ImageId interfering = imageId(model, "interfering");
    ImageId harmless = imageId(model, "harmless");
    std::vector<UserPressure> tasks = std::vector<UserPressure>(5);

    /// Returns the load from a task's own users, which has a period of 20 s.
    static double loadOf(std::size_t task, double seconds)
    {
        return 0.45 + 0.2 * std::sin((seconds + 4.0 * static_cast<double>(task)) * 2 * M_PI / 20);
    }

    /// Simulates @p reports reports, one every half second, with the tail latencies of all tasks.
    void simulate(int reports)
    {
        for (int n = 0; n < reports; ++n) {
            const TimePoint now = start + n * milliseconds(500);
            const double interferingShare = n % 3 == 0 ? 0.08 : 0.0;
            const double harmlessShare = n % 2 == 0 ? 0.2 : 0.0;
            ImageUse use;
            if (interferingShare > 0) {
                addUse(use, interfering, interferingShare * capacity);
            }
            if (harmlessShare > 0) {
                addUse(use, harmless, harmlessShare * capacity);
            }
            for (std::size_t task = 0; task < tasks.size(); ++task) {
                const double pressure = loadOf(task, n / 2.0) + interferingSlope * interferingShare;
                observeTail(model, serving, tasks[task], 0.2 / (1.0 - pressure), use, capacity,
                            now);
            }
        }
    }
};

/// A host with one running serving task and one running backfill task.
struct SharedHost
{
    Dispatcher dispatcher;
    FleetHost &host;
    TaskRuntime *serving = nullptr;

    SharedHost()
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
            applyStartOutcome(dispatcher, order, StartOutcome::Started, start);
        }
    }

    /// Returns the speeds that are ordered after a report with this tail latency.
    std::vector<int> report(int tailMs, double batchLoad, Duration after)
    {
        HostReport report;
        report.active.push_back(
            {.task = {.job = {"s"}}, .run = 1, .percent = 100, .load = 1.0 * tailMs});
        report.active.push_back(
            {.task = {.job = {"b"}}, .run = 1, .percent = 50, .load = batchLoad});
        applyReport(dispatcher, {"h"}, report, start + after, true, start + after);
        std::vector<int> speeds;
        for (const PaceRun &order : plan(dispatcher, start + after).paces) {
            speeds.push_back(order.percent);
        }
        return speeds;
    }
};

} // namespace

// Guards against a model that attributes the effect of one image to another, which would exclude
// most backfill tasks from most hosts.
TEST_CASE("the model distinguishes images that interfere from images that do not")
{
    TailLatencySimulation simulation;
    simulation.simulate(120);
    CHECK(slopeOf(simulation.model, simulation.serving, simulation.interfering)
          == doctest::Approx(TailLatencySimulation::interferingSlope).epsilon(0.25));
    CHECK(slopeOf(simulation.model, simulation.serving, simulation.harmless) < 0.3);
}

// Guards against a single estimate for all tasks of an image. The load of their users peaks at
// different times.
TEST_CASE("the load from its own users is estimated separately for each serving task")
{
    TailLatencySimulation simulation;
    constexpr int reports = 121;
    simulation.simulate(reports);
    for (std::size_t task = 0; task < simulation.tasks.size(); ++task) {
        CAPTURE(task);
        CHECK(std::abs(simulation.tasks[task].estimate.value
                       - TailLatencySimulation::loadOf(task, (reports - 1) / 2.0))
              < 0.1);
    }
}

// Guards against treating reports in quick succession as independent observations.
TEST_CASE("an observation that overlaps with the last one is ignored")
{
    TailLatencySimulation simulation;
    observeTail(simulation.model, simulation.serving, simulation.tasks[0], 0.4, {},
                TailLatencySimulation::capacity, start);
    const double before = simulation.tasks[0].estimate.value;
    observeTail(simulation.model, simulation.serving, simulation.tasks[0], 2.0, {},
                TailLatencySimulation::capacity, start + milliseconds(100));
    CHECK(simulation.tasks[0].estimate.value == before);
}

// Guards against losing the model when the holder changes, so that it is learned again while
// serving tasks miss their targets.
TEST_CASE("an encoded model can be decoded into one with different image ids")
{
    TailLatencySimulation simulation;
    simulation.simulate(100);
    InterferenceModel other;
    imageId(other, "something else");
    REQUIRE(decodeModel(encodeModel(simulation.model), other));
    CHECK(
        slopeOf(other, imageId(other, "serving"), imageId(other, "interfering"))
        == doctest::Approx(slopeOf(simulation.model, simulation.serving, simulation.interfering)));
    CHECK_FALSE(decodeModel("{\"images\":[\"a\"],\"slope\":[[7,0,0,0]]}", other));
}

// Guards against pairs of images that are never placed together because nothing is known about
// them.
TEST_CASE("the assumed interference of an unknown pair allows placing the pair on one host")
{
    InterferenceModel model;
    const ImageId serving = imageId(model, "s");
    const ImageId batch = imageId(model, "b");
    CHECK(slopeOf(model, serving, batch) * 0.1 <= maxAddedPressure);
}

// Guards against interfering backfill tasks on the host of a serving task at the peak of its load,
// and against idle processors at its trough. Load pattern: loads vary by half within seconds.
TEST_CASE("an interfering batch task joins a serving task only while its load is low")
{
    SharedHost shared;
    InterferenceModel &model = shared.dispatcher.fleet.interference;
    const ImageId serving = imageId(model, "serving");
    setSlope(model, serving, imageId(model, "batch"), {.value = 1, .variance = 0});
    const auto startsAfter = [&](int tailMs, Duration after, const std::string &id) {
        shared.report(tailMs, 0, after);
        const JobSpec spec{.id = {id},
                           .terms = {.service = {"svc"}, .maxAttempts = 3},
                           .steps = {{.taskSize = {.milliCores = 3000},
                                      .estimatedRunTime = milliseconds(1000),
                                      .image = "batch",
                                      .backfill = true}}};
        addJob(shared.dispatcher, spec, emptyProgress(spec), 0, false, start + after);
        return plan(shared.dispatcher, start + after).starts.size();
    };
    CHECK(startsAfter(35, milliseconds(500), "peak") == 0);
    CHECK(startsAfter(12, milliseconds(1500), "trough") == 1);
    CHECK(findTask(shared.dispatcher.fleet, {.job = {"peak"}})->phase == TaskPhase::Starting);
}

// Guards against a serving task that exceeds its target for seconds because the model is wrong
// about the image of a backfill task, which therefore keeps running.
TEST_CASE("all batch tasks on a host are paused if a tail latency stays above its target")
{
    SharedHost shared;
    InterferenceModel &model = shared.dispatcher.fleet.interference;
    const ImageId serving = imageId(model, "serving");
    const ImageId batch = imageId(model, "batch");
    setSlope(model, serving, batch, {.value = 0, .variance = 0});
    CHECK(shared.report(60, 3000, milliseconds(700)).empty());
    CHECK(shared.report(60, 3000, milliseconds(1400)).empty());
    const std::vector<int> paused = shared.report(60, 3000, milliseconds(1600));
    CHECK(paused == std::vector<int>{0});
    // The batch task is resumed once the tail latency is low enough.
    const std::vector<int> resumed = shared.report(20, 0, milliseconds(2300));
    REQUIRE(resumed.size() == 1);
    CHECK(resumed[0] > 0);
}

// Guards against a speed that stays at 0 forever.
TEST_CASE("a paused batch task is resumed when the tail latency is low")
{
    SharedHost shared;
    shared.host.pace = 0;
    const std::vector<int> speeds = shared.report(15, 0, milliseconds(700));
    REQUIRE(speeds.size() == 1);
    CHECK(speeds[0] > 0);
}

// Guards against placing backfill tasks where they interfere with serving tasks while other hosts
// are free.
TEST_CASE("an interfering batch task is placed on the host without serving tasks")
{
    SharedHost shared;
    InterferenceModel &model = shared.dispatcher.fleet.interference;
    const ImageId serving = imageId(model, "serving");
    const ImageId interfering = imageId(model, "interfering");
    setSlope(model, serving, interfering, {.value = 3, .variance = 0.01});
    const JobSpec spec{.id = {"x"},
                       .terms = {.service = {"svc"}, .maxAttempts = 3},
                       .steps = {{.taskSize = {.milliCores = 3000},
                                  .estimatedRunTime = milliseconds(1000),
                                  .image = "interfering",
                                  .backfill = true}}};
    addJob(shared.dispatcher, spec, emptyProgress(spec), 0, false, start);
    CHECK(plan(shared.dispatcher, start).starts.empty());
    FleetHost &free = shared.dispatcher.fleet.hosts[{"free"}];
    free = shared.host;
    free.id = {"free"};
    removeAllRuns(free);
    const Orders orders = plan(shared.dispatcher, start);
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].host.value == "free");
}

// Guards against a batch job that never runs in an idle fleet because its image interferes with the
// serving tasks on every host. Load pattern: the end of a day, with serving tasks on all hosts and
// no backlog.
TEST_CASE("an interfering batch task starts after a wait if most of the fleet is idle")
{
    SharedHost shared;
    InterferenceModel &model = shared.dispatcher.fleet.interference;
    const ImageId serving = imageId(model, "serving");
    const ImageId interfering = imageId(model, "interfering");
    setSlope(model, serving, interfering, {.value = 3, .variance = 0.01});
    const JobSpec spec{.id = {"x"},
                       .terms = {.service = {"svc"}, .maxAttempts = 3},
                       .steps = {{.taskSize = {.milliCores = 3000},
                                  .estimatedRunTime = milliseconds(1000),
                                  .image = "interfering",
                                  .backfill = true}}};
    addJob(shared.dispatcher, spec, emptyProgress(spec), 0, false, start);
    CHECK(plan(shared.dispatcher, start).starts.empty());
    // Processors that other batch tasks use count as idle.
    setSlope(model, serving, imageId(model, "batch"), {.value = 0, .variance = 0});
    shared.run("other", {.taskSize = {.milliCores = 17000},
                         .estimatedRunTime = milliseconds(1000),
                         .image = "batch",
                         .backfill = true});
    CHECK(plan(shared.dispatcher, start + allowInterferenceAfter).starts.size() == 1);
}
