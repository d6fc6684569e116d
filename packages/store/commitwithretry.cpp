#include "store/commitwithretry.h"

#include "runtime/eventloop.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace acaciadeal {
namespace {

struct RetryingCommit : std::enable_shared_from_this<RetryingCommit>
{
    RetryingCommit(EventLoop &eventLoop, PlatformAdapter adapter)
        : loop(eventLoop)
        , platform(std::move(adapter))
    {
    }

    void sendCommit()
    {
        platform.commit(transaction, [self = shared_from_this()](Result<CommitVersions> result) {
            self->onCommitResult(std::move(result));
        });
    }

    void onCommitResult(Result<CommitVersions> result)
    {
        if (result) {
            callback(std::move(result));
            return;
        }
        const ResultCode code = result.error().code;
        if (code == ResultCode::CheckFailed && mayHaveCommitted) {
            readMarker(result.error());
            return;
        }
        const bool neverSent = code == ResultCode::PlatformUnavailable && !mayHaveCommitted;
        if (code == ResultCode::CheckFailed || neverSent) {
            callback(std::move(result));
            return;
        }
        mayHaveCommitted = true;
        retryAfterDelay(result.error(), [self = shared_from_this()] { self->sendCommit(); });
    }

    void readMarker(const Error &commitError)
    {
        platform.read({.keys = {markerKey}}, [self = shared_from_this(),
                                              commitError](const Result<std::vector<Row>> &rows) {
            if (!rows) {
                self->retryAfterDelay(rows.error(),
                                      [self, commitError] { self->readMarker(commitError); });
                return;
            }
            if (!rows->empty() && rows->front().value == self->markerValue()) {
                self->callback(CommitVersions{{self->markerKey, rows->front().version}});
                return;
            }
            self->callback(tl::unexpected<Error>(commitError));
        });
    }

    std::string markerValue() const
    {
        const auto it = std::find_if(transaction.puts.begin(), transaction.puts.end(),
                                     [this](const RowPut &put) { return put.key == markerKey; });
        return it == transaction.puts.end() ? std::string() : it->value;
    }

    void retryAfterDelay(const Error &cause, std::function<void()> operation)
    {
        if (!options.shouldRetry()) {
            callback(failure(ResultCode::WriteOutcomeUnknown, cause.message, cause.where));
            return;
        }
        loop.postAfter(options.retryDelay, std::move(operation));
    }

    EventLoop &loop;
    PlatformAdapter platform;
    Transaction transaction;
    std::string markerKey;
    CommitRetryOptions options;
    CommitCallback callback;
    bool mayHaveCommitted = false;
};

} // namespace

void commitWithRetry(EventLoop &loop, const PlatformAdapter &platform, Transaction transaction,
                     std::string markerKey, CommitRetryOptions options, CommitCallback callback)
{
    auto commit = std::make_shared<RetryingCommit>(loop, platform);
    commit->transaction = std::move(transaction);
    commit->markerKey = std::move(markerKey);
    commit->options = std::move(options);
    commit->callback = std::move(callback);
    commit->sendCommit();
}

} // namespace acaciadeal
