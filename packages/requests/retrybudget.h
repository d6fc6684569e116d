#ifndef ACACIADEAL_REQUESTS_RETRYBUDGET_H
#define ACACIADEAL_REQUESTS_RETRYBUDGET_H

#include <cstdint>

namespace acaciadeal {

struct RetryBudgetOptions
{
    /// Requests that earn one retry; 10 bounds the retries to 10% of the requests.
    std::uint32_t requestsPerRetry = 10;
    /// Retries that can be saved up, and the stock at start, so that single failures on a quiet
    /// daemon can be retried.
    std::uint32_t maxRetries = 10;
};

/// Token bucket that bounds the load that retries add to failing instances. Not thread-safe.
struct RetryBudget
{
    explicit RetryBudget(const RetryBudgetOptions &options);

    RetryBudgetOptions options;
    /// Each request adds one unit; a retry takes options.requestsPerRetry units.
    std::uint32_t tokens = 0;
};

void recordRequest(RetryBudget &budget);

/// Takes one retry from @p budget, or returns false if none is left.
bool tryTakeRetry(RetryBudget &budget);

/// Returns the number of retries left, including fractions.
double retriesLeft(const RetryBudget &budget);

} // namespace acaciadeal

#endif
