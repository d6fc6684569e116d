#ifndef ACACIADEAL_DAEMON_PLATFORMWATCH_H
#define ACACIADEAL_DAEMON_PLATFORMWATCH_H

#include "daemon/context.h"
#include "daemon/holderwatch.h"
#include "daemon/rowkeys.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace acaciadeal {

/// Row of a failure domain as last read from the platform.
struct DomainView
{
    DomainRow row;
    /// Version of the row; 0 if it is absent.
    std::uint64_t version = 0;
};

/// Owner row and alive row of a shard as last read. The versions are 0 if a row is absent.
struct OwnerView
{
    std::optional<OwnerRow> owner;
    std::uint64_t ownerVersion = 0;
    std::uint64_t aliveVersion = 0;
};

/// All that a daemon last read from the platform.
struct PlatformView
{
    bool reachable = false;
    /// When the owner, alive and domain rows were last read successfully; empty if never.
    std::optional<ReadTimes> lastRowRead;
    std::map<ShardId, OwnerView> owners;
    std::map<FailureDomainId, DomainView> domains;
    std::map<HostId, HostRow> hostRows;
    std::vector<HostRecord> hosts;
    /// Whether the host list has been read at least once.
    bool hostsRead = false;
    std::vector<MemberInfo> members;
};

struct PlatformWatchOptions
{
    Duration rowReadPeriod = std::chrono::seconds(1);
    Duration hostReadPeriod = std::chrono::seconds(1);
    Duration memberReadPeriod = std::chrono::seconds(5);
};

/// Periodically reads the rows and the host list that a daemon needs, with one request per kind.
/// Runs on the control thread; all functions must be called there.
class PlatformWatch
{
public:
    PlatformWatch(DaemonContext &context, const PlatformWatchOptions &options);

    /// Starts the periodic reads. @p onUpdate is called after each successful read, and also
    /// after a failed read of the owner, alive and domain rows.
    void start(std::function<void()> onUpdate);
    /// Reads the owner, alive and domain rows immediately, for example after a check on one of them
    /// failed.
    void readRows();
    /// Records whether the platform is reachable and logs a change.
    void setReachable(bool reachable);
    /// Returns the view as last read.
    const PlatformView &view() const;

private:
    void readHostRows();
    void readHosts();
    void readMembers();
    void onRows(const std::vector<Row> &rows, TimePoint sentAt);

    DaemonContext &m_context;
    PlatformWatchOptions m_options;
    std::function<void()> m_onUpdate;
    PlatformView m_view;
    bool m_readingRows = false;
};

/// JSON encoding of a member row. Errors of decoding: PlatformProtocol. Thread-safe.
std::string encode(const MemberInfo &member);
Result<MemberInfo> decodeMember(const std::string &text);

} // namespace acaciadeal

#endif
