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

// Guards against a job that can no longer meet its objective delaying one that can, in a full
// fleet.
TEST_CASE("a job that can still meet its objective starts before one that cannot")
{
    Fleet fleet(1);
    fleet.add(shortJob("late", 8000), start);
    fleet.add(shortJob("in-time", 8000), start + milliseconds(900));
    CHECK(fleet.started(start + milliseconds(1000)) == std::vector<std::string>{"in-time"});
}

// Guards against long-running tasks that occupy, for minutes, resources that urgent tasks need from
// time to time.
TEST_CASE("a long-running task does not take room reserved for the recent peak of short tasks")
{
    Fleet fleet(1);
    fleet.add(shortJob("urgent", 8000), start);
    CHECK(fleet.started(start) == std::vector<std::string>{"urgent"});
    cancelJob(fleet.dispatcher, {"urgent"}, start);
    declareRunsLost(fleet.dispatcher, {"h0"}, "test", start);
    fleet.add(longJob("long", 4000), start + milliseconds(100));
    CHECK(fleet.started(start + milliseconds(200)).empty());
}

// Guards against a long-running task that does not start although there is room for two such tasks,
// because short tasks always come first. Load pattern: a cancelled job frees many resources at once
// in a full fleet.
TEST_CASE("an overdue long-running task starts before short ones if two such tasks fit")
{
    Fleet fleet(2);
    fleet.add(longJob("long", 4000), start);
    fleet.dispatcher.fleet.urgentPeakMilliCores = 1e6;
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
