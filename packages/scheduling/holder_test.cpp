#include "kernel/pluginregistry.h"
#include "scheduling/holder.h"
#include "state/codec.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace acaciadeal;
using namespace std::chrono_literals;

namespace {

constexpr Resources hostSize{4000, 4000, 1};

/// Worker that executes orders as the interface requires, but does not check the start window. A
/// test decides by the orders that it delivers, or by refuseStarts, which starts take effect.
struct FakeWorker
{
    std::string bootId = "boot-1";
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t permit = 100;
    std::set<TaskRun> running;
    std::vector<EndedRun> ended;
    std::optional<milliseconds> leaseRemaining;
    bool refuseStarts = false;

    WorkerReport executeOrders(const WorkerOrders &orders)
    {
        WorkerReport report{.bootId = bootId, .permit = ++permit};
        report.stale =
            orders.epoch < epoch || (orders.epoch == epoch && orders.sequence <= sequence);
        if (!report.stale) {
            epoch = orders.epoch;
            sequence = orders.sequence;
            for (const StartOrder &start : orders.starts) {
                if (refuseStarts) {
                    report.refused.push_back({start.run, ResultCode::StalePermit});
                } else {
                    running.insert(start.run);
                }
            }
            for (const TaskRun &run : orders.stops) {
                if (running.erase(run) > 0) {
                    ended.push_back({run, RunOutcome::Stopped, "checkpoint", ""});
                }
            }
            for (const TaskRun &run : orders.acknowledged) {
                std::erase_if(ended, [&run](const EndedRun &item) { return item.run == run; });
            }
        }
        report.epoch = epoch;
        report.sequence = orders.sequence;
        report.leaseRemaining = leaseRemaining;
        for (const TaskRun &run : running) {
            report.running.push_back({.run = run});
        }
        report.ended = ended;
        return report;
    }

    void endRun(const TaskRun &run, RunOutcome outcome)
    {
        REQUIRE(running.erase(run) == 1);
        ended.push_back({run, outcome, "", "detail"});
    }
};

std::string nameWithNumber(std::string prefix, int number)
{
    return prefix.append(std::to_string(number));
}

Task makeTask(const std::string &id, TaskClass taskClass = TaskClass::Batch,
              Resources size = {1000, 1000, 0})
{
    return {.spec = {.id = {id},
                     .job = {"job-" + id},
                     .team = {"crews"},
                     .taskClass = taskClass,
                     .size = size}};
}

std::vector<Task> makeTasks(const std::string &prefix, int count)
{
    std::vector<Task> tasks;
    tasks.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        tasks.push_back(makeTask(nameWithNumber(prefix, n)));
    }
    return tasks;
}

/// Holder of one shard, with a manual clock and fake workers.
struct HolderFixture
{
    TimePoint now{1h};
    Holder holder;
    std::map<HostId, FakeWorker> workers;

    explicit HolderFixture(int hosts, HolderOptions options = {})
    {
        options.placement = PluginRegistry<PlacementPolicy>::instance().find("first-fit").value();
        ShardState state;
        state.shard = {"lowell-yard"};
        holder = makeHolder(std::move(options), std::move(state), 1, now);
        std::vector<Change> changes;
        for (int n = 1; n <= hosts; ++n) {
            const HostId id{nameWithNumber("h", n)};
            workers[id];
            changes.emplace_back(HostUpdated{id, {nameWithNumber("r", n)}, hostSize});
        }
        appendEntry({}, std::move(changes));
        exchangeOrders();
    }

    void appendEntry(const Proposal &proposal, std::vector<Change> callerChanges = {})
    {
        LogEntry entry{.shard = holder.state.shard,
                       .epoch = holder.epoch,
                       .sequence = holder.state.lastSequence + 1,
                       .changes = proposal.changes};
        std::move(callerChanges.begin(), callerChanges.end(), std::back_inserter(entry.changes));
        const auto result = applyProposal(holder, proposal, entry, now);
        REQUIRE_MESSAGE(result, result.error().message);
    }

    Proposal proposeAndAppend()
    {
        Proposal proposal = proposeChanges(holder, now);
        appendEntry(proposal);
        return proposal;
    }

    void acceptTasks(const std::vector<Task> &tasks)
    {
        std::vector<Change> changes;
        changes.reserve(tasks.size());
        for (const Task &task : tasks) {
            changes.emplace_back(JobAccepted{task.spec.job, {task}});
        }
        appendEntry({}, std::move(changes));
    }

    /// Delivers all due orders and their answers. The workers of @p unresponsiveHosts get no orders
    /// and do not answer.
    std::map<HostId, WorkerOrders> exchangeOrders(const std::set<HostId> &unresponsiveHosts = {})
    {
        auto orders = dueOrders(holder, now);
        for (const auto &[host, order] : orders) {
            if (unresponsiveHosts.contains(host)) {
                onOrdersUnanswered(holder, host, now);
            } else {
                onReport(holder, host, workers[host].executeOrders(order), now);
            }
        }
        return orders;
    }

    /// Places the waiting tasks that fit, and starts them.
    void placeAndStart()
    {
        for (int n = 0; n < 4; ++n) {
            now += 150ms;
            exchangeOrders();
            proposeAndAppend();
            exchangeOrders();
        }
    }

    const Task &task(const std::string &id) const
    {
        return holder.state.tasks.at({id});
    }

    /// Replaces the holder by a new one that has recovered the same state.
    void replaceHolder()
    {
        const HolderOptions options = holder.options;
        holder = makeHolder(options, holder.state, holder.epoch + 1, now);
    }
};

template<typename T>
std::vector<T> changesOf(const Proposal &proposal)
{
    std::vector<T> result;
    for (const Change &change : proposal.changes) {
        if (const T *const item = std::get_if<T>(&change)) {
            result.push_back(*item);
        }
    }
    return result;
}

TaskRun runOf(const Task &task)
{
    return {task.spec.id, task.incarnation};
}

} // namespace

// Guards against tasks that never start, or whose result is not recorded or acknowledged.
TEST_CASE("a task is placed, started, finished and acknowledged")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    const TaskRun run = runOf(fixture.task("a"));
    CHECK(run.incarnation == 1);
    CHECK(fixture.workers[{"h1"}].running.contains(run));
    CHECK(explainTask(fixture.holder, {"a"}, fixture.now) == "The task runs on host h1.");
    fixture.workers[{"h1"}].endRun(run, RunOutcome::Finished);
    fixture.now += 5s;
    fixture.exchangeOrders();
    CHECK(changesOf<TaskReleased>(fixture.proposeAndAppend()).size() == 1);
    CHECK(fixture.task("a").state == TaskState::Finished);
    fixture.now += 100ms;
    CHECK(fixture.exchangeOrders().at({"h1"}).acknowledged == std::vector{run});
    CHECK(fixture.workers[{"h1"}].ended.empty());
    fixture.now += 100ms;
    CHECK(fixture.exchangeOrders().empty());
}

// Guards against a violation of guarantee G4: a start with a permit that was issued after the
// failure domain was taken out of service.
TEST_CASE("a start carries the permit received before its append was proposed")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    const Proposal proposal = proposeChanges(fixture.holder, fixture.now);
    REQUIRE(proposal.containsStart);
    const std::uint64_t before = proposal.permits.at({"h1"}).first;
    fixture.now += 500ms;
    fixture.holder.workers[{"h1"}].needsPermit = true;
    CHECK(fixture.exchangeOrders().size() == 1);
    CHECK(fixture.holder.workers[{"h1"}].permit == before + 1);
    fixture.appendEntry(proposal);
    const auto orders = fixture.exchangeOrders();
    REQUIRE(orders.at({"h1"}).starts.size() == 1);
    CHECK(orders.at({"h1"}).permit == before);
}

// Guards against a task that stays placed forever because its start was not sent in time.
TEST_CASE("a start that was never sent expires with its permit")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    const Proposal proposal = proposeChanges(fixture.holder, fixture.now);
    fixture.appendEntry(proposal);
    fixture.now += 2999ms;
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
    fixture.now += 1ms;
    CHECK(fixture.exchangeOrders().empty());
    const auto released = changesOf<TaskReleased>(fixture.proposeAndAppend());
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::StartExpired);
    CHECK(fixture.task("a").state == TaskState::Queued);
    fixture.placeAndStart();
    CHECK(fixture.task("a").incarnation == 2);
    CHECK(fixture.workers[{"h1"}].running.size() == 1);
}

// Guards against a violation of guarantee G2: a start whose answer was lost may have taken effect,
// however old its permit is.
TEST_CASE("a start that was sent expires only if the worker reports that it is not running")
{
    for (const bool executed : {false, true}) {
        HolderFixture fixture(2);
        fixture.acceptTasks({makeTask("a")});
        fixture.proposeAndAppend();
        const auto orders = dueOrders(fixture.holder, fixture.now);
        REQUIRE(orders.at({"h1"}).starts.size() == 1);
        if (executed) {
            fixture.workers[{"h1"}].executeOrders(orders.at({"h1"}));
        }
        fixture.now += 4s;
        onOrdersUnanswered(fixture.holder, {"h1"}, fixture.now);
        CHECK(changesOf<TaskReleased>(proposeChanges(fixture.holder, fixture.now)).empty());
        CHECK_FALSE(
            provablyNotRunning(fixture.holder, runOf(fixture.task("a")), {"h1"}, fixture.now));
        const auto next = fixture.exchangeOrders();
        CHECK(next.at({"h1"}).starts.empty());
        const auto released = changesOf<TaskReleased>(proposeChanges(fixture.holder, fixture.now));
        CHECK(released.size() == (executed ? 0 : 1));
        CHECK(provablyNotRunning(fixture.holder, runOf(fixture.task("a")), {"h1"}, fixture.now)
              != executed);
    }
}

// Guards against a violation of guarantee G2: a late answer to older orders being taken as proof
// about a later start, either while the start is in flight or after the worker has confirmed it.
TEST_CASE("an answer to older orders proves nothing about a later start")
{
    for (const bool confirmed : {false, true}) {
        HolderFixture fixture(1);
        fixture.acceptTasks({makeTask("a")});
        const Proposal proposal = proposeChanges(fixture.holder, fixture.now);
        fixture.now += 100ms;
        fixture.holder.workers[{"h1"}].needsPermit = true;
        const auto older = dueOrders(fixture.holder, fixture.now);
        const WorkerReport late = fixture.workers[{"h1"}].executeOrders(older.at({"h1"}));
        onOrdersUnanswered(fixture.holder, {"h1"}, fixture.now);
        fixture.appendEntry(proposal);
        fixture.now += 1s;
        const auto start = dueOrders(fixture.holder, fixture.now);
        REQUIRE(start.at({"h1"}).starts.size() == 1);
        const WorkerReport report = fixture.workers[{"h1"}].executeOrders(start.at({"h1"}));
        if (confirmed) {
            onReport(fixture.holder, {"h1"}, report, fixture.now);
        }
        onReport(fixture.holder, {"h1"}, late, fixture.now);
        CHECK(fixture.holder.absentRuns.empty());
        CHECK(fixture.holder.pendingStarts.empty() == confirmed);
        CHECK(fixture.holder.workers[{"h1"}].orderInFlight != confirmed);
        CHECK(changesOf<TaskReleased>(proposeChanges(fixture.holder, fixture.now)).empty());
    }
}

// Guards against assuming that a worker executed orders that it ignored.
TEST_CASE("a stale answer counts as no answer")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.proposeAndAppend();
    const auto orders = dueOrders(fixture.holder, fixture.now);
    fixture.workers[{"h1"}].sequence = orders.at({"h1"}).sequence;
    onReport(fixture.holder, {"h1"}, fixture.workers[{"h1"}].executeOrders(orders.at({"h1"})),
             fixture.now);
    CHECK(fixture.holder.absentRuns.empty());
    CHECK(fixture.holder.pendingStarts.size() == 1);
    CHECK(fixture.holder.workers[{"h1"}].unansweredOrders == 1);
}

// Guards against waiting until the lease lapses for a start that the worker refused.
TEST_CASE("a refused start is placed again under the next incarnation")
{
    HolderFixture fixture(1);
    fixture.workers[{"h1"}].refuseStarts = true;
    fixture.acceptTasks({makeTask("a")});
    fixture.proposeAndAppend();
    fixture.exchangeOrders();
    const auto released = changesOf<TaskReleased>(fixture.proposeAndAppend());
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::StartExpired);
    fixture.workers[{"h1"}].refuseStarts = false;
    fixture.placeAndStart();
    CHECK(fixture.task("a").incarnation == 2);
}

// Guards against a violation of guarantee G4 after a claim: the previous holder's permit may be
// older than the removal of the failure domain from service.
TEST_CASE("a new holder never sends the starts of the previous holder")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.proposeAndAppend();
    fixture.replaceHolder();
    const auto orders = fixture.exchangeOrders();
    CHECK(orders.at({"h1"}).starts.empty());
    CHECK(orders.at({"h1"}).permit == 0);
    const auto released = changesOf<TaskReleased>(proposeChanges(fixture.holder, fixture.now));
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::StartExpired);
}

// Guards against a violation of guarantee G2 after a claim: the previous holder may have granted
// leases up to the end of autonomy.
TEST_CASE(
    "after a claim the tasks of an unreachable worker count as running until autonomy has passed")
{
    HolderFixture fixture(2);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    const TaskRun run = runOf(fixture.task("a"));
    fixture.replaceHolder();
    const Duration wait = 3'600'000ms + 36'000ms; // autonomy x (1 + 2 x 0.5%)
    const TimePoint claimedAt = fixture.now;
    fixture.now = claimedAt + wait;
    CHECK_FALSE(provablyNotRunning(fixture.holder, run, {"h1"}, fixture.now));
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
    fixture.now += 1ms;
    CHECK(provablyNotRunning(fixture.holder, run, {"h1"}, fixture.now));
    const auto released = changesOf<TaskReleased>(proposeChanges(fixture.holder, fixture.now));
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::HostLost);
}

// Guards against a violation of guarantee G2 after a claim by a daemon with a shorter autonomy
// setting.
TEST_CASE("after a claim the previous holder's autonomy applies if it is longer")
{
    HolderFixture fixture(2);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    const TaskRun run = runOf(fixture.task("a"));
    fixture.holder.options.autonomy = 60'000ms;
    fixture.holder.options.predecessorAutonomy = 3'600'000ms;
    fixture.replaceHolder();
    const TimePoint claimedAt = fixture.now;
    CHECK_FALSE(provablyNotRunning(fixture.holder, run, {"h1"}, claimedAt + 3'636'000ms));
    CHECK(provablyNotRunning(fixture.holder, run, {"h1"}, claimedAt + 3'636'001ms));
}

// Guards against a worker that answers a new holder once and whose task then counts as lapsed after
// one normal lease, although the task still has the previous holder's longer lease.
TEST_CASE(
    "the previous holder's longest lease applies until the worker reports the remaining lease")
{
    for (const bool reportsRemaining : {false, true}) {
        HolderFixture fixture(1);
        fixture.acceptTasks({makeTask("a")});
        fixture.placeAndStart();
        fixture.replaceHolder();
        const TimePoint claimedAt = fixture.now;
        if (reportsRemaining) {
            fixture.workers[{"h1"}].leaseRemaining = 600s;
        }
        fixture.exchangeOrders();
        const TaskRun run = runOf(fixture.task("a"));
        fixture.now = claimedAt + 603s;
        CHECK_FALSE(provablyNotRunning(fixture.holder, run, {"h1"}, fixture.now));
        fixture.now += 1ms;
        CHECK(provablyNotRunning(fixture.holder, run, {"h1"}, fixture.now) == reportsRemaining);
    }
}

// Guards against the leases of running tasks lapsing after a claim, because the first orders carry
// no permit.
TEST_CASE("a new holder renews the leases of running tasks right after the first answer")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    fixture.replaceHolder();
    CHECK(fixture.exchangeOrders().at({"h1"}).permit == 0);
    fixture.now += 100ms;
    const auto orders = fixture.exchangeOrders();
    CHECK(orders.at({"h1"}).permit != 0);
    CHECK(orders.at({"h1"}).lease == 15s);
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
}

// Guards against a violation of guarantee G2: a lease that counts as lapsed before it ends on the
// worker's slower clock.
TEST_CASE("a lease lapses after its length plus the allowed clock drift from receipt of the permit")
{
    HolderFixture fixture(2);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    const TaskRun run = runOf(fixture.task("a"));
    fixture.now += 5s;
    const TimePoint received = *fixture.holder.workers[{"h1"}].permitReceivedAt;
    const auto orders = fixture.exchangeOrders({{"h1"}});
    REQUIRE(orders.at({"h1"}).permit != 0);
    fixture.now = received + 15'075ms;
    CHECK_FALSE(provablyNotRunning(fixture.holder, run, {"h1"}, fixture.now));
    CHECK(changesOf<TaskReleased>(proposeChanges(fixture.holder, fixture.now)).empty());
    fixture.now += 1ms;
    const auto released = changesOf<TaskReleased>(fixture.proposeAndAppend());
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::HostLost);
    CHECK(fixture.holder.state.hosts.at({"h1"}).committed == Resources{});
}

// Guards against leases that end later than a new holder waits for them.
TEST_CASE("no lease ends later than autonomy after the last confirmed ownership")
{
    HolderFixture fixture(1, {.autonomy = milliseconds(60'000)});
    const TimePoint end = fixture.holder.ownershipConfirmedAt + 60s;
    fixture.holder.platformReachable = false;
    bool renewed = false;
    for (int n = 0; n < 30; ++n) {
        fixture.now += 5s;
        const TimePoint received = *fixture.holder.workers[{"h1"}].permitReceivedAt;
        const auto order = fixture.exchangeOrders().at({"h1"});
        if (order.permit == 0) {
            CHECK(order.lease == 0ms);
            CHECK(fixture.now > end - 6s);
        } else {
            renewed = true;
            CHECK(received + order.lease * 1005 / 1000 <= end);
            CHECK(*fixture.holder.workers[{"h1"}].epochLeaseEnd <= end);
        }
    }
    CHECK(renewed);
}

// Guards against tasks whose leases lapse because the holder crashes during an outage of the
// platform.
TEST_CASE("the outage lease is granted while the platform is unreachable")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.holder.platformReachable = false;
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
    fixture.now += 5s;
    CHECK(fixture.exchangeOrders().at({"h1"}).lease == 600s);
}

// Guards against waiting for the lease to lapse although the restart of the worker proves that its
// tasks do not run.
TEST_CASE("a changed boot id proves that tasks started before do not run")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    fixture.workers[{"h1"}] = FakeWorker{.bootId = "boot-2"};
    fixture.now += 5s;
    fixture.exchangeOrders();
    const auto released = changesOf<TaskReleased>(proposeChanges(fixture.holder, fixture.now));
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::HostLost);
}

// Guards against tasks that wait for the end of autonomy although an operator has confirmed that
// the host is powered off.
TEST_CASE("an operator's confirmation that a host is off releases its tasks")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a"), makeTask("b")});
    fixture.placeAndStart();
    fixture.replaceHolder();
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
    confirmHostOff(fixture.holder, {"h1"});
    CHECK(changesOf<TaskReleased>(fixture.proposeAndAppend()).size() == 2);
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
}

// Guards against two runs of one task: a run that still exists after its release has to be stopped.
TEST_CASE("a run that is not placed any more is stopped and its result is acknowledged")
{
    HolderFixture fixture(1);
    fixture.workers[{"h1"}].running.insert({{"stray"}, 7});
    fixture.now += 5s;
    fixture.exchangeOrders();
    CHECK(fixture.exchangeOrders().at({"h1"}).stops == std::vector<TaskRun>{{{"stray"}, 7}});
    fixture.now += 5s;
    CHECK(fixture.exchangeOrders().at({"h1"}).acknowledged == std::vector<TaskRun>{{{"stray"}, 7}});
    CHECK(fixture.workers[{"h1"}].ended.empty());
}

// Guards against urgent tasks waiting behind batch tasks.
TEST_CASE("urgent tasks are placed first")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a", TaskClass::Batch, {3000, 1000, 0}),
                         makeTask("u", TaskClass::Urgent, {3000, 1000, 0})});
    const auto placed = changesOf<TaskPlaced>(proposeChanges(fixture.holder, fixture.now));
    REQUIRE(placed.size() == 1);
    CHECK(placed.at(0).task == TaskId{"u"});
}

// Guards against an urgent task waiting for batch tasks to end, against more evictions than it
// needs, and against batch tasks that take the capacity that was freed.
TEST_CASE("an urgent task preempts as few batch tasks as it needs")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a", TaskClass::Batch, {2000, 2000, 0}),
                         makeTask("b", TaskClass::Batch, {2000, 2000, 0})});
    fixture.placeAndStart();
    fixture.acceptTasks({makeTask("u", TaskClass::Urgent, {1500, 1500, 0}),
                         makeTask("c", TaskClass::Batch, {2000, 2000, 0})});
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
    CHECK(fixture.holder.stoppingRuns.size() == 1);
    CHECK(fixture.holder.stoppingRuns.contains({{"b"}, 1}));
    fixture.placeAndStart();
    CHECK(fixture.task("u").state == TaskState::Placed);
    CHECK(fixture.task("a").state == TaskState::Placed);
    CHECK(fixture.task("b").state == TaskState::Evicted);
    CHECK(fixture.task("b").checkpoint == "checkpoint");
    CHECK(fixture.task("b").evictions == 1);
    CHECK(fixture.task("c").state == TaskState::Queued);
}

// Guards against a violation of guarantee G3: an evicted task that resumes without its checkpoint.
TEST_CASE("an evicted task resumes from its checkpoint")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    fixture.holder.stoppingRuns[{{"a"}, 1}] = ReleaseReason::Evicted;
    fixture.now += 150ms;
    fixture.exchangeOrders();
    fixture.proposeAndAppend();
    fixture.proposeAndAppend();
    const auto orders = fixture.exchangeOrders();
    REQUIRE(orders.at({"h1"}).starts.size() == 1);
    CHECK(orders.at({"h1"}).starts.at(0).run == TaskRun{{"a"}, 2});
    CHECK(orders.at({"h1"}).starts.at(0).checkpoint == "checkpoint");
}

// Guards against one team using the capacity of the others.
TEST_CASE("a team does not exceed its quota")
{
    HolderFixture fixture(4, {.quotas = {{{"crews"}, {2500, 100'000, 10}}}});
    fixture.acceptTasks({makeTask("a"), makeTask("b"), makeTask("c")});
    CHECK(changesOf<TaskPlaced>(fixture.proposeAndAppend()).size() == 2);
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
    CHECK(explainTask(fixture.holder, {"c"}, fixture.now).find("quota of team crews")
          != std::string::npos);
}

// Guards against a task that can never run waiting forever or being rejected repeatedly.
TEST_CASE("a task larger than every host is rejected once with the reason")
{
    for (const Resources size :
         {Resources{4001, 1, 0}, Resources{1, 4001, 0}, Resources{1, 1, 2}}) {
        HolderFixture fixture(2);
        fixture.acceptTasks({makeTask("a", TaskClass::Urgent, size)});
        const auto rejected = changesOf<TaskRejected>(fixture.proposeAndAppend());
        REQUIRE(rejected.size() == 1);
        CHECK(rejected.at(0).reason.find("no host is large enough") == 0);
        CHECK(fixture.task("a").state == TaskState::Impossible);
        CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
    }
    HolderFixture empty(0);
    empty.acceptTasks({makeTask("a")});
    CHECK(proposeChanges(empty.holder, empty.now).changes.empty());
}

// Guards against placing all queued tasks, one after another, on a host on which every task fails.
TEST_CASE("a host on probation gets one trial task at a time")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a"), makeTask("b"), makeTask("c")});
    fixture.placeAndStart();
    for (const char *const id : {"a", "b", "c"}) {
        fixture.workers[{"h1"}].endRun({{id}, 1}, RunOutcome::Failed);
    }
    fixture.now += 5s;
    fixture.exchangeOrders();
    fixture.proposeAndAppend();
    REQUIRE(isOnProbation(fixture.holder, {"h1"}));
    CHECK(changesOf<TaskPlaced>(fixture.proposeAndAppend()).size() == 1);
    fixture.exchangeOrders();
    CHECK(changesOf<TaskPlaced>(fixture.proposeAndAppend()).empty());
    const auto &running = fixture.workers[{"h1"}].running;
    REQUIRE(running.size() == 1);
    fixture.workers[{"h1"}].endRun(*running.begin(), RunOutcome::Finished);
    fixture.now += 5s;
    fixture.exchangeOrders();
    CHECK_FALSE(isOnProbation(fixture.holder, {"h1"}));
    const Proposal next = proposeChanges(fixture.holder, fixture.now);
    CHECK(changesOf<TaskReleased>(next).size() == 1);
    CHECK(changesOf<TaskPlaced>(next).size() == 2);
}

// Guards against probation for a host on which one faulty task fails repeatedly.
TEST_CASE("failures of one task do not put a host on probation")
{
    HolderFixture fixture(1, {.probationFailures = 2});
    Task task = makeTask("a");
    task.spec.maxFailures = 10;
    fixture.acceptTasks({task});
    for (std::uint32_t n = 1; n <= 4; ++n) {
        fixture.placeAndStart();
        fixture.workers[{"h1"}].endRun({{"a"}, n}, RunOutcome::Failed);
        fixture.now += 5s;
        fixture.exchangeOrders();
        CHECK_FALSE(isOnProbation(fixture.holder, {"h1"}));
    }
}

// Guards against starts on a host that does not answer.
TEST_CASE("a host gets no starts after three unanswered orders")
{
    HolderFixture fixture(2);
    for (int n = 0; n < 3; ++n) {
        fixture.now += 5s;
        fixture.exchangeOrders({{"h1"}});
    }
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    CHECK(fixture.task("a").host == HostId{"h2"});
    CHECK(fixture.holder.workers[{"h1"}].unansweredOrders >= 3);
}

// Guards against a violation of guarantee G4 by a start in a failure domain that is out of service,
// and against a drain that stops all tasks at once or batch tasks first.
TEST_CASE(
    "a failure domain that is out of service drains at the configured rate and starts nothing")
{
    HolderFixture fixture(1, {.drainPerSecond = 2});
    fixture.acceptTasks({makeTask("a"), makeTask("b"), makeTask("s", TaskClass::LatencyCritical)});
    fixture.placeAndStart();
    REQUIRE(fixture.workers[{"h1"}].running.size() == 3);
    fixture.acceptTasks({makeTask("w")});
    setDomainInService(fixture.holder, false, fixture.now);
    CHECK_FALSE(proposeChanges(fixture.holder, fixture.now).containsStart);
    fixture.now += 500ms;
    CHECK(fixture.exchangeOrders().at({"h1"}).stops == std::vector<TaskRun>{{{"s"}, 1}});
    fixture.now += 250ms;
    CHECK(fixture.exchangeOrders().empty());
    fixture.now += 250ms;
    CHECK(fixture.exchangeOrders().at({"h1"}).stops == std::vector<TaskRun>{{{"a"}, 1}});
    fixture.proposeAndAppend();
    CHECK(fixture.task("s").state == TaskState::Evicted);
    CHECK(fixture.task("w").state == TaskState::Queued);
}

// Guards against a violation of guarantee G4: a start that was appended before the failure domain
// was taken out of service and has not been sent yet.
TEST_CASE("an unsent start is withdrawn when the failure domain is taken out of service")
{
    for (const bool appendedBefore : {true, false}) {
        HolderFixture fixture(1);
        fixture.acceptTasks({makeTask("a"), makeTask("b")});
        const Proposal proposal = proposeChanges(fixture.holder, fixture.now);
        if (appendedBefore) {
            fixture.appendEntry(proposal);
        }
        setDomainInService(fixture.holder, false, fixture.now);
        if (!appendedBefore) {
            fixture.appendEntry(proposal);
        }
        CHECK(fixture.exchangeOrders().empty());
        CHECK(changesOf<TaskReleased>(fixture.proposeAndAppend()).size() == 2);
    }
}

// Guards against tasks that stay in a failure domain that is out of service, or are lost while they
// are moved.
TEST_CASE("waiting tasks are moved to the target shards round-robin")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a"), makeTask("b"), makeTask("c")});
    setDomainInService(fixture.holder, false, fixture.now);
    const std::vector<ShardId> targets{{"worcester-depot"}, {"providence-shed"}};
    CHECK(proposeMoves(fixture.holder, {}, 10).empty());
    const auto moves = proposeMoves(fixture.holder, targets, 2);
    REQUIRE(moves.size() == 2);
    CHECK(std::get<TaskMoved>(moves[0]).toShard == targets[0]);
    CHECK(std::get<TaskMoved>(moves[1]).toShard == targets[1]);
    fixture.appendEntry({}, moves);
    CHECK(fixture.task("a").state == TaskState::Moved);
    CHECK(proposeMoves(fixture.holder, targets, 10).size() == 1);
}

// Guards against too many starts at once when a failure domain returns to service.
TEST_CASE("after a failure domain returns, the rate of placements grows by the refill rate")
{
    HolderFixture fixture(10, {.refillPerSecond = 2});
    fixture.acceptTasks(makeTasks("t", 40));
    setDomainInService(fixture.holder, false, fixture.now);
    setDomainInService(fixture.holder, true, fixture.now);
    CHECK(changesOf<TaskPlaced>(fixture.proposeAndAppend()).empty());
    for (const std::size_t expected : {2U, 4U, 6U}) {
        for (int n = 0; n < 10; ++n) {
            fixture.now += 100ms;
            for (auto &[host, view] : fixture.holder.workers) {
                view.needsPermit = true;
            }
            CHECK(fixture.exchangeOrders().size() == 10);
            if (n % 5 == 4) {
                const auto placed = changesOf<TaskPlaced>(fixture.proposeAndAppend());
                CHECK(placed.size() == expected / 2);
            }
        }
    }
}

// Guards against a cancelled task that continues to run or is placed again.
TEST_CASE("a cancelled task is stopped and ends")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    fixture.appendEntry({}, {TaskCancelled{{"a"}}});
    CHECK(fixture.exchangeOrders().at({"h1"}).stops.size() == 1);
    fixture.proposeAndAppend();
    CHECK(fixture.task("a").state == TaskState::Cancelled);
    CHECK(fixture.holder.stoppingRuns.empty());
}

// Guards against sending orders on every call although nothing has changed.
TEST_CASE("an idle worker gets orders once per renew period")
{
    HolderFixture fixture(1);
    int orders = 0;
    for (int n = 0; n < 1000; ++n) {
        fixture.now += 10ms;
        orders += static_cast<int>(fixture.exchangeOrders().size());
    }
    CHECK(orders == 2);
}

// Guards against fetching a permit on every call while tasks wait, or from hosts that are not
// needed.
TEST_CASE("a permit is fetched only from the chosen host, at most every 100 ms")
{
    HolderFixture fixture(3);
    fixture.now += 4s;
    fixture.acceptTasks({makeTask("a")});
    int orders = 0;
    for (int n = 0; n < 10; ++n) {
        fixture.now += 10ms;
        CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty() == (n == 0));
        const auto sent = fixture.exchangeOrders();
        orders += static_cast<int>(sent.size());
        CHECK_FALSE(sent.contains({"h2"}));
    }
    CHECK(orders == 1);
}

// Guards against resending a stop on every call while the task writes its checkpoint.
TEST_CASE("a stop that the worker has received is resent only with renewals")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    fixture.holder.stoppingRuns[{{"a"}, 1}] = ReleaseReason::Evicted;
    const auto orders = dueOrders(fixture.holder, fixture.now);
    REQUIRE(orders.at({"h1"}).stops.size() == 1);
    WorkerOrders withoutStops = orders.at({"h1"});
    withoutStops.stops.clear();
    onReport(fixture.holder, {"h1"}, fixture.workers[{"h1"}].executeOrders(withoutStops),
             fixture.now);
    fixture.now += 200ms;
    CHECK(fixture.exchangeOrders().empty());
    fixture.now += 5s;
    CHECK(fixture.exchangeOrders().at({"h1"}).stops.size() == 1);
}

TEST_CASE("a throttle is sent until the worker reports it")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    setThrottle(fixture.holder, {{"a"}, 1}, 50);
    fixture.now += 100ms;
    CHECK(fixture.exchangeOrders().at({"h1"}).throttles
          == std::vector<ThrottleOrder>{{{{"a"}, 1}, 50}});
}

// Guards against late tasks that are not reported.
TEST_CASE("tasks beyond their deadline are late until they end")
{
    HolderFixture fixture(1);
    Task task = makeTask("a");
    task.spec.deadline = 10s;
    fixture.acceptTasks({task});
    fixture.placeAndStart();
    CHECK(lateTasks(fixture.holder, fixture.now).empty());
    fixture.now += 10s;
    CHECK(lateTasks(fixture.holder, fixture.now) == std::vector<TaskId>{{"a"}});
    CHECK(fixture.task("a").state == TaskState::Placed);
    fixture.workers[{"h1"}].endRun({{"a"}, 1}, RunOutcome::Finished);
    fixture.exchangeOrders();
    fixture.proposeAndAppend();
    CHECK(lateTasks(fixture.holder, fixture.now).empty());
}

// Guards against a log entry larger than a row of the platform's table may be.
TEST_CASE("a proposal stays within the entry limits")
{
    HolderFixture fixture(10, {.maxChangesPerEntry = 7});
    fixture.acceptTasks(makeTasks("t", 30));
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.size() == 7);
    HolderFixture fixtureWithLongIds(10);
    fixtureWithLongIds.acceptTasks(makeTasks(std::string(4000, 'x'), 30));
    const auto changes = proposeChanges(fixtureWithLongIds.holder, fixtureWithLongIds.now).changes;
    CHECK(changes.size() > 10);
    CHECK(encodeLogEntry({.changes = changes}).size() < 64 * 1024);
}

// Guards against orders that a host refuses forever, because it remembers the last sequence of the
// epoch.
TEST_CASE("a host that is removed and added again gets higher sequences")
{
    HolderFixture fixture(1);
    fixture.now += 5s;
    fixture.exchangeOrders();
    fixture.appendEntry({}, {HostRemoved{{"h1"}}});
    fixture.appendEntry({}, {HostUpdated{{"h1"}, {"r1"}, hostSize}});
    fixture.exchangeOrders();
    CHECK(fixture.holder.workers[{"h1"}].epochAcknowledged);
}

// Guards against an urgent task that waits for evictions on a host that has just stopped answering.
TEST_CASE("a preemption moves to another host when its host does not answer")
{
    HolderFixture fixture(2);
    fixture.acceptTasks(
        {makeTask("a", TaskClass::Batch, hostSize), makeTask("b", TaskClass::Batch, hostSize)});
    fixture.placeAndStart();
    fixture.acceptTasks({makeTask("u", TaskClass::Urgent, {1500, 1500, 0})});
    proposeChanges(fixture.holder, fixture.now);
    REQUIRE(fixture.holder.preemptions.at({"u"}).host == HostId{"h1"});
    fixture.exchangeOrders({{"h1"}});
    proposeChanges(fixture.holder, fixture.now);
    CHECK(fixture.holder.preemptions.at({"u"}).host == HostId{"h2"});
}

// Guards against using an answer from another epoch as proof or as a source of permits.
TEST_CASE("an answer from another epoch is ignored")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a")});
    fixture.placeAndStart();
    fixture.now += 5s;
    const auto orders = dueOrders(fixture.holder, fixture.now);
    const std::uint64_t permit = fixture.holder.workers[{"h1"}].permit;
    onReport(fixture.holder, {"h1"},
             {.bootId = "boot-2",
              .epoch = fixture.holder.epoch + 1,
              .sequence = orders.at({"h1"}).sequence,
              .permit = 999},
             fixture.now);
    CHECK(fixture.holder.absentRuns.empty());
    CHECK(fixture.holder.workers[{"h1"}].permit == permit);
    CHECK(fixture.holder.workers[{"h1"}].unansweredOrders == 1);
}

// Guards against waiting tasks beyond the scan limit that no proposal ever examines.
TEST_CASE("the scan of a long queue resumes where the last one ended")
{
    HolderFixture fixture(1);
    std::vector<Task> tasks;
    for (Task &task : makeTasks("t", 3000)) {
        task.spec.team = {"held"};
        tasks.push_back(std::move(task));
    }
    tasks.push_back(makeTask("last"));
    fixture.holder.options.quotas[{"held"}] = {};
    fixture.acceptTasks(tasks);
    CHECK(proposeChanges(fixture.holder, fixture.now).changes.empty());
    const auto placed = changesOf<TaskPlaced>(proposeChanges(fixture.holder, fixture.now));
    REQUIRE(placed.size() == 1);
    CHECK(placed.at(0).task == TaskId{"last"});
}

// Guards against placement totals that no longer match the durable state after a host changes its
// rack.
TEST_CASE("the placement totals by rack and host follow releases and rack changes")
{
    HolderFixture fixture(1);
    fixture.acceptTasks({makeTask("a"), makeTask("s", TaskClass::LatencyCritical)});
    fixture.placeAndStart();
    fixture.appendEntry({}, {TaskReleased{{"a"}, 1, ReleaseReason::Finished, "", ""},
                             HostUpdated{{"h1"}, {"r9"}, hostSize}});
    CHECK(fixture.holder.placementsByJobAndRack.size() == 1);
    CHECK(fixture.holder.placementsByJobAndRack.at({"job-s"})
          == std::map<RackId, std::uint32_t>{{{"r9"}, 1}});
    CHECK(fixture.holder.loadByHost.at({"h1"}).batch == Resources{});
    CHECK(fixture.holder.loadByHost.at({"h1"}).latencyCritical == Resources{1000, 1000, 0});
}
