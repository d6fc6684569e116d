#include "jobs/jobprogress.h"
#include "jobs/jobspec.h"

#include <algorithm>
#include <bit>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace acaciadeal;

namespace {

JobSpec sampleJob()
{
    JobSpec job{.id = {"5c0e7a21d94b36f8"},
                .terms = {.queue = "q",
                          .service = {"svc"},
                          .priority = 2,
                          .maxAttempts = 4,
                          .slowdownFactor = 1.5,
                          .targetLatency = milliseconds(250)},
                .payload = "text",
                .acceptedAt = milliseconds(1234)};
    job.steps.push_back({.tasks = 6,
                         .taskSize = {.milliCores = 2800, .memoryMiB = 5600, .accelerators = 1},
                         .estimatedRunTime = milliseconds(800),
                         .requiredLabel = "a",
                         .dataRack = {"r1-3"},
                         .maxTasksPerHost = 2,
                         .copiesAllowed = true});
    job.steps.push_back({.tasks = 1,
                         .estimatedRunTime = milliseconds(100),
                         .dependsOn = {0},
                         .checkpointing = true,
                         .gang = true,
                         .rackLocal = true,
                         .longRunning = true,
                         .image = "i",
                         .tailLatencyTarget = milliseconds(50),
                         .backfill = true,
                         .maxUnavailable = 0});
    return job;
}

/// A job of as many tasks as a daemon accepts, in one step.
JobSpec largestJob()
{
    JobSpec job = sampleJob();
    job.steps.resize(1);
    job.steps[0].tasks = maxTasksPerJob;
    return job;
}

std::size_t countFailedRuns(const JobProgress &progress)
{
    std::size_t n = 0;
    for (const StepProgress &step : progress.steps) {
        for (const auto &[task, runs] : step.failedRuns) {
            n += runs.size();
        }
    }
    return n;
}

/// Run number of the @p n th start of a task by the holder of @p epoch.
std::uint64_t runNumber(std::uint64_t epoch, std::uint64_t n)
{
    constexpr std::uint64_t runsPerEpoch = 100'000;
    return (epoch - 1) * runsPerEpoch + n;
}

} // namespace

// Guards against a field that is not stored and is lost when another daemon takes over.
TEST_CASE("decoding an encoded job returns the same job")
{
    const auto decoded = decodeJob(encodeJob(sampleJob()));
    REQUIRE(decoded);
    CHECK(*decoded == sampleJob());
}

// Guards against a corrupt row that crashes a daemon or is decoded as a job.
TEST_CASE("decodeJob() fails for text that is not a job")
{
    for (const char *text : {"", "{}", "[]", "null", "{\"id\":3}", "\xff\xfe"}) {
        const auto decoded = decodeJob(text);
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().code == ResultCode::CorruptSnapshot);
    }
}

// Guards against steps that wait for themselves, and against requests that use unbounded memory.
TEST_CASE("validateJob() rejects cyclic dependencies, too many tasks and jobs without steps")
{
    JobSpec job = sampleJob();
    CHECK(validateJob(job));
    job.steps[1].dependsOn = {1};
    CHECK_FALSE(validateJob(job));
    job = sampleJob();
    job.steps[0].tasks = maxTasksPerJob;
    CHECK_FALSE(validateJob(job));
    job.steps.clear();
    CHECK_FALSE(validateJob(job));
}

TEST_CASE("the critical path length is that of the longest path of dependent steps")
{
    CHECK(criticalPathLength(sampleJob()) == milliseconds(900));
}

// Guards against a late write of an earlier holder that discards a done task, a failed run or an
// outcome.
TEST_CASE("merging two versions of a progress gives their union, in either order")
{
    const JobSpec job = sampleJob();
    JobProgress early = emptyProgress(job);
    early.steps[0].done[1] = true;
    early.steps[0].failedRuns[2] = {1, 3};
    JobProgress late = emptyProgress(job);
    late.steps[0].done[4] = true;
    late.steps[0].failedRuns[2] = {3, 100'001};
    late.outcome = JobState::Cancelled;
    JobProgress one = early;
    CHECK(merge(one, late));
    JobProgress other = late;
    CHECK(merge(other, early));
    CHECK(one == other);
    CHECK(one.steps[0].failedRuns[2].size() == 3);
    CHECK(one.outcome == JobState::Cancelled);
    CHECK_FALSE(merge(one, late));
}

TEST_CASE("an encoded progress decodes to itself, and corrupt text is rejected")
{
    const JobSpec job = sampleJob();
    JobProgress progress = emptyProgress(job);
    progress.steps[0].done = {true, false, false, true, false, true};
    progress.steps[0].failedRuns[1] = {7};
    progress.outcome = JobState::Failed;
    const auto decoded = decodeProgress(job, encodeProgress(progress));
    REQUIRE(decoded);
    CHECK(*decoded == progress);
    for (const char *text : {"", "{}", R"({"o":9,"s":[]})", R"({"o":0,"s":[{"d":"0"}]})",
                             R"({"o":0,"s":[{"d":"zz"},{"d":"0"}]})"}) {
        CHECK_FALSE(decodeProgress(job, text));
    }
}

// Guards against a row that the store rejects, so that the progress of a job is never durable.
TEST_CASE("the progress of the largest job fits into its row with all failed runs")
{
    constexpr std::uint64_t epoch = 2'000;
    const JobSpec job = largestJob();
    JobProgress progress = emptyProgress(job);
    std::mt19937 random(1);
    SUBCASE("each task has failed three times")
    {
        for (std::uint32_t task = 0; task < maxTasksPerJob; ++task) {
            for (std::uint64_t n = 1; n <= 3; ++n) {
                progress.steps[0].failedRuns[task].insert(runNumber(epoch, n));
            }
        }
    }
    SUBCASE("under three holders, and tasks are done in between")
    {
        for (std::uint32_t task = 0; task < maxTasksPerJob; ++task) {
            progress.steps[0].done[task] = random() % 10 == 0;
            const auto runs = progress.steps[0].done[task] ? 0 : random() % 4;
            for (std::uint64_t n = 1; n <= runs; ++n) {
                progress.steps[0].failedRuns[task].insert(
                    runNumber(epoch + random() % 3, 1 + random() % 2));
            }
        }
    }
    SUBCASE("starts are rejected between the failed runs")
    {
        for (std::uint32_t task = 0; task < maxTasksPerJob; ++task) {
            std::uint64_t n = 0;
            for (int failures = 0; failures < 3; ++failures) {
                n += 1 + random() % 10;
                progress.steps[0].failedRuns[task].insert(runNumber(epoch, n));
            }
        }
    }
    const std::string text = encodeProgress(progress);
    CHECK(text.size() <= maxJobRowBytes);
    const auto decoded = decodeProgress(job, text);
    REQUIRE(decoded);
    CHECK(*decoded == progress);
}

// Guards against a row that the store rejects if failed runs are too many to be stored at all.
TEST_CASE(
    "a progress with more failed runs than its row holds keeps those of the tasks that failed "
    "most")
{
    const JobSpec job = largestJob();
    JobProgress progress = emptyProgress(job);
    std::mt19937_64 random(1);
    for (std::uint32_t task = 0; task < maxTasksPerJob; ++task) {
        progress.steps[0].done[task] = task % 5 == 0;
        const std::uint32_t failures = 1 + task % 100;
        for (std::uint32_t n = 0; n < failures; ++n) {
            progress.steps[0].failedRuns[task].insert(random() >> 1U);
        }
    }
    const std::string text = encodeProgress(progress);
    REQUIRE(text.size() <= maxJobRowBytes);
    const auto decoded = decodeProgress(job, text);
    REQUIRE(decoded);
    CHECK(decoded->steps[0].done == progress.steps[0].done);
    REQUIRE_FALSE(decoded->steps[0].failedRuns.empty());
    for (const auto &[task, runs] : decoded->steps[0].failedRuns) {
        CHECK(task % 100 >= 98);
        CHECK(runs == progress.steps[0].failedRuns[task]);
    }
    JobProgress merged = progress;
    CHECK_FALSE(merge(merged, *decoded));
}

// Guards against a row that needs space for what nobody reads any more.
TEST_CASE("a large row leaves out the failed runs of done tasks and of ended jobs")
{
    const JobSpec job = largestJob();
    JobProgress progress = emptyProgress(job);
    for (std::uint32_t task = 0; task < maxTasksPerJob; ++task) {
        progress.steps[0].failedRuns[task] = {runNumber(3, 1), runNumber(3, 2)};
    }
    SUBCASE("done tasks")
    {
        progress.steps[0].done.assign(maxTasksPerJob, true);
        progress.steps[0].done[7] = false;
        const auto decoded = decodeProgress(job, encodeProgress(progress));
        REQUIRE(decoded);
        CHECK(decoded->steps[0].done == progress.steps[0].done);
        CHECK(decoded->steps[0].failedRuns.size() == 1);
        CHECK(decoded->steps[0].failedRuns.at(7).size() == 2);
    }
    SUBCASE("an ended job")
    {
        progress.outcome = JobState::Failed;
        const auto decoded = decodeProgress(job, encodeProgress(progress));
        REQUIRE(decoded);
        CHECK(decoded->outcome == JobState::Failed);
        CHECK(countFailedRuns(*decoded) == 0);
    }
}

// Guards against daemons of the version before that take the progress as lost during a rolling
// replacement. They read the fields "o", "d" and "f" and ignore others.
TEST_CASE("done tasks and the outcome of a large row are in the fields of the format before")
{
    const JobSpec job = largestJob();
    JobProgress progress = emptyProgress(job);
    for (std::uint32_t task = 0; task < maxTasksPerJob; ++task) {
        progress.steps[0].done[task] = task % 2 == 0;
        progress.steps[0].failedRuns[task] = {runNumber(3, 1), runNumber(3, 2)};
    }
    const nlohmann::json row = nlohmann::json::parse(encodeProgress(progress));
    REQUIRE_FALSE(row.at("s").at(0).contains("f"));
    CHECK(row.at("o") == 0);
    std::string expected(maxTasksPerJob / 4, '5');
    CHECK(row.at("s").at(0).at("d") == expected);
}

TEST_CASE("a row of the format before is read, and a small progress is still written in it")
{
    const JobSpec job = sampleJob();
    const std::string text = R"({"o":1,"s":[{"d":"90","f":[[1,[7,100002]]]},{"d":"0"}]})";
    const auto decoded = decodeProgress(job, text);
    REQUIRE(decoded);
    CHECK(decoded->steps[0].failedRuns.at(1) == std::set<std::uint64_t>{7, 100'002});
    CHECK(encodeProgress(*decoded) == text);
}

TEST_CASE("malformed failed runs of a large row are rejected")
{
    const JobSpec job = sampleJob();
    const auto row = [](const std::string &failedRuns) {
        return R"({"o":0,"s":[{"d":"90",)" + failedRuns + R"(},{"d":"0"}]})";
    };
    // Four tasks are not done; two bits each.
    const auto decoded = decodeProgress(job, row(R"("b":7,"k":[[0],[0,2]],"t":"90")"));
    REQUIRE(decoded);
    CHECK(decoded->steps[0].failedRuns
          == std::map<std::uint32_t, std::set<std::uint64_t>>{{1, {7}}, {2, {7, 9}}});
    for (const char *failedRuns :
         {R"("b":7,"k":[[0],[0,2]],"t":"9")", R"("b":7,"k":[[0],[0,2]],"t":"900")",
          R"("b":7,"k":[[0],[0,2]],"t":"9+")", R"("b":7,"k":[[0],[0,2]],"t":"30")",
          R"("b":7,"k":[[0],[0,2]],"t":3)", R"("k":[[0],[0,2]],"t":"90")", R"("b":7,"t":"90")",
          R"("b":7,"k":3,"t":"90")"}) {
        CAPTURE(failedRuns);
        CHECK_FALSE(decodeProgress(job, row(failedRuns)));
    }
}

// Guards against an accepted job whose rows the store rejects from the start.
TEST_CASE("a job whose rows would be too large is rejected")
{
    CHECK(validateRowSizes(largestJob()));
    JobSpec job = sampleJob();
    job.steps.resize(1);
    const StepSpec step = job.steps[0];
    job.steps.assign(200, step);
    CHECK(validateRowSizes(job));
    CHECK(encodeProgress(emptyProgress(job)).size() <= maxJobRowBytes);
    job.steps.assign(2'000, step);
    const auto checked = validateRowSizes(job);
    REQUIRE_FALSE(checked);
    CHECK(checked.error().code == ResultCode::RequestTooLarge);
}
