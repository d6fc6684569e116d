#ifndef ACACIADEAL_DAEMON_DAEMON_H
#define ACACIADEAL_DAEMON_DAEMON_H

#include "base/error.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace acaciadeal {

/// One entry host's process: serves callers, operators and peers, and holds shards.
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    /// Stops at once. Call shutDown() first to end gracefully.
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens the sockets and starts all services. Errors: UnknownPlugin, IncompatibleSettings,
    /// ConnectionFailed. Precondition: called once.
    Result<void> start();

    /// Refuses new requests, lets those in progress finish, releases the shards, and returns.
    /// Precondition: start() succeeded; not called from a thread of the daemon.
    void shutDown();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
