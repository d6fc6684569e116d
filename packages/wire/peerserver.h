#ifndef ACACIADEAL_WIRE_PEERSERVER_H
#define ACACIADEAL_WIRE_PEERSERVER_H

#include "wire/message.h"

#include <functional>
#include <memory>

namespace acaciadeal {

class EventLoop;

/// Sends the answer to one message. Must be called exactly once, from any thread.
using PeerResponder = std::function<void(PeerMessage)>;
/// Handles one message. Runs on a thread of the server's loop and must not block.
using PeerHandler = std::function<void(PeerMessage, PeerResponder)>;
/// Called with the error of an invalid or truncated frame. The connection is closed afterwards.
using FrameErrorHandler = std::function<void(const Error &)>;

struct PeerServerOptions
{
    Endpoint listen;
};

/// Receives framed messages from other daemons. All methods are thread-safe.
class PeerServer
{
public:
    /// Precondition: @p loop outlives the server.
    PeerServer(EventLoop &loop, const PeerServerOptions &options, PeerHandler handler,
               FrameErrorHandler onFrameError);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Opens the listening socket. Errors: ConnectionFailed.
    Result<void> start();
    /// Returns the bound endpoint. Precondition: start() succeeded.
    Endpoint endpoint() const;

    /// Calls @p done once, as soon as all messages received so far have been answered and the
    /// answers have been written.
    void drain(std::function<void()> done);

    /// Public because the session class in the source file refers to it.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
