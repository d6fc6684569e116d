#include "runtime/eventloop.h"

#include <doctest/doctest.h>
#include <future>
#include <vector>

using namespace acaciadeal;

// Guards against callbacks of a loop with one thread running concurrently: they share state without
// a lock.
TEST_CASE("a loop with one thread runs callbacks in the order in which they were posted")
{
    EventLoop loop({.threads = 1});
    std::vector<int> order;
    std::promise<void> done;
    for (int n = 0; n < 100; ++n) {
        loop.post([&order, n] { order.push_back(n); });
    }
    loop.post([&done] { done.set_value(); });
    done.get_future().wait();
    REQUIRE(order.size() == 100);
    for (int n = 0; n < 100; ++n) {
        CHECK(order[static_cast<std::size_t>(n)] == n);
    }
}

TEST_CASE("postEvery() calls its callback repeatedly")
{
    EventLoop loop({.threads = 1});
    std::promise<void> done;
    int calls = 0;
    loop.postEvery(milliseconds(1), [&] {
        if (++calls == 3) {
            done.set_value();
        }
    });
    done.get_future().wait();
    loop.stop();
    CHECK(calls >= 3);
}
