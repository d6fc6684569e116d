#ifndef ACACIADEAL_WIRE_PEERCLIENT_H
#define ACACIADEAL_WIRE_PEERCLIENT_H

#include "wire/message.h"

#include <functional>
#include <memory>

namespace acaciadeal {

class EventLoop;

/// Receives the answer. Errors: ConnectionFailed, TimedOut, FrameTooLarge, InvalidMessage, or the
/// error in a Refusal.
using PeerCallback = std::function<void(Result<PeerMessage>)>;

/// Sends messages to other daemons over one connection per endpoint. Answers may arrive in any
/// order. All methods are thread-safe.
class PeerClient
{
public:
    /// Precondition: @p loop outlives the client. Callbacks run on threads of @p loop.
    explicit PeerClient(EventLoop &loop);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Sends @p message without retries, and calls @p callback exactly once.
    void call(const Endpoint &endpoint, PeerMessage message, Duration timeout,
              PeerCallback callback);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
