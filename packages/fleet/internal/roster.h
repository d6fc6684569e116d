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

/// Durable list of the hosts that may hold a lease of this shard. A new holder has to hear from
/// each of them, or wait until its lease has lapsed, before it may start a task that could be
/// there.
class Roster
{
public:
    Roster(const PlatformAdapter &platform, EventLoop &loop);

    /// Reads the roster of the previous holder, with retries, then calls @p done.
    void read(std::function<void()> done);
    bool isRead() const;
    /// Hosts of the previous holder. Precondition: isRead().
    const std::map<HostId, Endpoint> &inherited() const;
    /// Hosts that are in the stored roster.
    const std::map<HostId, Endpoint> &durable() const;
    /// Ends retries of read().
    void stop();
    /// Stores @p hosts unless they are stored already, then calls @p done; does nothing while a
    /// write is on its way or after a failure. Precondition: isRead().
    void write(const std::map<HostId, Endpoint> &hosts, std::function<void()> done);

private:
    const PlatformAdapter &m_platform;
    EventLoop &m_loop;
    std::map<HostId, Endpoint> m_inherited;
    std::map<HostId, Endpoint> m_durable;
    bool m_read = false;
    bool m_writing = false;
    bool m_stopped = false;
    /// Version of the stored row; a late write of an earlier holder must not replace ours.
    std::uint64_t m_version = 0;
};

} // namespace acaciadeal::internal

#endif
