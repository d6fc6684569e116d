#include "kernel/pluginregistry.h"
#include "scheduling/holder.h"
#include "state/codec.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace acaciadeal;
using namespace std::chrono_literals;

namespace {

constexpr Resources hostSize{4000, 4000, 1};

/// Worker that carries out orders as the interface demands, without the start window, which the
/// tests set by what they deliver.
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

    WorkerReport carryOut(const WorkerOrders &orders)
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

    void end(const TaskRun &run, RunOutcome outcome)
    {
        REQUIRE(running.erase(run) == 1);
        ended.push_back({run, outcome, "", "detail"});
    }
};

std::string numbered(std::string prefix, int number)
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
        tasks.push_back(makeTask(numbered(prefix, n)));
    }
    return tasks;
}

/// Holder of one shard with a manual clock and fake workers.
struct Cell
{
    TimePoint now{1h};
    Holder holder;
    std::map<HostId, FakeWorker> workers;

    explicit Cell(int hosts, HolderOptions options = {})
    {
        options.placement = PluginRegistry<PlacementPolicy>::instance().find("first-fit").value();
        ShardState state;
        state.shard = {"lowell-yard"};
        holder = makeHolder(std::move(options), std::move(state), 1, now);
        std::vector<Change> changes;
        for (int n = 1; n <= hosts; ++n) {
            const HostId id{numbered("h", n)};
            workers[id];
            changes.emplace_back(HostUpdated{id, {numbered("r", n)}, hostSize});
        }
        append({}, std::move(changes));
        exchange();
    }

    void append(const Proposal &proposal, std::vector<Change> more = {})
    {
        LogEntry entry{.shard = holder.state.shard,
                       .epoch = holder.epoch,
                       .sequence = holder.state.lastSequence + 1,
                       .changes = proposal.changes};
        std::move(more.begin(), more.end(), std::back_inserter(entry.changes));
        const auto result = commitProposal(holder, proposal, entry, now);
        REQUIRE_MESSAGE(result, result.error().message);
    }

    Proposal proposeAndAppend()
    {
        Proposal proposal = propose(holder, now);
        append(proposal);
        return proposal;
    }

    void accept(const std::vector<Task> &tasks)
    {
        std::vector<Change> changes;
        changes.reserve(tasks.size());
        for (const Task &task : tasks) {
            changes.emplace_back(JobAccepted{task.spec.job, {task}});
        }
        append({}, std::move(changes));
    }

    /// Delivers all due orders and their answers. Workers that are named as lost do not answer.
    std::map<HostId, WorkerOrders> exchange(const std::set<HostId> &lost = {})
    {
        auto orders = dueOrders(holder, now);
        for (const auto &[host, order] : orders) {
            if (lost.contains(host)) {
                onNoReport(holder, host, now);
            } else {
                onReport(holder, host, workers[host].carryOut(order), now);
            }
        }
        return orders;
    }

    /// Places what fits and starts it.
    void settle()
    {
        for (int n = 0; n < 4; ++n) {
            now += 150ms;
            exchange();
            proposeAndAppend();
            exchange();
        }
    }

    const Task &task(const std::string &id) const
    {
        return holder.state.tasks.at({id});
    }

    /// Replaces the holder by a new one that recovered the same state.
    void claim()
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

// Guards against work that never starts, or whose result is not recorded or acknowledged.
TEST_CASE("a task is placed, started, finished and acknowledged")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.settle();
    const TaskRun run = runOf(cell.task("a"));
    CHECK(run.incarnation == 1);
    CHECK(cell.workers[{"h1"}].running.contains(run));
    CHECK(explain(cell.holder, {"a"}, cell.now) == "The task runs on host h1.");
    cell.workers[{"h1"}].end(run, RunOutcome::Finished);
    cell.now += 5s;
    cell.exchange();
    CHECK(changesOf<TaskReleased>(cell.proposeAndAppend()).size() == 1);
    CHECK(cell.task("a").state == TaskState::Finished);
    cell.now += 100ms;
    CHECK(cell.exchange().at({"h1"}).acknowledged == std::vector{run});
    CHECK(cell.workers[{"h1"}].ended.empty());
    cell.now += 100ms;
    CHECK(cell.exchange().empty());
}

// Guards against G4: a start with a permit that was issued after the failure domain was taken out.
TEST_CASE("a start carries the permit received before its append was proposed")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    const Proposal proposal = propose(cell.holder, cell.now);
    REQUIRE(proposal.containsStart);
    const std::uint64_t before = proposal.permits.at({"h1"}).first;
    cell.now += 500ms;
    cell.holder.workers[{"h1"}].permitWanted = true;
    CHECK(cell.exchange().size() == 1);
    CHECK(cell.holder.workers[{"h1"}].permit == before + 1);
    cell.append(proposal);
    const auto orders = cell.exchange();
    REQUIRE(orders.at({"h1"}).starts.size() == 1);
    CHECK(orders.at({"h1"}).permit == before);
}

// Guards against a task that stays placed for ever because its start was never sent in time.
TEST_CASE("a start that was never sent expires with its permit")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    const Proposal proposal = propose(cell.holder, cell.now);
    cell.append(proposal);
    cell.now += 2999ms;
    CHECK(propose(cell.holder, cell.now).changes.empty());
    cell.now += 1ms;
    CHECK(cell.exchange().empty());
    const auto released = changesOf<TaskReleased>(cell.proposeAndAppend());
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::StartExpired);
    CHECK(cell.task("a").state == TaskState::Queued);
    cell.settle();
    CHECK(cell.task("a").incarnation == 2);
    CHECK(cell.workers[{"h1"}].running.size() == 1);
}

// Guards against G2: a start whose answer was lost may have taken effect, whatever its permit's
// age.
TEST_CASE("a start that was sent expires only on the worker's word")
{
    for (const bool carriedOut : {false, true}) {
        Cell cell(2);
        cell.accept({makeTask("a")});
        cell.proposeAndAppend();
        const auto orders = dueOrders(cell.holder, cell.now);
        REQUIRE(orders.at({"h1"}).starts.size() == 1);
        if (carriedOut) {
            cell.workers[{"h1"}].carryOut(orders.at({"h1"}));
        }
        cell.now += 4s;
        onNoReport(cell.holder, {"h1"}, cell.now);
        CHECK(changesOf<TaskReleased>(propose(cell.holder, cell.now)).empty());
        CHECK_FALSE(provablyNotRunning(cell.holder, runOf(cell.task("a")), {"h1"}, cell.now));
        const auto next = cell.exchange();
        CHECK(next.at({"h1"}).starts.empty());
        const auto released = changesOf<TaskReleased>(propose(cell.holder, cell.now));
        CHECK(released.size() == (carriedOut ? 0 : 1));
        CHECK(provablyNotRunning(cell.holder, runOf(cell.task("a")), {"h1"}, cell.now)
              != carriedOut);
    }
}

// Guards against G2: a late answer to older orders taken as proof about a younger start, either
// while the start is on its way or after the worker has confirmed it.
TEST_CASE("an answer to older orders proves nothing about a younger start")
{
    for (const bool confirmed : {false, true}) {
        Cell cell(1);
        cell.accept({makeTask("a")});
        const Proposal proposal = propose(cell.holder, cell.now);
        cell.now += 100ms;
        cell.holder.workers[{"h1"}].permitWanted = true;
        const auto older = dueOrders(cell.holder, cell.now);
        const WorkerReport late = cell.workers[{"h1"}].carryOut(older.at({"h1"}));
        onNoReport(cell.holder, {"h1"}, cell.now);
        cell.append(proposal);
        cell.now += 1s;
        const auto start = dueOrders(cell.holder, cell.now);
        REQUIRE(start.at({"h1"}).starts.size() == 1);
        const WorkerReport report = cell.workers[{"h1"}].carryOut(start.at({"h1"}));
        if (confirmed) {
            onReport(cell.holder, {"h1"}, report, cell.now);
        }
        onReport(cell.holder, {"h1"}, late, cell.now);
        CHECK(cell.holder.absent.empty());
        CHECK(cell.holder.pendingStarts.empty() == confirmed);
        CHECK(cell.holder.workers[{"h1"}].orderInFlight != confirmed);
        CHECK(changesOf<TaskReleased>(propose(cell.holder, cell.now)).empty());
    }
}

// Guards against a worker that ignores the orders being taken for one that carried them out.
TEST_CASE("a stale answer counts as none")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.proposeAndAppend();
    const auto orders = dueOrders(cell.holder, cell.now);
    cell.workers[{"h1"}].sequence = orders.at({"h1"}).sequence;
    onReport(cell.holder, {"h1"}, cell.workers[{"h1"}].carryOut(orders.at({"h1"})), cell.now);
    CHECK(cell.holder.absent.empty());
    CHECK(cell.holder.pendingStarts.size() == 1);
    CHECK(cell.holder.workers[{"h1"}].unanswered == 1);
}

// Guards against a start that the worker refused being waited for until the lease lapses.
TEST_CASE("a refused start is placed again under the next incarnation")
{
    Cell cell(1);
    cell.workers[{"h1"}].refuseStarts = true;
    cell.accept({makeTask("a")});
    cell.proposeAndAppend();
    cell.exchange();
    const auto released = changesOf<TaskReleased>(cell.proposeAndAppend());
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::StartExpired);
    cell.workers[{"h1"}].refuseStarts = false;
    cell.settle();
    CHECK(cell.task("a").incarnation == 2);
}

// Guards against G4 across a claim: the predecessor's permit may be older than the take-out.
TEST_CASE("a new holder never sends its predecessor's starts")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.proposeAndAppend();
    cell.claim();
    const auto orders = cell.exchange();
    CHECK(orders.at({"h1"}).starts.empty());
    CHECK(orders.at({"h1"}).permit == 0);
    const auto released = changesOf<TaskReleased>(propose(cell.holder, cell.now));
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::StartExpired);
}

// Guards against G2 across a claim: the predecessor may have granted leases up to autonomy.
TEST_CASE("after a claim an unreachable worker counts as running until autonomy has passed")
{
    Cell cell(2);
    cell.accept({makeTask("a")});
    cell.settle();
    const TaskRun run = runOf(cell.task("a"));
    cell.claim();
    const Duration wait = 3'600'000ms + 36'000ms; // autonomy x (1 + 2 x 0.5%)
    const TimePoint claimedAt = cell.now;
    cell.now = claimedAt + wait;
    CHECK_FALSE(provablyNotRunning(cell.holder, run, {"h1"}, cell.now));
    CHECK(propose(cell.holder, cell.now).changes.empty());
    cell.now += 1ms;
    CHECK(provablyNotRunning(cell.holder, run, {"h1"}, cell.now));
    const auto released = changesOf<TaskReleased>(propose(cell.holder, cell.now));
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::HostLost);
}

// Guards against G2 across a claim by a daemon whose settings name a shorter autonomy.
TEST_CASE("after a claim the longer autonomy of the predecessor counts")
{
    Cell cell(2);
    cell.accept({makeTask("a")});
    cell.settle();
    const TaskRun run = runOf(cell.task("a"));
    cell.holder.options.autonomy = 60'000ms;
    cell.holder.options.predecessorAutonomy = 3'600'000ms;
    cell.claim();
    const TimePoint claimedAt = cell.now;
    CHECK_FALSE(provablyNotRunning(cell.holder, run, {"h1"}, claimedAt + 3'636'000ms));
    CHECK(provablyNotRunning(cell.holder, run, {"h1"}, claimedAt + 3'636'001ms));
}

// Guards against a worker that answers a new holder once and is then taken for lapsed after one
// normal lease, although its task still has the predecessor's longer lease.
TEST_CASE("the predecessor's lease counts until the worker tells what remains of it")
{
    for (const bool tells : {false, true}) {
        Cell cell(1);
        cell.accept({makeTask("a")});
        cell.settle();
        cell.claim();
        const TimePoint claimedAt = cell.now;
        if (tells) {
            cell.workers[{"h1"}].leaseRemaining = 600s;
        }
        cell.exchange();
        const TaskRun run = runOf(cell.task("a"));
        cell.now = claimedAt + 603s;
        CHECK_FALSE(provablyNotRunning(cell.holder, run, {"h1"}, cell.now));
        cell.now += 1ms;
        CHECK(provablyNotRunning(cell.holder, run, {"h1"}, cell.now) == tells);
    }
}

// Guards against running tasks lapsing after a claim because the first orders carry no permit.
TEST_CASE("a new holder renews running tasks right after the first answer")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.settle();
    cell.claim();
    CHECK(cell.exchange().at({"h1"}).permit == 0);
    cell.now += 100ms;
    const auto orders = cell.exchange();
    CHECK(orders.at({"h1"}).permit != 0);
    CHECK(orders.at({"h1"}).lease == 15s);
    CHECK(propose(cell.holder, cell.now).changes.empty());
}

// Guards against G2: a lease that is taken for lapsed before the worker's slow clock ends it.
TEST_CASE("a lease lapses one lease and the drift allowance after the permit was received")
{
    Cell cell(2);
    cell.accept({makeTask("a")});
    cell.settle();
    const TaskRun run = runOf(cell.task("a"));
    cell.now += 5s;
    const TimePoint received = *cell.holder.workers[{"h1"}].permitReceivedAt;
    const auto orders = cell.exchange({{"h1"}});
    REQUIRE(orders.at({"h1"}).permit != 0);
    cell.now = received + 15'075ms;
    CHECK_FALSE(provablyNotRunning(cell.holder, run, {"h1"}, cell.now));
    CHECK(changesOf<TaskReleased>(propose(cell.holder, cell.now)).empty());
    cell.now += 1ms;
    const auto released = changesOf<TaskReleased>(cell.proposeAndAppend());
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::HostLost);
    CHECK(cell.holder.state.hosts.at({"h1"}).committed == Resources{});
}

// Guards against leases that outlive the time that a claimer waits.
TEST_CASE("no lease ends after the confirmed ownership and autonomy")
{
    Cell cell(1, {.autonomy = milliseconds(60'000)});
    const TimePoint end = cell.holder.ownershipConfirmedAt + 60s;
    cell.holder.platformReachable = false;
    bool renewed = false;
    for (int n = 0; n < 30; ++n) {
        cell.now += 5s;
        const TimePoint received = *cell.holder.workers[{"h1"}].permitReceivedAt;
        const auto order = cell.exchange().at({"h1"});
        if (order.permit == 0) {
            CHECK(order.lease == 0ms);
            CHECK(cell.now > end - 6s);
        } else {
            renewed = true;
            CHECK(received + order.lease * 1005 / 1000 <= end);
            CHECK(*cell.holder.workers[{"h1"}].leaseBound <= end);
        }
    }
    CHECK(renewed);
}

// Guards against tasks lost to a holder's crash during an outage of the platform.
TEST_CASE("the outage lease is granted while the platform is unreachable")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.holder.platformReachable = false;
    CHECK(propose(cell.holder, cell.now).changes.empty());
    cell.now += 5s;
    CHECK(cell.exchange().at({"h1"}).lease == 600s);
}

// Guards against waiting for a lapse although the worker's restart proves that nothing runs.
TEST_CASE("a changed boot id proves that earlier tasks are gone")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.settle();
    cell.workers[{"h1"}] = FakeWorker{.bootId = "boot-2"};
    cell.now += 5s;
    cell.exchange();
    const auto released = changesOf<TaskReleased>(propose(cell.holder, cell.now));
    REQUIRE(released.size() == 1);
    CHECK(released.at(0).reason == ReleaseReason::HostLost);
}

// Guards against work that waits for autonomy although the operator has confirmed the host off.
TEST_CASE("an operator's confirmation releases the tasks of a host")
{
    Cell cell(1);
    cell.accept({makeTask("a"), makeTask("b")});
    cell.settle();
    cell.claim();
    CHECK(propose(cell.holder, cell.now).changes.empty());
    confirmHostOff(cell.holder, {"h1"});
    CHECK(changesOf<TaskReleased>(cell.proposeAndAppend()).size() == 2);
    CHECK(propose(cell.holder, cell.now).changes.empty());
}

// Guards against two copies: a run that outlived its release has to be stopped.
TEST_CASE("a run that is not placed any more is stopped and its result is acknowledged")
{
    Cell cell(1);
    cell.workers[{"h1"}].running.insert({{"stray"}, 7});
    cell.now += 5s;
    cell.exchange();
    CHECK(cell.exchange().at({"h1"}).stops == std::vector<TaskRun>{{{"stray"}, 7}});
    cell.now += 5s;
    CHECK(cell.exchange().at({"h1"}).acknowledged == std::vector<TaskRun>{{{"stray"}, 7}});
    CHECK(cell.workers[{"h1"}].ended.empty());
}

// Guards against urgent work that waits behind batch work.
TEST_CASE("urgent tasks are placed first")
{
    Cell cell(1);
    cell.accept({makeTask("a", TaskClass::Batch, {3000, 1000, 0}),
                 makeTask("u", TaskClass::Urgent, {3000, 1000, 0})});
    const auto placed = changesOf<TaskPlaced>(propose(cell.holder, cell.now));
    REQUIRE(placed.size() == 1);
    CHECK(placed.at(0).task == TaskId{"u"});
}

// Guards against an urgent task waiting for batch work, against more evictions than it needs, and
// against batch work that takes the room that was made.
TEST_CASE("an urgent task preempts as few batch tasks as it needs")
{
    Cell cell(1);
    cell.accept({makeTask("a", TaskClass::Batch, {2000, 2000, 0}),
                 makeTask("b", TaskClass::Batch, {2000, 2000, 0})});
    cell.settle();
    cell.accept({makeTask("u", TaskClass::Urgent, {1500, 1500, 0}),
                 makeTask("c", TaskClass::Batch, {2000, 2000, 0})});
    CHECK(propose(cell.holder, cell.now).changes.empty());
    CHECK(propose(cell.holder, cell.now).changes.empty());
    CHECK(cell.holder.stopping.size() == 1);
    CHECK(cell.holder.stopping.contains({{"b"}, 1}));
    cell.settle();
    CHECK(cell.task("u").state == TaskState::Placed);
    CHECK(cell.task("a").state == TaskState::Placed);
    CHECK(cell.task("b").state == TaskState::Evicted);
    CHECK(cell.task("b").checkpoint == "checkpoint");
    CHECK(cell.task("b").evictions == 1);
    CHECK(cell.task("c").state == TaskState::Queued);
}

// Guards against G3: an evicted task that resumes without its checkpoint.
TEST_CASE("an evicted task resumes from its checkpoint")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.settle();
    cell.holder.stopping[{{"a"}, 1}] = ReleaseReason::Evicted;
    cell.now += 150ms;
    cell.exchange();
    cell.proposeAndAppend();
    cell.proposeAndAppend();
    const auto orders = cell.exchange();
    REQUIRE(orders.at({"h1"}).starts.size() == 1);
    CHECK(orders.at({"h1"}).starts.at(0).run == TaskRun{{"a"}, 2});
    CHECK(orders.at({"h1"}).starts.at(0).checkpoint == "checkpoint");
}

// Guards against one team taking the room of the others.
TEST_CASE("a team is held to its quota")
{
    Cell cell(4, {.quotas = {{{"crews"}, {2500, 100'000, 10}}}});
    cell.accept({makeTask("a"), makeTask("b"), makeTask("c")});
    CHECK(changesOf<TaskPlaced>(cell.proposeAndAppend()).size() == 2);
    CHECK(propose(cell.holder, cell.now).changes.empty());
    CHECK(explain(cell.holder, {"c"}, cell.now).find("quota of team crews") != std::string::npos);
}

// Guards against a job that can never run being waited for, or reported over and over.
TEST_CASE("a task larger than every host is rejected once with the reason")
{
    for (const Resources size :
         {Resources{4001, 1, 0}, Resources{1, 4001, 0}, Resources{1, 1, 2}}) {
        Cell cell(2);
        cell.accept({makeTask("a", TaskClass::Urgent, size)});
        const auto rejected = changesOf<TaskRejected>(cell.proposeAndAppend());
        REQUIRE(rejected.size() == 1);
        CHECK(rejected.at(0).reason.find("no host is large enough") == 0);
        CHECK(cell.task("a").state == TaskState::Impossible);
        CHECK(propose(cell.holder, cell.now).changes.empty());
    }
    Cell empty(0);
    empty.accept({makeTask("a")});
    CHECK(propose(empty.holder, empty.now).changes.empty());
}

// Guards against a worker that fails everything it starts draining the queue.
TEST_CASE("a host on probation gets one trial task at a time")
{
    Cell cell(1);
    cell.accept({makeTask("a"), makeTask("b"), makeTask("c")});
    cell.settle();
    for (const char *const id : {"a", "b", "c"}) {
        cell.workers[{"h1"}].end({{id}, 1}, RunOutcome::Failed);
    }
    cell.now += 5s;
    cell.exchange();
    cell.proposeAndAppend();
    REQUIRE(isOnProbation(cell.holder, {"h1"}));
    CHECK(changesOf<TaskPlaced>(cell.proposeAndAppend()).size() == 1);
    cell.exchange();
    CHECK(changesOf<TaskPlaced>(cell.proposeAndAppend()).empty());
    const auto &running = cell.workers[{"h1"}].running;
    REQUIRE(running.size() == 1);
    cell.workers[{"h1"}].end(*running.begin(), RunOutcome::Finished);
    cell.now += 5s;
    cell.exchange();
    CHECK_FALSE(isOnProbation(cell.holder, {"h1"}));
    const Proposal next = propose(cell.holder, cell.now);
    CHECK(changesOf<TaskReleased>(next).size() == 1);
    CHECK(changesOf<TaskPlaced>(next).size() == 2);
}

// Guards against probation for a host on which one bad task fails again and again.
TEST_CASE("failures of one task do not put a host on probation")
{
    Cell cell(1, {.probationFailures = 2});
    Task task = makeTask("a");
    task.spec.maxFailures = 10;
    cell.accept({task});
    for (std::uint32_t n = 1; n <= 4; ++n) {
        cell.settle();
        cell.workers[{"h1"}].end({{"a"}, n}, RunOutcome::Failed);
        cell.now += 5s;
        cell.exchange();
        CHECK_FALSE(isOnProbation(cell.holder, {"h1"}));
    }
}

// Guards against starts on a host that does not answer.
TEST_CASE("a host that does not answer three times gets no starts")
{
    Cell cell(2);
    for (int n = 0; n < 3; ++n) {
        cell.now += 5s;
        cell.exchange({{"h1"}});
    }
    cell.accept({makeTask("a")});
    cell.settle();
    CHECK(cell.task("a").host == HostId{"h2"});
    CHECK(cell.holder.workers[{"h1"}].unanswered >= 3);
}

// Guards against G4, and against a drain that stops everything at once or batch work first.
TEST_CASE("a failure domain that is out drains by rate and starts nothing")
{
    Cell cell(1, {.drainPerSecond = 2});
    cell.accept({makeTask("a"), makeTask("b"), makeTask("s", TaskClass::LatencyCritical)});
    cell.settle();
    REQUIRE(cell.workers[{"h1"}].running.size() == 3);
    cell.accept({makeTask("w")});
    setDomainState(cell.holder, false, cell.now);
    CHECK_FALSE(propose(cell.holder, cell.now).containsStart);
    cell.now += 500ms;
    CHECK(cell.exchange().at({"h1"}).stops == std::vector<TaskRun>{{{"s"}, 1}});
    cell.now += 250ms;
    CHECK(cell.exchange().empty());
    cell.now += 250ms;
    CHECK(cell.exchange().at({"h1"}).stops == std::vector<TaskRun>{{{"a"}, 1}});
    cell.proposeAndAppend();
    CHECK(cell.task("s").state == TaskState::Evicted);
    CHECK(cell.task("w").state == TaskState::Queued);
}

// Guards against G4: a start that was appended before the take-out and not sent yet.
TEST_CASE("an unsent start is withdrawn when the failure domain is taken out")
{
    for (const bool appendedBefore : {true, false}) {
        Cell cell(1);
        cell.accept({makeTask("a"), makeTask("b")});
        const Proposal proposal = propose(cell.holder, cell.now);
        if (appendedBefore) {
            cell.append(proposal);
        }
        setDomainState(cell.holder, false, cell.now);
        if (!appendedBefore) {
            cell.append(proposal);
        }
        CHECK(cell.exchange().empty());
        CHECK(changesOf<TaskReleased>(cell.proposeAndAppend()).size() == 2);
    }
}

// Guards against tasks that stay in a failure domain that is out, or are lost on the way.
TEST_CASE("waiting tasks are moved to the target shards in turn")
{
    Cell cell(1);
    cell.accept({makeTask("a"), makeTask("b"), makeTask("c")});
    setDomainState(cell.holder, false, cell.now);
    const std::vector<ShardId> targets{{"worcester-depot"}, {"providence-shed"}};
    CHECK(proposeMoves(cell.holder, {}, 10).empty());
    const auto moves = proposeMoves(cell.holder, targets, 2);
    REQUIRE(moves.size() == 2);
    CHECK(std::get<TaskMoved>(moves[0]).toShard == targets[0]);
    CHECK(std::get<TaskMoved>(moves[1]).toShard == targets[1]);
    cell.append({}, moves);
    CHECK(cell.task("a").state == TaskState::Moved);
    CHECK(proposeMoves(cell.holder, targets, 10).size() == 1);
}

// Guards against a stampede when a failure domain returns.
TEST_CASE("placement into a returned failure domain grows by the refill rate")
{
    Cell cell(10, {.refillPerSecond = 2});
    cell.accept(makeTasks("t", 40));
    setDomainState(cell.holder, false, cell.now);
    setDomainState(cell.holder, true, cell.now);
    CHECK(changesOf<TaskPlaced>(cell.proposeAndAppend()).empty());
    for (const std::size_t expected : {2U, 4U, 6U}) {
        for (int n = 0; n < 10; ++n) {
            cell.now += 100ms;
            for (auto &[host, view] : cell.holder.workers) {
                view.permitWanted = true;
            }
            CHECK(cell.exchange().size() == 10);
            if (n % 5 == 4) {
                const auto placed = changesOf<TaskPlaced>(cell.proposeAndAppend());
                CHECK(placed.size() == expected / 2);
            }
        }
    }
}

// Guards against a cancelled task that goes on or is placed again.
TEST_CASE("a cancelled task is stopped and ends")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.settle();
    cell.append({}, {TaskCancelled{{"a"}}});
    CHECK(cell.exchange().at({"h1"}).stops.size() == 1);
    cell.proposeAndAppend();
    CHECK(cell.task("a").state == TaskState::Cancelled);
    CHECK(cell.holder.stopping.empty());
}

// Guards against control traffic that grows with every call.
TEST_CASE("an idle worker gets orders once per renew period")
{
    Cell cell(1);
    int orders = 0;
    for (int n = 0; n < 1000; ++n) {
        cell.now += 10ms;
        orders += static_cast<int>(cell.exchange().size());
    }
    CHECK(orders == 2);
}

// Guards against a permit being fetched on every call while work waits, or from idle hosts.
TEST_CASE("a permit is fetched only from the chosen host, at most every 100 ms")
{
    Cell cell(3);
    cell.now += 4s;
    cell.accept({makeTask("a")});
    int orders = 0;
    for (int n = 0; n < 10; ++n) {
        cell.now += 10ms;
        CHECK(propose(cell.holder, cell.now).changes.empty() == (n == 0));
        const auto sent = cell.exchange();
        orders += static_cast<int>(sent.size());
        CHECK_FALSE(sent.contains({"h2"}));
    }
    CHECK(orders == 1);
}

// Guards against a stop that is sent again on every call while the task writes its checkpoint.
TEST_CASE("a stop that was received is repeated with renewals only")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.settle();
    cell.holder.stopping[{{"a"}, 1}] = ReleaseReason::Evicted;
    const auto orders = dueOrders(cell.holder, cell.now);
    REQUIRE(orders.at({"h1"}).stops.size() == 1);
    WorkerOrders withoutStops = orders.at({"h1"});
    withoutStops.stops.clear();
    onReport(cell.holder, {"h1"}, cell.workers[{"h1"}].carryOut(withoutStops), cell.now);
    cell.now += 200ms;
    CHECK(cell.exchange().empty());
    cell.now += 5s;
    CHECK(cell.exchange().at({"h1"}).stops.size() == 1);
}

TEST_CASE("a throttle is sent until the worker reports it")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.settle();
    setThrottle(cell.holder, {{"a"}, 1}, 50);
    cell.now += 100ms;
    CHECK(cell.exchange().at({"h1"}).throttles == std::vector<ThrottleOrder>{{{{"a"}, 1}, 50}});
}

// Guards against late work that is not reported.
TEST_CASE("tasks beyond their deadline are late until they end")
{
    Cell cell(1);
    Task task = makeTask("a");
    task.spec.deadline = 10s;
    cell.accept({task});
    cell.settle();
    CHECK(lateTasks(cell.holder, cell.now).empty());
    cell.now += 10s;
    CHECK(lateTasks(cell.holder, cell.now) == std::vector<TaskId>{{"a"}});
    CHECK(cell.task("a").state == TaskState::Placed);
    cell.workers[{"h1"}].end({{"a"}, 1}, RunOutcome::Finished);
    cell.exchange();
    cell.proposeAndAppend();
    CHECK(lateTasks(cell.holder, cell.now).empty());
}

// Guards against an entry beyond the row size of the platform's table.
TEST_CASE("a proposal stays within the entry limits")
{
    Cell cell(10, {.maxChangesPerEntry = 7});
    cell.accept(makeTasks("t", 30));
    CHECK(propose(cell.holder, cell.now).changes.size() == 7);
    Cell wide(10);
    wide.accept(makeTasks(std::string(4000, 'x'), 30));
    const auto changes = propose(wide.holder, wide.now).changes;
    CHECK(changes.size() > 10);
    CHECK(encodeLogEntry({.changes = changes}).size() < 64 * 1024);
}

// Guards against orders that a host refuses for ever, because it remembers the epoch's sequence.
TEST_CASE("a host that is removed and added again gets higher sequences")
{
    Cell cell(1);
    cell.now += 5s;
    cell.exchange();
    cell.append({}, {HostRemoved{{"h1"}}});
    cell.append({}, {HostUpdated{{"h1"}, {"r1"}, hostSize}});
    cell.exchange();
    CHECK(cell.holder.workers[{"h1"}].epochAcknowledged);
}

// Guards against an urgent task that waits for evictions on a host that has just gone silent.
TEST_CASE("a preemption moves on when its host does not answer")
{
    Cell cell(2);
    cell.accept(
        {makeTask("a", TaskClass::Batch, hostSize), makeTask("b", TaskClass::Batch, hostSize)});
    cell.settle();
    cell.accept({makeTask("u", TaskClass::Urgent, {1500, 1500, 0})});
    propose(cell.holder, cell.now);
    REQUIRE(cell.holder.preemptions.at({"u"}).host == HostId{"h1"});
    cell.exchange({{"h1"}});
    propose(cell.holder, cell.now);
    CHECK(cell.holder.preemptions.at({"u"}).host == HostId{"h2"});
}

// Guards against an answer from another epoch being taken as proof or as a permit.
TEST_CASE("an answer from another epoch is ignored")
{
    Cell cell(1);
    cell.accept({makeTask("a")});
    cell.settle();
    cell.now += 5s;
    const auto orders = dueOrders(cell.holder, cell.now);
    const std::uint64_t permit = cell.holder.workers[{"h1"}].permit;
    onReport(cell.holder, {"h1"},
             {.bootId = "boot-2",
              .epoch = cell.holder.epoch + 1,
              .sequence = orders.at({"h1"}).sequence,
              .permit = 999},
             cell.now);
    CHECK(cell.holder.absent.empty());
    CHECK(cell.holder.workers[{"h1"}].permit == permit);
    CHECK(cell.holder.workers[{"h1"}].unanswered == 1);
}

// Guards against waiting tasks behind the scan limit that no proposal ever looks at.
TEST_CASE("the scan of a long queue goes on where it ended")
{
    Cell cell(1);
    std::vector<Task> tasks;
    for (Task &task : makeTasks("t", 3000)) {
        task.spec.team = {"held"};
        tasks.push_back(std::move(task));
    }
    tasks.push_back(makeTask("last"));
    cell.holder.options.quotas[{"held"}] = {};
    cell.accept(tasks);
    CHECK(propose(cell.holder, cell.now).changes.empty());
    const auto placed = changesOf<TaskPlaced>(propose(cell.holder, cell.now));
    REQUIRE(placed.size() == 1);
    CHECK(placed.at(0).task == TaskId{"last"});
}

// Guards against sums that drift from the state when a host changes its rack.
TEST_CASE("placements are counted by rack and host")
{
    Cell cell(1);
    cell.accept({makeTask("a"), makeTask("s", TaskClass::LatencyCritical)});
    cell.settle();
    cell.append({}, {TaskReleased{{"a"}, 1, ReleaseReason::Finished, "", ""},
                     HostUpdated{{"h1"}, {"r9"}, hostSize}});
    CHECK(cell.holder.racksOfJob.size() == 1);
    CHECK(cell.holder.racksOfJob.at({"job-s"}) == std::map<RackId, std::uint32_t>{{{"r9"}, 1}});
    CHECK(cell.holder.loads.at({"h1"}).batch == Resources{});
    CHECK(cell.holder.loads.at({"h1"}).latencyCritical == Resources{1000, 1000, 0});
}
