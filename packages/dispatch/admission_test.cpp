#include "dispatch/admission.h"
#include "dispatch/dispatcher.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

/// A batch job with @p tasks of 4 cores and 2 s; its objective is 5 s.
JobSpec batchJob(const std::string &id, std::uint32_t tasks)
{
    return {.id = {id},
            .terms = {.service = {"svc"},
                      .maxAttempts = 3,
                      .slowdownFactor = 2,
                      .targetLatency = milliseconds(1000)},
            .steps = {{.tasks = tasks,
                       .taskSize = {.milliCores = 4000, .memoryMiB = 100},
                       .estimatedRunTime = milliseconds(2000),
                       .image = "batch",
                       .backfill = true}}};
}

Dispatcher fleetOf(std::int64_t milliCores)
{
    Dispatcher dispatcher;
    FleetHost &host = dispatcher.fleet.hosts[{"h"}];
    host.id = {"h"};
    host.service = {"svc"};
    host.capacity = {.milliCores = milliCores, .memoryMiB = 640000};
    host.listed = true;
    host.reported = true;
    host.reachable = true;
    return dispatcher;
}

void add(Dispatcher &dispatcher, const JobSpec &job)
{
    addJob(dispatcher, job, emptyProgress(job), 0, false, start);
}

} // namespace

// Load pattern: a burst of batch jobs, replayed until the fleet's backlog is far beyond what their
// callers wait for. Guards against taking all of them, and against rejecting any that are served.
TEST_CASE("a burst is taken up to what can be served, and rejected at once beyond")
{
    Dispatcher dispatcher = fleetOf(40'000);
    int admitted = 0;
    milliseconds retryAfter{0};
    for (int n = 0; n < 200; ++n) {
        const JobSpec job = batchJob("j" + std::to_string(n), 4);
        const AdmissionDecision decision = decideAdmission(dispatcher.fleet, job, start, start);
        if (decision.admitted) {
            ++admitted;
            add(dispatcher, job);
        } else {
            retryAfter = std::max(retryAfter, decision.retryAfter);
        }
    }
    // 32 core-seconds a job on 32 usable cores: one a second, for 8 objectives less its own run.
    CHECK(admitted >= 36);
    CHECK(admitted <= 42);
    CHECK(retryAfter >= milliseconds(1000));
}

// Guards against a rejection of a job that is stored already, whose caller repeats it.
TEST_CASE("a job that is known is always admitted")
{
    Dispatcher dispatcher = fleetOf(4'000);
    const JobSpec first = batchJob("first", 400);
    add(dispatcher, first);
    CHECK_FALSE(decideAdmission(dispatcher.fleet, batchJob("other", 1), start, start).admitted);
    CHECK(decideAdmission(dispatcher.fleet, first, start, start).admitted);
    CHECK(decideAdmission(dispatcher.fleet, first, start, start).stored);
    CHECK_FALSE(decideAdmission(dispatcher.fleet, batchJob("other", 1), start, start).stored);
}

// Guards against urgent work that is rejected for a backlog of batch work.
TEST_CASE("committed work is not judged by the batch backlog")
{
    Dispatcher dispatcher = fleetOf(4'000);
    add(dispatcher, batchJob("batch", 400));
    JobSpec urgent = batchJob("urgent", 1);
    urgent.steps[0].backfill = false;
    CHECK(decideAdmission(dispatcher.fleet, urgent, start, start).admitted);
}
