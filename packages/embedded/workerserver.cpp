#include "embedded/workerserver.h"

#include <utility>

namespace acaciadeal::embedded {
namespace {

constexpr Resources embeddedCapacity{.milliCores = 4000, .memoryMiB = 8192, .accelerators = 1};

} // namespace

WorkerServer::WorkerServer(EventLoop &loop, const FailureDomainId &failureDomain)
    : m_failureDomain(failureDomain)
    , m_worker(makeWorker({.host = {"embedded-worker"}, .capacity = embeddedCapacity}))
    , m_server(std::make_unique<HttpServer>(
          loop, HttpServerOptions{.listen = {"127.0.0.1", 0}},
          [this](const HttpRequest &request, const HttpResponder &respond) {
              respond(handleOrders(request.body));
          }))
{
}

WorkerServer::~WorkerServer() = default;

Result<void> WorkerServer::start()
{
    return m_server->start();
}

HostRecord WorkerServer::hostRecord() const
{
    return {.host = m_worker.options.host,
            .failureDomain = m_failureDomain,
            .rack = {"embedded"},
            .endpoint = m_server->endpoint(),
            .capacity = embeddedCapacity};
}

HttpResponse WorkerServer::handleOrders(const std::string &body)
{
    const auto orders = decodeOrders(body);
    if (!orders) {
        return errorResponse(orders.error());
    }
    return jsonResponse(
        encodeReport(applyOrders(m_worker, *orders, std::chrono::steady_clock::now())));
}

} // namespace acaciadeal::embedded
