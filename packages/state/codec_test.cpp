#include "state/codec.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

Task taskWithAllFields()
{
    return {.spec = {.id = {"job/1"},
                     .job = {"job"},
                     .team = {"crews"},
                     .taskClass = TaskClass::LatencyCritical,
                     .size = {1500, 2048, 1},
                     .expectedRunTime = milliseconds(1000),
                     .deadline = milliseconds(2000),
                     .maxFailures = 5,
                     .payload = std::string("p\0q", 3)},
            .state = TaskState::Evicted,
            .incarnation = 4,
            .checkpoint = "c",
            .failures = 1,
            .evictions = 2,
            .cancelRequested = true,
            .detail = "d",
            .acceptanceNumber = 9,
            .moves = 3};
}

LogEntry entryWithAllChanges()
{
    return {.shard = {"tallinn-a"},
            .epoch = 7,
            .sequence = 12,
            .transactionId = "t-1",
            .changes = {JobAccepted{{"job"}, {taskWithAllFields()}},
                        HostUpdated{{"h1"}, {"r1"}, {16000, 60000, 2}, false}, HostRemoved{{"h2"}},
                        TaskPlaced{{"job/1"}, 5, {"h1"}},
                        TaskReleased{{"job/1"}, 5, ReleaseReason::HostLost, "c2", "lapsed"},
                        TaskCancelled{{"job/2"}}, TaskRejected{{"job/3"}, "too large"},
                        TaskMoved{{"job/4"}, {"maardu-b"}}}};
}

} // namespace

TEST_CASE("every change survives a round trip")
{
    const LogEntry entry = entryWithAllChanges();
    CHECK(decodeLogEntry(encodeLogEntry(entry)).value() == entry);
    const auto tasks = decodeTasks(encodeTasks({"job"}, {taskWithAllFields()}));
    CHECK(tasks.value() == JobAccepted{{"job"}, {taskWithAllFields()}});
}

// Guards against a partly written or damaged entry being taken for a shorter one.
TEST_CASE("a torn entry is refused at every length and at every flipped bit")
{
    const std::string bytes = encodeLogEntry(entryWithAllChanges());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(decodeLogEntry(std::string_view(bytes).substr(0, n)).error().code
              == ResultCode::TornEntry);
        std::string damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x10);
        const auto decoded = decodeLogEntry(damaged);
        REQUIRE_FALSE(decoded);
        const bool inVersion = n >= 4 && n < 8;
        CHECK(decoded.error().code
              == (inVersion ? ResultCode::UnsupportedFormat : ResultCode::TornEntry));
    }
    CHECK(decodeLogEntry(bytes + "x").error().code == ResultCode::TornEntry);
}

// Guards against a snapshot or an inbox row being read as a log entry.
TEST_CASE("the kinds of stored objects are told apart")
{
    ShardState state;
    state.shard = {"tallinn-a"};
    CHECK(decodeLogEntry(encodeSnapshot(state)).error().code == ResultCode::TornEntry);
    CHECK(decodeSnapshot(encodeLogEntry(entryWithAllChanges())).error().code == ResultCode::CorruptSnapshot);
    CHECK(decodeTasks(encodeLogEntry(entryWithAllChanges())).error().code == ResultCode::TornEntry);
}

// Guards against a full entry beyond the row size of the platform's table.
TEST_CASE("an entry of 400 placements stays below 64 KB")
{
    LogEntry entry{.shard = {"providence-shed"}, .epoch = 1, .sequence = 1, .transactionId = "t"};
    for (int n = 0; n < 400; ++n) {
        const std::string number = std::to_string(100000 + n);
        entry.changes.emplace_back(TaskPlaced{
            {"inspection-results-2026-12-04/" + number}, 1, {"worker-lowell-" + number}});
    }
    const std::string bytes = encodeLogEntry(entry);
    MESSAGE("bytes per placement: ", bytes.size() / 400);
    CHECK(bytes.size() < 64 * 1024);
}

TEST_CASE("a snapshot round trip keeps the state and derives the indexes")
{
    ShardState state;
    state.shard = {"tallinn-a"};
    state.failureDomain = {"tallinn-a"};
    Task second = taskWithAllFields();
    second.spec.id = {"job/2"};
    second.cancelRequested = false;
    REQUIRE(apply(state, {.shard = state.shard,
                          .epoch = 2,
                          .sequence = 1,
                          .changes = {HostUpdated{{"h1"}, {"r1"}, {16000, 60000, 2}},
                                      JobAccepted{{"job"}, {taskWithAllFields(), second}},
                                      TaskPlaced{{"job/2"}, 5, {"h1"}}}}));
    const std::string bytes = encodeSnapshot(state);
    const auto decoded = decodeSnapshot(bytes);
    REQUIRE(decoded);
    CHECK(decoded->shard == state.shard);
    CHECK(decoded->failureDomain == state.failureDomain);
    CHECK(decoded->epoch == 2);
    CHECK(decoded->lastSequence == 1);
    CHECK(decoded->lastAcceptanceNumber == state.lastAcceptanceNumber);
    CHECK(decoded->tasks == state.tasks);
    CHECK(decoded->hosts == state.hosts);
    CHECK(decoded->jobs == state.jobs);
    CHECK(decoded->queue == state.queue);
    CHECK(decoded->committedByTeam == state.committedByTeam);
}

// Guards against recovery from a damaged snapshot.
TEST_CASE("a damaged snapshot is refused")
{
    ShardState state;
    state.shard = {"tallinn-a"};
    state.jobs.insert({"job"});
    const std::string bytes = encodeSnapshot(state);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(decodeSnapshot(std::string_view(bytes).substr(0, n)).error().code
              == ResultCode::CorruptSnapshot);
    }
    std::string damaged = bytes;
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    CHECK(decodeSnapshot(damaged).error().code == ResultCode::CorruptSnapshot);
}
