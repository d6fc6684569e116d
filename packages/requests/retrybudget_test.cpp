#include "requests/retrybudget.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

// Guards against retries multiplying the load on failing instances.
TEST_CASE("retries are limited to a tenth of the requests")
{
    RetryBudget budget({});
    int initialRetries = 0;
    while (tryTakeRetry(budget)) {
        ++initialRetries;
    }
    CHECK(initialRetries == 10);
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        recordRequest(budget);
        retries += tryTakeRetry(budget) ? 1 : 0;
    }
    CHECK(retries == 100);
}

// Guards against an unlimited burst of retries after a long time without retries.
TEST_CASE("the number of saved retries is limited")
{
    RetryBudget budget({.requestsPerRetry = 10, .maxRetries = 3});
    for (int n = 0; n < 1000; ++n) {
        recordRequest(budget);
    }
    CHECK(retriesLeft(budget) == doctest::Approx(3));
}
