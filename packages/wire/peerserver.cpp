#include "wire/peerserver.h"

#include "http/listener.h"
#include "runtime/eventloop.h"
#include "wire/codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <mutex>
#include <utility>

namespace acaciadeal {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct PeerServer::Impl : std::enable_shared_from_this<PeerServer::Impl>
{
    Impl(EventLoop &eventLoop, const PeerServerOptions &serverOptions, PeerHandler messageHandler,
         FrameErrorHandler errorHandler)
        : loop(eventLoop)
        , options(serverOptions)
        , handler(std::move(messageHandler))
        , onFrameError(std::move(errorHandler))
        , acceptor(asio::make_strand(eventLoop.context()))
    {
    }

    void accept();
    void messageReceived();
    void answerCompleted();

    EventLoop &loop;
    PeerServerOptions options;
    PeerHandler handler;
    FrameErrorHandler onFrameError;
    tcp::acceptor acceptor;

    std::mutex mutex;
    /// Number of messages whose answer has not been written yet.
    std::size_t unanswered = 0;
    std::function<void()> onDrained;
};

namespace {

/// One incoming connection. All handlers run on its strand.
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    PeerSession(std::shared_ptr<PeerServer::Impl> server, tcp::socket socket)
        : m_server(std::move(server))
        , m_socket(std::move(socket))
    {
    }

    void readHeader()
    {
        asio::async_read(m_socket, asio::buffer(m_header),
                         [self = shared_from_this()](error_code ec, std::size_t n) {
                             if (!ec) {
                                 self->onHeader();
                             } else if (n > 0) {
                                 self->closeWithError(
                                     {ResultCode::TruncatedFrame,
                                      "the connection was closed within a frame header"});
                             }
                         });
    }

private:
    void onHeader()
    {
        const auto size = decodeFrameHeader(m_header);
        if (!size) {
            closeWithError(size.error());
            return;
        }
        m_payload.resize(*size);
        asio::async_read(m_socket, asio::buffer(m_payload),
                         [self = shared_from_this()](error_code ec, std::size_t) {
                             if (ec) {
                                 self->closeWithError(
                                     {ResultCode::TruncatedFrame,
                                      "the connection was closed within a frame payload"});
                                 return;
                             }
                             self->onPayload();
                         });
    }

    void onPayload()
    {
        auto envelope = decodePayload(m_payload);
        if (!envelope) {
            closeWithError(envelope.error());
            return;
        }
        m_server->messageReceived();
        m_server->handler(
            std::move(envelope->message),
            [self = shared_from_this(), correlation = envelope->correlation](PeerMessage answer) {
                auto frame = encodeFrame({correlation, std::move(answer)});
                if (!frame) {
                    frame = encodeFrame({correlation, Refusal{frame.error()}});
                }
                asio::post(self->m_socket.get_executor(), [self, frame = std::move(*frame)] {
                    self->m_outgoing.push_back(frame);
                    if (self->m_outgoing.size() == 1) {
                        self->write();
                    }
                });
            });
        readHeader();
    }

    void write()
    {
        asio::async_write(m_socket, asio::buffer(m_outgoing.front()),
                          [self = shared_from_this()](error_code ec, std::size_t) {
                              // After an error, the remaining answers are still passed to
                              // async_write(). Each of these writes fails, which counts the answer
                              // as completed.
                              self->m_outgoing.pop_front();
                              self->m_server->answerCompleted();
                              if (ec) {
                                  self->m_socket.close(ec);
                              }
                              if (!self->m_outgoing.empty()) {
                                  self->write();
                              }
                          });
    }

    void closeWithError(const Error &error)
    {
        m_server->onFrameError(error);
        error_code ec;
        m_socket.close(ec);
    }

    std::shared_ptr<PeerServer::Impl> m_server;
    tcp::socket m_socket;
    std::array<char, frameHeaderBytes> m_header{};
    std::string m_payload;
    std::deque<std::string> m_outgoing;
};

} // namespace

void PeerServer::Impl::messageReceived()
{
    const std::lock_guard lock(mutex);
    ++unanswered;
}

void PeerServer::Impl::answerCompleted()
{
    std::function<void()> done;
    {
        const std::lock_guard lock(mutex);
        --unanswered;
        if (unanswered == 0) {
            done = std::exchange(onDrained, nullptr);
        }
    }
    if (done) {
        done();
    }
}

void PeerServer::Impl::accept()
{
    acceptor.async_accept(
        asio::make_strand(loop.context()),
        [self = shared_from_this()](error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted || !self->acceptor.is_open()) {
                return;
            }
            if (!ec) {
                error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<PeerSession>(self, std::move(socket))->readHeader();
            }
            self->accept();
        });
}

PeerServer::PeerServer(EventLoop &loop, const PeerServerOptions &options, PeerHandler handler,
                       FrameErrorHandler onFrameError)
    : m_impl(std::make_shared<Impl>(loop, options, std::move(handler), std::move(onFrameError)))
{
}

PeerServer::~PeerServer()
{
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl] {
        error_code ec;
        impl->acceptor.close(ec);
    });
}

Result<void> PeerServer::start()
{
    if (auto opened = openListener(m_impl->acceptor, m_impl->options.listen); !opened) {
        return opened;
    }
    m_impl->accept();
    return {};
}

void PeerServer::drain(std::function<void()> done)
{
    {
        const std::lock_guard lock(m_impl->mutex);
        if (m_impl->unanswered > 0) {
            m_impl->onDrained = std::exchange(done, nullptr);
        }
    }
    if (done) {
        done();
    }
}

Endpoint PeerServer::endpoint() const
{
    error_code ec;
    return {m_impl->options.listen.address, m_impl->acceptor.local_endpoint(ec).port()};
}

} // namespace acaciadeal
