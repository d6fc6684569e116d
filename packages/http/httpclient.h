#ifndef ACACIADEAL_HTTP_HTTPCLIENT_H
#define ACACIADEAL_HTTP_HTTPCLIENT_H

#include "base/time.h"
#include "http/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

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

/// Restricts a call to one incarnation of the server, because a server that restarts may take calls
/// that were meant for its previous incarnation. A connection never outlives an incarnation, so
/// each connection is checked once, before the first call on it. The server has to keep connections
/// open after an answer. The functions have to be thread-safe.
struct HttpPeerCheck
{
    /// Incarnation that the call is meant for; if empty, the call is sent to any.
    std::string expected;
    /// Returns the request that is sent on a connection whose peer is not known to be the expected
    /// one.
    std::function<HttpRequest()> makeQuestion;
    /// Returns the incarnation that an answer to the question or to the call names; empty if it
    /// names none.
    std::function<std::string(const HttpResponse &)> identify;
};

struct HttpCallOptions
{
    /// Timeout of the whole call: waiting for a connection, connecting, sending and receiving the
    /// answer.
    Duration timeout = std::chrono::seconds(5);
    /// Opens a new connection for this call and closes it after the answer. A pooled connection may
    /// be closed by the server while it is idle, which would make the outcome unknown.
    bool freshConnection = false;
    /// Check of the server's incarnation; null for none.
    std::shared_ptr<const HttpPeerCheck> peerCheck;
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
    /// Whether the request was not sent because another incarnation, or none, answered the question
    /// of the peer check. In that case, the response is the answer to that question.
    bool peerRefused = false;
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
