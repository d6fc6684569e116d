#include "soak/proxy.h"

#include "http/listener.h"
#include "runtime/eventloop.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <vector>

namespace acaciadeal::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Interval between checks whether held-back data may be forwarded.
constexpr Duration holdPollPeriod = milliseconds(20);

struct Connection
{
    explicit Connection(asio::io_context &context)
        : client(context)
        , server(context)
    {
    }
    tcp::socket client;
    tcp::socket server;
    bool blackholed = false;
    bool hidesClosedClient = false;
};

} // namespace

struct Proxy::Impl : std::enable_shared_from_this<Proxy::Impl>
{
    Impl(EventLoop &eventLoop, Endpoint endpoint)
        : context(eventLoop.context())
        , target(std::move(endpoint))
        , acceptor(context)
    {
    }

    /// Forwards the data of one direction of a connection.
    struct Pump
    {
        std::shared_ptr<Connection> connection;
        tcp::socket *from;
        tcp::socket *to;
        bool toServer = false;
        std::array<char, 16384> buffer{};
        std::size_t size = 0;
    };

    void accept();
    void close(const std::shared_ptr<Connection> &connection);
    void connectWhenPassable(const std::shared_ptr<Connection> &connection);
    void connect(const std::shared_ptr<Connection> &connection);
    void read(const std::shared_ptr<Pump> &pump);
    void forward(const std::shared_ptr<Pump> &pump, Duration forwardDelay);

    asio::io_context &context;
    Endpoint target;
    tcp::acceptor acceptor;
    LinkFault fault;
    std::vector<std::weak_ptr<Connection>> connections;
    /// Connections whose client is gone and whose server does not know.
    std::vector<std::shared_ptr<Connection>> halfOpen;
};

void Proxy::Impl::close(const std::shared_ptr<Connection> &connection)
{
    boost::system::error_code ec;
    connection->client.close(ec);
    if (connection->hidesClosedClient) {
        halfOpen.push_back(connection);
    } else {
        connection->server.close(ec);
    }
}

void Proxy::Impl::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](boost::system::error_code ec, tcp::socket socket) {
            if (ec) {
                return;
            }
            if (!self->fault.refusesConnections) {
                auto connection = std::make_shared<Connection>(self->context);
                connection->client = std::move(socket);
                self->connectWhenPassable(connection);
            }
            self->accept();
        });
}

/// Returns whether the client has closed its side, judged by what has arrived.
bool hasClientClosed(Connection &connection)
{
    boost::system::error_code ec;
    char byte = 0;
    connection.client.non_blocking(true, ec);
    connection.client.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec && ec != asio::error::would_block;
}

/// While the link holds back traffic to the server, a new connection does not reach it either.
void Proxy::Impl::connectWhenPassable(const std::shared_ptr<Connection> &connection)
{
    if (!fault.holdsToServer) {
        connect(connection);
        return;
    }
    if (hasClientClosed(*connection)) {
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context, holdPollPeriod);
    timer->async_wait([self = shared_from_this(), connection, timer](boost::system::error_code) {
        self->connectWhenPassable(connection);
    });
}

void Proxy::Impl::connect(const std::shared_ptr<Connection> &connection)
{
    std::erase_if(connections, [](const auto &entry) { return entry.expired(); });
    connections.push_back(connection);
    const tcp::endpoint server(asio::ip::make_address(target.address), target.port);
    connection->server.async_connect(
        server, [self = shared_from_this(), connection](boost::system::error_code ec) {
            if (ec) {
                self->close(connection);
                return;
            }
            connection->client.set_option(tcp::no_delay(true), ec);
            connection->server.set_option(tcp::no_delay(true), ec);
            for (const bool toServer : {true, false}) {
                auto pump = std::make_shared<Pump>();
                pump->connection = connection;
                pump->from = toServer ? &connection->client : &connection->server;
                pump->to = toServer ? &connection->server : &connection->client;
                pump->toServer = toServer;
                self->read(pump);
            }
        });
}

void Proxy::Impl::read(const std::shared_ptr<Pump> &pump)
{
    pump->from->async_read_some(
        asio::buffer(pump->buffer),
        [self = shared_from_this(), pump](boost::system::error_code ec, std::size_t n) {
            if (ec) {
                self->close(pump->connection);
                return;
            }
            pump->size = n;
            self->forward(pump, self->fault.delay);
        });
}

void Proxy::Impl::forward(const std::shared_ptr<Pump> &pump, Duration forwardDelay)
{
    auto timer = std::make_shared<asio::steady_timer>(context, forwardDelay);
    timer->async_wait([self = shared_from_this(), pump, timer](boost::system::error_code) {
        const bool held = pump->toServer ? self->fault.holdsToServer : self->fault.holdsToClient;
        if (held) {
            self->forward(pump, holdPollPeriod);
            return;
        }
        if (pump->connection->blackholed) {
            self->read(pump);
            return;
        }
        asio::async_write(*pump->to, asio::buffer(pump->buffer.data(), pump->size),
                          [self, pump](boost::system::error_code ec, std::size_t) {
                              if (ec) {
                                  self->close(pump->connection);
                                  return;
                              }
                              self->read(pump);
                          });
    });
}

Proxy::Proxy(EventLoop &loop, Endpoint target)
    : m_impl(std::make_shared<Impl>(loop, std::move(target)))
{
    if (auto opened = openListener(m_impl->acceptor, {"127.0.0.1", 0}); !opened) {
        throw std::runtime_error(opened.error().message);
    }
    m_impl->accept();
}

Endpoint Proxy::endpoint() const
{
    return {"127.0.0.1", m_impl->acceptor.local_endpoint().port()};
}

void Proxy::setFault(const LinkFault &fault)
{
    m_impl->fault = fault;
}

void Proxy::resetConnections()
{
    for (const auto &entry : m_impl->connections) {
        if (const auto connection = entry.lock()) {
            boost::system::error_code ec;
            // With a linger time of 0, close() sends a TCP reset.
            connection->client.set_option(asio::socket_base::linger(true, 0), ec);
            connection->hidesClosedClient = false;
            m_impl->close(connection);
        }
    }
    m_impl->halfOpen.clear();
}

void Proxy::close()
{
    boost::system::error_code ec;
    m_impl->acceptor.close(ec);
    resetConnections();
}

void Proxy::setHidesClosedClients(bool hides)
{
    for (const auto &entry : m_impl->connections) {
        if (const auto connection = entry.lock()) {
            connection->hidesClosedClient = hides && connection->client.is_open();
        }
    }
}

void Proxy::blackholeOpenConnections()
{
    for (const auto &entry : m_impl->connections) {
        if (const auto connection = entry.lock()) {
            connection->blackholed = true;
        }
    }
}

} // namespace acaciadeal::soak
