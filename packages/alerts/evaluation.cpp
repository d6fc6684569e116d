#include "alerts/evaluation.h"

#include "alerts/metriccatalogue.h"
#include "settings/stablehash.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <set>

namespace acaciadeal {
namespace {

/// Number of points kept per window. The length of the window over which a rate or quantile is
/// computed is accurate to 1/pointsPerWindow.
constexpr int pointsPerWindow = 30;

std::uint64_t rendezvousHash(const std::string &rule, const DaemonId &daemon)
{
    std::uint64_t hash = stableHash({rule, daemon.value});
    // FNV-1a mixes the last bytes poorly, and daemon names often differ only there.
    hash = (hash ^ hash >> 30) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ hash >> 27) * 0x94d049bb133111ebULL;
    return hash ^ hash >> 31;
}

bool labelsMatch(const AlertRule &rule, const MetricLabels &labels)
{
    return std::all_of(rule.labels.begin(), rule.labels.end(), [&labels](const auto &wanted) {
        const auto it = labels.find(wanted.first);
        return it != labels.end() && it->second == wanted.second;
    });
}

/// Returns whether the rule needs the recorded history of the series @p name.
bool needsHistory(const AlertRule &rule, const std::string &name)
{
    return rule.window.count() != 0
           && name == (rule.quantile ? rule.metric + "_bucket" : rule.metric);
}

void recordCounterHistory(AlertState &state, std::span<const AlertRule> rules,
                          const std::vector<MetricSample> &samples, TimePoint now)
{
    std::map<std::string, milliseconds> windows;
    for (const AlertRule &rule : rules) {
        if (rule.window.count() != 0) {
            auto &window = windows[rule.quantile ? rule.metric + "_bucket" : rule.metric];
            window = std::max(window, rule.window);
        }
    }
    for (const MetricSample &sample : samples) {
        const auto window = windows.find(sample.name);
        if (window == windows.end() || !std::isfinite(sample.value)) {
            continue;
        }
        auto &points = state.history[{sample.name, sample.labels}];
        // A counter is exported only after its first event, so it was zero at the previous
        // evaluation.
        if (points.empty() && state.evaluatedAt) {
            points.push_back({*state.evaluatedAt, 0});
        }
        // If points are closer together than the spacing, only the newest is kept. A counter reset
        // always adds a point, because the increase before the reset would be lost otherwise.
        const auto spacing = window->second / pointsPerWindow;
        if (points.size() >= 2 && points.back().at - points[points.size() - 2].at < spacing
            && sample.value >= points.back().value) {
            points.pop_back();
        }
        points.push_back({now, sample.value});
        // One point at or before the start of the window is kept as the base value.
        while (points.size() > 2 && points[1].at <= now - window->second) {
            points.pop_front();
        }
    }
    std::erase_if(state.history, [&](const auto &entry) {
        const auto window = windows.find(entry.first.first);
        return window == windows.end() || entry.second.back().at < now - window->second;
    });
}

/// Returns the increase of a counter within the window, and the time in seconds between the first
/// and the last point used. A value below the previous one means that the counter was reset to
/// zero.
std::pair<double, double> counterIncrease(const std::deque<CounterPoint> &points, TimePoint now,
                                          milliseconds window)
{
    std::size_t first = 0;
    while (first + 1 < points.size() && points[first + 1].at <= now - window) {
        ++first;
    }
    double increase = 0;
    for (std::size_t n = first + 1; n < points.size(); ++n) {
        const double before = points[n - 1].value;
        const double value = points[n].value;
        increase += value >= before ? value - before : value;
    }
    return {increase, std::chrono::duration<double>(points.back().at - points[first].at).count()};
}

/// Returns the upper bound of the bucket that contains the quantile, or nullopt if all buckets are
/// empty.
std::optional<double> quantileUpperBound(const std::map<double, double> &cumulativeByBound,
                                         double quantile)
{
    if (cumulativeByBound.empty() || cumulativeByBound.rbegin()->second <= 0) {
        return std::nullopt;
    }
    const double rank = quantile * cumulativeByBound.rbegin()->second;
    for (const auto &[bound, cumulative] : cumulativeByBound) {
        if (cumulative >= rank) {
            return bound;
        }
    }
    return cumulativeByBound.rbegin()->first;
}

/// Current values of the rule's series. A series without a value is exported but has no rate or
/// quantile yet; the condition does not hold for it.
using RuleValues = std::map<MetricLabels, std::optional<double>>;

RuleValues quantileValues(const AlertRule &rule, const std::vector<MetricSample> &samples,
                          const AlertState &state, TimePoint now)
{
    std::map<MetricLabels, std::map<double, double>> buckets;
    for (const MetricSample &sample : samples) {
        const auto bound = sample.labels.find("le");
        if (!needsHistory(rule, sample.name) || bound == sample.labels.end()
            || !labelsMatch(rule, sample.labels)) {
            continue;
        }
        MetricLabels labels = sample.labels;
        labels.erase("le");
        const auto points = state.history.find({sample.name, sample.labels});
        if (points != state.history.end()) {
            // strtod() parses "inf" and "+Inf" too.
            buckets[std::move(labels)][std::strtod(bound->second.c_str(), nullptr)] =
                counterIncrease(points->second, now, rule.window).first;
        }
    }
    RuleValues values;
    for (const auto &[labels, cumulativeByBound] : buckets) {
        values[labels] = quantileUpperBound(cumulativeByBound, *rule.quantile);
    }
    return values;
}

RuleValues ruleValues(const AlertRule &rule, const std::vector<MetricSample> &samples,
                      const AlertState &state, TimePoint now)
{
    if (rule.quantile) {
        return quantileValues(rule, samples, state, now);
    }
    RuleValues values;
    for (const MetricSample &sample : samples) {
        if (sample.name != rule.metric || !std::isfinite(sample.value)
            || !labelsMatch(rule, sample.labels)) {
            continue;
        }
        if (rule.window.count() == 0) {
            values[sample.labels] = sample.value;
            continue;
        }
        const auto points = state.history.find({sample.name, sample.labels});
        const auto [increase, seconds] = points == state.history.end()
                                             ? std::pair<double, double>{0, 0}
                                             : counterIncrease(points->second, now, rule.window);
        values[sample.labels] = seconds > 0 ? std::optional(increase / seconds) : std::nullopt;
    }
    return values;
}

/// Evaluates one rule and collects its notices.
class RuleEvaluator
{
public:
    RuleEvaluator(const AlertRule &rule, const AlertMembership &membership, AlertEvaluation &out)
        : m_rule(rule)
        , m_membership(membership)
        , m_out(out)
    {
        const MetricInfo *metric = findMetric(rule.metric);
        m_isDaemonMetric = metric == nullptr || metric->scope == MetricScope::Daemon;
        m_isReporter = m_isDaemonMetric || membership.liveMembers.empty()
                       || selectReporter(rule.name, membership.liveMembers) == membership.self;
    }

    void evaluateSeries(const MetricLabels &labels, std::optional<double> value, TimePoint now)
    {
        AlertSeriesState &series = m_out.state.series[{m_rule.name, labels}];
        series.missing = false;
        series.value = value.value_or(0);
        if (!value || !conditionHolds(m_rule, *value)) {
            series.conditionTrueSince.reset();
            if (series.firing) {
                addNoticeIfReporter(m_out.resolved, labels, series);
            }
            series.firing = false;
            series.reported = false;
            return;
        }
        if (!series.conditionTrueSince) {
            series.conditionTrueSince = now;
        }
        series.firing = series.firing || now - *series.conditionTrueSince >= m_rule.holdFor;
        addFiringAlert(labels, series);
    }

    void handleMissingSeries(const MetricLabels &labels, AlertSeriesState &series)
    {
        if (!series.missing) {
            series.missing = true;
            addNoticeIfReporter(m_out.missing, labels, series);
        }
        if (series.firing) {
            addFiringAlert(labels, series);
        } else {
            series.conditionTrueSince.reset();
        }
    }

private:
    void addFiringAlert(const MetricLabels &labels, AlertSeriesState &series)
    {
        if (!series.firing) {
            return;
        }
        m_out.active.push_back(makeNotice(labels, series));
        if (m_isReporter && !series.reported) {
            series.reported = true;
            m_out.fired.push_back(m_out.active.back());
        }
    }

    void addNoticeIfReporter(std::vector<AlertNotice> &notices, const MetricLabels &labels,
                             const AlertSeriesState &series)
    {
        if (m_isReporter) {
            notices.push_back(makeNotice(labels, series));
        }
    }

    AlertNotice makeNotice(MetricLabels labels, const AlertSeriesState &series) const
    {
        if (m_isDaemonMetric) {
            labels["daemon"] = m_membership.self.value;
        }
        return {m_rule.name, m_rule.severity, std::move(labels), series.value};
    }

    const AlertRule &m_rule;
    const AlertMembership &m_membership;
    AlertEvaluation &m_out;
    bool m_isDaemonMetric = true;
    bool m_isReporter = true;
};

} // namespace

DaemonId selectReporter(const std::string &rule, const std::vector<DaemonId> &members)
{
    return *std::min_element(members.begin(), members.end(),
                             [&rule](const DaemonId &a, const DaemonId &b) {
                                 return std::pair(rendezvousHash(rule, a), a.value)
                                        < std::pair(rendezvousHash(rule, b), b.value);
                             });
}

AlertEvaluation evaluateAlerts(std::span<const AlertRule> rules,
                               const std::vector<MetricSample> &samples,
                               const AlertMembership &membership, TimePoint now,
                               AlertState previous)
{
    AlertEvaluation out;
    out.state = std::move(previous);
    std::set<std::string> ruleNames;
    for (const AlertRule &rule : rules) {
        ruleNames.insert(rule.name);
    }
    std::erase_if(out.state.series, [&](const auto &entry) {
        const bool removed = !ruleNames.contains(entry.first.first);
        if (removed && entry.second.reported) {
            MetricLabels labels = entry.first.second;
            out.resolved.push_back(
                {entry.first.first, AlertSeverity::Info, std::move(labels), entry.second.value});
        }
        return removed;
    });
    recordCounterHistory(out.state, rules, samples, now);
    out.state.evaluatedAt = now;
    for (const AlertRule &rule : rules) {
        RuleEvaluator evaluator(rule, membership, out);
        const RuleValues values = ruleValues(rule, samples, out.state, now);
        for (const auto &[labels, value] : values) {
            evaluator.evaluateSeries(labels, value, now);
        }
        bool hasSeries = false;
        for (auto it = out.state.series.lower_bound({rule.name, {}});
             it != out.state.series.end() && it->first.first == rule.name; ++it) {
            hasSeries = true;
            if (!values.contains(it->first.second)) {
                evaluator.handleMissingSeries(it->first.second, it->second);
            }
        }
        if (!hasSeries) {
            out.rulesWithoutSeries.push_back(rule.name);
        }
    }
    return out;
}

} // namespace acaciadeal
