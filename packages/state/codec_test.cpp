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

TEST_CASE("log entries with every type of change and task lists survive encoding and decoding")
{
    const LogEntry entry = entryWithAllChanges();
    CHECK(decodeLogEntry(encodeLogEntry(entry)).value() == entry);
    const auto tasks = decodeTasks(encodeTasks({"job"}, {taskWithAllFields()}));
    CHECK(tasks.value() == JobAccepted{{"job"}, {taskWithAllFields()}});
}

// Guards against a partially written or corrupted entry being decoded as a shorter valid one.
TEST_CASE("a log entry truncated at any length or with a flipped bit in any byte is rejected")
{
    const std::string bytes = encodeLogEntry(entryWithAllChanges());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(decodeLogEntry(std::string_view(bytes).substr(0, n)).error().code
              == ResultCode::TornEntry);
        std::string corrupted = bytes;
        corrupted[n] = static_cast<char>(corrupted[n] ^ 0x10);
        const auto decoded = decodeLogEntry(corrupted);
        REQUIRE_FALSE(decoded);
        const bool inVersion = n >= 4 && n < 8;
        CHECK(decoded.error().code
              == (inVersion ? ResultCode::UnsupportedFormat : ResultCode::TornEntry));
    }
    CHECK(decodeLogEntry(bytes + "x").error().code == ResultCode::TornEntry);
}

// Guards against a snapshot or an inbox row being read as a log entry.
TEST_CASE("log entries, snapshots and task lists are not decoded as one another")
{
    ShardState state;
    state.shard = {"tallinn-a"};
    CHECK(decodeLogEntry(encodeSnapshot(state)).error().code == ResultCode::TornEntry);
    CHECK(decodeSnapshot(encodeLogEntry(entryWithAllChanges())).error().code
          == ResultCode::CorruptSnapshot);
    CHECK(decodeTasks(encodeLogEntry(entryWithAllChanges())).error().code == ResultCode::TornEntry);
}

// Guards against an entry exceeding the row size limit of the platform's table. A holder puts at
// most 400 changes into an entry by default (maxChangesPerEntry).
TEST_CASE("a log entry with 400 placements is smaller than 64 KB")
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

TEST_CASE("a decoded snapshot has the encoded state and the same indexes")
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

// Guards against recovery from a corrupted snapshot.
TEST_CASE("a snapshot truncated at any length or with a flipped bit is rejected")
{
    ShardState state;
    state.shard = {"tallinn-a"};
    state.jobs.insert({"job"});
    const std::string bytes = encodeSnapshot(state);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(decodeSnapshot(std::string_view(bytes).substr(0, n)).error().code
              == ResultCode::CorruptSnapshot);
    }
    std::string corrupted = bytes;
    corrupted.back() = static_cast<char>(corrupted.back() ^ 1);
    CHECK(decodeSnapshot(corrupted).error().code == ResultCode::CorruptSnapshot);
}
