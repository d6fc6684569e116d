#include "jobs/jobprogress.h"
#include "jobs/jobspec.h"

#include <doctest/doctest.h>

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
