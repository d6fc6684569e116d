#ifndef ACACIADEAL_STORE_PLATFORM_H
#define ACACIADEAL_STORE_PLATFORM_H

#include "base/error.h"
#include "base/identifier.h"
#include "base/resources.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciadeal {

class EventLoop;

/// Precondition of a transaction: the row has this version at commit; 0 means that it is absent.
struct RowCheck
{
    std::string key;
    std::uint64_t version = 0;

    friend bool operator==(const RowCheck &, const RowCheck &) = default;
};

struct RowPut
{
    std::string key;
    std::string value;

    friend bool operator==(const RowPut &, const RowPut &) = default;
};

/// Checks and writes that are applied atomically. If the store is partitioned, all rows of a
/// transaction must be in one table.
struct Transaction
{
    std::vector<RowCheck> checks;
    std::vector<RowPut> puts;
    std::vector<std::string> deletes;

    friend bool operator==(const Transaction &, const Transaction &) = default;
};

/// Versions of the written rows by key.
using CommitVersions = std::map<std::string, std::uint64_t>;

struct Row
{
    std::string key;
    std::string value;
    /// Versions of a key only increase, even if the row is deleted and created again.
    std::uint64_t version = 0;

    friend bool operator==(const Row &, const Row &) = default;
};

/// Selects rows by key, or all rows whose key starts with a prefix.
struct RowQuery
{
    std::vector<std::string> keys;
    std::string prefix;
    /// With a prefix: only keys greater than this one.
    std::string after;
    std::size_t limit = 1000;
};

enum class HostCondition { Live, Leaving };

/// One row of the host list. The list may be outdated.
struct HostRecord
{
    HostId host;
    FailureDomainId failureDomain;
    RackId rack;
    Endpoint endpoint;
    HostCondition condition = HostCondition::Live;
    Resources capacity;
    /// Service of which this host is an instance; empty for a worker.
    ServiceId service;
    /// Limits on the requests in flight on the instance, for all daemons together. The smaller one
    /// applies.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Kind of the host and other labels that tasks may require.
    std::vector<std::string> labels;
    /// Time of day at which the host last started; absent if the list does not contain it.
    std::optional<milliseconds> bootedAt;

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// One row that was written or deleted.
struct RowChange
{
    std::string key;
    std::string value;
    bool deleted = false;
};

struct RowChanges
{
    /// Ordered by version; empty if nothing changed within the wait passed to
    /// PlatformAdapter::changes.
    std::vector<RowChange> rows;
    /// Version up to which all changes are included.
    std::uint64_t version = 0;
    /// Whether these are all changes up to the time of the call. Otherwise a call with @ref version
    /// returns the next ones; it may repeat some of these.
    bool complete = true;
};

/// Rows of a table at one version.
struct RowSnapshot
{
    std::vector<Row> rows;
    std::uint64_t version = 0;
};

/// Receives the result of a commit. CheckFailed: nothing was written; the error's `where` names the
/// key. WriteOutcomeUnknown: the write may have taken effect, now or later. PlatformUnavailable:
/// the transaction was provably not sent. WriteRejected: nothing was written, and the same
/// transaction will be rejected again, for example because a row is too large.
using CommitCallback = std::function<void(Result<CommitVersions>)>;
using ReadCallback = std::function<void(Result<std::vector<Row>>)>;
using ObjectCallback = std::function<void(Result<std::string>)>;
using DoneCallback = std::function<void(Result<void>)>;
using ChangesCallback = std::function<void(Result<RowChanges>)>;
using SnapshotCallback = std::function<void(Result<RowSnapshot>)>;
using HostsCallback = std::function<void(Result<std::vector<HostRecord>>)>;

/// Asynchronous interface to the platform. All functions return immediately and are thread-safe.
/// Each callback runs exactly once, on a thread of the loop that was passed to
/// PlatformPlugin::create.
struct PlatformAdapter
{
    std::function<void(Transaction, CommitCallback)> commit;
    std::function<void(RowQuery, ReadCallback)> read;
    std::function<void(std::string name, std::string content, DoneCallback)> putObject;
    std::function<void(std::string name, ObjectCallback)> getObject;
    std::function<void(HostsCallback)> listHosts;
    /// Reads all rows of a table, and the version to pass to changes() to continue from there. The
    /// table is the part of a key before the first '/'. Empty, like changes(), in adapters that do
    /// not report changes.
    std::function<void(std::string table, SnapshotCallback)> readTable;
    /// Returns the changes of a table after a version (long poll: waits up to @c wait for the first
    /// one). Errors: HistoryLost if the platform no longer has them; then read the table again.
    std::function<void(std::string table, std::uint64_t after, Duration wait, ChangesCallback)>
        changes;
    /// Returns the name of the store's partition that contains @p key. All rows of a transaction
    /// must be in one partition; partitions work independently of each other. Empty function if the
    /// store has only one.
    std::function<std::string(const std::string &key)> partitionOf;
};

struct PlatformOptions
{
    /// Address of the platform; unused by the in-memory adapter.
    Endpoint endpoint;
    Duration timeout = std::chrono::seconds(3);
    /// Host list of the in-memory adapter.
    std::vector<HostRecord> hosts;
};

/// Plug-in that connects the daemon to a platform.
struct PlatformPlugin
{
    static constexpr std::string_view settingName = "platform.adapter";
    /// Whether stored data outlives the process.
    bool durable = true;
    PlatformAdapter (*create)(EventLoop &loop, const PlatformOptions &options);
};

} // namespace acaciadeal

#endif
