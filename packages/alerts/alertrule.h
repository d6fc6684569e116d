#ifndef ACACIADEAL_ALERTS_ALERTRULE_H
#define ACACIADEAL_ALERTS_ALERTRULE_H

#include "base/error.h"
#include "base/time.h"
#include "metrics/metrics.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciadeal {

enum class Comparison : std::uint8_t {
    Greater,
    GreaterOrEqual,
    Less,
    LessOrEqual,
    Equal,
    NotEqual,
};

enum class AlertSeverity : std::uint8_t { Info, Warning, Critical };

/// Fires for each series of the metric that has all labels of the rule and whose value satisfies
/// the comparison with the threshold continuously for `holdFor`.
struct AlertRule
{
    std::string name;
    std::string metric;
    MetricLabels labels;
    Comparison comparison = Comparison::Greater;
    double threshold = 0;
    /// Field "for" of the JSON object.
    milliseconds holdFor{0};
    AlertSeverity severity = AlertSeverity::Warning;
    /// Window over which the rate per second of a counter, or the quantile of a histogram, is
    /// computed; 0 to compare the value itself. Field "over" of the JSON object.
    milliseconds window{0};
    /// Quantile between 0 and 1; only for histograms.
    std::optional<double> quantile;

    friend bool operator==(const AlertRule &, const AlertRule &) = default;
};

/// Parses one rule: a JSON object with comments. Errors: those of normalizeJson(), UnknownMetric,
/// and MalformedRule with the field in `where`. Thread-safe.
Result<AlertRule> parseAlertRule(const std::string &text);

/// Returns the rule as a normalized JSON object, as stored in the settings. Thread-safe.
std::string encodeAlertRule(const AlertRule &rule);

/// Valid rules of a rule file, and all errors, each with its line number in `where`.
struct AlertRuleFile
{
    std::vector<AlertRule> rules;
    std::vector<Error> errors;
};
/// Parses a file with one rule per line; blank lines and lines that start with // are skipped.
/// Thread-safe.
AlertRuleFile parseAlertRules(const std::string &text);

/// Returns whether @p value satisfies the condition of @p rule. Thread-safe.
bool conditionHolds(const AlertRule &rule, double value);

std::string_view comparisonText(Comparison comparison);
std::optional<Comparison> parseComparison(const std::string &text);
std::string_view alertSeverityName(AlertSeverity severity);
std::optional<AlertSeverity> parseAlertSeverity(const std::string &text);

/// Parses "500ms", "30s", "5m", "2h" or "1d", at most 30 days. Thread-safe.
std::optional<milliseconds> parseDurationText(const std::string &text);
/// Returns the shortest text that parseDurationText() parses as @p duration. Thread-safe.
std::string durationText(milliseconds duration);

} // namespace acaciadeal

#endif
