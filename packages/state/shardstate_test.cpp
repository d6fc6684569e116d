#include "state/shardstate.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

Task makeTask(const std::string &id, TaskClass taskClass = TaskClass::Batch,
              Resources size = {1000, 1000, 0})
{
    return {
        .spec = {
            .id = {id}, .job = {"job"}, .team = {"crews"}, .taskClass = taskClass, .size = size}};
}

LogEntry nextEntry(const ShardState &state, std::vector<Change> changes)
{
    return {.shard = state.shard,
            .epoch = state.epoch,
            .sequence = state.lastSequence + 1,
            .transactionId = "t",
            .changes = std::move(changes)};
}

ShardState makeState()
{
    ShardState state;
    state.shard = {"lowell-yard"};
    state.epoch = 3;
    REQUIRE(apply(state, nextEntry(state, {HostUpdated{{"h1"}, {"r1"}, {4000, 4000, 1}},
                                           HostUpdated{{"h2"}, {"r2"}, {4000, 4000, 0}},
                                           JobAccepted{{"job"}, {makeTask("a"), makeTask("b")}}})));
    return state;
}

void checkEqual(const ShardState &a, const ShardState &b)
{
    CHECK(a.epoch == b.epoch);
    CHECK(a.lastSequence == b.lastSequence);
    CHECK(a.lastAcceptanceNumber == b.lastAcceptanceNumber);
    CHECK(a.tasks == b.tasks);
    CHECK(a.hosts == b.hosts);
    CHECK(a.jobs == b.jobs);
    CHECK(a.queue == b.queue);
    CHECK(a.committedByTeam == b.committedByTeam);
}

} // namespace

// Guards against an entry being applied twice after the response to its write was lost.
TEST_CASE("an entry that has already been applied is rejected")
{
    ShardState state = makeState();
    const LogEntry entry = nextEntry(state, {TaskPlaced{{"a"}, 1, {"h1"}}});
    REQUIRE(apply(state, entry));
    const ShardState before = state;
    CHECK(apply(state, entry).error().code == ResultCode::RepeatedEntry);
    checkEqual(state, before);
}

// Guards against recovery skipping an entry that was not read.
TEST_CASE("an entry after a gap in the sequence is rejected")
{
    ShardState state = makeState();
    LogEntry entry = nextEntry(state, {});
    ++entry.sequence;
    CHECK(apply(state, entry).error().code == ResultCode::MissingEntry);
}

// Guards against an entry from a former holder or from another shard changing the state.
TEST_CASE("an entry with an older epoch or of another shard is rejected")
{
    ShardState state = makeState();
    LogEntry older = nextEntry(state, {});
    older.epoch = 2;
    CHECK(apply(state, older).error().code == ResultCode::ForeignEpoch);
    LogEntry other = nextEntry(state, {});
    other.shard = {"worcester-depot"};
    CHECK(apply(state, other).error().code == ResultCode::ForeignEpoch);
}

// Guards against a violation of guarantee G1: placements that exceed a host's processors, memory or
// accelerators.
TEST_CASE("a placement that exceeds any resource of the host is rejected")
{
    for (const Resources excess :
         {Resources{3001, 0, 0}, Resources{0, 3001, 0}, Resources{0, 0, 2}}) {
        ShardState state = makeState();
        REQUIRE(apply(state, nextEntry(state, {TaskPlaced{{"a"}, 1, {"h1"}}})));
        Task large = makeTask("large", TaskClass::Batch, excess);
        large.spec.job = {"other"};
        REQUIRE(apply(state, nextEntry(state, {JobAccepted{{"other"}, {large}}})));
        const ShardState before = state;
        CHECK(apply(state, nextEntry(state, {TaskPlaced{{"large"}, 1, {"h1"}}})).error().code
              == ResultCode::InvariantViolated);
        checkEqual(state, before);
    }
}

// Guards against a violation of guarantee G1 by a capacity that is reduced below the committed
// resources, or by the removal of a host with placed tasks.
TEST_CASE("a capacity below the committed resources and the removal of a host in use are rejected")
{
    ShardState state = makeState();
    REQUIRE(apply(state, nextEntry(state, {TaskPlaced{{"a"}, 1, {"h1"}}})));
    CHECK(apply(state, nextEntry(state, {HostUpdated{{"h1"}, {"r1"}, {999, 4000, 1}}})).error().code
          == ResultCode::InvariantViolated);
    CHECK(apply(state, nextEntry(state, {HostRemoved{{"h1"}}})).error().code
          == ResultCode::InvariantViolated);
}

// Guards against a violation of guarantee G2: a task that is placed twice.
TEST_CASE("a placed task cannot be placed again")
{
    ShardState state = makeState();
    REQUIRE(apply(state, nextEntry(state, {TaskPlaced{{"a"}, 1, {"h1"}}})));
    for (const std::uint32_t incarnation : {1U, 2U}) {
        CHECK(apply(state, nextEntry(state, {TaskPlaced{{"a"}, incarnation, {"h2"}}})).error().code
              == ResultCode::InvariantViolated);
    }
    CHECK_FALSE(check(state, TaskPlaced{{"b"}, 2, {"h2"}}));
}

// Guards against a violation of guarantee G3: an evicted task that resumes twice, or without its
// checkpoint.
TEST_CASE("an evicted task is placed again exactly once and keeps its checkpoint")
{
    ShardState state = makeState();
    const TaskReleased release{{"a"}, 1, ReleaseReason::Evicted, "c1", ""};
    REQUIRE(apply(state, nextEntry(state, {TaskPlaced{{"a"}, 1, {"h1"}}})));
    REQUIRE(apply(state, nextEntry(state, {release})));
    CHECK(state.tasks.at({"a"}).state == TaskState::Evicted);
    CHECK(state.tasks.at({"a"}).checkpoint == "c1");
    CHECK(state.tasks.at({"a"}).evictions == 1);
    CHECK(state.queue.size() == 2);
    CHECK(apply(state, nextEntry(state, {release})).error().code == ResultCode::InvariantViolated);
    REQUIRE(apply(state, nextEntry(state, {TaskPlaced{{"a"}, 2, {"h2"}}})));
    CHECK(apply(state, nextEntry(state, {release})).error().code == ResultCode::InvariantViolated);
    CHECK(apply(state, nextEntry(state, {TaskPlaced{{"a"}, 2, {"h1"}}})).error().code
          == ResultCode::InvariantViolated);
    CHECK(state.tasks.at({"a"}).checkpoint == "c1");
    CHECK(state.hosts.at({"h1"}).committed == Resources{});
}

// Guards against some changes of a rejected entry remaining applied.
TEST_CASE("an entry with one invalid change leaves the state unchanged")
{
    ShardState state = makeState();
    REQUIRE(apply(state, nextEntry(state, {TaskPlaced{{"a"}, 1, {"h1"}}})));
    const ShardState before = state;
    Task extra = makeTask("c");
    extra.spec.job = {"extra"};
    const auto result =
        apply(state,
              nextEntry(state,
                        {TaskReleased{{"a"}, 1, ReleaseReason::Evicted, "c1", ""},
                         TaskPlaced{{"a"}, 2, {"h2"}}, HostUpdated{{"h3"}, {"r3"}, {1, 1, 0}},
                         HostUpdated{{"h2"}, {"r9"}, {9000, 9000, 9}, false},
                         JobAccepted{{"extra"}, {extra}}, TaskCancelled{{"b"}}, HostRemoved{{"h3"}},
                         TaskMoved{{"c"}, {"worcester-depot"}}, TaskRejected{{"b"}, "twice"}}));
    CHECK(result.error().code == ResultCode::InvariantViolated);
    checkEqual(state, before);
}

TEST_CASE("indexes updated by each entry equal rebuilt ones")
{
    ShardState state = makeState();
    REQUIRE(apply(state,
                  nextEntry(state, {TaskPlaced{{"a"}, 1, {"h1"}}, TaskPlaced{{"b"}, 1, {"h1"}}})));
    REQUIRE(
        apply(state, nextEntry(state, {TaskReleased{{"a"}, 1, ReleaseReason::Failed, "", "x"}})));
    ShardState rebuilt = state;
    REQUIRE(rebuildIndexes(rebuilt));
    checkEqual(state, rebuilt);
    CHECK(state.committedByTeam.at({"crews"}) == Resources{1000, 1000, 0});
}

// Guards against urgent tasks that wait behind batch tasks.
TEST_CASE("the queue is ordered by class, then by acceptance")
{
    ShardState state = makeState();
    Task urgent = makeTask("u", TaskClass::Urgent);
    Task service = makeTask("s", TaskClass::LatencyCritical);
    urgent.spec.job = service.spec.job = {"other"};
    REQUIRE(apply(state, nextEntry(state, {JobAccepted{{"other"}, {service, urgent}}})));
    std::vector<std::string> order;
    for (const auto &[key, id] : state.queue) {
        order.push_back(id.value);
    }
    CHECK(order == std::vector<std::string>{"u", "s", "a", "b"});
}

// Guards against a repeated submission running a job twice, even after its ended tasks were
// removed.
TEST_CASE("a job that is submitted again adds no tasks")
{
    ShardState state = makeState();
    REQUIRE(apply(state, nextEntry(state, {TaskCancelled{{"a"}}})));
    removeEndedTasks(state, state.lastAcceptanceNumber + 1);
    CHECK_FALSE(state.tasks.contains({"a"}));
    CHECK(state.tasks.contains({"b"}));
    REQUIRE(apply(state, nextEntry(state, {JobAccepted{{"job"}, {makeTask("a"), makeTask("b")}}})));
    CHECK(state.tasks.size() == 1);
    CHECK(state.queue.size() == 1);
}

// Guards against a moved task being dropped because the shard already knows its job, and against a
// task being added twice by a repeated move.
TEST_CASE("moved tasks of one job may arrive one at a time and return to a shard that they left")
{
    ShardState state = makeState();
    const Task movedAway = movedTask(state.tasks.at({"a"}));
    REQUIRE(apply(state, nextEntry(state, {TaskMoved{{"a"}, {"other"}}})));
    CHECK(state.tasks.at({"a"}).state == TaskState::Moved);
    const Task movedBack = movedTask(movedAway);
    for (int n = 0; n < 2; ++n) {
        REQUIRE(apply(state, nextEntry(state, {JobAccepted{{"job"}, {movedBack}}})));
        CHECK(state.tasks.at({"a"}).state == TaskState::Queued);
        CHECK(state.queue.size() == 2);
    }
    REQUIRE(apply(state, nextEntry(state, {JobAccepted{{"job"}, {movedAway}}})));
    CHECK(state.queue.size() == 2);

    ShardState other;
    other.shard = {"other"};
    for (const char *const id : {"a", "b"}) {
        Task task = makeTask(id);
        task.moves = 1;
        REQUIRE(apply(other, nextEntry(other, {JobAccepted{{"job"}, {task}}})));
    }
    CHECK(other.queue.size() == 2);
}

// Guards against a cancelled task being placed again after it was stopped.
TEST_CASE("a task whose cancellation was requested ends with any release")
{
    ShardState state = makeState();
    REQUIRE(apply(state, nextEntry(state, {TaskPlaced{{"a"}, 1, {"h1"}}, TaskCancelled{{"a"}},
                                           TaskCancelled{{"b"}}})));
    CHECK(state.tasks.at({"a"}).state == TaskState::Placed);
    CHECK(state.tasks.at({"b"}).state == TaskState::Cancelled);
    REQUIRE(apply(state, nextEntry(state, {TaskReleased{{"a"}, 1, ReleaseReason::HostLost, "", ""},
                                           TaskCancelled{{"a"}}})));
    CHECK(state.tasks.at({"a"}).state == TaskState::Cancelled);
    CHECK(state.queue.empty());
}

// Guards against a failing task being retried forever.
TEST_CASE("a task ends as failed after maxFailures failures")
{
    ShardState state = makeState();
    for (std::uint32_t n = 1; n <= 3; ++n) {
        REQUIRE(apply(state,
                      nextEntry(state, {TaskPlaced{{"a"}, n, {"h1"}},
                                        TaskReleased{{"a"}, n, ReleaseReason::Failed, "", "x"}})));
    }
    CHECK(state.tasks.at({"a"}).state == TaskState::Failed);
    CHECK(state.tasks.at({"a"}).detail == "x");
}
