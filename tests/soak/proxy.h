#ifndef ACACIADEAL_SOAK_PROXY_H
#define ACACIADEAL_SOAK_PROXY_H

#include "base/time.h"
#include "http/httpmessage.h"

#include <memory>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::soak {

/// Faults that a proxy applies to all its connections.
struct LinkFault
{
    Duration delay{0};
    /// Data in this direction is held back until the fault ends.
    bool holdsToServer = false;
    bool holdsToClient = false;
    /// New connections are closed immediately.
    bool refusesConnections = false;
};

/// Loopback TCP proxy that injects network faults. Used only on the loop's single thread.
class Proxy
{
public:
    /// Throws std::runtime_error if no port can be opened.
    Proxy(EventLoop &loop, Endpoint target);

    Endpoint endpoint() const;
    void setFault(const LinkFault &fault);
    /// Closes all open connections, those of setHidesClosedClients() included; the client sides are
    /// reset.
    void resetConnections();
    /// Closes the listening socket and all open connections: the server's machine is gone.
    void close();
    /// Permanently discards all further data on the connections that are open now, without closing
    /// or resetting them. New connections work normally.
    void blackholeOpenConnections();
    /// While set, the server does not learn that a client closes one of the connections that were
    /// open when this was set: the client's machine has lost power. The server keeps them until
    /// resetConnections().
    void setHidesClosedClients(bool hides);

    /// Defined in the source file.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal::soak

#endif
