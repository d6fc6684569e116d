#ifndef ACACIADEAL_BENCH_LOAD_HISTOGRAM_H
#define ACACIADEAL_BENCH_LOAD_HISTOGRAM_H

#include <chrono>
#include <cstdint>
#include <vector>

namespace acaciadeal {

/// Log-linear histogram of times: 64 buckets per power of two, so that a quantile is at most 1/64
/// above the recorded time. Not thread-safe.
class Histogram
{
public:
    /// Negative times count as 0.
    void record(std::chrono::microseconds time);

    std::uint64_t count() const;
    /// Exact largest time; 0 if nothing was recorded.
    std::chrono::microseconds max() const;
    /// Returns an upper bound of the time that a share of @p fraction of the recorded times does
    /// not exceed; 0 if nothing was recorded. Precondition: 0 < fraction <= 1.
    std::chrono::microseconds quantile(double fraction) const;

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    std::uint64_t m_max = 0;
};

} // namespace acaciadeal

#endif
