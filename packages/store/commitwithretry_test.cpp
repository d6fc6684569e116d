#include "kernel/pluginregistry.h"
#include "runtime/eventloop.h"
#include "store/commitwithretry.h"

#include <doctest/doctest.h>
#include <future>

using namespace acaciadeal;

namespace {

enum class Fault { None, LoseResponse, LoseRequest, RefuseConnection };

/// Returns an in-memory platform that injects one of @p faults into each commit, in order. Commits
/// after the last fault succeed.
PlatformAdapter faultyPlatform(EventLoop &loop, std::vector<Fault> faults)
{
    const auto plugin = PluginRegistry<PlatformPlugin>::instance().find("memory");
    REQUIRE(plugin);
    PlatformAdapter adapter = plugin->create(loop, {});
    auto remaining = std::make_shared<std::vector<Fault>>(faults.rbegin(), faults.rend());
    adapter.commit = [remaining, inner = adapter.commit](const Transaction &transaction,
                                                         const CommitCallback &callback) {
        Fault fault = Fault::None;
        if (!remaining->empty()) {
            fault = remaining->back();
            remaining->pop_back();
        }
        const Result<CommitVersions> lost = failure(ResultCode::WriteOutcomeUnknown, "lost");
        switch (fault) {
        case Fault::None:
            inner(transaction, callback);
            break;
        case Fault::LoseResponse:
            inner(transaction, [callback, lost](const auto &) { callback(lost); });
            break;
        case Fault::LoseRequest:
            callback(lost);
            break;
        case Fault::RefuseConnection:
            callback(failure(ResultCode::PlatformUnavailable, "refused"));
            break;
        }
    };
    return adapter;
}

Result<CommitVersions> runCommit(EventLoop &loop, const PlatformAdapter &platform,
                                 const std::string &value, std::function<bool()> shouldRetry)
{
    std::promise<Result<CommitVersions>> outcome;
    loop.post([&] {
        commitWithRetry(
            loop, platform, {.checks = {{"row", 0}}, .puts = {{"row", value}}}, "row",
            {.retryDelay = milliseconds(1), .shouldRetry = std::move(shouldRetry)},
            [&outcome](Result<CommitVersions> result) { outcome.set_value(std::move(result)); });
    });
    return outcome.get_future().get();
}

bool alwaysRetry()
{
    return true;
}

} // namespace

// Guards against a committed write being reported as failed because the response was lost.
TEST_CASE("a committed write is recognized although its responses were lost")
{
    EventLoop loop({.threads = 1});
    const auto platform = faultyPlatform(loop, {Fault::LoseRequest, Fault::LoseResponse,
                                                Fault::LoseResponse, Fault::RefuseConnection});
    const auto result = runCommit(loop, platform, "mine", alwaysRetry);
    REQUIRE(result);
    CHECK(result->at("row") > 0);
}

// Guards against a row of another writer being taken for this transaction's own write.
TEST_CASE("a write fails if another writer committed first, even after a lost request")
{
    EventLoop loop({.threads = 1});
    const auto platform = faultyPlatform(loop, {Fault::None, Fault::LoseRequest});
    REQUIRE(runCommit(loop, platform, "theirs", alwaysRetry));
    const auto result = runCommit(loop, platform, "mine", alwaysRetry);
    REQUIRE_FALSE(result);
    CHECK(result.error().code == ResultCode::CheckFailed);
}

// Guards against a write that may still commit being reported as PlatformUnavailable, which means
// that nothing was or will be written.
TEST_CASE("a write that may have been sent is never reported as PlatformUnavailable")
{
    EventLoop loop({.threads = 1});
    int attempts = 0;
    const auto platform = faultyPlatform(
        loop, {Fault::LoseRequest, Fault::RefuseConnection, Fault::RefuseConnection});
    const auto result = runCommit(loop, platform, "mine", [&attempts] { return ++attempts < 3; });
    REQUIRE_FALSE(result);
    CHECK(result.error().code == ResultCode::WriteOutcomeUnknown);

    const auto refused = faultyPlatform(loop, {Fault::RefuseConnection});
    CHECK(runCommit(loop, refused, "mine", alwaysRetry).error().code
          == ResultCode::PlatformUnavailable);
}
