#include "daemon/shardstore.h"

#include "state/codec.h"
#include "store/commitwithretry.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace acaciadeal {
namespace {

/// Reads a snapshot and then the log, page by page.
struct Recovery : std::enable_shared_from_this<Recovery>
{
    void readSnapshotRow()
    {
        platform.read({.keys = {snapshotKey(shard)}},
                      [self = shared_from_this()](const Result<std::vector<Row>> &rows) {
                          if (!rows) {
                              self->callback(tl::unexpected<Error>(rows.error()));
                          } else if (rows->empty()) {
                              self->readLog();
                          } else {
                              self->readSnapshot(rows->front().value);
                          }
                      });
    }

    void readSnapshot(const std::string &rowValue)
    {
        const auto row = decodeSnapshotRow(rowValue);
        if (!row) {
            callback(tl::unexpected<Error>(row.error()));
            return;
        }
        platform.getObject(
            row->object, [self = shared_from_this()](const Result<std::string> &object) {
                auto state =
                    object.and_then([](const std::string &bytes) { return decodeSnapshot(bytes); });
                if (!state) {
                    self->callback(tl::unexpected<Error>(state.error()));
                    return;
                }
                self->state = std::move(*state);
                self->readLog();
            });
    }

    void readLog()
    {
        platform.read({.prefix = logPrefix(shard),
                       .after = logKey(shard, state.lastSequence),
                       .limit = options.recoveryPageEntries},
                      [self = shared_from_this()](const Result<std::vector<Row>> &rows) {
                          self->onLogPage(rows);
                      });
    }

    void onLogPage(const Result<std::vector<Row>> &rows)
    {
        if (!rows) {
            callback(tl::unexpected<Error>(rows.error()));
            return;
        }
        for (const Row &row : *rows) {
            const auto applied = decodeLogEntry(row.value).and_then(
                [this](const LogEntry &entry) { return apply(state, entry); });
            if (!applied) {
                Error error = applied.error();
                error.where = row.key + (error.where.empty() ? "" : " " + error.where);
                callback(tl::unexpected<Error>(std::move(error)));
                return;
            }
        }
        if (rows->size() < options.recoveryPageEntries) {
            callback(std::move(state));
            return;
        }
        readLog();
    }

    PlatformAdapter platform;
    ShardId shard;
    ShardStoreOptions options;
    ShardState state;
    std::function<void(Result<ShardState>)> callback;
};

/// Deletes the log rows that a snapshot covers, batch by batch.
struct LogTrimmer : std::enable_shared_from_this<LogTrimmer>
{
    void deleteNextBatch()
    {
        if (first > last) {
            callback({});
            return;
        }
        Transaction transaction{.checks = {{ownerKey(ownership.shard), ownership.ownerVersion}}};
        const std::uint64_t end = std::min(last + 1, first + batch);
        for (; first < end; ++first) {
            transaction.deletes.push_back(logKey(ownership.shard, first));
        }
        // Deletion is idempotent, so a commit with an unknown outcome need not be resolved: rows
        // that remain are deleted after the next snapshot.
        platform.commit(std::move(transaction),
                        [self = shared_from_this()](const Result<CommitVersions> &result) {
                            if (!result) {
                                self->callback(tl::unexpected<Error>(result.error()));
                                return;
                            }
                            self->deleteNextBatch();
                        });
    }

    PlatformAdapter platform;
    Ownership ownership;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t batch = 0;
    DoneCallback callback;
};

} // namespace

void claimShard(EventLoop &loop, const PlatformAdapter &platform, const ShardId &shard,
                const OwnerRow &previous, std::uint64_t previousVersion, const DaemonId &daemon,
                const std::string &claimId, milliseconds autonomy,
                std::function<bool()> shouldRetry, std::function<void(Result<Ownership>)> callback)
{
    const OwnerRow claim{
        .epoch = previous.epoch + 1, .holder = daemon, .claimId = claimId, .autonomy = autonomy};
    Transaction transaction{.checks = {{ownerKey(shard), previousVersion}},
                            .puts = {{ownerKey(shard), encode(claim)}, {aliveKey(shard), claimId}}};
    commitWithRetry(
        loop, platform, std::move(transaction), ownerKey(shard),
        {.shouldRetry = std::move(shouldRetry)},
        [shard, epoch = claim.epoch, predecessorAutonomy = previous.autonomy,
         callback = std::move(callback)](const Result<CommitVersions> &versions) {
            callback(versions.map([&](const CommitVersions &written) {
                return Ownership{shard, epoch, written.at(ownerKey(shard)), predecessorAutonomy};
            }));
        });
}

void recoverShard(const PlatformAdapter &platform, const ShardId &shard,
                  const ShardStoreOptions &options,
                  std::function<void(Result<ShardState>)> callback)
{
    auto recovery = std::make_shared<Recovery>();
    recovery->platform = platform;
    recovery->shard = shard;
    recovery->options = options;
    recovery->state.shard = shard;
    recovery->state.failureDomain = {shard.value};
    recovery->callback = std::move(callback);
    recovery->readSnapshotRow();
}

void appendEntry(EventLoop &loop, const PlatformAdapter &platform, const Ownership &ownership,
                 const LogEntry &entry, ExtraRowOperations extras,
                 std::function<bool()> shouldRetry, std::function<void(Result<void>)> callback)
{
    const std::string key = logKey(ownership.shard, entry.sequence);
    Transaction transaction{.checks = std::move(extras.checks),
                            .puts = std::move(extras.puts),
                            .deletes = std::move(extras.deletes)};
    transaction.checks.push_back({key, 0});
    transaction.checks.push_back({ownerKey(ownership.shard), ownership.ownerVersion});
    transaction.puts.push_back({key, encodeLogEntry(entry)});
    commitWithRetry(loop, platform, std::move(transaction), key,
                    {.shouldRetry = std::move(shouldRetry)},
                    [callback = std::move(callback)](const Result<CommitVersions> &result) {
                        callback(result.map([](const CommitVersions &) {}));
                    });
}

void storeSnapshot(const PlatformAdapter &platform, const Ownership &ownership,
                   const ShardState &state, std::uint64_t firstLogSequence,
                   const ShardStoreOptions &options, DoneCallback callback)
{
    const SnapshotRow row{.object = "snapshot-" + ownership.shard.value + "-"
                                    + std::to_string(ownership.epoch) + "-"
                                    + std::to_string(state.lastSequence),
                          .sequence = state.lastSequence};
    auto trimmer = std::make_shared<LogTrimmer>();
    trimmer->platform = platform;
    trimmer->ownership = ownership;
    trimmer->first = firstLogSequence;
    trimmer->last = state.lastSequence;
    trimmer->batch = options.trimBatchRows;
    trimmer->callback = std::move(callback);
    platform.putObject(
        row.object, encodeSnapshot(state), [trimmer, row](const Result<void> &stored) {
            if (!stored) {
                trimmer->callback(stored);
                return;
            }
            Transaction transaction{
                .checks = {{ownerKey(trimmer->ownership.shard), trimmer->ownership.ownerVersion}},
                .puts = {{snapshotKey(trimmer->ownership.shard), encode(row)}}};
            trimmer->platform.commit(
                std::move(transaction), [trimmer](const Result<CommitVersions> &result) {
                    // Delete log rows only if the snapshot row was definitely written.
                    if (!result) {
                        trimmer->callback(tl::unexpected<Error>(result.error()));
                        return;
                    }
                    trimmer->deleteNextBatch();
                });
        });
}

} // namespace acaciadeal
