#include "alerts/import.h"

#include "alerts/metriccatalogue.h"
#include "settings/jsontext.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <sstream>
#include <utility>

namespace acaciadeal {
namespace {

using nlohmann::json;

constexpr std::array fieldNames = {
    OldName{"alert", "name"},          OldName{"rule", "name"},
    OldName{"series", "metric"},       OldName{"metric_name", "metric"},
    OldName{"tags", "labels"},         OldName{"match", "labels"},
    OldName{"op", "comparison"},       OldName{"operator", "comparison"},
    OldName{"value", "threshold"},     OldName{"limit", "threshold"},
    OldName{"duration", "for"},        OldName{"hold", "for"},
    OldName{"level", "severity"},      OldName{"priority", "severity"},
    OldName{"rate_over", "over"},      OldName{"window", "over"},
    OldName{"percentile", "quantile"},
};

constexpr std::array comparisonNames = {
    OldName{"gt", ">"},  OldName{"above", ">"}, OldName{"ge", ">="}, OldName{"gte", ">="},
    OldName{"lt", "<"},  OldName{"below", "<"}, OldName{"le", "<="}, OldName{"lte", "<="},
    OldName{"eq", "=="}, OldName{"=", "=="},    OldName{"ne", "!="}, OldName{"<>", "!="},
};

constexpr std::array severityNames = {
    OldName{"page", "critical"}, OldName{"crit", "critical"},  OldName{"error", "critical"},
    OldName{"warn", "warning"},  OldName{"ticket", "warning"}, OldName{"notice", "info"},
};

std::string newNameFor(std::span<const OldName> names, const std::string &text)
{
    const auto it = std::find_if(names.begin(), names.end(),
                                 [&text](const OldName &name) { return name.oldName == text; });
    return it == names.end() ? text : std::string(it->newName);
}

/// Converts one line from the old format to the new one and records each change.
class LineTranslator
{
public:
    explicit LineTranslator(ImportedLine &line)
        : m_line(line)
    {
    }

    Result<AlertRule> translate(const std::string &text)
    {
        std::string objectText = text;
        if (objectText.ends_with(',')) {
            objectText.pop_back();
            m_line.changes.emplace_back("removed trailing comma");
        }
        const auto normalized = normalizeJson(objectText);
        if (!normalized) {
            return tl::unexpected<Error>(normalized.error());
        }
        const json object = json::parse(*normalized);
        if (!object.is_object()) {
            return failure(ResultCode::MalformedRule, "expected an object");
        }
        if (auto renamed = renameFields(object); !renamed) {
            return tl::unexpected<Error>(renamed.error());
        }
        translateValue("comparison", comparisonNames);
        translateValue("severity", severityNames);
        sanitizeName();
        translateDuration("for");
        translateDuration("over");
        translateQuantile();
        if (auto metric = translateMetric(); !metric) {
            return tl::unexpected<Error>(metric.error());
        }
        return parseAlertRule(m_fields.dump());
    }

private:
    Result<void> renameFields(const json &object)
    {
        for (const auto &[field, value] : object.items()) {
            const std::string newName = newNameFor(fieldNames, field);
            if (m_fields.contains(newName)) {
                return failure(ResultCode::MalformedRule,
                               "another field already sets \"" + newName + "\"", field);
            }
            if (newName != field) {
                std::string note = "field " + field;
                note.append(" -> ").append(newName);
                m_line.changes.push_back(std::move(note));
            }
            m_fields[newName] = value;
        }
        return {};
    }

    void replaceField(const std::string &field, const json &value, const std::string &note = {})
    {
        m_line.changes.push_back(field + " " + m_fields[field].dump() + " -> " + value.dump()
                                 + note);
        m_fields[field] = value;
    }

    bool hasStringField(const std::string &field) const
    {
        return m_fields.contains(field) && m_fields[field].is_string();
    }

    void translateValue(const std::string &field, std::span<const OldName> names)
    {
        if (!hasStringField(field)) {
            return;
        }
        const auto word = m_fields[field].get<std::string>();
        if (auto newWord = newNameFor(names, word); newWord != word) {
            replaceField(field, newWord);
        }
    }

    /// Replaces characters that are not allowed in a segment of a settings path, because the rule
    /// name becomes such a segment.
    void sanitizeName()
    {
        if (!hasStringField("name")) {
            return;
        }
        const auto name = m_fields["name"].get<std::string>();
        std::string segment = name;
        for (char &c : segment) {
            const bool allowed = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-'
                                 || c == '_' || c == '.';
            c = allowed ? c : '-';
        }
        if (segment != name) {
            replaceField("name", segment);
        }
    }

    /// Converts a duration that is a number of seconds, which the old format allows.
    void translateDuration(const std::string &field)
    {
        if (!m_fields.contains(field) || !m_fields[field].is_number()) {
            return;
        }
        const auto durationMs = m_fields[field].get<double>() * 1000;
        // A larger value would overflow the conversion to an integer. It is left as it is, and
        // parseAlertRule() rejects it.
        constexpr double maxConvertibleMs = 1e15;
        if (durationMs >= 0 && durationMs < maxConvertibleMs) {
            replaceField(field, durationText(milliseconds(std::llround(durationMs))));
        }
    }

    /// Converts a percentile (up to 100), which the old format allows, to a quantile (up to 1).
    void translateQuantile()
    {
        if (m_fields.contains("quantile") && m_fields["quantile"].is_number()
            && m_fields["quantile"].get<double>() >= 1) {
            replaceField("quantile", m_fields["quantile"].get<double>() / 100);
        }
    }

    Result<void> translateMetric()
    {
        if (!hasStringField("metric")) {
            return {};
        }
        const auto name = m_fields["metric"].get<std::string>();
        if (findMetric(name) != nullptr) {
            return {};
        }
        const MetricAlias *alias = findMetricAlias(name);
        if (alias == nullptr) {
            return failure(ResultCode::UnknownMetric,
                           "\"" + name + "\" is neither an exported metric nor the old name of one",
                           "metric");
        }
        replaceField("metric", std::string(alias->newName));
        if (alias->factor != 1 && m_fields.contains("threshold")
            && m_fields["threshold"].is_number()) {
            replaceField("threshold", m_fields["threshold"].get<double>() * alias->factor,
                         " (converted unit)");
        }
        return {};
    }

    ImportedLine &m_line;
    json m_fields = json::object();
};

} // namespace

std::vector<ImportedLine> importAlertRules(const std::string &text)
{
    std::vector<ImportedLine> result;
    std::map<std::string, std::size_t> lineByName;
    std::istringstream in(text);
    for (std::string rawLine; std::getline(in, rawLine);) {
        ImportedLine &line = result.emplace_back();
        line.number = result.size();
        const auto begin = rawLine.find_first_not_of(" \t\r");
        if (begin == std::string::npos || rawLine.compare(begin, 2, "//") == 0) {
            continue;
        }
        const auto end = rawLine.find_last_not_of(" \t\r");
        auto rule = LineTranslator(line).translate(rawLine.substr(begin, end - begin + 1));
        if (!rule) {
            line.outcome = ImportOutcome::Refused;
            line.error = rule.error();
            continue;
        }
        const auto [earlier, isNew] = lineByName.emplace(rule->name, line.number);
        if (!isNew) {
            line.outcome = ImportOutcome::Refused;
            line.error = {ResultCode::MalformedRule,
                          "line " + std::to_string(earlier->second) + " already has the name \""
                              + rule->name + "\"",
                          "name"};
            continue;
        }
        line.outcome = line.changes.empty() ? ImportOutcome::Unchanged : ImportOutcome::Changed;
        line.rule = std::move(*rule);
    }
    return result;
}

std::string_view importOutcomeName(ImportOutcome outcome)
{
    switch (outcome) {
    case ImportOutcome::Unchanged:
        return "in force";
    case ImportOutcome::Changed:
        return "changed";
    case ImportOutcome::Refused:
        return "refused";
    case ImportOutcome::BlankOrComment:
        return "no rule";
    }
    return "unknown";
}

std::vector<OldName> oldFieldNames()
{
    return {fieldNames.begin(), fieldNames.end()};
}

std::vector<OldName> oldComparisons()
{
    return {comparisonNames.begin(), comparisonNames.end()};
}

std::vector<OldName> oldSeverities()
{
    return {severityNames.begin(), severityNames.end()};
}

} // namespace acaciadeal
