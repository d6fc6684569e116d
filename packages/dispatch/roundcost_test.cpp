#include "dispatch/dispatcher.h"
#include "dispatch/testfixtures.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));
const TimePoint overdueSince = start + std::chrono::seconds(10);

constexpr int hostCount = 490;
constexpr std::int64_t hostMilliCores = 37000;
constexpr int overdueJobs = 260;
constexpr std::uint32_t tasksOfJob = 3;

/// Processor time that a round may take. On the smallest host that runs a holder, the holder has a
/// quarter of a processor, and rounds are 5 ms apart.
constexpr Duration roundBudget = std::chrono::microseconds(1250);

JobSpec servingJob(const std::string &id, std::uint32_t tasks, std::int64_t milliCores)
{
    StepSpec step{.tasks = tasks,
                  .taskSize = {.milliCores = milliCores, .memoryMiB = 1000},
                  .estimatedRunTime = milliseconds(1000),
                  .longRunning = true};
    step.image = "serving";
    step.tailLatencyTarget = milliseconds(100);
    return fixtureJob(id, {step});
}

void addHosts(Dispatcher &dispatcher)
{
    for (int n = 0; n < hostCount; ++n) {
        const std::string id = "host" + std::to_string(n);
        dispatcher.fleet.hosts[{id}] = fixtureHost(id, hostMilliCores);
    }
}

void add(Dispatcher &dispatcher, const JobSpec &spec)
{
    addJob(dispatcher, spec, emptyProgress(spec), 0, false, start);
}

Duration processorTime()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

/// Fills the hosts almost completely, and adds more overdue tasks than the fleet has room for.
void addOverdueTasks(Dispatcher &dispatcher)
{
    addHosts(dispatcher);
    add(dispatcher, servingJob("filler", hostCount, hostMilliCores - 1100));
    REQUIRE(plan(dispatcher, start).starts.size() == hostCount);
    for (int n = 0; n < overdueJobs; ++n) {
        add(dispatcher, servingJob("overdue" + std::to_string(n), tasksOfJob, 9780 - 20 * n));
    }
}

/// Uses up the memory of all hosts, but not their processors.
void fillMemory(Dispatcher &dispatcher)
{
    addHosts(dispatcher);
    JobSpec filler = servingJob("filler", hostCount, 1000);
    filler.steps[0].taskSize.memoryMiB = 63500;
    add(dispatcher, filler);
    REQUIRE(plan(dispatcher, start).starts.size() == hostCount);
}

/// Returns the median processor time of several rounds in which nothing starts.
Duration roundCost(Dispatcher &dispatcher)
{
    std::array<Duration, 9> costs{};
    for (Duration &cost : costs) {
        const Duration before = processorTime();
        const std::size_t started = plan(dispatcher, overdueSince).starts.size();
        cost = processorTime() - before;
        REQUIRE(started == 0);
    }
    std::sort(costs.begin(), costs.end());
    return costs[costs.size() / 2];
}

} // namespace

// Guards against a holder that spends its processor share on searching hosts for tasks that do not
// fit in a full fleet, and therefore processes reports of freed resources too late.
TEST_CASE("a round stays within its budget while many tasks are overdue in a full fleet")
{
    Dispatcher dispatcher;
    addOverdueTasks(dispatcher);
    CHECK(roundCost(dispatcher) <= roundBudget);
}

TEST_CASE("a round stays within its budget while many tasks are overdue and only one fits")
{
    Dispatcher dispatcher;
    addOverdueTasks(dispatcher);
    dispatcher.fleet.hosts[{"host490"}] = fixtureHost("host490", 9100);
    // All free processors are reserved for short tasks.
    dispatcher.fleet.urgentPeakMilliCores = 1e9;
    dispatcher.fleet.urgentDemandAt = overdueSince;
    CHECK(roundCost(dispatcher) <= roundBudget);
}

// Guards against the same fault when processors are free but memory is used up.
TEST_CASE("a round stays within its budget while many tasks wait for memory")
{
    Dispatcher dispatcher;
    fillMemory(dispatcher);
    bool longRunning = true;
    SUBCASE("long-running tasks that are overdue")
    {
    }
    SUBCASE("short tasks")
    {
        longRunning = false;
    }
    for (int n = 0; n < overdueJobs; ++n) {
        JobSpec job = servingJob("waiting" + std::to_string(n), tasksOfJob, 1000 + 10 * n);
        job.steps[0].taskSize.memoryMiB = 9000 - 10 * n;
        job.steps[0].longRunning = longRunning;
        add(dispatcher, job);
    }
    // All free processors are reserved for short tasks.
    dispatcher.fleet.urgentPeakMilliCores = 1e9;
    dispatcher.fleet.urgentDemandAt = overdueSince;
    CHECK(roundCost(dispatcher) <= roundBudget);
}
