#ifndef ACACIADEAL_STORE_COMMITWITHRETRY_H
#define ACACIADEAL_STORE_COMMITWITHRETRY_H

#include "store/platform.h"

#include <functional>

namespace acaciadeal {

struct CommitRetryOptions
{
    Duration retryDelay = milliseconds(100);
    /// Asked before each further attempt; false gives up with WriteOutcomeUnknown.
    std::function<bool()> shouldRetry = [] {
        return true;
    };
};

/// Commits @p transaction and resolves a lost answer: the identical transaction is sent again until
/// the outcome is definite. After a failed check, the row @p witness is read back; if it has
/// exactly the value that this transaction puts, the transaction was committed by an earlier
/// attempt.
///
/// Preconditions: @p transaction puts @p witness with a value that no other transaction writes, and
/// checks a row that it also writes, so that it can take effect only once.
/// Errors: CheckFailed; PlatformUnavailable if it was provably never handed over;
/// WriteOutcomeUnknown after shouldRetry() returned false.
/// Call it on the thread on which the adapter's callbacks run; @p callback runs there as well.
void commitWithRetry(EventLoop &loop, const PlatformAdapter &platform, Transaction transaction,
                      std::string markerKey, CommitRetryOptions options, CommitCallback callback);

} // namespace acaciadeal

#endif
