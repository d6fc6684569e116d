#include "embedded/worker.h"

#include <doctest/doctest.h>

using namespace acaciadeal;
using namespace acaciadeal::embedded;
using namespace std::chrono_literals;

namespace {

const TimePoint begin = TimePoint{} + 1h;

Worker testWorker()
{
    return makeWorker({.host = {"w"}, .capacity = {32'000, 128'000, 1}});
}

StartOrder makeStartOrder(const std::string &task, std::uint32_t incarnation,
                          const std::string &payload)
{
    return {.run = {{task}, incarnation}, .size = {1'000, 1'000, 0}, .payload = payload};
}

/// Sends orders and sets the newest permit and the next sequence number in the orders that follow.
struct Sender
{
    Worker &worker;
    WorkerOrders next{.shard = {"a"}, .epoch = 1, .sequence = 1, .lease = 15s};

    WorkerReport send(TimePoint now)
    {
        WorkerReport report = applyOrders(worker, next, now);
        ++next.sequence;
        next.permit = report.permit;
        next.starts.clear();
        next.stops.clear();
        next.throttles.clear();
        next.acknowledged.clear();
        return report;
    }

    WorkerReport start(const StartOrder &order, TimePoint now)
    {
        next.starts = {order};
        return send(now);
    }
};

} // namespace

// Guards against a start order that was delayed in transit taking effect (guarantee G4).
TEST_CASE("a start needs a permit that is at most 3 s old")
{
    Worker worker = testWorker();
    Sender sender{worker};
    SUBCASE("without a permit")
    {
        const auto report = sender.start(makeStartOrder("t", 1, ""), begin);
        REQUIRE(report.refused.size() == 1);
        CHECK(report.refused.at(0).code == ResultCode::StalePermit);
    }
    SUBCASE("at the limit")
    {
        sender.send(begin);
        CHECK(sender.start(makeStartOrder("t", 1, ""), begin + 3s).running.size() == 1);
        CHECK(worker.records.at(0).permitAge == 3s);
    }
    SUBCASE("beyond the limit")
    {
        sender.send(begin);
        const auto report = sender.start(makeStartOrder("t", 1, ""), begin + 3s + 1ms);
        REQUIRE(report.refused.size() == 1);
        CHECK(report.refused.at(0).code == ResultCode::StalePermit);
        CHECK(report.running.empty());
    }
    SUBCASE("from before a restart")
    {
        sender.send(begin);
        restart(worker, begin + 1s);
        CHECK(sender.start(makeStartOrder("t", 1, ""), begin + 1s).running.empty());
    }
}

// Guards against orders of a former holder taking effect after those of its successor
// (guarantee G2).
TEST_CASE("orders of an older epoch or sequence are ignored as a whole")
{
    Worker worker = testWorker();
    Sender predecessor{worker};
    predecessor.send(begin);
    predecessor.start(makeStartOrder("t", 1, ""), begin);
    Sender successor{worker, {.shard = {"a"}, .epoch = 2, .sequence = 1, .lease = 15s}};
    CHECK_FALSE(successor.send(begin).stale);
    predecessor.next.stops = {{{"t"}, 1}};
    const auto refused = predecessor.send(begin + 1s);
    CHECK(refused.stale);
    CHECK(refused.epoch == 2);
    CHECK(refused.running.size() == 1);
    successor.next.sequence = 1;
    CHECK(successor.send(begin + 1s).stale);
    CHECK(worker.staleOrders == 2);
}

TEST_CASE("epochs of different shards are independent")
{
    Worker worker = testWorker();
    Sender a{worker, {.shard = {"a"}, .epoch = 9, .sequence = 1, .lease = 15s}};
    Sender b{worker, {.shard = {"b"}, .epoch = 1, .sequence = 1, .lease = 15s}};
    a.send(begin);
    a.start(makeStartOrder("t", 1, ""), begin);
    CHECK_FALSE(b.send(begin).stale);
    CHECK(b.send(begin).running.empty());
}

// Guards against a holder that was paused extending a lease beyond the time that its permit allows
// (guarantee G2).
TEST_CASE("a lease ends at the permit's issue time plus the lease")
{
    Worker worker = testWorker();
    Sender sender{worker};
    sender.send(begin);
    sender.start(makeStartOrder("t", 1, R"({"run_ms":0,"checkpoint":true})"), begin + 2s);
    CHECK(worker.records.at(0).leaseEnd == begin + 15s);
    SUBCASE("renewal counts from the issue time, not from the receipt")
    {
        // The permit issued at begin + 2 s comes back at begin + 14 s.
        sender.send(begin + 14s);
        CHECK(worker.running.begin()->second.leaseEnd == begin + 17s);
    }
    SUBCASE("a renewal never shortens the lease")
    {
        sender.next.lease = 1s;
        sender.send(begin + 3s);
        CHECK(worker.running.begin()->second.leaseEnd == begin + 15s);
    }
    SUBCASE("the run is checkpointed and stopped when the lease lapses")
    {
        const auto report = sender.send(begin + 20s);
        REQUIRE(report.ended.size() == 1);
        CHECK(report.ended.at(0).outcome == RunOutcome::LeaseLapsed);
        CHECK(report.ended.at(0).checkpoint == "t@1@13000");
        CHECK(worker.records.at(0).endedAt == begin + 15s);
    }
    SUBCASE("an unknown permit renews nothing")
    {
        sender.next.permit = 7;
        sender.send(begin + 10s);
        CHECK(worker.running.begin()->second.leaseEnd == begin + 15s);
    }
}

// Guards against a start order that is received twice running its task twice (guarantee G3).
TEST_CASE("a run is started at most once until its result is acknowledged")
{
    Worker worker = testWorker();
    Sender sender{worker};
    sender.send(begin);
    const auto order = makeStartOrder("t", 1, R"({"run_ms":1000})");
    sender.start(order, begin);
    auto report = sender.start(order, begin);
    CHECK(report.refused.at(0).code == ResultCode::RepeatedStart);
    report = sender.start(order, begin + 2s);
    CHECK(report.refused.at(0).code == ResultCode::RepeatedStart);
    REQUIRE(report.ended.size() == 1);
    CHECK(report.ended.at(0).outcome == RunOutcome::Finished);
    CHECK(sender.send(begin + 3s).ended.size() == 1);
    sender.next.acknowledged = {order.run};
    CHECK(sender.send(begin + 4s).ended.empty());
    CHECK(worker.records.size() == 1);
}

TEST_CASE("a restarted worker has a new boot id, no runs and no permits")
{
    Worker worker = testWorker();
    Sender sender{worker};
    const auto first = sender.send(begin);
    sender.start(makeStartOrder("t", 1, ""), begin);
    restart(worker, begin + 1s);
    const auto report = sender.send(begin + 2s);
    CHECK(report.bootId != first.bootId);
    CHECK(report.running.empty());
    CHECK(report.permit > first.permit);
    CHECK(worker.records.at(0).outcome == "host-restarted");
    CHECK(worker.records.at(0).endedAt == begin + 1s);
}

TEST_CASE("a stopped run resumes from its checkpoint")
{
    Worker worker = testWorker();
    Sender sender{worker};
    sender.send(begin);
    sender.start(makeStartOrder("t", 1, R"({"run_ms":2000,"checkpoint":true})"), begin);
    sender.next.stops = {{{"t"}, 1}};
    const auto stopped = sender.send(begin + 1s);
    REQUIRE(stopped.ended.size() == 1);
    CHECK(stopped.ended.at(0).outcome == RunOutcome::Stopped);
    StartOrder resumed = makeStartOrder("t", 2, R"({"run_ms":2000,"checkpoint":true})");
    resumed.checkpoint = stopped.ended.at(0).checkpoint;
    sender.start(resumed, begin + 1s);
    advance(worker, begin + 2s);
    CHECK(worker.records.at(1).endedAt == begin + 2s);
    CHECK(worker.records.at(1).resumedFrom == "t@1@1000");
}

TEST_CASE("a throttled run takes longer, and reports its lower usage after a delay")
{
    Worker worker = testWorker();
    Sender sender{worker};
    sender.send(begin);
    sender.start(makeStartOrder("t", 1, R"({"run_ms":10000,"use_percent":100})"), begin);
    CHECK(sender.send(begin + 2s).running.at(0).usedMilliCores == 0);
    sender.next.throttles = {{{{"t"}, 1}, 50}};
    CHECK(sender.send(begin + 6s).running.at(0).usedMilliCores == 1'000);
    CHECK(sender.send(begin + 11s).running.at(0).usedMilliCores == 500);
    advance(worker, begin + 14s);
    CHECK(worker.records.at(0).endedAt == begin + 14s);
}

TEST_CASE("simulated faults of a worker")
{
    Worker worker = testWorker();
    Sender sender{worker};
    sender.send(begin);
    SUBCASE("it fails every task")
    {
        worker.failsEverything = true;
        const auto report = sender.start(makeStartOrder("t", 1, ""), begin);
        CHECK(report.ended.at(0).outcome == RunOutcome::Failed);
    }
    SUBCASE("it refuses every start")
    {
        worker.refusesStarts = true;
        const auto report = sender.start(makeStartOrder("t", 1, ""), begin);
        CHECK(report.refused.at(0).code == ResultCode::HostUnusable);
    }
    SUBCASE("the payload requests a failure")
    {
        sender.start(makeStartOrder("t", 1, R"({"run_ms":10,"fail":true})"), begin);
        CHECK(sender.send(begin + 1s).ended.at(0).outcome == RunOutcome::Failed);
    }
}
