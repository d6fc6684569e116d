#include "wire/peerclient.h"

#include "runtime/eventloop.h"
#include "wire/codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

namespace acaciadeal {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Connection to one endpoint. Opened by the first call, and reopened by the first call after it
/// was lost. call() may be called from any thread; all other functions run on the strand.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    PeerConnection(EventLoop &loop, Endpoint endpoint)
        : m_endpoint(std::move(endpoint))
        , m_strand(asio::make_strand(loop.context()))
        , m_socket(m_strand)
    {
    }

    void call(PeerMessage message, Duration timeout, PeerCallback callback)
    {
        asio::post(m_strand, [self = shared_from_this(), message = std::move(message), timeout,
                              callback = std::move(callback)]() mutable {
            self->send(std::move(message), timeout, std::move(callback));
        });
    }

private:
    enum class State { Closed, Connecting, Open };

    struct PendingCall
    {
        PeerCallback callback;
        std::shared_ptr<asio::steady_timer> timer;
    };

    void send(PeerMessage message, Duration timeout, PeerCallback callback)
    {
        const std::uint64_t correlation = ++m_lastCorrelation;
        auto frame = encodeFrame({correlation, std::move(message)});
        if (!frame) {
            callback(tl::unexpected<Error>(frame.error()));
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_strand, timeout);
        timer->async_wait([self = shared_from_this(), correlation](error_code ec) {
            if (!ec) {
                self->completeCall(correlation,
                                   failure(ResultCode::TimedOut,
                                           "the peer did not answer before the timeout",
                                           toString(self->m_endpoint)));
            }
        });
        m_pending[correlation] = {std::move(callback), std::move(timer)};
        m_outgoing.push_back(std::move(*frame));
        if (m_state == State::Closed) {
            connect();
        } else if (m_state == State::Open && m_outgoing.size() == 1) {
            write();
        }
    }

    void connect()
    {
        m_state = State::Connecting;
        error_code ec;
        const auto address = asio::ip::make_address(m_endpoint.address, ec);
        if (ec) {
            closeWithError(ec.message());
            return;
        }
        m_socket = tcp::socket(m_strand);
        m_socket.async_connect(tcp::endpoint(address, m_endpoint.port),
                               [self = shared_from_this()](error_code result) {
                                   if (result) {
                                       self->closeWithError(result.message());
                                       return;
                                   }
                                   self->m_state = State::Open;
                                   ++self->m_generation;
                                   error_code ignored;
                                   self->m_socket.set_option(tcp::no_delay(true), ignored);
                                   self->write();
                                   self->readHeader(self->m_generation);
                               });
    }

    void write()
    {
        if (m_outgoing.empty()) {
            return;
        }
        asio::async_write(
            m_socket, asio::buffer(m_outgoing.front()),
            [self = shared_from_this(), generation = m_generation](error_code ec, std::size_t) {
                if (generation != self->m_generation || self->m_state != State::Open) {
                    return;
                }
                if (ec) {
                    self->closeWithError(ec.message());
                    return;
                }
                self->m_outgoing.pop_front();
                self->write();
            });
    }

    void readHeader(std::uint64_t generation)
    {
        asio::async_read(m_socket, asio::buffer(m_header),
                         [self = shared_from_this(), generation](error_code ec, std::size_t) {
                             if (!self->readSucceeded(generation, ec)) {
                                 return;
                             }
                             const auto size = decodeFrameHeader(self->m_header);
                             if (!size) {
                                 self->closeWithError(size.error().message);
                                 return;
                             }
                             self->m_payload.resize(*size);
                             self->readPayload(generation);
                         });
    }

    void readPayload(std::uint64_t generation)
    {
        asio::async_read(m_socket, asio::buffer(m_payload),
                         [self = shared_from_this(), generation](error_code ec, std::size_t) {
                             if (!self->readSucceeded(generation, ec)) {
                                 return;
                             }
                             auto envelope = decodePayload(self->m_payload);
                             if (!envelope) {
                                 self->closeWithError(envelope.error().message);
                                 return;
                             }
                             self->handleAnswer(std::move(*envelope));
                             self->readHeader(generation);
                         });
    }

    /// Returns whether a read belongs to the current connection and succeeded. Closes the
    /// connection if the read failed.
    bool readSucceeded(std::uint64_t generation, error_code ec)
    {
        if (generation != m_generation || m_state != State::Open) {
            return false;
        }
        if (ec) {
            closeWithError(ec.message());
            return false;
        }
        return true;
    }

    void handleAnswer(Envelope envelope)
    {
        if (const auto *refusal = std::get_if<Refusal>(&envelope.message)) {
            completeCall(envelope.correlation, tl::unexpected<Error>(refusal->error));
        } else {
            completeCall(envelope.correlation, std::move(envelope.message));
        }
    }

    // Drops an answer whose call is no longer pending because it has timed out.
    void completeCall(std::uint64_t correlation, Result<PeerMessage> result)
    {
        const auto it = m_pending.find(correlation);
        if (it == m_pending.end()) {
            return;
        }
        const PendingCall pending = std::move(it->second);
        m_pending.erase(it);
        pending.timer->cancel();
        pending.callback(std::move(result));
    }

    void closeWithError(const std::string &message)
    {
        m_state = State::Closed;
        error_code ec;
        m_socket.close(ec);
        m_outgoing.clear();
        auto pending = std::exchange(m_pending, {});
        for (auto &[correlation, call] : pending) {
            call.timer->cancel();
            call.callback(failure(ResultCode::ConnectionFailed, message, toString(m_endpoint)));
        }
    }

    Endpoint m_endpoint;
    asio::strand<asio::io_context::executor_type> m_strand;
    tcp::socket m_socket;
    State m_state = State::Closed;
    /// Number of connections opened so far; identifies operations of an earlier connection.
    std::uint64_t m_generation = 0;
    std::uint64_t m_lastCorrelation = 0;
    std::map<std::uint64_t, PendingCall> m_pending;
    std::deque<std::string> m_outgoing;
    std::array<char, frameHeaderBytes> m_header{};
    std::string m_payload;
};

} // namespace

struct PeerClient::Impl
{
    explicit Impl(EventLoop &eventLoop)
        : loop(eventLoop)
    {
    }

    EventLoop &loop;
    std::mutex mutex;
    std::map<Endpoint, std::shared_ptr<PeerConnection>> connections;
};

PeerClient::PeerClient(EventLoop &loop)
    : m_impl(std::make_shared<Impl>(loop))
{
}

PeerClient::~PeerClient() = default;

void PeerClient::call(const Endpoint &endpoint, PeerMessage message, Duration timeout,
                      PeerCallback callback)
{
    std::shared_ptr<PeerConnection> connection;
    {
        const std::lock_guard lock(m_impl->mutex);
        auto &entry = m_impl->connections[endpoint];
        if (!entry) {
            entry = std::make_shared<PeerConnection>(m_impl->loop, endpoint);
        }
        connection = entry;
    }
    connection->call(std::move(message), timeout, std::move(callback));
}

} // namespace acaciadeal
