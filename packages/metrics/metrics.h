#ifndef ACACIADEAL_METRICS_METRICS_H
#define ACACIADEAL_METRICS_METRICS_H

#include "base/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciadeal {

using MetricLabels = std::map<std::string, std::string>;

struct MetricsOptions
{
    /// Maximum number of label sets per metric. Further ones are recorded under the label value
    /// "other", so that callers cannot exhaust a daemon's memory with made-up tenant names.
    std::size_t maxSeriesPerMetric = 400;
};

/// One exported value; the input of the alert rules.
struct MetricSample
{
    std::string name;
    MetricLabels labels;
    double value = 0;
};

/// Registry of counters, gauges and latency histograms. All methods are thread-safe.
class Metrics
{
public:
    explicit Metrics(const MetricsOptions &options);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds @p amount to a counter. Precondition: @p amount is not negative.
    void count(const std::string &name, const MetricLabels &labels, double amount = 1);
    /// Sets a gauge.
    void set(const std::string &name, const MetricLabels &labels, double value);
    /// Records a latency in a histogram with buckets from 0.5 ms to 30 s; the unit is seconds.
    void observe(const std::string &name, const MetricLabels &labels, Duration latency);

    /// Returns all metrics in the Prometheus text format, as served under /metrics.
    std::string exposition() const;
    /// Returns all values. A histogram yields name_count, name_sum and, per bucket bound, a
    /// cumulative name_bucket with the label "le".
    std::vector<MetricSample> samples() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
