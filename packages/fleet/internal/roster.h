#ifndef ACACIADEAL_FLEET_INTERNAL_ROSTER_H
#define ACACIADEAL_FLEET_INTERNAL_ROSTER_H

#include "base/identifier.h"
#include "fleet/internal/leaserecord.h"
#include "http/httpmessage.h"
#include "store/platform.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::internal {

/// Durable list of the hosts that may hold a lease of this shard, and what the holder knows of
/// their leases. Before a new holder starts a task that may still run on one of them, it needs a
/// report of that host, or has to wait until the host's lease has expired.
class Roster
{
public:
    Roster(const PlatformAdapter &platform, EventLoop &loop);

    /// Reads the roster that the previous holder stored, with retries, then calls @p done.
    void read(std::function<void()> done);
    bool isRead() const;
    /// Returns whether a write, or the read after a failed one, has not been answered yet.
    bool isWriting() const;
    /// Returns the hosts of the previous holder. Precondition: isRead().
    const std::map<HostId, Endpoint> &inheritedHosts() const;
    /// Returns the lease record as first read; empty with epoch 0 if there is none. Precondition:
    /// isRead().
    const LeaseRecord &inheritedLeases() const;
    /// Returns the hosts in the stored roster.
    const std::map<HostId, Endpoint> &durableHosts() const;
    /// Returns whether a lease of the host may be granted or extended: neither the stored lease
    /// record nor one whose write may still take effect says that this holder does not.
    bool mayExtendLease(const HostId &host) const;
    /// Returns the tasks whose runs that record, or one whose write may still take effect, lists.
    const std::set<TaskKey> &recordedTasks() const;
    /// Stops the retries of read().
    void stop();
    /// Stores @p hosts and @p leases and then calls @p done. If the row has changed meanwhile,
    /// reads it again before it calls @p done. Does nothing if they are stored already, with
    /// remaining times that are not much too long, or if another write is in progress; @p done is
    /// not called then, nor if the write fails. Precondition: isRead().
    void write(const std::map<HostId, Endpoint> &hosts, const LeaseRecord &leases,
               std::function<void()> done);
    /// Stores what the holder leaves to its successor, once a write in progress has been answered,
    /// then calls @p done once, also if the write failed. Precondition: isRead().
    void writeLast(std::map<HostId, Endpoint> hosts, LeaseRecord leases,
                   std::function<void()> done);

private:
    void commit(const std::map<HostId, Endpoint> &hosts, const LeaseRecord &leases,
                std::function<void(const Result<CommitVersions> &)> done);
    void commitLast(const std::map<HostId, Endpoint> &hosts, const LeaseRecord &leases,
                    int attempts, std::function<void()> done);
    void readAgain(std::function<void()> done);
    void onRows(const std::vector<Row> &rows);
    bool isStored(const LeaseRecord &leases) const;
    void addRecorded(const LeaseRecord &leases);
    void replaceRecorded(const LeaseRecord &leases);

    const PlatformAdapter &m_platform;
    EventLoop &m_loop;
    std::map<HostId, Endpoint> m_inherited;
    std::map<HostId, Endpoint> m_durable;
    LeaseRecord m_inheritedLeases;
    LeaseRecord m_storedLeases;
    /// When the stored lease record was made.
    TimePoint m_leasesMadeAt;
    /// Hosts whose leases are not extended according to a record that was sent since the last
    /// successful write, or is stored.
    std::set<HostId> m_unextended;
    /// Tasks with runs in those records.
    std::set<TaskKey> m_recordedTasks;
    /// Number of rows of the stored lease record.
    std::size_t m_leaseRows = 0;
    bool m_read = false;
    bool m_writing = false;
    bool m_stopped = false;
    /// Called when the write in progress has been answered.
    std::function<void()> m_afterWrite;
    /// Version of the stored row. Writes are conditional on it, so that a late write of an earlier
    /// holder cannot replace the row of this one.
    std::uint64_t m_version = 0;
    /// Whether this holder has written that row.
    bool m_hostsWritten = false;
    /// The same as @ref m_version for the first row of the lease record.
    std::uint64_t m_leasesVersion = 0;
};

} // namespace acaciadeal::internal

#endif
