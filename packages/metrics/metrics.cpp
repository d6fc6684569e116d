#include "metrics/metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <sstream>
#include <tbb/concurrent_hash_map.h>

namespace acaciadeal {
namespace {

const prometheus::Histogram::BucketBoundaries latencyBoundsSeconds = {
    0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15,
    0.2,    0.3,   0.5,   0.75,  1,     1.5,    2,    3,     5,    6.7,  10,   15,    30};

MetricLabels overflowLabels(const MetricLabels &labels)
{
    MetricLabels result = labels;
    for (auto &[name, value] : result) {
        value = "other";
    }
    return result;
}

/// Series by name and labels. Lets traffic threads look up a series without a shared mutex.
template<typename Metric>
using SeriesCache = tbb::concurrent_hash_map<std::string, Metric *>;

std::string seriesKey(const std::string &name, const MetricLabels &labels)
{
    constexpr char separator = '\x1f';
    std::string key = name;
    for (const auto &[label, value] : labels) {
        key += separator;
        key += label;
        key += separator;
        key += value;
    }
    return key;
}

} // namespace

struct Metrics::Impl
{
    MetricsOptions options;
    prometheus::Registry registry;
    std::mutex mutex;
    std::map<std::string, std::set<MetricLabels>> labelSets;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counterFamilies;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gaugeFamilies;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> histogramFamilies;
    SeriesCache<prometheus::Counter> counters;
    SeriesCache<prometheus::Gauge> gauges;
    SeriesCache<prometheus::Histogram> histograms;

    /// Registers the label set; returns whether it may have a series of its own. Precondition: the
    /// mutex is held.
    bool admitLabelSet(const std::string &name, const MetricLabels &labels)
    {
        std::set<MetricLabels> &registeredLabelSets = labelSets[name];
        if (!registeredLabelSets.contains(labels)
            && registeredLabelSets.size() >= options.maxSeriesPerMetric) {
            return false;
        }
        registeredLabelSets.insert(labels);
        return true;
    }

    /// Returns the series; a new one is created by @p create while the mutex is held.
    template<typename Metric, typename Create>
    Metric &findOrCreate(SeriesCache<Metric> &cache, const std::string &name,
                         const MetricLabels &labels, const Create &create)
    {
        const std::string key = seriesKey(name, labels);
        if (typename SeriesCache<Metric>::const_accessor it; cache.find(it, key)) {
            return *it->second;
        }
        const std::lock_guard lock(mutex);
        if (!admitLabelSet(name, labels)) {
            // Not cached, so that label sets beyond the limit use no memory.
            return create(overflowLabels(labels));
        }
        Metric &metric = create(labels);
        cache.insert({key, &metric});
        return metric;
    }
};

Metrics::Metrics(const MetricsOptions &options)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->options = options;
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const MetricLabels &labels, double amount)
{
    const auto create = [&](const MetricLabels &seriesLabels) -> prometheus::Counter & {
        auto &family = m_impl->counterFamilies[name];
        if (family == nullptr) {
            family = &prometheus::BuildCounter().Name(name).Register(m_impl->registry);
        }
        return family->Add(seriesLabels);
    };
    m_impl->findOrCreate(m_impl->counters, name, labels, create).Increment(amount);
}

void Metrics::set(const std::string &name, const MetricLabels &labels, double value)
{
    const auto create = [&](const MetricLabels &seriesLabels) -> prometheus::Gauge & {
        auto &family = m_impl->gaugeFamilies[name];
        if (family == nullptr) {
            family = &prometheus::BuildGauge().Name(name).Register(m_impl->registry);
        }
        return family->Add(seriesLabels);
    };
    m_impl->findOrCreate(m_impl->gauges, name, labels, create).Set(value);
}

void Metrics::observe(const std::string &name, const MetricLabels &labels, Duration latency)
{
    const auto create = [&](const MetricLabels &seriesLabels) -> prometheus::Histogram & {
        auto &family = m_impl->histogramFamilies[name];
        if (family == nullptr) {
            family = &prometheus::BuildHistogram().Name(name).Register(m_impl->registry);
        }
        return family->Add(seriesLabels, latencyBoundsSeconds);
    };
    m_impl->findOrCreate(m_impl->histograms, name, labels, create)
        .Observe(std::chrono::duration<double>(latency).count());
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

std::vector<MetricSample> Metrics::samples() const
{
    std::vector<MetricSample> result;
    for (const prometheus::MetricFamily &family : m_impl->registry.Collect()) {
        for (const prometheus::ClientMetric &metric : family.metric) {
            MetricLabels labels;
            for (const auto &label : metric.label) {
                labels[label.name] = label.value;
            }
            if (family.type == prometheus::MetricType::Counter) {
                result.push_back({family.name, labels, metric.counter.value});
            } else if (family.type == prometheus::MetricType::Gauge) {
                result.push_back({family.name, labels, metric.gauge.value});
            } else if (family.type == prometheus::MetricType::Histogram) {
                const auto &histogram = metric.histogram;
                result.push_back(
                    {family.name + "_count", labels, static_cast<double>(histogram.sample_count)});
                result.push_back({family.name + "_sum", labels, histogram.sample_sum});
                for (const auto &bucket : histogram.bucket) {
                    std::ostringstream bound;
                    bound << bucket.upper_bound;
                    MetricLabels bucketLabels = labels;
                    bucketLabels["le"] = bound.str();
                    result.push_back({family.name + "_bucket", std::move(bucketLabels),
                                      static_cast<double>(bucket.cumulative_count)});
                }
            }
        }
    }
    return result;
}

} // namespace acaciadeal
