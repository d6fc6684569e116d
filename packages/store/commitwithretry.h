#ifndef ACACIADEAL_STORE_COMMITWITHRETRY_H
#define ACACIADEAL_STORE_COMMITWITHRETRY_H

#include "store/platform.h"

#include <functional>

namespace acaciadeal {

struct CommitRetryOptions
{
    Duration retryDelay = milliseconds(100);
    /// Called before each retry; if it returns false, the commit ends with WriteOutcomeUnknown.
    std::function<bool()> shouldRetry = [] {
        return true;
    };
};

/// Commits @p transaction. If the response to an attempt is lost, the identical transaction is sent
/// again until its outcome is known. If a check fails on a retry, row @p markerKey is read: if it
/// has exactly the value that this transaction puts, an earlier attempt has committed the
/// transaction.
///
/// Preconditions: @p transaction puts @p markerKey with a value that no other transaction writes,
/// and checks a row that it also writes, so that it can take effect only once.
/// Errors: CheckFailed; PlatformUnavailable if provably no attempt was sent;
/// WriteOutcomeUnknown after shouldRetry() returned false.
/// Call it on the thread on which the adapter's callbacks run; @p callback runs there as well.
void commitWithRetry(EventLoop &loop, const PlatformAdapter &platform, Transaction transaction,
                     std::string markerKey, CommitRetryOptions options, CommitCallback callback);

} // namespace acaciadeal

#endif
