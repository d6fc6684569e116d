#include "dispatch/simulatedload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace acaciadeal {
namespace {

/// Share of urgent jobs that can never be done.
constexpr double hopelessShare = 0.01;
/// Run time of a task as a share of its step's mean: its spread, lowest and highest.
constexpr double runTimeSpread = 0.3;
constexpr double lowestRunTime = 0.6;
constexpr double highestRunTime = 1.8;
/// Spread of the steps' mean run times, and of their memory.
constexpr double workSpread = 0.5;
constexpr double memorySpread = 0.3;
/// Ratio, as an exponent of two, between the highest and the lowest declared run time.
constexpr double declaredRange = 1.2;
/// Tail target of serving tasks.
constexpr milliseconds tailLatencyTarget{125};
/// Share of long-running jobs that limit their tasks on one host, and the highest limit.
constexpr double limitedShare = 0.5;
constexpr int highestLimit = 3;
/// Mean load that the users of a serving task cause, its swing and the time of one.
constexpr double meanPressure = 0.45;
constexpr double pressureSwing = 0.5;
constexpr Duration swingTime = std::chrono::seconds(20);
/// Tail of an idle serving task as a share of its target.
constexpr double idleTail = 0.2;

/// Figures of one kind of job; spreads are standard deviations as shares of the mean.
struct Load
{
    const char *name = "";
    double steps = 1;
    double tasks = 6;
    double taskSpread = 0;
    double mostTasks = 1;
    double milliCores = 0;
    double milliCoresSpread = 0;
    double mostMilliCores = 0;
    double memoryMiB = 0;
    double mostMemoryMiB = 0;
    Duration work{0};
    Duration mostWork{0};
    double failShare = 0;
    int images = 1;
    QueueTerms terms;
};

const Load &loadOf(JobKind kind)
{
    static const std::array<Load, 3> loads = {
        Load{.name = "urgent",
             .steps = 1.6,
             .taskSpread = 0.8,
             .mostTasks = 36,
             .milliCores = 1000,
             .milliCoresSpread = 0.45,
             .mostMilliCores = 3100,
             .memoryMiB = 2000,
             .mostMemoryMiB = 4000,
             .work = milliseconds(640),
             .mostWork = milliseconds(1600),
             .failShare = 0.05,
             .terms = {.queue = "urgent",
                       .service = simulatedService,
                       .maxAttempts = 4,
                       .slowdownFactor = 1.5,
                       .targetLatency = milliseconds(250)}},
        Load{.name = "batch",
             .steps = 2,
             .tasks = 8,
             .taskSpread = 0.6,
             .mostTasks = 32,
             .milliCores = 1800,
             .milliCoresSpread = 0.3,
             .mostMilliCores = 3500,
             .memoryMiB = 3200,
             .mostMemoryMiB = 6400,
             .work = milliseconds(2700),
             .mostWork = milliseconds(6800),
             .failShare = 0.02,
             .images = 9,
             .terms = {.queue = "batch",
                       .service = simulatedService,
                       .priority = 2,
                       .maxAttempts = 3,
                       .slowdownFactor = 2.0,
                       .targetLatency = milliseconds(1000)}},
        Load{.name = "serving",
             .taskSpread = 0.4,
             .mostTasks = 12,
             .milliCores = 3200,
             .milliCoresSpread = 0.25,
             .mostMilliCores = 5100,
             .memoryMiB = 6400,
             .mostMemoryMiB = 13000,
             .work = milliseconds(500),
             .mostWork = milliseconds(1200),
             .failShare = 0.03,
             .images = 5,
             .terms = {.queue = "serving",
                       .service = simulatedService,
                       .maxAttempts = 4,
                       .slowdownFactor = 2.2,
                       .targetLatency = milliseconds(2500)}},
    };
    return loads[static_cast<std::size_t>(kind)];
}

/// Normally distributed around 1, and at least a tenth.
double factorAround(Random &random, double spread)
{
    const double radius = std::sqrt(-2.0 * std::log1p(-uniform(random)));
    const double normal = radius * std::cos(2.0 * std::numbers::pi * uniform(random));
    return std::max(0.1, 1.0 + spread * normal);
}

StepSpec drawStep(Random &random, JobKind kind, Duration work)
{
    const Load &load = loadOf(kind);
    const double tasks =
        std::min(load.tasks * factorAround(random, load.taskSpread), load.mostTasks);
    const double cores = std::min(load.milliCores * factorAround(random, load.milliCoresSpread),
                                  load.mostMilliCores);
    const double memory =
        std::min(load.memoryMiB * factorAround(random, memorySpread), load.mostMemoryMiB);
    const int image = static_cast<int>(uniform(random) * load.images);
    StepSpec step{.tasks = static_cast<std::uint32_t>(std::max(1.0, std::round(tasks))),
                  .taskSize = {.milliCores = std::lround(cores), .memoryMiB = std::lround(memory)},
                  .estimatedRunTime = std::chrono::duration_cast<milliseconds>(
                      work * std::exp2(declaredRange * (uniform(random) - 0.5))),
                  .longRunning = kind == JobKind::LongRunning,
                  .image = std::string(load.name) + "-" + std::to_string(image),
                  .backfill = kind == JobKind::Batch};
    if (step.longRunning) {
        step.tailLatencyTarget = tailLatencyTarget;
        if (chance(random, limitedShare)) {
            step.maxTasksPerHost = 1 + static_cast<std::uint32_t>(uniform(random) * highestLimit);
        }
    }
    return step;
}

} // namespace

double uniform(Random &random)
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

bool chance(Random &random, double probability)
{
    return uniform(random) < probability;
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

Duration exponential(Random &random, Duration mean)
{
    return scaled(mean, -std::log1p(-uniform(random)));
}

SimulatedJob drawJob(Random &random, JobKind kind, int number)
{
    const Load &load = loadOf(kind);
    SimulatedJob job{.kind = kind};
    job.hopeless = kind == JobKind::Urgent && chance(random, hopelessShare);
    job.spec.id = {load.name + std::to_string(number)};
    job.spec.terms = load.terms;
    const bool oneMore = chance(random, load.steps - std::floor(load.steps));
    const auto steps = static_cast<std::uint32_t>(load.steps) + (oneMore ? 1 : 0);
    for (std::uint32_t n = 0; n < steps; ++n) {
        job.work.push_back(
            std::min(scaled(load.work, factorAround(random, workSpread)), load.mostWork));
        StepSpec step = drawStep(random, kind, job.work.back());
        if (n > 0) {
            step.dependsOn = {n - 1};
        }
        job.spec.steps.push_back(std::move(step));
    }
    return job;
}

Duration drawRunTime(Random &random, const SimulatedJob &job, std::uint32_t step)
{
    const double factor = factorAround(random, runTimeSpread);
    return scaled(job.work[step], std::clamp(factor, lowestRunTime, highestRunTime));
}

double failShareOf(JobKind kind)
{
    return loadOf(kind).failShare;
}

double tailOf(const StepSpec &step, Duration age)
{
    const double turns = std::chrono::duration<double>(age) / swingTime;
    const double pressure =
        meanPressure * (1.0 + pressureSwing * std::sin(2.0 * std::numbers::pi * turns));
    return static_cast<double>(step.tailLatencyTarget.count()) * idleTail / (1.0 - pressure);
}

} // namespace acaciadeal
