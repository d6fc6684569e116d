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

/// Failure domain as last read from the platform.
struct DomainView
{
    DomainRow row;
    /// Version of the row; 0 if it is absent.
    std::uint64_t version = 0;
};

/// Owner and alive rows of a shard as last read.
struct OwnerView
{
    std::optional<OwnerRow> owner;
    std::uint64_t ownerVersion = 0;
    std::uint64_t aliveVersion = 0;
};

/// What one daemon last read from the platform.
struct PlatformView
{
    bool reachable = false;
    /// Times of the last successful read of the rows.
    std::optional<ReadTimes> lastRowRead;
    std::map<ShardId, OwnerView> owners;
    std::map<FailureDomainId, DomainView> domains;
    std::map<HostId, HostRow> hostRows;
    std::vector<HostRecord> hosts;
    /// Whether the host list has been read at all.
    bool hostsRead = false;
    std::vector<MemberInfo> members;
};

struct PlatformWatchOptions
{
    Duration rowReadPeriod = std::chrono::seconds(1);
    Duration hostReadPeriod = std::chrono::seconds(1);
    Duration memberReadPeriod = std::chrono::seconds(5);
};

/// Reads the rows and lists that daemons watch, in one request per kind. Runs on the control
/// thread; its functions are called there.
class PlatformWatch
{
public:
    PlatformWatch(DaemonContext &context, const PlatformWatchOptions &options);

    /// Starts the periodic reads. @p onUpdate is called after each change or read.
    void start(std::function<void()> onUpdate);
    /// Reads the rows at once, for example after a check on one of them failed.
    void readRows();
    /// Takes in whether another operation reached the platform.
    void setReachable(bool reachable);
    /// Returns what was last read.
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

/// JSON form of a member row. Errors: PlatformProtocol. Thread-safe.
std::string encode(const MemberInfo &member);
Result<MemberInfo> decodeMember(const std::string &text);

} // namespace acaciadeal

#endif
