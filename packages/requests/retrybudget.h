#ifndef ACACIADEAL_REQUESTS_RETRYBUDGET_H
#define ACACIADEAL_REQUESTS_RETRYBUDGET_H

#include <cstdint>

namespace acaciadeal {

struct RetryBudgetOptions
{
    /// Number of requests that allow one retry; 10 limits the retries to 10% of the requests.
    std::uint32_t requestsPerRetry = 10;
    /// Maximum and initial number of available retries. The initial ones let a daemon with little
    /// traffic retry occasional failures.
    std::uint32_t maxRetries = 10;
};

/// Token bucket that limits the load that retries add to failing instances. Not thread-safe.
struct RetryBudget
{
    explicit RetryBudget(const RetryBudgetOptions &options);

    RetryBudgetOptions options;
    /// Each request adds one token; a retry takes options.requestsPerRetry tokens.
    std::uint32_t tokens = 0;
};

void recordRequest(RetryBudget &budget);

/// Takes one retry from @p budget. Returns false if none is left.
bool tryTakeRetry(RetryBudget &budget);

/// Returns the number of retries left, including fractions.
double retriesLeft(const RetryBudget &budget);

} // namespace acaciadeal

#endif
