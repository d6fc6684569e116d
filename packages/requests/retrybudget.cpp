#include "requests/retrybudget.h"

#include <algorithm>

namespace acaciadeal {

RetryBudget::RetryBudget(const RetryBudgetOptions &budgetOptions)
    : options(budgetOptions)
    , units(budgetOptions.requestsPerRetry * budgetOptions.maxRetries)
{
}

void onRequest(RetryBudget &budget)
{
    budget.units =
        std::min(budget.units + 1, budget.options.requestsPerRetry * budget.options.maxRetries);
}

bool takeRetry(RetryBudget &budget)
{
    if (budget.units < budget.options.requestsPerRetry) {
        return false;
    }
    budget.units -= budget.options.requestsPerRetry;
    return true;
}

double retriesLeft(const RetryBudget &budget)
{
    return static_cast<double>(budget.units) / budget.options.requestsPerRetry;
}

} // namespace acaciadeal
