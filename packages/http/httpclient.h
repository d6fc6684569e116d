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
    std::size_t maxIdleConnectionsPerEndpoint = 16;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
};

struct HttpCallOptions
{
    /// Time for connecting, sending and the whole answer together.
    Duration timeout = std::chrono::seconds(5);
    /// Uses a new connection, so that a connection closed by the server while idle cannot make the
    /// outcome unknown.
    bool freshConnection = false;
};

/// Outcome of one call.
struct HttpOutcome
{
    /// The whole answer, or ConnectionFailed, TimedOut, IncompleteAnswer.
    Result<HttpResponse> response;
    /// False only if provably no byte of the request was sent.
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

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
