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

/// Name of a rule or of a metric series, with the labels of the series.
using AlertKey = std::pair<std::string, MetricLabels>;

/// State of one series of one rule.
struct AlertSeriesState
{
    /// Start of the uninterrupted time in which the condition has held; empty if it does not hold.
    std::optional<TimePoint> conditionTrueSince;
    bool firing = false;
    /// Whether this daemon has reported the alert since it last started to fire.
    bool reported = false;
    /// Whether the series is no longer exported. A firing alert then keeps firing at least until
    /// the series is exported again.
    bool missing = false;
    double value = 0;
};

struct CounterPoint
{
    TimePoint at;
    double value = 0;
};

/// State carried over from one evaluation to the next.
struct AlertState
{
    std::map<AlertKey, AlertSeriesState> series;
    /// Counter values within the longest window of the rules on the metric, oldest first.
    std::map<AlertKey, std::deque<CounterPoint>> history;
    std::optional<TimePoint> evaluatedAt;
};

struct AlertNotice
{
    std::string rule;
    AlertSeverity severity = AlertSeverity::Warning;
    /// Labels of the series, and `daemon` for metrics of scope MetricScope::Daemon.
    MetricLabels labels;
    double value = 0;

    friend bool operator==(const AlertNotice &, const AlertNotice &) = default;
};

/// This daemon and the live members of its failure domain. One of the members reports the alerts on
/// metrics of scope MetricScope::FailureDomain.
struct AlertMembership
{
    DaemonId self;
    /// Includes self.
    std::vector<DaemonId> liveMembers;
};

struct AlertEvaluation
{
    AlertState state;
    /// Alerts that this daemon has to report now: one for each series that started to fire.
    std::vector<AlertNotice> fired;
    std::vector<AlertNotice> resolved;
    /// Series that disappeared since the previous evaluation.
    std::vector<AlertNotice> missing;
    /// All alerts that are firing, whether or not this daemon reports them.
    std::vector<AlertNotice> active;
    /// Rules that have never matched a series, for the status page. A counter is exported only
    /// after its first event, so such a rule is not necessarily wrong.
    std::vector<std::string> rulesWithoutSeries;
};

/// Returns the member that reports the rule: the one with the lowest rendezvous hash. Daemons with
/// the same member list select the same one. Precondition: @p members is not empty.
/// Thread-safe.
DaemonId selectReporter(const std::string &rule, const std::vector<DaemonId> &members);

/// Evaluates all rules. Has no side effects. Precondition: @p now is not earlier than in the
/// previous evaluation. A daemon that becomes the reporter while an alert is firing reports it too,
/// so that no alert is lost when the previous reporter fails before it has reported. Thread-safe.
AlertEvaluation evaluateAlerts(std::span<const AlertRule> rules,
                               const std::vector<MetricSample> &samples,
                               const AlertMembership &membership, TimePoint now,
                               AlertState previous);

} // namespace acaciadeal

#endif
