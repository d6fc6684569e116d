// Measures how fast a shard's holder decides and how much its state and log cost, at three shard
// sizes. The inputs come from a fixed seed, so every run makes the same decisions; only the times
// differ.
//
// Usage: decision_bench

#include "kernel/pluginregistry.h"
#include "scheduling/holder.h"
#include "state/codec.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <malloc.h>
#include <random>
#include <unistd.h>

using namespace acaciadeal;

namespace {

using Clock = std::chrono::steady_clock;

struct ShardSize
{
    int hosts;
    int tasks;
};

constexpr ShardSize shardSizes[] = {{200, 6'600}, {700, 23'000}, {1'400, 46'000}};
constexpr unsigned seed = 20'260;
constexpr int hostsPerRack = 11;
constexpr int teamCount = 100;
constexpr int tasksPerJob = 20;
// Tasks still queued when a measurement begins; the others are placed before it, to fill the hosts.
constexpr int measuredTasks = 4'000;

double secondsSince(Clock::time_point start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Resident memory of the process in bytes.
double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Returns an identifier of a fixed width that is typical of jobs, tasks and hosts in practice.
std::string makeName(const char *prefix, int number)
{
    char buf[48];
    std::snprintf(buf, sizeof buf, "%s-%06d", prefix, number);
    return buf;
}

std::vector<Change> makeHosts(int count)
{
    std::vector<Change> changes;
    changes.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        changes.emplace_back(HostUpdated{{makeName("worker", n)},
                                         {makeName("rack", n / hostsPerRack)},
                                         {32'000, 125'000, n % 5 == 0 ? 5 : 0}});
    }
    return changes;
}

/// Returns jobs of a class mix like that of the target deployment: 2% urgent, 22% latency-critical,
/// 76% batch tasks.
std::vector<Change> makeJobs(int count, std::mt19937 &random)
{
    std::vector<Change> changes;
    JobAccepted job;
    for (int n = 0; n < count; ++n) {
        if (n % tasksPerJob == 0) {
            job = {.job = {makeName("job", n / tasksPerJob)}, .tasks = {}};
        }
        const auto draw = random() % 100;
        const TaskClass taskClass = draw < 2    ? TaskClass::Urgent
                                    : draw < 24 ? TaskClass::LatencyCritical
                                                : TaskClass::Batch;
        job.tasks.push_back({.spec = {.id = {makeName("inspection", n)},
                                      .job = job.job,
                                      .team = {makeName("team", n / tasksPerJob % teamCount)},
                                      .taskClass = taskClass,
                                      .size = {static_cast<std::int64_t>(200 + random() % 1'000),
                                               static_cast<std::int64_t>(500 + random() % 4'000),
                                               random() % 50 == 0 ? 1 : 0},
                                      .expectedRunTime = milliseconds(600'000),
                                      .payload = "run"}});
        if (n % tasksPerJob == tasksPerJob - 1 || n == count - 1) {
            changes.emplace_back(job);
        }
    }
    return changes;
}

struct SimulatedShard
{
    Holder holder;
    std::vector<LogEntry> log;
    TimePoint now{std::chrono::hours(1)};

    void append(const Proposal &proposal, std::vector<Change> changes)
    {
        LogEntry entry{.shard = holder.state.shard,
                       .epoch = holder.epoch,
                       .sequence = holder.state.lastSequence + 1,
                       .transactionId = "transaction",
                       .changes = std::move(changes)};
        if (const auto result = applyProposal(holder, proposal, entry, now); !result) {
            std::fprintf(stderr, "%s: %s\n", result.error().where.c_str(),
                         result.error().message.c_str());
            std::exit(1);
        }
        log.push_back(std::move(entry));
    }

    /// Delivers all due orders to simulated workers that start every task immediately, and gives
    /// their reports to the holder.
    void exchangeOrders()
    {
        for (auto &[host, view] : holder.workers) {
            view.needsPermit = true;
        }
        now += std::chrono::milliseconds(100);
        for (const auto &[host, orders] : dueOrders(holder, now)) {
            WorkerReport report{.bootId = "boot",
                                .epoch = orders.epoch,
                                .sequence = orders.sequence,
                                .permit = orders.sequence};
            for (const TaskId &id : holder.state.hosts.at(host).tasks) {
                report.running.push_back({.run = {id, holder.state.tasks.at(id).incarnation}});
            }
            onReport(holder, host, report, now);
        }
    }
};

SimulatedShard makeShard(const ShardSize &size, const PlacementPolicy &policy)
{
    std::mt19937 random(seed);
    ShardState state;
    state.shard = {"lowell-yard"};
    SimulatedShard shard;
    shard.holder = makeHolder({.placement = policy}, std::move(state), 1, shard.now);
    shard.append({}, makeHosts(size.hosts));
    shard.append({}, makeJobs(size.tasks, random));
    shard.exchangeOrders();
    return shard;
}

/// Places tasks until the queue holds @p waiting tasks or nothing more fits. Returns the number of
/// placements and the seconds spent in proposeChanges().
std::pair<std::size_t, double> placeUntil(SimulatedShard &shard, std::size_t waiting)
{
    std::size_t placed = 0;
    double proposeSeconds = 0;
    while (shard.holder.state.queue.size() > waiting) {
        const auto start = Clock::now();
        const Proposal proposal = proposeChanges(shard.holder, shard.now);
        proposeSeconds += secondsSince(start);
        if (!proposal.containsStart) {
            break;
        }
        placed += proposal.changes.size();
        shard.append(proposal, proposal.changes);
        shard.exchangeOrders();
    }
    return {placed, proposeSeconds};
}

void measurePlacements()
{
    std::printf(
        "placements per second, one thread (proposeChanges() only; the last %d placements)\n",
        measuredTasks);
    std::printf("%8s %8s  %-16s %12s %10s\n", "hosts", "tasks", "policy", "per second", "placed");
    for (const ShardSize &size : shardSizes) {
        for (const std::string &policy : PluginRegistry<PlacementPolicy>::instance().names()) {
            SimulatedShard shard =
                makeShard(size, PluginRegistry<PlacementPolicy>::instance().find(policy).value());
            const auto before = placeUntil(shard, measuredTasks);
            const auto [placed, proposeSeconds] = placeUntil(shard, 0);
            std::printf("%8d %8d  %-16s %12.0f %10zu\n", size.hosts, size.tasks, policy.c_str(),
                        static_cast<double>(placed) / proposeSeconds, before.first + placed);
        }
    }
}

/// Measures the calls that the control thread repeats while nothing can be placed, because all
/// hosts are full and tasks are queued.
void measureSaturatedQueue()
{
    std::printf("\ncalls while the queue is saturated and no order is due\n");
    std::printf("%8s %8s %12s %14s\n", "hosts", "waiting", "propose us", "dueOrders us");
    constexpr int rounds = 200;
    for (const ShardSize &size : shardSizes) {
        SimulatedShard shard =
            makeShard({size.hosts / 4, size.tasks},
                      PluginRegistry<PlacementPolicy>::instance().find("spread-reserve").value());
        placeUntil(shard, 0);
        auto start = Clock::now();
        for (int n = 0; n < rounds; ++n) {
            proposeChanges(shard.holder, shard.now);
        }
        const double proposeTime = secondsSince(start);
        shard.exchangeOrders();
        start = Clock::now();
        for (int n = 0; n < rounds; ++n) {
            dueOrders(shard.holder, shard.now);
        }
        const double dueOrdersTime = secondsSince(start);
        std::printf("%8d %8zu %12.0f %14.0f\n", size.hosts / 4, shard.holder.state.queue.size(),
                    proposeTime * 1e6 / rounds, dueOrdersTime * 1e6 / rounds);
    }
}

void measureStateAndLog()
{
    std::printf("\nstate and log\n");
    std::printf("%8s %8s %14s %14s %14s %12s %12s %14s\n", "hosts", "tasks", "snapshot B/task",
                "log B/start", "apply us/start", "snapshot ms", "log tail ms", "memory B/task");
    for (const ShardSize &size : shardSizes) {
        SimulatedShard shard = makeShard(
            size, PluginRegistry<PlacementPolicy>::instance().find("spread-reserve").value());
        placeUntil(shard, measuredTasks);
        const std::string snapshot = encodeSnapshot(shard.holder.state);
        const std::size_t coveredEntries = shard.log.size();
        placeUntil(shard, 0);

        // The log tail is what recovery replays: every entry after the snapshot.
        std::vector<std::string> tail;
        std::size_t tailBytes = 0;
        std::size_t starts = 0;
        for (std::size_t n = coveredEntries; n < shard.log.size(); ++n) {
            tail.push_back(encodeLogEntry(shard.log[n]));
            tailBytes += tail.back().size();
            starts += shard.log[n].changes.size();
        }
        const std::size_t tasks = shard.holder.state.tasks.size();
        shard = {};
        malloc_trim(0);
        const double memoryBefore = residentBytes();
        auto start = Clock::now();
        auto state = decodeSnapshot(snapshot);
        const double snapshotTime = secondsSince(start);
        malloc_trim(0);
        const double memory = residentBytes() - memoryBefore;
        double applyTime = 0;
        start = Clock::now();
        for (const std::string &bytes : tail) {
            const auto entry = decodeLogEntry(bytes);
            const auto applyStart = Clock::now();
            if (!state || !entry || !apply(*state, *entry)) {
                std::fprintf(stderr, "cannot replay the log\n");
                std::exit(1);
            }
            applyTime += secondsSince(applyStart);
        }
        const double tailTime = secondsSince(start);
        std::printf("%8d %8d %14.0f %14.0f %14.2f %12.1f %12.1f %14.0f\n", size.hosts, size.tasks,
                    static_cast<double>(snapshot.size()) / static_cast<double>(tasks),
                    static_cast<double>(tailBytes) / static_cast<double>(starts),
                    applyTime * 1e6 / static_cast<double>(starts), snapshotTime * 1e3,
                    tailTime * 1e3, memory / static_cast<double>(tasks));
    }
    std::printf("The tail holds the last starts; memory is that of the recovered state.\n");
}

} // namespace

int main()
{
    measurePlacements();
    measureSaturatedQueue();
    measureStateAndLog();
    return 0;
}
