#include "http/httpserver.h"

#include "http/internal/headers.h"
#include "http/listener.h"
#include "runtime/eventloop.h"

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace acaciadeal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

HttpRequest toRequest(const beast::http::request<beast::http::string_body> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = internal::toHeaders(message);
    request.body = message.body();
    return request;
}

class Session;

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    Impl(EventLoop &eventLoop, const HttpServerOptions &serverOptions, HttpHandler requestHandler)
        : loop(eventLoop)
        , options(serverOptions)
        , handler(std::move(requestHandler))
        , acceptor(asio::make_strand(eventLoop.context()))
    {
    }

    void accept();
    void serve(tcp::socket socket);
    void stopAccepting();
    void removeSession(Session *session);
    void closeIdleSessions(std::function<void()> done);

    EventLoop &loop;
    HttpServerOptions options;
    HttpHandler handler;
    tcp::acceptor acceptor;

    std::mutex mutex;
    std::set<Session *> sessions;
    bool closingAfterAnswers = false;
    /// Set while drain() waits for the last session to end.
    std::function<void()> onDrained;
};

namespace {

/// Server side of one connection. Its handlers run on the connection's strand.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<HttpServer::Impl> server, tcp::socket socket);
    ~Session();

    void start();
    /// Closes the connection if no request is in progress on it.
    void closeIfIdle();

private:
    void read();
    void onRead(beast::error_code ec);
    void refuse(const Error &error);
    void respond(HttpResponse response, bool keepAlive);
    void onWritten(beast::error_code ec, bool keepAlive);
    void close();
    bool hasUnparsedInput();

    std::shared_ptr<HttpServer::Impl> m_server;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
    beast::http::response<beast::http::string_body> m_response;
    bool m_busy = false;
};

} // namespace

void HttpServer::Impl::accept()
{
    acceptor.async_accept(asio::make_strand(loop.context()),
                          [self = shared_from_this()](beast::error_code ec, tcp::socket socket) {
                              // Also serve a connection that was accepted just before the acceptor
                              // closed: its caller may have sent a request.
                              if (!ec) {
                                  self->serve(std::move(socket));
                              }
                              if (self->acceptor.is_open()) {
                                  self->accept();
                              }
                          });
}

void HttpServer::Impl::serve(tcp::socket socket)
{
    std::make_shared<Session>(shared_from_this(), std::move(socket))->start();
}

/// Accepts the connections in the listen backlog first, because closing the acceptor resets them.
void HttpServer::Impl::stopAccepting()
{
    beast::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(asio::make_strand(loop.context()));
        acceptor.accept(socket, ec);
        if (!ec) {
            serve(std::move(socket));
        }
    }
    acceptor.close(ec);
}

/// Closes idle sessions and calls @p done when all sessions have ended. Waits for sessions rather
/// than for requests, because a session may have read a request that is not marked as in progress
/// yet.
void HttpServer::Impl::closeIdleSessions(std::function<void()> done)
{
    // Declared outside the lock's scope, because the destructor of a session locks the same mutex.
    std::vector<std::shared_ptr<Session>> open;
    {
        const std::lock_guard lock(mutex);
        if (!sessions.empty()) {
            onDrained = std::exchange(done, nullptr);
        }
        for (Session *const session : sessions) {
            // The pointer to a session that is being destroyed has expired; skip that session.
            if (auto alive = session->weak_from_this().lock()) {
                open.push_back(std::move(alive));
            }
        }
    }
    for (const auto &session : open) {
        session->closeIfIdle();
    }
    if (done) {
        done();
    }
}

void HttpServer::Impl::removeSession(Session *session)
{
    std::function<void()> done;
    {
        const std::lock_guard lock(mutex);
        sessions.erase(session);
        if (sessions.empty()) {
            done = std::exchange(onDrained, nullptr);
        }
    }
    if (done) {
        done();
    }
}

namespace {

Session::Session(std::shared_ptr<HttpServer::Impl> server, tcp::socket socket)
    : m_server(std::move(server))
    , m_stream(std::move(socket))
{
    const std::lock_guard lock(m_server->mutex);
    m_server->sessions.insert(this);
}

Session::~Session()
{
    m_server->removeSession(this);
}

void Session::start()
{
    beast::error_code ec;
    m_stream.socket().set_option(tcp::no_delay(true), ec);
    asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] { self->read(); });
}

void Session::closeIfIdle()
{
    asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] {
        // A request that has arrived in part is answered first; the connection closes after that.
        const bool requestArriving =
            (self->m_parser && self->m_parser->got_some()) || self->hasUnparsedInput();
        if (!self->m_busy && !requestArriving) {
            self->close();
        }
    });
}

void Session::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_server->options.maxBodyBytes);
    m_stream.expires_after(m_server->options.idleTimeout);
    beast::http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code ec, std::size_t) { self->onRead(ec); });
}

void Session::onRead(beast::error_code ec)
{
    if (ec == beast::http::error::body_limit) {
        refuse({ResultCode::RequestTooLarge, "the request body exceeds the size limit", "body"});
        return;
    }
    // Success also has the system category, so check for an error first.
    const bool connectionLost = ec && ec.category() == asio::error::get_system_category();
    if (connectionLost || ec == beast::http::error::end_of_stream || ec == beast::error::timeout) {
        close();
        return;
    }
    if (ec) {
        refuse({ResultCode::MalformedRequest, ec.message(), "http"});
        return;
    }
    m_busy = true;
    m_stream.expires_never();
    const bool keepAlive = m_parser->get().keep_alive();
    m_server->handler(toRequest(m_parser->get()),
                      [self = shared_from_this(), keepAlive](HttpResponse response) {
                          asio::post(self->m_stream.get_executor(),
                                     [self, keepAlive, response = std::move(response)]() mutable {
                                         self->respond(std::move(response), keepAlive);
                                     });
                      });
}

void Session::refuse(const Error &error)
{
    m_busy = true;
    respond(errorResponse(error), false);
}

void Session::respond(HttpResponse response, bool keepAlive)
{
    {
        const std::lock_guard lock(m_server->mutex);
        // If the next request has already arrived, the answer to that one announces the close.
        keepAlive = keepAlive && (!m_server->closingAfterAnswers || hasUnparsedInput());
    }
    m_response = {};
    m_response.result(response.status);
    for (const auto &[name, value] : response.headers) {
        m_response.set(name, value);
    }
    m_response.body() = std::move(response.body);
    m_response.keep_alive(keepAlive);
    m_response.prepare_payload();
    if (m_parser->get().method() == beast::http::verb::head) {
        // The caller would take a body for the next answer. The declared length stays.
        m_response.body().clear();
    }
    m_stream.expires_after(m_server->options.idleTimeout);
    beast::http::async_write(
        m_stream, m_response,
        [self = shared_from_this(), keepAlive](beast::error_code ec, std::size_t) {
            self->onWritten(ec, keepAlive);
        });
}

void Session::onWritten(beast::error_code ec, bool keepAlive)
{
    m_busy = false;
    if (ec || !keepAlive) {
        close();
        return;
    }
    read();
}

/// Returns whether at least a part of a further request has arrived and is not being parsed yet.
bool Session::hasUnparsedInput()
{
    beast::error_code ec;
    return m_buffer.size() > 0 || m_stream.socket().available(ec) > 0;
}

void Session::close()
{
    beast::error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ec);
    m_stream.close();
    // Don't wait for the destructor: a handler may hold its responder, and through it this session,
    // for longer than the connection exists.
    m_server->removeSession(this);
}

} // namespace

HttpServer::HttpServer(EventLoop &loop, const HttpServerOptions &options, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(loop, options, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl] {
        beast::error_code ec;
        impl->acceptor.close(ec);
    });
}

Result<void> HttpServer::start()
{
    if (auto opened = openListener(m_impl->acceptor, m_impl->options.listen); !opened) {
        return opened;
    }
    m_impl->accept();
    return {};
}

Endpoint HttpServer::endpoint() const
{
    beast::error_code ec;
    const auto bound = m_impl->acceptor.local_endpoint(ec);
    return {m_impl->options.listen.address, bound.port()};
}

void HttpServer::closeAfterAnswers()
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->closingAfterAnswers = true;
}

void HttpServer::drain(std::function<void()> done)
{
    closeAfterAnswers();
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl] { impl->stopAccepting(); });
    m_impl->loop.postAfter(
        m_impl->options.idleGracePeriod,
        [impl = m_impl, done = std::move(done)] { impl->closeIdleSessions(done); });
}

} // namespace acaciadeal
