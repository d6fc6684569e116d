#ifndef ACACIADEAL_STANDINS_FAULTYSERVER_H
#define ACACIADEAL_STANDINS_FAULTYSERVER_H

#include "http/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::standins {

/// How an answer is delivered to the client.
enum class Delivery {
    Whole,
    /// Half of the body is sent with the content-length of the whole body, then the connection is
    /// closed.
    Truncated,
    /// The connection is closed without an answer.
    Dropped,
};

using FaultyResponder = std::function<void(HttpResponse, Delivery)>;
/// @p client is the address of the caller. Must not block.
using FaultyHandler =
    std::function<void(HttpRequest, const std::string &client, FaultyResponder respond)>;

struct FaultyServerOptions
{
    Endpoint listen;
    /// Connections beyond this number are closed immediately; 0 means no limit.
    std::size_t maxConnections = 0;
    /// Whether a connection is closed as soon as the client closes it, also while a request on it
    /// has no answer yet. Otherwise such a connection stays in use until the request is answered.
    bool closesWithClient = false;
};

/// HTTP/1.1 server that can truncate or drop answers, which HttpServer cannot. Thread-safe.
class FaultyServer
{
public:
    /// Precondition: @p loop outlives the server, and runs no handler after the server is
    /// destroyed.
    FaultyServer(EventLoop &loop, const FaultyServerOptions &options, FaultyHandler handler);
    ~FaultyServer();
    FaultyServer(const FaultyServer &) = delete;
    FaultyServer &operator=(const FaultyServer &) = delete;

    /// Opens the listening socket. Errors: ConnectionFailed.
    Result<void> start();

    /// Returns the bound endpoint. Precondition: start() succeeded.
    Endpoint endpoint() const;

    /// Resets all open connections, as the restart of a server does. Requests that have no answer
    /// yet get none.
    void resetConnections();

    /// Returns how many connections were closed because of the limit.
    std::size_t refusedConnections() const;
    /// Returns how many connections are in use.
    std::size_t openConnections() const;
    /// Returns how many requests have no answer yet although their client has closed the
    /// connection. Always 0 without FaultyServerOptions::closesWithClient.
    std::size_t abandonedRequests() const;

    /// Defined in the source file.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal::standins

#endif
