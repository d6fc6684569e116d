#ifndef ACACIADEAL_ALERTS_METRICCATALOGUE_H
#define ACACIADEAL_ALERTS_METRICCATALOGUE_H

#include "metrics/metrics.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace acaciadeal {

enum class MetricKind : std::uint8_t { Counter, Gauge, Histogram };

/// Which daemons observe the fault that a metric indicates. Determines which of them report alerts
/// on the metric.
enum class MetricScope : std::uint8_t {
    /// Only the daemon that exports it: each daemon reports its own alerts, labelled by daemon.
    Daemon,
    /// All daemons of a failure domain: one of them reports the alerts.
    FailureDomain,
};

/// One exported metric.
struct MetricInfo
{
    std::string_view name;
    MetricKind kind = MetricKind::Gauge;
    MetricScope scope = MetricScope::Daemon;
    /// Label names, separated by spaces.
    std::string_view labels;
    std::string_view description;
};

/// Metric name of the system that acaciadeal replaces.
struct MetricAlias
{
    std::string_view oldName;
    std::string_view newName;
    /// Factor that converts a threshold from the old unit to the new one.
    double factor = 1;
};

/// Returns all exported metrics in the order of docs/alerts.md. Thread-safe.
std::span<const MetricInfo> metricCatalogue();
/// Returns the old metric names in the order of docs/alerts.md. Thread-safe.
std::span<const MetricAlias> metricAliases();

/// Returns the metric that exports the series @p name, or nullptr. A histogram also exports
/// name_count, name_sum and name_bucket. Thread-safe.
const MetricInfo *findMetric(const std::string &name);
/// Returns the alias of @p oldName, or nullptr. Thread-safe.
const MetricAlias *findMetricAlias(const std::string &oldName);

/// Returns whether @p label may be used in rules on the series @p name of @p metric. Thread-safe.
bool hasLabel(const MetricInfo &metric, const std::string &name, const std::string &label);

/// Returns the name, or name{label}, of each sample whose name or label is missing in the
/// catalogue. No alert rule can refer to such a sample. Thread-safe.
std::vector<std::string> uncataloguedSamples(const std::vector<MetricSample> &samples);

std::string_view metricKindName(MetricKind kind);
std::string_view metricScopeName(MetricScope scope);

} // namespace acaciadeal

#endif
