#include "store/definitecommit.h"

#include "runtime/eventloop.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace acaciadeal {
namespace {

struct DefiniteCommit : std::enable_shared_from_this<DefiniteCommit>
{
    DefiniteCommit(EventLoop &eventLoop, PlatformAdapter adapter)
        : loop(eventLoop)
        , platform(std::move(adapter))
    {
    }

    void attempt()
    {
        platform.commit(transaction, [self = shared_from_this()](Result<CommitVersions> result) {
            self->onResult(std::move(result));
        });
    }

    void onResult(Result<CommitVersions> result)
    {
        if (result) {
            callback(std::move(result));
            return;
        }
        const ResultCode code = result.error().code;
        if (code == ResultCode::CheckFailed && mayHaveCommitted) {
            readWitness(result.error());
            return;
        }
        const bool neverHandedOver = code == ResultCode::PlatformUnavailable && !mayHaveCommitted;
        if (code == ResultCode::CheckFailed || neverHandedOver) {
            callback(std::move(result));
            return;
        }
        mayHaveCommitted = true;
        retry(result.error(), [self = shared_from_this()] { self->attempt(); });
    }

    void readWitness(const Error &checkFailed)
    {
        platform.read({.keys = {witness}}, [self = shared_from_this(),
                                            checkFailed](const Result<std::vector<Row>> &rows) {
            if (!rows) {
                self->retry(rows.error(), [self, checkFailed] { self->readWitness(checkFailed); });
                return;
            }
            if (!rows->empty() && rows->front().value == self->witnessValue()) {
                self->callback(CommitVersions{{self->witness, rows->front().version}});
                return;
            }
            self->callback(tl::unexpected<Error>(checkFailed));
        });
    }

    std::string witnessValue() const
    {
        const auto it = std::find_if(transaction.puts.begin(), transaction.puts.end(),
                                     [this](const RowPut &put) { return put.key == witness; });
        return it == transaction.puts.end() ? std::string() : it->value;
    }

    void retry(const Error &cause, std::function<void()> next)
    {
        if (!options.keepTrying()) {
            callback(failure(ResultCode::WriteOutcomeUnknown, cause.message, cause.where));
            return;
        }
        loop.postAfter(options.retryDelay, std::move(next));
    }

    EventLoop &loop;
    PlatformAdapter platform;
    Transaction transaction;
    std::string witness;
    DefiniteCommitOptions options;
    CommitCallback callback;
    bool mayHaveCommitted = false;
};

} // namespace

void commitDefinitely(EventLoop &loop, const PlatformAdapter &platform, Transaction transaction,
                      std::string witness, DefiniteCommitOptions options, CommitCallback callback)
{
    auto commit = std::make_shared<DefiniteCommit>(loop, platform);
    commit->transaction = std::move(transaction);
    commit->witness = std::move(witness);
    commit->options = std::move(options);
    commit->callback = std::move(callback);
    commit->attempt();
}

} // namespace acaciadeal
