#ifndef ACACIADEAL_BENCH_LOAD_HISTOGRAM_H
#define ACACIADEAL_BENCH_LOAD_HISTOGRAM_H

#include <chrono>
#include <cstdint>
#include <vector>

namespace acaciadeal {

/// Log-linear histogram of durations: 64 buckets per power of two, so a quantile exceeds the
/// recorded time by at most 1/64. Not thread-safe.
class Histogram
{
public:
    /// Records a negative time as 0.
    void record(std::chrono::microseconds time);

    std::uint64_t count() const;
    /// Returns the exact maximum; 0 if nothing was recorded.
    std::chrono::microseconds max() const;
    /// Returns an upper bound of the quantile @p fraction of the recorded times; 0 if nothing was
    /// recorded. Precondition: 0 < fraction <= 1.
    std::chrono::microseconds quantile(double fraction) const;

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    std::uint64_t m_max = 0;
};

} // namespace acaciadeal

#endif
