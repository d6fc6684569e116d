#ifndef ACACIADEAL_FLEET_INTERNAL_ROSTER_H
#define ACACIADEAL_FLEET_INTERNAL_ROSTER_H

#include "base/identifier.h"
#include "http/httpmessage.h"
#include "store/platform.h"

#include <cstdint>
#include <functional>
#include <map>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::internal {

/// Durable list of the hosts that may hold a lease of this shard. Before a new holder starts a task
/// that may still run on one of them, it needs a report of that host, or has to wait until the
/// host's lease has expired.
class Roster
{
public:
    Roster(const PlatformAdapter &platform, EventLoop &loop);

    /// Reads the roster that the previous holder stored, with retries, then calls @p done.
    void read(std::function<void()> done);
    bool isRead() const;
    /// Returns the hosts of the previous holder. Precondition: isRead().
    const std::map<HostId, Endpoint> &inheritedHosts() const;
    /// Returns the hosts in the stored roster.
    const std::map<HostId, Endpoint> &durableHosts() const;
    /// Stops the retries of read().
    void stop();
    /// Stores @p hosts and then calls @p done. Does nothing if they are stored already or another
    /// write is in progress; @p done is not called then, nor if the write fails. If the row has
    /// changed meanwhile, reads it again before it calls @p done. Precondition: isRead().
    void write(const std::map<HostId, Endpoint> &hosts, std::function<void()> done);

private:
    const PlatformAdapter &m_platform;
    EventLoop &m_loop;
    std::map<HostId, Endpoint> m_inherited;
    std::map<HostId, Endpoint> m_durable;
    bool m_read = false;
    bool m_writing = false;
    bool m_stopped = false;
    /// Version of the stored row. Writes are conditional on it, so that a late write of an earlier
    /// holder cannot replace the row of this one.
    std::uint64_t m_version = 0;
};

} // namespace acaciadeal::internal

#endif
