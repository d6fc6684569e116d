#include "alerts/metriccatalogue.h"

#include <algorithm>
#include <array>

namespace acaciadeal {
namespace {

constexpr std::array metricTable = {
    MetricInfo{"request_seconds", MetricKind::Histogram, MetricScope::Daemon, "tenant class",
               "Time from the receipt of a request to its answer, in seconds."},
    MetricInfo{"requests_refused_total", MetricKind::Counter, MetricScope::Daemon, "code",
               "Requests that were refused and not run."},
    MetricInfo{"requests_failed_total", MetricKind::Counter, MetricScope::Daemon, "code",
               "Requests that were handed over and did not get a whole answer."},
    MetricInfo{"request_retries_total", MetricKind::Counter, MetricScope::Daemon, "",
               "Attempts of requests after the first one."},
    MetricInfo{"request_slots_in_use", MetricKind::Gauge, MetricScope::Daemon, "",
               "Slots that requests of this daemon occupy."},
    MetricInfo{"retry_budget_tokens", MetricKind::Gauge, MetricScope::Daemon, "",
               "Retries that the budget permits at the moment."},
    MetricInfo{"queue_length", MetricKind::Gauge, MetricScope::Daemon, "shard class",
               "Tasks that wait for a placement; exported by the shard's holder."},
    MetricInfo{"queue_oldest_seconds", MetricKind::Gauge, MetricScope::Daemon, "shard class",
               "Waiting time of the oldest queued task, in seconds."},
    MetricInfo{"tasks_running", MetricKind::Gauge, MetricScope::Daemon, "shard class",
               "Tasks that workers report as running."},
    MetricInfo{"task_evictions_total", MetricKind::Counter, MetricScope::Daemon, "shard class",
               "Tasks that were evicted."},
    MetricInfo{"task_late", MetricKind::Gauge, MetricScope::Daemon, "shard class",
               "Tasks that are beyond their deadline."},
    MetricInfo{"worker_orders_total", MetricKind::Counter, MetricScope::Daemon, "shard outcome",
               "Messages to workers by outcome."},
    MetricInfo{"log_commit_seconds", MetricKind::Histogram, MetricScope::Daemon, "shard",
               "Time of one log append, in seconds."},
    MetricInfo{"hosts_on_probation", MetricKind::Gauge, MetricScope::Daemon, "shard",
               "Workers that get one trial task at a time."},
    MetricInfo{"hosts_unreachable", MetricKind::Gauge, MetricScope::Daemon, "shard",
               "Workers that do not answer."},
    MetricInfo{"settings_version", MetricKind::Gauge, MetricScope::Daemon, "",
               "Version of the settings tree in force on this daemon."},
    MetricInfo{"settings_age_seconds", MetricKind::Gauge, MetricScope::Daemon, "",
               "Time since the platform last confirmed the settings version, in seconds."},
    MetricInfo{"platform_reachable", MetricKind::Gauge, MetricScope::FailureDomain, "",
               "1 if the platform answers, otherwise 0."},
    MetricInfo{"members", MetricKind::Gauge, MetricScope::FailureDomain, "failure_domain",
               "Live daemons per failure domain, including this one."},
};

constexpr double secondsPerMillisecond = 0.001;

constexpr std::array aliasTable = {
    MetricAlias{"request_latency_seconds", "request_seconds"},
    MetricAlias{"request_latency_ms", "request_seconds", secondsPerMillisecond},
    MetricAlias{"requests_rejected_total", "requests_refused_total"},
    MetricAlias{"requests_shed_total", "requests_refused_total"},
    MetricAlias{"retries_total", "request_retries_total"},
    MetricAlias{"slots_busy", "request_slots_in_use"},
    MetricAlias{"retry_tokens", "retry_budget_tokens"},
    MetricAlias{"queue_depth", "queue_length"},
    MetricAlias{"queue_oldest_ms", "queue_oldest_seconds", secondsPerMillisecond},
    MetricAlias{"running_tasks", "tasks_running"},
    MetricAlias{"evictions_total", "task_evictions_total"},
    MetricAlias{"preemptions_total", "task_evictions_total"},
    MetricAlias{"late_tasks", "task_late"},
    MetricAlias{"agent_calls_total", "worker_orders_total"},
    MetricAlias{"store_commit_seconds", "log_commit_seconds"},
    MetricAlias{"store_commit_ms", "log_commit_seconds", secondsPerMillisecond},
    MetricAlias{"hosts_quarantined", "hosts_on_probation"},
    MetricAlias{"hosts_down", "hosts_unreachable"},
    MetricAlias{"config_version", "settings_version"},
    MetricAlias{"config_age_seconds", "settings_age_seconds"},
    MetricAlias{"config_age_ms", "settings_age_seconds", secondsPerMillisecond},
    MetricAlias{"store_up", "platform_reachable"},
    MetricAlias{"peers_alive", "members"},
};

bool containsWord(std::string_view words, std::string_view word)
{
    std::size_t begin = 0;
    while (begin < words.size()) {
        const auto end = std::min(words.find(' ', begin), words.size());
        if (words.substr(begin, end - begin) == word) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

} // namespace

std::span<const MetricInfo> metricCatalogue()
{
    return metricTable;
}

std::span<const MetricAlias> metricAliases()
{
    return aliasTable;
}

const MetricInfo *findMetric(const std::string &name)
{
    for (const MetricInfo &metric : metricTable) {
        if (metric.name == name) {
            return &metric;
        }
        if (metric.kind == MetricKind::Histogram && name.starts_with(metric.name)) {
            const auto suffix = std::string_view(name).substr(metric.name.size());
            if (suffix == "_count" || suffix == "_sum" || suffix == "_bucket") {
                return &metric;
            }
        }
    }
    return nullptr;
}

const MetricAlias *findMetricAlias(const std::string &oldName)
{
    const auto it =
        std::find_if(aliasTable.begin(), aliasTable.end(),
                     [&](const MetricAlias &alias) { return alias.oldName == oldName; });
    return it == aliasTable.end() ? nullptr : &*it;
}

bool hasLabel(const MetricInfo &metric, const std::string &name, const std::string &label)
{
    return containsWord(metric.labels, label) || (label == "le" && name.ends_with("_bucket"));
}

std::vector<std::string> uncataloguedSamples(const std::vector<MetricSample> &samples)
{
    std::vector<std::string> result;
    for (const MetricSample &sample : samples) {
        const MetricInfo *metric = findMetric(sample.name);
        if (metric == nullptr) {
            result.push_back(sample.name);
            continue;
        }
        for (const auto &[label, value] : sample.labels) {
            if (!hasLabel(*metric, sample.name, label)) {
                result.push_back(sample.name + "{" + label + "}");
            }
        }
    }
    return result;
}

std::string_view metricKindName(MetricKind kind)
{
    switch (kind) {
    case MetricKind::Counter:
        return "counter";
    case MetricKind::Gauge:
        return "gauge";
    case MetricKind::Histogram:
        return "histogram";
    }
    return "unknown";
}

std::string_view metricScopeName(MetricScope scope)
{
    return scope == MetricScope::Daemon ? "each daemon" : "one daemon of the failure domain";
}

} // namespace acaciadeal
