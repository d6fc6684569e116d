#include "dispatch/admission.h"
#include "dispatch/dispatcher.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

/// Returns a backfill job with @p tasks tasks of 4 cores and 2 s each. Its objective is 5 s.
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

// Guards against admitting a whole burst of backfill jobs, and against rejecting jobs that would be
// completed while their callers wait. The backlog grows far beyond what callers wait for.
TEST_CASE("a burst of batch jobs is admitted up to the fleet's capacity and then rejected at once")
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
    // Each job has 32 core-seconds, and 32 cores are usable, so one job a second is completed. The
    // backlog may reach 8 objectives of 5 s less the run time of the job itself.
    CHECK(admitted >= 36);
    CHECK(admitted <= 42);
    CHECK(retryAfter >= milliseconds(1000));
}

// Guards against rejecting a repeated submission of a job that is stored already.
TEST_CASE("a repeated submission of a stored job is always admitted")
{
    Dispatcher dispatcher = fleetOf(4'000);
    const JobSpec first = batchJob("first", 400);
    add(dispatcher, first);
    CHECK_FALSE(decideAdmission(dispatcher.fleet, batchJob("other", 1), start, start).admitted);
    CHECK(decideAdmission(dispatcher.fleet, first, start, start).admitted);
    CHECK(decideAdmission(dispatcher.fleet, first, start, start).stored);
    CHECK_FALSE(decideAdmission(dispatcher.fleet, batchJob("other", 1), start, start).stored);
}

// Guards against rejecting urgent work because of a backlog of backfill work.
TEST_CASE("a job without backfill steps is admitted regardless of the batch backlog")
{
    Dispatcher dispatcher = fleetOf(4'000);
    add(dispatcher, batchJob("batch", 400));
    JobSpec urgent = batchJob("urgent", 1);
    urgent.steps[0].backfill = false;
    CHECK(decideAdmission(dispatcher.fleet, urgent, start, start).admitted);
}
