#include "dispatch/simulatedload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace acaciadeal {
namespace {

/// Share of urgent jobs that can never be completed, because the first task always fails.
constexpr double alwaysFailingShare = 0.01;
/// Run time of a task relative to its step's mean: standard deviation, minimum and maximum.
constexpr double runTimeSpread = 0.3;
constexpr double minRunTimeFactor = 0.6;
constexpr double maxRunTimeFactor = 1.8;
/// Standard deviations of the steps' mean run times and of their memory, as shares of the mean.
constexpr double meanRunTimeSpread = 0.5;
constexpr double memorySpread = 0.3;
/// Binary logarithm of the ratio between the highest and the lowest declared run time.
constexpr double declaredRunTimeExponentRange = 1.2;
/// Tail latency target of serving tasks.
constexpr milliseconds tailLatencyTarget{125};
/// Share of long-running jobs that limit their tasks per host, and the highest limit.
constexpr double tasksPerHostLimitShare = 0.5;
constexpr int maxTasksPerHostLimit = 3;
/// Pressure on a serving task from its users: mean, amplitude as a share of the mean, and period.
constexpr double meanPressure = 0.45;
constexpr double pressureAmplitude = 0.5;
constexpr Duration pressurePeriod = std::chrono::seconds(20);
/// Tail latency of an idle serving task as a share of its target.
constexpr double idleTailShare = 0.2;

/// Parameters of one kind of job. `steps`, `tasks`, `milliCores`, `memoryMiB` and `meanRunTime` are
/// means, spreads are standard deviations as shares of the mean, and fields that start with `max`
/// limit the drawn values.
struct LoadProfile
{
    const char *name = "";
    double steps = 1;
    double tasks = 6;
    double taskSpread = 0;
    double maxTasks = 1;
    double milliCores = 0;
    double milliCoresSpread = 0;
    double maxMilliCores = 0;
    double memoryMiB = 0;
    double maxMemoryMiB = 0;
    Duration meanRunTime{0};
    Duration maxMeanRunTime{0};
    double failShare = 0;
    int images = 1;
    QueueTerms terms;
};

const LoadProfile &profileOf(JobKind kind)
{
    static const std::array<LoadProfile, 3> profiles = {
        LoadProfile{.name = "urgent",
                    .steps = 1.6,
                    .taskSpread = 0.8,
                    .maxTasks = 36,
                    .milliCores = 1000,
                    .milliCoresSpread = 0.45,
                    .maxMilliCores = 3100,
                    .memoryMiB = 2000,
                    .maxMemoryMiB = 4000,
                    .meanRunTime = milliseconds(640),
                    .maxMeanRunTime = milliseconds(1600),
                    .failShare = 0.05,
                    .terms = {.queue = "urgent",
                              .service = simulatedService,
                              .maxAttempts = 4,
                              .slowdownFactor = 1.5,
                              .targetLatency = milliseconds(250)}},
        LoadProfile{.name = "batch",
                    .steps = 2,
                    .tasks = 8,
                    .taskSpread = 0.6,
                    .maxTasks = 32,
                    .milliCores = 1800,
                    .milliCoresSpread = 0.3,
                    .maxMilliCores = 3500,
                    .memoryMiB = 3200,
                    .maxMemoryMiB = 6400,
                    .meanRunTime = milliseconds(2700),
                    .maxMeanRunTime = milliseconds(6800),
                    .failShare = 0.02,
                    .images = 9,
                    .terms = {.queue = "batch",
                              .service = simulatedService,
                              .priority = 2,
                              .maxAttempts = 3,
                              .slowdownFactor = 2.0,
                              .targetLatency = milliseconds(1000)}},
        LoadProfile{.name = "serving",
                    .taskSpread = 0.4,
                    .maxTasks = 12,
                    .milliCores = 3200,
                    .milliCoresSpread = 0.25,
                    .maxMilliCores = 5100,
                    .memoryMiB = 6400,
                    .maxMemoryMiB = 13000,
                    .meanRunTime = milliseconds(500),
                    .maxMeanRunTime = milliseconds(1200),
                    .failShare = 0.03,
                    .images = 5,
                    .terms = {.queue = "serving",
                              .service = simulatedService,
                              .maxAttempts = 4,
                              .slowdownFactor = 2.2,
                              .targetLatency = milliseconds(2500)}},
    };
    return profiles[static_cast<std::size_t>(kind)];
}

/// Returns a normally distributed factor with mean 1 and standard deviation @p spread, at least
/// 0.1.
double factorAround(Random &random, double spread)
{
    const double radius = std::sqrt(-2.0 * std::log1p(-uniform(random)));
    const double normal = radius * std::cos(2.0 * std::numbers::pi * uniform(random));
    return std::max(0.1, 1.0 + spread * normal);
}

StepSpec generateStep(Random &random, JobKind kind, Duration meanRunTime)
{
    const LoadProfile &profile = profileOf(kind);
    const double tasks =
        std::min(profile.tasks * factorAround(random, profile.taskSpread), profile.maxTasks);
    const double cores = std::min(
        profile.milliCores * factorAround(random, profile.milliCoresSpread), profile.maxMilliCores);
    const double memory =
        std::min(profile.memoryMiB * factorAround(random, memorySpread), profile.maxMemoryMiB);
    const int image = static_cast<int>(uniform(random) * profile.images);
    StepSpec step{
        .tasks = static_cast<std::uint32_t>(std::max(1.0, std::round(tasks))),
        .taskSize = {.milliCores = std::lround(cores), .memoryMiB = std::lround(memory)},
        .estimatedRunTime = std::chrono::duration_cast<milliseconds>(
            meanRunTime * std::exp2(declaredRunTimeExponentRange * (uniform(random) - 0.5))),
        .longRunning = kind == JobKind::LongRunning,
        .image = std::string(profile.name) + "-" + std::to_string(image),
        .backfill = kind == JobKind::Batch};
    if (step.longRunning) {
        step.tailLatencyTarget = tailLatencyTarget;
        if (chance(random, tasksPerHostLimitShare)) {
            step.maxTasksPerHost =
                1 + static_cast<std::uint32_t>(uniform(random) * maxTasksPerHostLimit);
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

SimulatedJob generateJob(Random &random, JobKind kind, int number)
{
    const LoadProfile &profile = profileOf(kind);
    SimulatedJob job{.kind = kind};
    job.firstTaskAlwaysFails = kind == JobKind::Urgent && chance(random, alwaysFailingShare);
    job.spec.id = {profile.name + std::to_string(number)};
    job.spec.terms = profile.terms;
    const bool oneMore = chance(random, profile.steps - std::floor(profile.steps));
    const auto steps = static_cast<std::uint32_t>(profile.steps) + (oneMore ? 1 : 0);
    for (std::uint32_t n = 0; n < steps; ++n) {
        job.meanRunTimes.push_back(
            std::min(scaled(profile.meanRunTime, factorAround(random, meanRunTimeSpread)),
                     profile.maxMeanRunTime));
        StepSpec step = generateStep(random, kind, job.meanRunTimes.back());
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
    return scaled(job.meanRunTimes[step], std::clamp(factor, minRunTimeFactor, maxRunTimeFactor));
}

double failShareOf(JobKind kind)
{
    return profileOf(kind).failShare;
}

double tailLatencyMs(const StepSpec &step, Duration age)
{
    const double periods = std::chrono::duration<double>(age) / pressurePeriod;
    const double pressure =
        meanPressure * (1.0 + pressureAmplitude * std::sin(2.0 * std::numbers::pi * periods));
    return static_cast<double>(step.tailLatencyTarget.count()) * idleTailShare / (1.0 - pressure);
}

} // namespace acaciadeal
