#include "standins/faultyserver.h"

#include "http/internal/headers.h"
#include "http/listener.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace acaciadeal::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

struct FaultyServer::Impl : std::enable_shared_from_this<FaultyServer::Impl>
{
    Impl(EventLoop &eventLoop, const FaultyServerOptions &serverOptions,
         FaultyHandler requestHandler)
        : loop(eventLoop)
        , options(serverOptions)
        , handler(std::move(requestHandler))
        , acceptor(asio::make_strand(eventLoop.context()))
    {
    }

    class Connection;

    void accept();

    EventLoop &loop;
    FaultyServerOptions options;
    FaultyHandler handler;
    tcp::acceptor acceptor;
    std::atomic<std::size_t> openConnections{0};
    std::atomic<std::size_t> refusedConnections{0};
    std::atomic<std::size_t> abandonedRequests{0};
    std::mutex mutex;
    std::vector<std::weak_ptr<Connection>> connections;
};

constexpr std::size_t maxRequestBytes = 16 * 1024 * 1024;

class FaultyServer::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<FaultyServer::Impl> server, tcp::socket socket)
        : m_server(std::move(server))
        , m_stream(std::move(socket))
    {
        ++m_server->openConnections;
        beast::error_code ec;
        m_client = m_stream.socket().remote_endpoint(ec).address().to_string();
        m_stream.socket().set_option(tcp::no_delay(true), ec);
    }

    ~Connection()
    {
        leave();
        if (m_abandoned) {
            --m_server->abandonedRequests;
        }
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void readRequest()
    {
        m_parser.emplace();
        m_parser->body_limit(maxRequestBytes);
        beast::http::async_read(m_stream, m_buffer, *m_parser,
                                [self = shared_from_this()](beast::error_code ec, std::size_t) {
                                    if (!ec) {
                                        self->handleRequest();
                                    }
                                });
    }

    void reset()
    {
        asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] {
            beast::error_code ec;
            // With a linger time of 0, close() sends a TCP reset.
            self->m_stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
            self->m_reset = true;
            self->m_stream.close();
            self->leave();
        });
    }

private:
    /// No longer counts the connection as in use.
    void leave()
    {
        if (std::exchange(m_counted, false)) {
            --m_server->openConnections;
        }
    }

    /// Closes the connection once the client has closed it, unless an answer is sent before.
    void watchClient()
    {
        m_stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = shared_from_this()](beast::error_code ec) {
                                         if (!ec && self->m_handling && self->hasClientClosed()) {
                                             self->abandon();
                                         }
                                     });
    }

    bool hasClientClosed()
    {
        beast::error_code ec;
        auto &socket = m_stream.socket();
        socket.non_blocking(true, ec);
        char byte = 0;
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        return ec && ec != asio::error::would_block;
    }

    void abandon()
    {
        m_abandoned = true;
        ++m_server->abandonedRequests;
        m_stream.close();
        leave();
    }

    void handleRequest()
    {
        if (m_server->options.closesWithClient) {
            m_handling = true;
            watchClient();
        }
        auto &message = m_parser->get();
        const bool keepAlive = message.keep_alive();
        HttpRequest request{.method = std::string(message.method_string()),
                            .target = std::string(message.target()),
                            .headers = internal::toHeaders(message),
                            .body = std::move(message.body())};
        m_server->handler(
            std::move(request), m_client,
            [self = shared_from_this(), keepAlive](HttpResponse response, Delivery delivery) {
                asio::dispatch(self->m_stream.get_executor(),
                               [self, keepAlive, delivery, response = std::move(response)] {
                                   self->respond(response, keepAlive, delivery);
                               });
            });
    }

    void respond(const HttpResponse &response, bool keepAlive, Delivery delivery)
    {
        if (m_abandoned || m_reset) {
            return;
        }
        if (std::exchange(m_handling, false)) {
            beast::error_code ec;
            m_stream.socket().cancel(ec);
        }
        if (delivery == Delivery::Dropped) {
            m_stream.close();
            return;
        }
        const bool whole = delivery == Delivery::Whole;
        std::ostringstream text;
        text << "HTTP/1.1 " << response.status << " -\r\n";
        for (const auto &[name, value] : response.headers) {
            text << name << ": " << value << "\r\n";
        }
        text << "content-length: " << response.body.size() << "\r\n"
             << (keepAlive ? "" : "connection: close\r\n") << "\r\n"
             << (whole ? response.body : response.body.substr(0, response.body.size() / 2));
        m_answer = std::move(text).str();
        asio::async_write(m_stream, asio::buffer(m_answer),
                          [self = shared_from_this(),
                           reuse = keepAlive && whole](beast::error_code ec, std::size_t) {
                              if (!ec && reuse) {
                                  self->readRequest();
                              } else {
                                  self->m_stream.close();
                              }
                          });
    }

    std::shared_ptr<FaultyServer::Impl> m_server;
    beast::tcp_stream m_stream;
    std::string m_client;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
    std::string m_answer;
    /// Whether the connection counts as in use.
    bool m_counted = true;
    /// Whether a request has no answer yet and watchClient() waits.
    bool m_handling = false;
    /// Whether the client closed the connection before the answer.
    bool m_abandoned = false;
    bool m_reset = false;
};

void FaultyServer::Impl::accept()
{
    acceptor.async_accept(asio::make_strand(loop.context()),
                          [self = shared_from_this()](beast::error_code ec, tcp::socket socket) {
                              if (!self->acceptor.is_open()) {
                                  return;
                              }
                              const std::size_t limit = self->options.maxConnections;
                              if (!ec && limit > 0 && self->openConnections >= limit) {
                                  ++self->refusedConnections;
                                  socket.close(ec);
                              } else if (!ec) {
                                  const auto connection =
                                      std::make_shared<Connection>(self, std::move(socket));
                                  {
                                      const std::lock_guard lock(self->mutex);
                                      std::erase_if(self->connections, [](const auto &entry) {
                                          return entry.expired();
                                      });
                                      self->connections.push_back(connection);
                                  }
                                  connection->readRequest();
                              }
                              self->accept();
                          });
}

FaultyServer::FaultyServer(EventLoop &loop, const FaultyServerOptions &options,
                           FaultyHandler handler)
    : m_impl(std::make_shared<Impl>(loop, options, std::move(handler)))
{
}

FaultyServer::~FaultyServer()
{
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl] {
        beast::error_code ec;
        impl->acceptor.close(ec);
    });
}

Result<void> FaultyServer::start()
{
    if (auto opened = openListener(m_impl->acceptor, m_impl->options.listen); !opened) {
        return opened;
    }
    m_impl->accept();
    return {};
}

Endpoint FaultyServer::endpoint() const
{
    beast::error_code ec;
    return {m_impl->options.listen.address, m_impl->acceptor.local_endpoint(ec).port()};
}

void FaultyServer::resetConnections()
{
    const std::lock_guard lock(m_impl->mutex);
    for (const auto &entry : m_impl->connections) {
        if (const auto connection = entry.lock()) {
            connection->reset();
        }
    }
}

std::size_t FaultyServer::refusedConnections() const
{
    return m_impl->refusedConnections;
}

std::size_t FaultyServer::openConnections() const
{
    return m_impl->openConnections;
}

std::size_t FaultyServer::abandonedRequests() const
{
    return m_impl->abandonedRequests;
}

} // namespace acaciadeal::standins
