#include "dispatch/dispatcher.h"
#include "dispatch/testfixtures.h"
#include "dispatch/waitorder.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

JobSpec shortJob(const std::string &id, std::int64_t milliCores, int estimateMs = 1000)
{
    return {.id = {id},
            .terms = {.service = {"svc"}, .maxAttempts = 3, .slowdownFactor = 1.5},
            .steps = {{.taskSize = {.milliCores = milliCores},
                       .estimatedRunTime = milliseconds(estimateMs)}}};
}

JobSpec longJob(const std::string &id, std::int64_t milliCores)
{
    JobSpec job = shortJob(id, milliCores);
    job.steps[0].longRunning = true;
    return job;
}

struct Fleet
{
    Dispatcher dispatcher;

    explicit Fleet(int hosts)
    {
        for (int n = 0; n < hosts; ++n) {
            const std::string id = "h" + std::to_string(n);
            dispatcher.fleet.hosts[{id}] = fixtureHost(id, 10000);
        }
    }

    void add(JobSpec job, TimePoint now)
    {
        JobProgress empty = emptyProgress(job);
        addJob(dispatcher, std::move(job), std::move(empty), 0, false, now);
    }

    std::vector<std::string> started(TimePoint now)
    {
        std::vector<std::string> jobs;
        for (const StartRun &order : plan(dispatcher, now).starts) {
            jobs.push_back(order.task.job.value);
        }
        return jobs;
    }
};

} // namespace

// Load pattern: a full fleet. Guards against a job that has missed its objective and still holds up
// one that can meet it.
TEST_CASE("a job that can still end in time goes before one that cannot")
{
    Fleet fleet(1);
    fleet.add(shortJob("late", 8000), start);
    fleet.add(shortJob("in-time", 8000), start + milliseconds(900));
    CHECK(fleet.started(start + milliseconds(1000)) == std::vector<std::string>{"in-time"});
}

// Load pattern: long-running tasks wait for room that urgent tasks need from time to time. Guards
// against long-running tasks that take it for minutes.
TEST_CASE("room for short tasks is kept free of long-running ones")
{
    Fleet fleet(1);
    fleet.add(shortJob("urgent", 8000), start);
    CHECK(fleet.started(start) == std::vector<std::string>{"urgent"});
    cancelJob(fleet.dispatcher, {"urgent"}, start);
    declareRunsLost(fleet.dispatcher, {"h0"}, "test", start);
    fleet.add(longJob("long", 4000), start + milliseconds(100));
    CHECK(fleet.started(start + milliseconds(200)).empty());
}

// Load pattern: a cancelled job frees much room at once in a full fleet. Guards against a
// long-running task that stays away although there is room for it twice over, because short tasks
// are always ahead of it.
TEST_CASE("an overdue long-running task starts first where there is room twice over")
{
    Fleet fleet(2);
    fleet.add(longJob("long", 4000), start);
    fleet.dispatcher.fleet.urgentMilliCores = 1e6;
    fleet.dispatcher.fleet.urgentDemandAt = start;
    CHECK(fleet.started(start + milliseconds(100)).empty());
    const TimePoint later = start + std::chrono::seconds(3);
    for (int n = 0; n < 4; ++n) {
        fleet.add(shortJob("urgent" + std::to_string(n), 9000), later);
    }
    const std::vector<std::string> jobs = fleet.started(later);
    REQUIRE(!jobs.empty());
    CHECK(jobs[0] == "long");
}
