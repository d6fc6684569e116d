#ifndef ACACIADEAL_EMBEDDED_WORKERSERVER_H
#define ACACIADEAL_EMBEDDED_WORKERSERVER_H

#include "embedded/worker.h"
#include "http/httpserver.h"
#include "store/platform.h"

#include <memory>

namespace acaciadeal::embedded {

/// Serves the worker interface on a loopback port, so that a daemon with the in-memory platform can
/// run tasks without any other process. Its tasks only simulate their run time. All methods are
/// thread-safe.
class WorkerServer
{
public:
    /// Precondition: @p loop outlives the server and has one thread.
    WorkerServer(EventLoop &loop, const FailureDomainId &failureDomain);
    ~WorkerServer();
    WorkerServer(const WorkerServer &) = delete;
    WorkerServer &operator=(const WorkerServer &) = delete;

    /// Opens the listening socket. Errors: ConnectionFailed.
    Result<void> start();
    /// Returns the worker's entry for the host list. Precondition: start() succeeded.
    HostRecord hostRecord() const;

private:
    HttpResponse handleOrders(const std::string &body);

    FailureDomainId m_failureDomain;
    Worker m_worker;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace acaciadeal::embedded

#endif
