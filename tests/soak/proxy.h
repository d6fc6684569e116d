#ifndef ACACIADEAL_SOAK_PROXY_H
#define ACACIADEAL_SOAK_PROXY_H

#include "base/time.h"
#include "http/httpmessage.h"

#include <memory>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::soak {

/// What a proxy does to everything that passes through it.
struct LinkFault
{
    Duration delay{0};
    /// Bytes are held back in this direction until the fault ends.
    bool holdsToServer = false;
    bool holdsToClient = false;
    /// New connections are closed at once.
    bool refusesConnections = false;
};

/// Loopback TCP proxy that harms connections. Used on the loop's only thread.
class Proxy
{
public:
    /// Throws std::runtime_error if no port can be opened.
    Proxy(EventLoop &loop, Endpoint target);

    Endpoint endpoint() const;
    void setFault(const LinkFault &fault);
    void resetConnections();
    /// Swallows all further bytes of the connections that are open now, for good and without a
    /// reset; new connections work.
    void blackholeOpenConnections();

    /// Defined in the source file.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal::soak

#endif
