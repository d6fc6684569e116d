#ifndef ACACIADEAL_HTTP_HTTPCLIENT_H
#define ACACIADEAL_HTTP_HTTPCLIENT_H

#include "base/time.h"
#include "http/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace acaciadeal {

class EventLoop;

struct HttpClientOptions
{
    /// Connections that are kept open for later calls.
    std::size_t maxIdleConnectionsPerEndpoint = 16;
    /// Connections that may be open at the same time, idle ones included; 0 means no limit. A call
    /// beyond the limit waits until a connection becomes free, for at most half of its timeout.
    std::size_t maxConnectionsPerEndpoint = 0;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
};

struct HttpCallOptions
{
    /// Timeout of the whole call: waiting for a connection, connecting, sending and receiving the
    /// answer.
    Duration timeout = std::chrono::seconds(5);
    /// Opens a new connection for this call and closes it after the answer. A pooled connection may
    /// be closed by the server while it is idle, which would make the outcome unknown.
    bool freshConnection = false;
};

/// Outcome of one call.
struct HttpOutcome
{
    /// The complete answer. Errors: ConnectionFailed, TimedOut, IncompleteAnswer; NotHandedOver if
    /// no connection became free or the client was closed before the call got one.
    Result<HttpResponse> response;
    /// Whether the server may have received the request; false only if it is certain that no byte
    /// of it was sent.
    bool handedOver = false;
};

using HttpCallback = std::function<void(HttpOutcome)>;

/// HTTP/1.1 client with a pool of persistent connections. All methods are thread-safe.
class HttpClient
{
public:
    /// Precondition: @p loop outlives the client. Callbacks run on threads of @p loop.
    HttpClient(EventLoop &loop, const HttpClientOptions &options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends @p request once, without retries, and calls @p callback exactly once.
    void send(const Endpoint &endpoint, HttpRequest request, const HttpCallOptions &options,
              HttpCallback callback);

    /// Closes the idle connections at once, and each other one after the answer that it waits for.
    /// Calls that wait for a connection, and later calls, fail with NotHandedOver. Their callbacks
    /// may run before this method returns.
    void close();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
