#ifndef ACACIADEAL_HTTP_HTTPSERVER_H
#define ACACIADEAL_HTTP_HTTPSERVER_H

#include "base/time.h"
#include "http/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace acaciadeal {

class EventLoop;

/// Sends the answer to one request. Must be called exactly once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one request. Runs on a thread of the server's loop and must not block.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerOptions
{
    Endpoint listen;
    std::size_t maxBodyBytes = 1024 * 1024;
    /// Timeout for receiving a request, including the wait for its first byte, and for sending an
    /// answer.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Time for which drain() keeps connections open that have no request in progress, because a
    /// caller may be sending one.
    Duration idleGracePeriod = milliseconds(250);
};

/// HTTP/1.1 server with persistent connections. Requests that are malformed or too large are
/// answered with a result code and do not reach the handler. The body of an answer to HEAD is not
/// sent. All methods are thread-safe.
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

    /// Closes each connection after its next answer, which carries "Connection: close". This tells
    /// callers with open connections of a shutdown before drain() closes idle connections, on which
    /// they might otherwise send a request.
    void closeAfterAnswers();

    /// Stops accepting connections, closes idle ones after idleGracePeriod, lets each request in
    /// progress finish, then calls @p done once.
    void drain(std::function<void()> done);

    /// Defined in the source file; public because the session class there uses it.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
