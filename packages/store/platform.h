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

/// Requires a row to have a version when the transaction commits; 0 requires it to be absent.
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

/// All checks and writes take effect together or not at all. Adapters of stores with parts need all
/// rows of a transaction to be in one table.
struct Transaction
{
    std::vector<RowCheck> checks;
    std::vector<RowPut> puts;
    std::vector<std::string> deletes;

    friend bool operator==(const Transaction &, const Transaction &) = default;
};

/// The versions of the written rows by key.
using CommitVersions = std::map<std::string, std::uint64_t>;

struct Row
{
    std::string key;
    std::string value;
    /// Versions of a key only grow, also over a deletion.
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

/// One row of the host list. The list lags behind reality.
struct HostRecord
{
    HostId host;
    FailureDomainId failureDomain;
    RackId rack;
    Endpoint endpoint;
    HostCondition condition = HostCondition::Live;
    Resources capacity;
    /// Service whose instances this host serves by itself; empty for a worker.
    ServiceId service;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Kind of the host and other marks that tasks may require.
    std::vector<std::string> labels;
    /// Start of the host's current life as time of day; absent if the list does not say.
    std::optional<milliseconds> bornAt;

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
    /// In the order of their versions; empty if nothing changed in time.
    std::vector<RowChange> rows;
    /// Version up to which the changes are complete.
    std::uint64_t version = 0;
};

/// Rows as of one moment.
struct RowSnapshot
{
    std::vector<Row> rows;
    std::uint64_t version = 0;
};

/// Result of a commit. CheckFailed: nothing was written; the error's `where` names the key.
/// WriteOutcomeUnknown: the write may have taken effect, now or later.
/// PlatformUnavailable: the transaction provably was not handed over.
using CommitCallback = std::function<void(Result<CommitVersions>)>;
using ReadCallback = std::function<void(Result<std::vector<Row>>)>;
using ObjectCallback = std::function<void(Result<std::string>)>;
using DoneCallback = std::function<void(Result<void>)>;
using ChangesCallback = std::function<void(Result<RowChanges>)>;
using SnapshotCallback = std::function<void(Result<RowSnapshot>)>;
using HostsCallback = std::function<void(Result<std::vector<HostRecord>>)>;

/// The platform's services. All functions return at once and are thread-safe. Callbacks run exactly
/// once, on threads of the loop that was given to the factory.
struct PlatformAdapter
{
    std::function<void(Transaction, CommitCallback)> commit;
    std::function<void(RowQuery, ReadCallback)> read;
    std::function<void(std::string name, std::string content, DoneCallback)> putObject;
    std::function<void(std::string name, ObjectCallback)> getObject;
    std::function<void(HostsCallback)> listHosts;
    /// Reads all rows of a table with the version from which changes() continues. A table is the
    /// part of a key before the first '/'. Empty in adapters without a feed, like changes().
    std::function<void(std::string table, SnapshotCallback)> readTable;
    /// Returns the changes of a table after a version, waiting up to @c wait for the first one.
    /// Errors: HistoryLost if the platform no longer has them; then read the table again.
    std::function<void(std::string table, std::uint64_t after, Duration wait, ChangesCallback)>
        changes;
    /// Returns the name of the store's part that holds @p key. All rows of a transaction are in one
    /// part, and parts work independently of each other. Empty if there is only one.
    std::function<std::string(const std::string &key)> partOf;
};

struct PlatformOptions
{
    /// Address of the platform; unused by the in-memory adapter.
    Endpoint endpoint;
    Duration timeout = std::chrono::seconds(3);
    /// Host list of the in-memory adapter.
    std::vector<HostRecord> hosts;
};

/// Plug-in that connects to a platform.
struct PlatformPlugin
{
    static constexpr std::string_view settingName = "platform.adapter";
    /// Whether data outlasts the process.
    bool durable = true;
    PlatformAdapter (*create)(EventLoop &loop, const PlatformOptions &options);
};

} // namespace acaciadeal

#endif
