#include "base/resources.h"

#include <doctest/doctest.h>

using acaciadeal::fits;
using acaciadeal::Resources;

// Guards against a host being over-committed in one of the three resources.
TEST_CASE("requested resources fit only if every amount fits")
{
    const Resources host{.milliCores = 4000, .memoryMiB = 1024, .accelerators = 1};
    CHECK(fits(host, host));
    CHECK_FALSE(fits({.milliCores = 4001}, host));
    CHECK_FALSE(fits({.memoryMiB = 1025}, host));
    CHECK_FALSE(fits({.accelerators = 2}, host));
}

TEST_CASE("isNonNegative() detects a subtraction below zero")
{
    const Resources one{.accelerators = 1};
    CHECK(isNonNegative(one - one));
    CHECK_FALSE(isNonNegative(Resources{} - one));
}
