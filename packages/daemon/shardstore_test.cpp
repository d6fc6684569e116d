#include "daemon/shardstore.h"

#include "kernel/pluginregistry.h"
#include "runtime/eventloop.h"
#include "state/codec.h"

#include <doctest/doctest.h>
#include <future>

using namespace acaciadeal;

namespace {

const ShardId shard{"lowell-yard"};

/// Blocking wrappers of the shard store functions, using the in-memory platform.
struct Store
{
    EventLoop loop{{.threads = 1}};
    PlatformAdapter platform =
        PluginRegistry<PlatformPlugin>::instance().find("memory").value().create(loop, {});

    template<typename T, typename Start>
    Result<T> callAndWait(Start start)
    {
        std::promise<Result<T>> done;
        loop.post([&] { start([&done](Result<T> result) { done.set_value(std::move(result)); }); });
        return done.get_future().get();
    }

    Result<Ownership> claim(const OwnerRow &previous, std::uint64_t version)
    {
        return callAndWait<Ownership>([&](auto callback) {
            claimShard(
                loop, platform, shard, previous, version, {"entry"},
                "claim-" + std::to_string(previous.epoch), milliseconds(60'000),
                [] { return true; }, callback);
        });
    }

    Result<void> append(const Ownership &ownership, const LogEntry &entry)
    {
        return callAndWait<void>([&](auto callback) {
            appendEntry(
                loop, platform, ownership, entry, {}, [] { return true; }, callback);
        });
    }

    Result<ShardState> recover()
    {
        return callAndWait<ShardState>(
            [&](auto callback) { recoverShard(platform, shard, {}, callback); });
    }

    Result<void> snapshot(const Ownership &ownership, const ShardState &state,
                          std::uint64_t firstSequence)
    {
        return callAndWait<void>([&](auto callback) {
            storeSnapshot(platform, ownership, state, firstSequence, {}, callback);
        });
    }

    std::size_t logRows()
    {
        return callAndWait<std::vector<Row>>([&](auto callback) {
                   platform.read({.prefix = logPrefix(shard), .limit = 100'000}, callback);
               })
            .value()
            .size();
    }
};

LogEntry jobEntry(std::uint64_t epoch, std::uint64_t sequence, int tasks)
{
    const JobId job{"job" + std::to_string(sequence)};
    JobAccepted accepted{.job = job};
    for (int n = 0; n < tasks; ++n) {
        Task task;
        task.spec = {.id = {job.value + "-" + std::to_string(n)}, .job = job, .team = {"crew"}};
        accepted.tasks.push_back(task);
    }
    return {.shard = shard,
            .epoch = epoch,
            .sequence = sequence,
            .transactionId = "t" + std::to_string(epoch) + "." + std::to_string(sequence),
            .changes = {accepted}};
}

} // namespace

// Guards against tasks being lost or duplicated when a new holder recovers a shard of 10,000 tasks
// from a snapshot and the log entries after it, and against a log that is never trimmed.
TEST_CASE("a new holder recovers 10,000 tasks from snapshot and log")
{
    Store store;
    const Ownership first = store.claim({}, 0).value();
    ShardState state;
    state.shard = shard;
    state.failureDomain = {shard.value};
    constexpr std::uint64_t entries = 500;
    constexpr std::uint64_t covered = 450;
    for (std::uint64_t n = 1; n <= entries; ++n) {
        const LogEntry entry = jobEntry(1, n, 20);
        REQUIRE(store.append(first, entry));
        REQUIRE(apply(state, entry));
        if (n == covered) {
            REQUIRE(store.snapshot(first, state, 1));
        }
    }
    CHECK(store.logRows() == entries - covered);
    const Ownership second = store.claim({.epoch = 1}, first.ownerVersion).value();
    CHECK(second.epoch == 2);
    const auto recovered = store.recover();
    REQUIRE(recovered);
    CHECK(recovered->tasks.size() == 10'000);
    CHECK(recovered->tasks == state.tasks);
    CHECK(recovered->queue == state.queue);
    CHECK(recovered->lastSequence == entries);
}

// Guards against a former holder appending after another daemon claimed the shard, also where the
// log row that it would write has been trimmed.
TEST_CASE("a former holder cannot append, store a snapshot or claim with an outdated owner row")
{
    Store store;
    const Ownership first = store.claim({}, 0).value();
    const LogEntry entry = jobEntry(1, 1, 1);
    REQUIRE(store.append(first, entry));
    ShardState state;
    state.shard = shard;
    REQUIRE(apply(state, entry));
    REQUIRE(store.snapshot(first, state, 1));
    CHECK(store.logRows() == 0);
    REQUIRE(store.claim({.epoch = 1}, first.ownerVersion));
    CHECK(store.append(first, jobEntry(1, 2, 1)).error().code == ResultCode::CheckFailed);
    CHECK(store.append(first, jobEntry(1, 1, 1)).error().code == ResultCode::CheckFailed);
    CHECK(store.snapshot(first, state, 1).error().code == ResultCode::CheckFailed);
    CHECK(store.claim({.epoch = 1}, first.ownerVersion).error().code == ResultCode::CheckFailed);
}

// Guards against a recovery that skips a damaged or missing log row.
TEST_CASE("recovery fails at a truncated log row, naming its key, and at a missing log row")
{
    Store store;
    const Ownership owner = store.claim({}, 0).value();
    REQUIRE(store.append(owner, jobEntry(1, 1, 1)));
    REQUIRE(store.append(owner, jobEntry(1, 2, 1)));
    const auto commitRows = [&](const Transaction &transaction) {
        REQUIRE(store.callAndWait<CommitVersions>(
            [&](auto callback) { store.platform.commit(transaction, callback); }));
    };
    const std::string bytes = encodeLogEntry(jobEntry(1, 2, 1));
    commitRows({.puts = {{logKey(shard, 2), bytes.substr(0, bytes.size() / 2)}}});
    const auto torn = store.recover();
    REQUIRE_FALSE(torn);
    CHECK(torn.error().code == ResultCode::TornEntry);
    CHECK(torn.error().where.starts_with(logKey(shard, 2)));
    commitRows({.puts = {{logKey(shard, 2), bytes}}, .deletes = {logKey(shard, 1)}});
    const auto missing = store.recover();
    REQUIRE_FALSE(missing);
    CHECK(missing.error().code == ResultCode::MissingEntry);
}
