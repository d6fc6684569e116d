#ifndef ACACIADEAL_BASE_RESOURCES_H
#define ACACIADEAL_BASE_RESOURCES_H

#include <cstdint>

namespace acaciadeal {

/// Resource amounts of a host or task: processors in thousandths of a core, memory in MiB, and the
/// number of accelerators.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const Resources &, const Resources &) = default;
};

Resources operator+(const Resources &a, const Resources &b);
Resources operator-(const Resources &a, const Resources &b);

/// Returns whether every amount of @p need is at most that of @p available. Thread-safe.
bool fits(const Resources &need, const Resources &available);

/// Returns whether no amount is negative. Thread-safe.
bool isNonNegative(const Resources &amounts);

} // namespace acaciadeal

#endif
