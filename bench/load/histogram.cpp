#include "histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstddef>

namespace acaciadeal {

namespace {

constexpr int subBucketBits = 6;
constexpr std::uint64_t subBuckets = 1U << subBucketBits;

// Each value below subBuckets has its own bucket; above, each power of two is split into subBuckets
// buckets of equal width.
std::size_t bucketOf(std::uint64_t value)
{
    if (value < subBuckets) {
        return value;
    }
    const int shift = static_cast<int>(std::bit_width(value)) - 1 - subBucketBits;
    return (static_cast<std::size_t>(shift) + 1) * subBuckets + ((value >> shift) - subBuckets);
}

std::uint64_t upperBound(std::size_t bucket)
{
    if (bucket < subBuckets) {
        return bucket;
    }
    const auto shift = bucket / subBuckets - 1;
    return ((bucket % subBuckets + subBuckets + 1) << shift) - 1;
}

} // namespace

void Histogram::record(std::chrono::microseconds time)
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(time.count(), 0));
    const auto bucket = bucketOf(value);
    if (bucket >= m_buckets.size()) {
        m_buckets.resize(bucket + 1);
    }
    ++m_buckets[bucket];
    ++m_count;
    m_max = std::max(m_max, value);
}

std::uint64_t Histogram::count() const
{
    return m_count;
}

std::chrono::microseconds Histogram::max() const
{
    return std::chrono::microseconds(m_max);
}

std::chrono::microseconds Histogram::quantile(double fraction) const
{
    const auto rank =
        static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_count)));
    std::uint64_t seen = 0;
    for (std::size_t it = 0; it < m_buckets.size(); ++it) {
        seen += m_buckets[it];
        if (seen != 0 && seen >= rank) {
            return std::chrono::microseconds(std::min(upperBound(it), m_max));
        }
    }
    return max();
}

} // namespace acaciadeal
