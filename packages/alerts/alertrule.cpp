#include "alerts/alertrule.h"

#include "alerts/metriccatalogue.h"
#include "settings/jsontext.h"
#include "settings/schema.h"

#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace acaciadeal {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<Comparison, std::string_view>, 6> comparisons = {{
    {Comparison::Greater, ">"},
    {Comparison::GreaterOrEqual, ">="},
    {Comparison::Less, "<"},
    {Comparison::LessOrEqual, "<="},
    {Comparison::Equal, "=="},
    {Comparison::NotEqual, "!="},
}};

constexpr std::array<std::pair<AlertSeverity, std::string_view>, 3> severities = {{
    {AlertSeverity::Info, "info"},
    {AlertSeverity::Warning, "warning"},
    {AlertSeverity::Critical, "critical"},
}};

struct DurationUnit
{
    std::string_view suffix;
    std::int64_t milliseconds;
};

// Larger units first, so that durationText() finds the shortest form.
constexpr std::array durationUnits = {
    DurationUnit{"d", 86'400'000}, DurationUnit{"h", 3'600'000}, DurationUnit{"m", 60'000},
    DurationUnit{"s", 1'000},      DurationUnit{"ms", 1},
};
constexpr std::int64_t maxDurationMs = 30 * std::int64_t{86'400'000};

template<typename Table, typename Value>
std::string_view findName(const Table &table, Value value)
{
    for (const auto &[entry, name] : table) {
        if (entry == value) {
            return name;
        }
    }
    return "unknown";
}

template<typename Value, typename Table>
std::optional<Value> findValue(const Table &table, const std::string &text)
{
    for (const auto &[value, name] : table) {
        if (name == text) {
            return value;
        }
    }
    return std::nullopt;
}

tl::unexpected<Error> malformedRule(std::string message, std::string field)
{
    return failure(ResultCode::MalformedRule, std::move(message), std::move(field));
}

/// Parses one field of a rule into @p rule. Errors: MalformedRule.
Result<void> readField(AlertRule &rule, const std::string &field, const json &value)
{
    if (field == "labels") {
        if (!value.is_object()) {
            return malformedRule("expected an object of strings", field);
        }
        for (const auto &[label, labelValue] : value.items()) {
            if (!labelValue.is_string()) {
                return malformedRule("expected a string", "labels/" + label);
            }
            rule.labels[label] = labelValue.get<std::string>();
        }
        return {};
    }
    if (field == "threshold" || field == "quantile") {
        if (!value.is_number()) {
            return malformedRule("expected a number", field);
        }
        if (field == "threshold") {
            rule.threshold = value.get<double>();
        } else {
            rule.quantile = value.get<double>();
        }
        return {};
    }
    if (!value.is_string()) {
        return malformedRule("expected a string", field);
    }
    const auto text = value.get<std::string>();
    if (field == "name") {
        rule.name = text;
    } else if (field == "metric") {
        rule.metric = text;
    } else if (field == "comparison") {
        const auto comparison = parseComparison(text);
        if (!comparison) {
            return malformedRule("expected one of > >= < <= == !=", field);
        }
        rule.comparison = *comparison;
    } else if (field == "severity") {
        const auto severity = parseAlertSeverity(text);
        if (!severity) {
            return malformedRule("expected info, warning or critical", field);
        }
        rule.severity = *severity;
    } else if (field == "for" || field == "over") {
        const auto duration = parseDurationText(text);
        if (!duration) {
            return malformedRule("expected a duration such as 500ms, 30s, 5m, 2h or 1d", field);
        }
        (field == "for" ? rule.holdFor : rule.window) = *duration;
    } else {
        return malformedRule("unknown field", field);
    }
    return {};
}

Result<void> checkRule(const AlertRule &rule)
{
    if (!isPathSegment(rule.name)) {
        return malformedRule("expected 1 to 64 letters, digits, '-', '_' or '.'", "name");
    }
    const MetricInfo *metric = findMetric(rule.metric);
    if (metric == nullptr) {
        return failure(ResultCode::UnknownMetric, "no metric \"" + rule.metric + "\" is exported",
                       "metric");
    }
    for (const auto &[label, value] : rule.labels) {
        if (!hasLabel(*metric, rule.metric, label)) {
            return malformedRule("the metric does not have this label", "labels/" + label);
        }
    }
    const bool isHistogram = metric->kind == MetricKind::Histogram && metric->name == rule.metric;
    if (isHistogram != rule.quantile.has_value()) {
        return malformedRule(isHistogram ? "a rule on a histogram needs a quantile"
                                         : "only a rule on a histogram can have a quantile",
                             "quantile");
    }
    if (rule.quantile && !(*rule.quantile > 0 && *rule.quantile < 1)) {
        return malformedRule("expected a number between 0 and 1", "quantile");
    }
    if (isHistogram && rule.window.count() == 0) {
        return malformedRule("a rule with a quantile needs a window", "over");
    }
    if (metric->kind == MetricKind::Gauge && rule.window.count() != 0) {
        return malformedRule("only rules on counters and histograms can have a window", "over");
    }
    return {};
}

std::string trimmed(const std::string &line)
{
    const auto begin = line.find_first_not_of(" \t\r");
    if (begin == std::string::npos) {
        return {};
    }
    return line.substr(begin, line.find_last_not_of(" \t\r") - begin + 1);
}

} // namespace

Result<AlertRule> parseAlertRule(const std::string &text)
{
    const auto normalized = normalizeJson(text);
    if (!normalized) {
        return tl::unexpected<Error>(normalized.error());
    }
    const json object = json::parse(*normalized);
    if (!object.is_object()) {
        return malformedRule("expected an object", "");
    }
    AlertRule rule;
    for (const auto &[field, value] : object.items()) {
        if (auto read = readField(rule, field, value); !read) {
            return tl::unexpected<Error>(read.error());
        }
    }
    // These fields have no defaults: a rule that omits its comparison or threshold by mistake would
    // otherwise alert on a condition that its author did not intend.
    for (const std::string field : {"name", "metric", "comparison", "threshold", "severity"}) {
        if (!object.contains(field)) {
            return malformedRule("the field is required", field);
        }
    }
    if (auto checked = checkRule(rule); !checked) {
        return tl::unexpected<Error>(checked.error());
    }
    return rule;
}

std::string encodeAlertRule(const AlertRule &rule)
{
    json object = {{"name", rule.name},
                   {"metric", rule.metric},
                   {"comparison", comparisonText(rule.comparison)},
                   {"threshold", rule.threshold},
                   {"for", durationText(rule.holdFor)},
                   {"severity", alertSeverityName(rule.severity)}};
    if (!rule.labels.empty()) {
        object["labels"] = rule.labels;
    }
    if (rule.window.count() != 0) {
        object["over"] = durationText(rule.window);
    }
    if (rule.quantile) {
        object["quantile"] = *rule.quantile;
    }
    return object.dump();
}

AlertRuleFile parseAlertRules(const std::string &text)
{
    AlertRuleFile file;
    std::set<std::string> names;
    std::istringstream in(text);
    std::size_t lineNumber = 0;
    for (std::string rawLine; std::getline(in, rawLine);) {
        ++lineNumber;
        const std::string line = trimmed(rawLine);
        if (line.empty() || line.starts_with("//")) {
            continue;
        }
        const std::string where = "line " + std::to_string(lineNumber);
        auto rule = parseAlertRule(line);
        if (!rule) {
            Error error = rule.error();
            error.where = error.where.empty() ? where : where + ": " + error.where;
            file.errors.push_back(std::move(error));
        } else if (!names.insert(rule->name).second) {
            file.errors.push_back({ResultCode::MalformedRule,
                                   "another rule has the name \"" + rule->name + "\"",
                                   where + ": name"});
        } else {
            file.rules.push_back(std::move(*rule));
        }
    }
    return file;
}

bool conditionHolds(const AlertRule &rule, double value)
{
    switch (rule.comparison) {
    case Comparison::Greater:
        return value > rule.threshold;
    case Comparison::GreaterOrEqual:
        return value >= rule.threshold;
    case Comparison::Less:
        return value < rule.threshold;
    case Comparison::LessOrEqual:
        return value <= rule.threshold;
    case Comparison::Equal:
        return value == rule.threshold;
    case Comparison::NotEqual:
        return value != rule.threshold;
    }
    return false;
}

std::string_view comparisonText(Comparison comparison)
{
    return findName(comparisons, comparison);
}

std::optional<Comparison> parseComparison(const std::string &text)
{
    return findValue<Comparison>(comparisons, text);
}

std::string_view alertSeverityName(AlertSeverity severity)
{
    return findName(severities, severity);
}

std::optional<AlertSeverity> parseAlertSeverity(const std::string &text)
{
    return findValue<AlertSeverity>(severities, text);
}

std::optional<milliseconds> parseDurationText(const std::string &text)
{
    std::int64_t amount = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, amount);
    if (ec != std::errc() || amount < 0 || amount > maxDurationMs) {
        return std::nullopt;
    }
    const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
    for (const DurationUnit &unit : durationUnits) {
        if (unit.suffix == suffix && amount <= maxDurationMs / unit.milliseconds) {
            return milliseconds(amount * unit.milliseconds);
        }
    }
    return std::nullopt;
}

std::string durationText(milliseconds duration)
{
    for (const DurationUnit &unit : durationUnits) {
        if (duration.count() != 0 && duration.count() % unit.milliseconds == 0) {
            return std::to_string(duration.count() / unit.milliseconds) + std::string(unit.suffix);
        }
    }
    return "0s";
}

} // namespace acaciadeal
