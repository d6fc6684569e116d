#include "http/httpclient.h"

#include "http/internal/headers.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace acaciadeal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

/// Limits on the size of one read of an answer's body.
constexpr std::uint64_t minReadBytes = 512;
constexpr std::uint64_t maxReadBytes = 65536;

using StreamPtr = std::unique_ptr<beast::tcp_stream>;

/// Returns whether an idle connection is still open in both directions. If it is not, its socket
/// has an end of stream or data to read.
bool isReusable(beast::tcp_stream &stream)
{
    beast::error_code ec;
    auto &socket = stream.socket();
    if (!socket.is_open()) {
        return false;
    }
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

/// A call that may have to wait for a connection.
class PendingCall
{
public:
    PendingCall() = default;
    PendingCall(const PendingCall &) = delete;
    PendingCall &operator=(const PendingCall &) = delete;
    virtual ~PendingCall() = default;

    /// Sends the request. Without a stream, opens a connection first.
    virtual void begin(StreamPtr stream) = 0;
    /// Ends the call before anything was sent.
    virtual void fail(const std::string &reason) = 0;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

/// The connections to one endpoint.
struct EndpointConnections
{
    std::vector<StreamPtr> idle;
    /// Connections that are open or being opened, including the idle ones.
    std::size_t open = 0;
    std::deque<PendingCallPtr> waiting;
};

} // namespace

struct HttpClient::Impl
{
    Impl(EventLoop &eventLoop, const HttpClientOptions &clientOptions)
        : loop(eventLoop)
        , options(clientOptions)
    {
    }

    /// Begins @p call on an idle or a new connection, or puts it into the queue of its endpoint.
    /// Returns whether the call has begun or failed.
    bool beginOrEnqueue(const Endpoint &endpoint, const PendingCallPtr &call, bool fresh);
    /// Ends the wait of @p call if it is still in the queue.
    void giveUpWaiting(const Endpoint &endpoint, const PendingCallPtr &call);
    /// Takes back the connection of a call that has ended; @p stream is null if it was closed. The
    /// next waiting call uses it.
    void release(const Endpoint &endpoint, StreamPtr stream);
    void close();

    EventLoop &loop;
    HttpClientOptions options;
    std::mutex mutex;
    std::map<Endpoint, EndpointConnections> connections;
    bool closed = false;

private:
    StreamPtr takeIdleStream(EndpointConnections &endpoint) const;
};

/// Precondition: the caller holds the mutex.
StreamPtr HttpClient::Impl::takeIdleStream(EndpointConnections &endpoint) const
{
    while (!endpoint.idle.empty()) {
        StreamPtr stream = std::move(endpoint.idle.back());
        endpoint.idle.pop_back();
        if (isReusable(*stream)) {
            return stream;
        }
        --endpoint.open;
    }
    return nullptr;
}

bool HttpClient::Impl::beginOrEnqueue(const Endpoint &endpoint, const PendingCallPtr &call,
                                      bool fresh)
{
    StreamPtr stream;
    bool refused = false;
    {
        const std::lock_guard lock(mutex);
        refused = closed;
        if (!refused) {
            EndpointConnections &target = connections[endpoint];
            if (!fresh) {
                stream = takeIdleStream(target);
            }
            const std::size_t limit = options.maxConnectionsPerEndpoint;
            if (!stream && limit > 0 && target.open >= limit) {
                target.waiting.push_back(call);
                return false;
            }
            target.open += stream ? 0 : 1;
        }
    }
    if (refused) {
        call->fail("the client is closed");
    } else {
        call->begin(std::move(stream));
    }
    return true;
}

void HttpClient::Impl::giveUpWaiting(const Endpoint &endpoint, const PendingCallPtr &call)
{
    {
        const std::lock_guard lock(mutex);
        if (std::erase(connections[endpoint].waiting, call) == 0) {
            return;
        }
    }
    call->fail("all connections to the server stayed in use");
}

void HttpClient::Impl::release(const Endpoint &endpoint, StreamPtr stream)
{
    PendingCallPtr next;
    {
        const std::lock_guard lock(mutex);
        EndpointConnections &target = connections[endpoint];
        if (!target.waiting.empty()) {
            next = std::move(target.waiting.front());
            target.waiting.pop_front();
        } else if (stream && !closed
                   && target.idle.size() < options.maxIdleConnectionsPerEndpoint) {
            target.idle.push_back(std::move(stream));
        } else {
            --target.open;
        }
    }
    if (next) {
        next->begin(std::move(stream));
    }
}

void HttpClient::Impl::close()
{
    std::vector<PendingCallPtr> waiting;
    {
        const std::lock_guard lock(mutex);
        closed = true;
        for (auto &[endpoint, target] : connections) {
            target.open -= target.idle.size();
            target.idle.clear();
            waiting.insert(waiting.end(), target.waiting.begin(), target.waiting.end());
            target.waiting.clear();
        }
    }
    for (const PendingCallPtr &call : waiting) {
        call->fail("the client is closed");
    }
}

namespace {

Error toError(beast::error_code ec, const Endpoint &endpoint)
{
    ResultCode code = ResultCode::ConnectionFailed;
    if (ec == beast::error::timeout) {
        code = ResultCode::TimedOut;
    } else if (ec == beast::http::error::partial_message) {
        code = ResultCode::IncompleteAnswer;
    }
    return {code, ec.message(), toString(endpoint)};
}

/// One request and its answer. Runs on the strand of its connection.
template<typename Pool>
class Call : public PendingCall, public std::enable_shared_from_this<Call<Pool>>
{
public:
    Call(std::shared_ptr<Pool> pool, Endpoint endpoint, HttpCallback callback)
        : m_pool(std::move(pool))
        , m_endpoint(std::move(endpoint))
        , m_callback(std::move(callback))
    {
    }

    void start(HttpRequest request, const HttpCallOptions &options)
    {
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.version(11);
        m_request.set(beast::http::field::host, toString(m_endpoint));
        for (const auto &[name, value] : request.headers) {
            m_request.set(name, value);
        }
        m_request.body() = std::move(request.body);
        // A connection that is opened for one request must not be added to the pool; otherwise the
        // pools of several daemons together exceed the connection limit of a backend server.
        m_request.keep_alive(!options.freshConnection);
        m_request.prepare_payload();
        m_deadline = std::chrono::steady_clock::now() + options.timeout;

        const auto self = this->shared_from_this();
        if (!m_pool->beginOrEnqueue(m_endpoint, self, options.freshConnection)) {
            // The other half of the timeout is left for the call itself: an order that is sent just
            // before its timeout would end with an unknown outcome.
            m_pool->loop.postAfter(options.timeout / 2, [weak = std::weak_ptr(self)] {
                if (const auto call = weak.lock()) {
                    call->m_pool->giveUpWaiting(call->m_endpoint, call);
                }
            });
        }
    }

    void begin(StreamPtr stream) override
    {
        const bool connected = stream && m_request.keep_alive();
        m_stream =
            connected
                ? std::move(stream)
                : std::make_unique<beast::tcp_stream>(asio::make_strand(m_pool->loop.context()));
        asio::dispatch(m_stream->get_executor(), [self = this->shared_from_this(), connected] {
            self->m_stream->expires_at(self->m_deadline);
            if (connected) {
                self->write();
            } else {
                self->connect();
            }
        });
    }

    void fail(const std::string &reason) override
    {
        m_callback({failure(ResultCode::NotHandedOver, reason, toString(m_endpoint)), false});
    }

private:
    void connect()
    {
        beast::error_code ec;
        const auto address = asio::ip::make_address(m_endpoint.address, ec);
        if (ec) {
            finish(tl::unexpected<Error>(toError(ec, m_endpoint)));
            return;
        }
        m_stream->async_connect(
            tcp::endpoint(address, m_endpoint.port),
            [self = this->shared_from_this()](beast::error_code result) {
                if (result) {
                    self->finish(tl::unexpected<Error>(toError(result, self->m_endpoint)));
                    return;
                }
                beast::error_code ignored;
                self->m_stream->socket().set_option(tcp::no_delay(true), ignored);
                self->write();
            });
    }

    void write()
    {
        beast::http::async_write(
            *m_stream, m_request,
            [self = this->shared_from_this()](beast::error_code ec, std::size_t n) {
                self->m_handedOver = n > 0 || !ec;
                if (ec) {
                    self->finish(tl::unexpected<Error>(toError(ec, self->m_endpoint)));
                    return;
                }
                self->read();
            });
    }

    void read()
    {
        m_parser.body_limit(m_pool->options.maxBodyBytes);
        beast::http::async_read_header(
            *m_stream, m_buffer, m_parser,
            [self = this->shared_from_this()](beast::error_code ec, std::size_t) {
                if (ec) {
                    self->onRead(ec);
                } else {
                    self->readBody();
                }
            });
    }

    void readBody()
    {
        // Each read returns at most the buffer's capacity and waits for an iteration of the event
        // loop, so the capacity is set from the length that is left.
        const auto left = m_parser.content_length_remaining().value_or(0);
        m_buffer.reserve(
            static_cast<std::size_t>(std::clamp<std::uint64_t>(left, minReadBytes, maxReadBytes)));
        beast::http::async_read(*m_stream, m_buffer, m_parser,
                                [self = this->shared_from_this()](
                                    beast::error_code ec, std::size_t) { self->onRead(ec); });
    }

    void onRead(beast::error_code ec)
    {
        if (ec) {
            finish(tl::unexpected<Error>(toError(ec, m_endpoint)));
            return;
        }
        const auto &message = m_parser.get();
        // Without a declared length, the answer ends where the connection ends, and a truncated
        // answer cannot be distinguished from a complete one.
        if (m_parser.need_eof()) {
            finish(failure(ResultCode::IncompleteAnswer,
                           "the answer has neither Content-Length nor chunked encoding",
                           toString(m_endpoint)));
            return;
        }
        HttpResponse response;
        response.status = message.result_int();
        response.headers = internal::toHeaders(message);
        response.body = message.body();
        if (message.keep_alive() && m_request.keep_alive()) {
            m_stream->expires_never();
            m_reusable = true;
        }
        finish(std::move(response));
    }

    void finish(Result<HttpResponse> response)
    {
        if (!m_reusable) {
            m_stream.reset();
        }
        m_pool->release(m_endpoint, std::move(m_stream));
        m_callback({std::move(response), m_handedOver});
    }

    std::shared_ptr<Pool> m_pool;
    Endpoint m_endpoint;
    HttpCallback m_callback;
    StreamPtr m_stream;
    beast::flat_buffer m_buffer;
    beast::http::request<beast::http::string_body> m_request;
    beast::http::response_parser<beast::http::string_body> m_parser;
    TimePoint m_deadline;
    bool m_handedOver = false;
    /// Whether the connection can carry another call.
    bool m_reusable = false;
};

} // namespace

HttpClient::HttpClient(EventLoop &loop, const HttpClientOptions &options)
    : m_impl(std::make_shared<Impl>(loop, options))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const Endpoint &endpoint, HttpRequest request, const HttpCallOptions &options,
                      HttpCallback callback)
{
    std::make_shared<Call<Impl>>(m_impl, endpoint, std::move(callback))
        ->start(std::move(request), options);
}

void HttpClient::close()
{
    m_impl->close();
}

} // namespace acaciadeal
