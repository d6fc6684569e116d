#ifndef ACACIADEAL_DAEMON_DAEMON_H
#define ACACIADEAL_DAEMON_DAEMON_H

#include "base/error.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace acaciadeal {

/// The daemon process of an entry host. It serves callers, operators and peers, and holds shards.
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    /// Stops immediately, without draining. Call shutDown() first for a graceful shutdown.
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens the listening sockets and starts all services. Errors: UnknownPlugin,
    /// IncompatibleSettings, ConnectionFailed. Precondition: called at most once.
    Result<void> start();

    /// Shuts down gracefully: refuses new requests, waits for those in progress and releases the
    /// shards. Blocks until done. Preconditions: start() succeeded; not called from one of the
    /// daemon's own threads.
    void shutDown();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
