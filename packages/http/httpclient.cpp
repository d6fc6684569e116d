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
#include <optional>
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

struct Connection
{
    explicit Connection(asio::io_context &context)
        : stream(asio::make_strand(context))
    {
    }

    beast::tcp_stream stream;
    /// Incarnation of the server, as far as it is known.
    std::string peer;
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// Returns whether an idle connection is still open in both directions. If it is not, its socket
/// has an end of stream or data to read.
bool isReusable(Connection &connection)
{
    beast::error_code ec;
    auto &socket = connection.stream.socket();
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

    /// Sends the request. Without a connection, opens one first.
    virtual void begin(ConnectionPtr connection) = 0;
    /// Ends the call before anything was sent.
    virtual void fail(const std::string &reason) = 0;
    /// Returns whether the call may use a connection to @p peer, which is empty if the incarnation
    /// of the server is not known.
    virtual bool mayUse(const std::string &peer) const = 0;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

/// The connections to one endpoint.
struct EndpointConnections
{
    std::vector<ConnectionPtr> idle;
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
    /// Takes back the connection of a call that has ended; @p connection is null if it was closed.
    /// The next waiting call uses it.
    void release(const Endpoint &endpoint, ConnectionPtr connection);
    void close();

    EventLoop &loop;
    HttpClientOptions options;
    std::mutex mutex;
    std::map<Endpoint, EndpointConnections> connections;
    bool closed = false;

private:
    ConnectionPtr takeIdle(EndpointConnections &endpoint, const PendingCall &call) const;
};

/// Precondition: the caller holds the mutex.
ConnectionPtr HttpClient::Impl::takeIdle(EndpointConnections &endpoint,
                                         const PendingCall &call) const
{
    while (!endpoint.idle.empty()) {
        ConnectionPtr connection = std::move(endpoint.idle.back());
        endpoint.idle.pop_back();
        // A server that lost power closes no connections, so those to its former incarnation look
        // open.
        if (call.mayUse(connection->peer) && isReusable(*connection)) {
            return connection;
        }
        --endpoint.open;
    }
    return nullptr;
}

bool HttpClient::Impl::beginOrEnqueue(const Endpoint &endpoint, const PendingCallPtr &call,
                                      bool fresh)
{
    ConnectionPtr connection;
    bool refused = false;
    {
        const std::lock_guard lock(mutex);
        refused = closed;
        if (!refused) {
            EndpointConnections &target = connections[endpoint];
            if (!fresh) {
                connection = takeIdle(target, *call);
            }
            const std::size_t limit = options.maxConnectionsPerEndpoint;
            if (!connection && limit > 0 && target.open >= limit) {
                target.waiting.push_back(call);
                return false;
            }
            target.open += connection ? 0 : 1;
        }
    }
    if (refused) {
        call->fail("the client is closed");
    } else {
        call->begin(std::move(connection));
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

void HttpClient::Impl::release(const Endpoint &endpoint, ConnectionPtr connection)
{
    PendingCallPtr next;
    {
        const std::lock_guard lock(mutex);
        EndpointConnections &target = connections[endpoint];
        if (!target.waiting.empty()) {
            next = std::move(target.waiting.front());
            target.waiting.pop_front();
        } else if (connection && !closed
                   && target.idle.size() < options.maxIdleConnectionsPerEndpoint) {
            target.idle.push_back(std::move(connection));
        } else {
            --target.open;
        }
    }
    if (next) {
        next->begin(std::move(connection));
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

using Message = beast::http::request<beast::http::string_body>;

Message toMessage(HttpRequest request, const Endpoint &endpoint, bool keepAlive)
{
    Message message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(beast::http::field::host, toString(endpoint));
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = std::move(request.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
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
        // A connection that is opened for one request must not be added to the pool; otherwise the
        // pools of several daemons together exceed the connection limit of a backend server.
        m_request = toMessage(std::move(request), m_endpoint, !options.freshConnection);
        m_peerCheck = options.peerCheck;
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

    void begin(ConnectionPtr connection) override
    {
        const bool connected = connection && m_request.keep_alive();
        m_connection = connected ? std::move(connection)
                                 : std::make_unique<Connection>(m_pool->loop.context());
        asio::dispatch(stream().get_executor(), [self = this->shared_from_this(), connected] {
            self->stream().expires_at(self->m_deadline);
            if (connected) {
                self->onConnected();
            } else {
                self->connect();
            }
        });
    }

    void fail(const std::string &reason) override
    {
        m_callback({failure(ResultCode::NotHandedOver, reason, toString(m_endpoint)), false});
    }

    bool mayUse(const std::string &peer) const override
    {
        return peer.empty() || isExpected(peer);
    }

private:
    bool isExpected(const std::string &peer) const
    {
        return !m_peerCheck || m_peerCheck->expected.empty() || m_peerCheck->expected == peer;
    }

    beast::tcp_stream &stream()
    {
        return m_connection->stream;
    }

    void connect()
    {
        beast::error_code ec;
        const auto address = asio::ip::make_address(m_endpoint.address, ec);
        if (ec) {
            finish(tl::unexpected<Error>(toError(ec, m_endpoint)));
            return;
        }
        stream().async_connect(
            tcp::endpoint(address, m_endpoint.port),
            [self = this->shared_from_this()](beast::error_code result) {
                if (result) {
                    self->finish(tl::unexpected<Error>(toError(result, self->m_endpoint)));
                    return;
                }
                beast::error_code ignored;
                self->stream().socket().set_option(tcp::no_delay(true), ignored);
                self->onConnected();
            });
    }

    void onConnected()
    {
        if (isExpected(m_connection->peer)) {
            write();
        } else {
            askPeer();
        }
    }

    void askPeer()
    {
        m_question = toMessage(m_peerCheck->makeQuestion(), m_endpoint, true);
        m_asking = true;
        beast::http::async_write(
            stream(), m_question,
            [self = this->shared_from_this()](beast::error_code ec, std::size_t) {
                if (ec) {
                    self->finish(tl::unexpected<Error>(toError(ec, self->m_endpoint)));
                    return;
                }
                self->read();
            });
    }

    void write()
    {
        beast::http::async_write(
            stream(), m_request,
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
        m_parser.emplace();
        m_parser->body_limit(m_pool->options.maxBodyBytes);
        beast::http::async_read_header(
            stream(), m_buffer, *m_parser,
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
        const auto left = m_parser->content_length_remaining().value_or(0);
        m_buffer.reserve(
            static_cast<std::size_t>(std::clamp<std::uint64_t>(left, minReadBytes, maxReadBytes)));
        beast::http::async_read(stream(), m_buffer, *m_parser,
                                [self = this->shared_from_this()](
                                    beast::error_code ec, std::size_t) { self->onRead(ec); });
    }

    void onRead(beast::error_code ec)
    {
        if (ec) {
            finish(tl::unexpected<Error>(toError(ec, m_endpoint)));
            return;
        }
        const auto &message = m_parser->get();
        // Without a declared length, the answer ends where the connection ends, and a truncated
        // answer cannot be distinguished from a complete one.
        if (m_parser->need_eof()) {
            finish(failure(ResultCode::IncompleteAnswer,
                           "the answer has neither Content-Length nor chunked encoding",
                           toString(m_endpoint)));
            return;
        }
        const bool keepAlive = message.keep_alive();
        HttpResponse response;
        response.status = message.result_int();
        response.headers = internal::toHeaders(message);
        response.body = message.body();
        if (m_peerCheck && (m_asking || m_connection->peer.empty())) {
            m_connection->peer = m_peerCheck->identify(response);
        }
        if (std::exchange(m_asking, false)) {
            onPeerAnswer(std::move(response), keepAlive);
            return;
        }
        m_reusable = keepAlive && m_request.keep_alive();
        finish(std::move(response));
    }

    void onPeerAnswer(HttpResponse response, bool keepAlive)
    {
        if (!isExpected(m_connection->peer)) {
            // Not reused: later calls for the present incarnation open connections of their own.
            m_peerRefused = true;
            finish(std::move(response));
        } else if (!keepAlive) {
            finish(failure(ResultCode::ConnectionFailed,
                           "the server closes the connection after each answer",
                           toString(m_endpoint)));
        } else {
            write();
        }
    }

    void finish(Result<HttpResponse> response)
    {
        if (m_reusable) {
            stream().expires_never();
        } else {
            m_connection.reset();
        }
        m_pool->release(m_endpoint, std::move(m_connection));
        m_callback({std::move(response), m_handedOver, m_peerRefused});
    }

    std::shared_ptr<Pool> m_pool;
    Endpoint m_endpoint;
    HttpCallback m_callback;
    ConnectionPtr m_connection;
    beast::flat_buffer m_buffer;
    Message m_request;
    std::shared_ptr<const HttpPeerCheck> m_peerCheck;
    Message m_question;
    std::optional<beast::http::response_parser<beast::http::string_body>> m_parser;
    TimePoint m_deadline;
    bool m_handedOver = false;
    /// Whether the answer that is awaited is that to the question of the peer check.
    bool m_asking = false;
    bool m_peerRefused = false;
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
