#ifndef ACACIADEAL_RUNTIME_EVENTLOOP_H
#define ACACIADEAL_RUNTIME_EVENTLOOP_H

#include "base/time.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace acaciadeal {

struct EventLoopOptions
{
    /// Number of threads that run handlers. A loop with one thread runs its handlers sequentially,
    /// so state used only by them needs no lock.
    int threads = 1;
};

/// Runs posted callbacks, timers and socket handlers on its own threads.
class EventLoop
{
public:
    /// Starts the threads.
    explicit EventLoop(const EventLoopOptions &options);
    /// Stops the loop and joins its threads. Precondition: not called from one of its threads.
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Queues @p callback to run on a thread of the loop as soon as possible. Thread-safe.
    void post(std::function<void()> callback);

    /// Runs @p callback on a thread of the loop after @p delay. Thread-safe.
    void postAfter(Duration delay, std::function<void()> callback);

    /// Calls @p callback repeatedly until the loop stops: first after @p period, then @p period
    /// after each call has returned. Thread-safe.
    void postEvery(Duration period, std::function<void()> callback);

    /// Stops and joins all threads. Queued callbacks are not run. Thread-safe; may be called
    /// repeatedly.
    /// Precondition: not called from one of the loop's threads.
    void stop();

    /// Returns the Asio context, for the packages that open sockets. Thread-safe.
    boost::asio::io_context &context();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
