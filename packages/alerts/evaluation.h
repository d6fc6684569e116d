#ifndef ACACIADEAL_ALERTS_EVALUATION_H
#define ACACIADEAL_ALERTS_EVALUATION_H

#include "alerts/alertrule.h"
#include "base/identifier.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace acaciadeal {

/// Name of a rule or series, with the labels of the series.
using AlertKey = std::pair<std::string, MetricLabels>;

/// What is known of one series of one rule.
struct AlertSeriesState
{
    /// Since when the condition has held without a break.
    std::optional<TimePoint> conditionTrueSince;
    bool firing = false;
    /// Whether this daemon has given the warning of the present firing.
    bool reported = false;
    /// Whether the series has vanished. A firing alert stays so until the series returns.
    bool missing = false;
    double value = 0;
};

struct CounterPoint
{
    TimePoint at;
    double value = 0;
};

/// State from one evaluation to the next.
struct AlertState
{
    std::map<AlertKey, AlertSeriesState> series;
    /// Values of counters inside the longest window of any rule, oldest first.
    std::map<AlertKey, std::deque<CounterPoint>> history;
    std::optional<TimePoint> evaluatedAt;
};

struct AlertNotice
{
    std::string rule;
    AlertSeverity severity = AlertSeverity::Warning;
    /// Labels of the series, and `daemon` for a daemon's own metrics.
    MetricLabels labels;
    double value = 0;

    friend bool operator==(const AlertNotice &, const AlertNotice &) = default;
};

/// This daemon among the live members of its failure domain.
struct AlertMembership
{
    DaemonId self;
    /// Includes self.
    std::vector<DaemonId> liveMembers;
};

struct AlertEvaluation
{
    AlertState state;
    /// Warnings to give now: one for each series that began to fire.
    std::vector<AlertNotice> fired;
    std::vector<AlertNotice> resolved;
    /// Series that vanished since the evaluation before.
    std::vector<AlertNotice> missing;
    /// Everything that fires at present, whether or not this daemon reports it.
    std::vector<AlertNotice> active;
    /// Rules that have never had a series, for the status page. Counters appear with their first
    /// event, so such a rule is not a fault by itself.
    std::vector<std::string> rulesWithoutSeries;
};

/// Returns the member that reports the rule: the one with the lowest rendezvous hash. Every member
/// that sees the same members chooses the same one. Precondition: @p members is not empty.
/// Thread-safe.
DaemonId selectReporter(const std::string &rule, const std::vector<DaemonId> &members);

/// Evaluates all rules. Has no side effects; @p now must not be before that of the evaluation
/// before. A daemon that becomes the reporter while an alert fires reports it too, so that a
/// warning is not lost with the daemon that should have given it. Thread-safe.
AlertEvaluation evaluateAlerts(std::span<const AlertRule> rules,
                               const std::vector<MetricSample> &samples,
                               const AlertMembership &membership, TimePoint now,
                               AlertState previous);

} // namespace acaciadeal

#endif
