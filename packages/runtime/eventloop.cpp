#include "runtime/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace acaciadeal {

namespace asio = boost::asio;

struct EventLoop::Impl
{
    explicit Impl(int threads)
        : context(threads)
        , workGuard(asio::make_work_guard(context))
    {
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    std::vector<std::thread> threads;
};

EventLoop::EventLoop(const EventLoopOptions &options)
    : m_impl(std::make_unique<Impl>(options.threads))
{
    for (int n = 0; n < options.threads; ++n) {
        m_impl->threads.emplace_back([this] { m_impl->context.run(); });
    }
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(std::function<void()> callback)
{
    asio::post(m_impl->context, std::move(callback));
}

void EventLoop::postAfter(Duration delay, std::function<void()> callback)
{
    auto timer = std::make_shared<asio::steady_timer>(m_impl->context, delay);
    timer->async_wait([timer, callback = std::move(callback)](boost::system::error_code ec) {
        if (!ec) {
            callback();
        }
    });
}

void EventLoop::postEvery(Duration period, std::function<void()> callback)
{
    postAfter(period, [this, period, callback = std::move(callback)]() mutable {
        callback();
        postEvery(period, std::move(callback));
    });
}

void EventLoop::stop()
{
    m_impl->context.stop();
    for (std::thread &thread : m_impl->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

asio::io_context &EventLoop::context()
{
    return m_impl->context;
}

} // namespace acaciadeal
