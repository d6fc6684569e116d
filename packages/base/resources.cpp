#include "base/resources.h"

namespace acaciadeal {

Resources operator+(const Resources &a, const Resources &b)
{
    return {a.milliCores + b.milliCores, a.memoryMiB + b.memoryMiB,
            a.accelerators + b.accelerators};
}

Resources operator-(const Resources &a, const Resources &b)
{
    return {a.milliCores - b.milliCores, a.memoryMiB - b.memoryMiB,
            a.accelerators - b.accelerators};
}

bool fits(const Resources &need, const Resources &available)
{
    return need.milliCores <= available.milliCores && need.memoryMiB <= available.memoryMiB
           && need.accelerators <= available.accelerators;
}

bool isNonNegative(const Resources &amounts)
{
    return fits({}, amounts);
}

} // namespace acaciadeal
