#ifndef ACACIADEAL_HTTP_HTTPSERVER_H
#define ACACIADEAL_HTTP_HTTPSERVER_H

#include "base/time.h"
#include "http/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace acaciadeal {

class EventLoop;

/// Sends the answer of one request. Must be called exactly once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Serves one request. Runs on a thread of the server's loop and must not block.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerOptions
{
    Endpoint listen;
    std::size_t maxBodyBytes = 1024 * 1024;
    Duration idleTimeout = std::chrono::seconds(60);
    /// Time that drain() gives connections without a request, on which a caller may be sending.
    Duration idleGracePeriod = milliseconds(250);
};

/// HTTP/1.1 server with persistent connections. Requests that are malformed or too large are
/// answered with a numbered error and do not reach the handler. All methods are thread-safe.
class HttpServer
{
public:
    /// Precondition: @p loop outlives the server.
    HttpServer(EventLoop &loop, const HttpServerOptions &options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the listening socket. Errors: ConnectionFailed.
    Result<void> start();

    /// Returns the bound endpoint; useful with port 0. Precondition: start() succeeded.
    Endpoint endpoint() const;

    /// Closes each connection after its next answer, and says so in the answer. Callers with open
    /// connections learn of a shutdown this way before drain() closes idle connections, on which
    /// they may be about to send.
    void closeAfterAnswers();

    /// Stops accepting connections, closes idle ones after idleGracePeriod, lets each request in
    /// progress finish, then calls @p done once.
    void drain(std::function<void()> done);

    /// Defined in the source file; public because the connections there refer to it.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
