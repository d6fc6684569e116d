#include "requests/retrybudget.h"

#include <algorithm>

namespace acaciadeal {

RetryBudget::RetryBudget(const RetryBudgetOptions &budgetOptions)
    : options(budgetOptions)
    , tokens(budgetOptions.requestsPerRetry * budgetOptions.maxRetries)
{
}

void recordRequest(RetryBudget &budget)
{
    budget.tokens =
        std::min(budget.tokens + 1, budget.options.requestsPerRetry * budget.options.maxRetries);
}

bool tryTakeRetry(RetryBudget &budget)
{
    if (budget.tokens < budget.options.requestsPerRetry) {
        return false;
    }
    budget.tokens -= budget.options.requestsPerRetry;
    return true;
}

double retriesLeft(const RetryBudget &budget)
{
    return static_cast<double>(budget.tokens) / budget.options.requestsPerRetry;
}

} // namespace acaciadeal
