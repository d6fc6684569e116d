#include "settings/schema.h"

#include "settings/jsontext.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace acaciadeal {
namespace {

using nlohmann::json;

constexpr std::size_t maxSegmentLength = 64;
constexpr std::string_view pressureSteps =
    "throttle_batch evict_batch evict_batch_for_urgent shed_batch_requests queue_normal_requests "
    "shed_normal_requests";
constexpr double msPerDay = 86'400'000;

constexpr std::array schemaTable = {
    SettingSchema{
        "/system/pressure_order", SettingType::NameList, 0, 0, pressureSteps,
        R"(["throttle_batch","evict_batch","shed_batch_requests","shed_normal_requests"])",
        "Order in which work is given up under pressure; urgent requests are never in it."},
    SettingSchema{"/system/pressure/usage_percent", SettingType::Integer, 50, 100, "", "90",
                  "Reported usage of a host above which it is under pressure, in percent."},
    SettingSchema{"/system/pressure/wait_percent", SettingType::Integer, 1, 100, "", "50",
                  "Share of its limit that the oldest urgent work may have waited, in percent."},
    SettingSchema{"/system/weights/tail_latency", SettingType::Number, 0, 100, "", "1",
                  "Weight of service tail latency in the placement score."},
    SettingSchema{"/system/weights/batch_throughput", SettingType::Number, 0, 100, "", "1",
                  "Weight of batch throughput in the placement score."},
    SettingSchema{"/system/weights/evictions", SettingType::Number, 0, 100, "", "1",
                  "Weight of avoided evictions in the placement score."},
    SettingSchema{"/system/weights/domain_loss", SettingType::Number, 0, 100, "", "1",
                  "Weight of the work done while a failure domain leaves and returns."},
    SettingSchema{"/system/retry_budget/percent", SettingType::Number, 0, 100, "", "10",
                  "Retries of repeatable requests, in percent of requests."},
    SettingSchema{"/system/retry_budget/burst", SettingType::Integer, 0, 10'000, "", "20",
                  "Retries that may be saved up."},
    SettingSchema{"/system/admission/{urgent|normal|batch}/max_in_progress", SettingType::Integer,
                  1, 100'000, "", "512",
                  "Requests of the class that a daemon handles at the same time."},
    SettingSchema{"/system/admission/{urgent|normal|batch}/max_queued", SettingType::Integer, 0,
                  100'000, "", "1024", "Requests of the class that may wait for a slot."},
    SettingSchema{"/system/admission/{urgent|normal|batch}/max_wait_ms", SettingType::Integer, 1,
                  600'000, "", "5000", "Time that a request of the class may wait for a slot."},
    SettingSchema{"/system/breaker/failures", SettingType::Integer, 1, 1000, "", "5",
                  "Failures in a row after which an instance is suspended."},
    SettingSchema{"/system/breaker/suspend_ms", SettingType::Integer, 10, 600'000, "", "5000",
                  "Time until a suspended instance gets a trial request."},
    SettingSchema{"/system/leases/lease_ms", SettingType::Integer, 2000, 600'000, "", "15000",
                  "Lease that a worker gets for the tasks of a shard."},
    SettingSchema{"/system/leases/renew_period_ms", SettingType::Integer, 200, 300'000, "", "5000",
                  "Time between two renewals; at most half of lease_ms."},
    SettingSchema{"/system/leases/outage_lease_ms", SettingType::Integer, 2000, msPerDay, "",
                  "600000", "Lease granted while the platform is unreachable; at least lease_ms."},
    SettingSchema{"/system/leases/autonomy_ms", SettingType::Integer, 60'000, msPerDay, "",
                  "3600000",
                  "Longest time after the last confirmed ownership until which leases may run; at "
                  "least outage_lease_ms."},
    SettingSchema{"/system/workers/probation_failures", SettingType::Integer, 1, 1000, "", "3",
                  "Failures of distinct tasks in a row that put a worker on probation."},
    SettingSchema{"/system/workers/unreachable_after", SettingType::Integer, 1, 100, "", "3",
                  "Unanswered orders in a row after which a worker gets no new starts."},
    SettingSchema{"/system/drain_rate", SettingType::Integer, 1, 10'000, "", "20",
                  "Tasks stopped per second while a failure domain is out."},
    SettingSchema{"/system/refill_rate", SettingType::Integer, 1, 10'000, "", "50",
                  "Placements per second right after a failure domain returned."},
    SettingSchema{"/teams/<team>/quota", SettingType::Amounts, 0, 1e12, "", "null",
                  "Committed amounts allowed to the team in each shard."},
    SettingSchema{"/teams/<team>/max_queued_tasks", SettingType::Integer, 0, 1'000'000, "",
                  "100000", "Tasks of the team that may wait in each shard."},
    SettingSchema{"/teams/<team>/max_requests_in_progress", SettingType::Integer, 1, 100'000, "",
                  "512", "Requests of the team that a daemon handles at the same time."},
    SettingSchema{"/teams/<team>/weight", SettingType::Number, 0.01, 100, "", "1",
                  "Share of the team when several teams compete for hosts."},
    SettingSchema{"/teams/<team>/contact", SettingType::Text, 0, 200, "", R"("")",
                  "Whom to ask about the team's work."},
    SettingSchema{"/teams/<team>/alerts/<rule>", SettingType::AlertRule, 0, 0, "", "null",
                  "Alert rule of the team; see docs/alerts.md."},
    SettingSchema{"/alerts/<rule>", SettingType::AlertRule, 0, 0, "", "null",
                  "Alert rule of the deployment; see docs/alerts.md."},
};

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    while (true) {
        const auto end = text.find(separator, begin);
        parts.push_back(text.substr(begin, end == std::string_view::npos ? end : end - begin));
        if (end == std::string_view::npos) {
            return parts;
        }
        begin = end + 1;
    }
}

bool segmentMatches(std::string_view pattern, std::string_view segment)
{
    if (pattern.starts_with('<')) {
        return isPathSegment(segment);
    }
    if (pattern.starts_with('{')) {
        const auto choices = split(pattern.substr(1, pattern.size() - 2), '|');
        return std::find(choices.begin(), choices.end(), segment) != choices.end();
    }
    return pattern == segment;
}

bool pathMatches(std::string_view pattern, std::string_view path)
{
    const auto expected = split(pattern, '/');
    const auto actual = split(path, '/');
    return std::equal(expected.begin(), expected.end(), actual.begin(), actual.end(),
                      segmentMatches);
}

tl::unexpected<Error> wrongTypeError(const SettingSchema &schema, const std::string &path)
{
    return failure(ResultCode::WrongType, "expected " + std::string(settingTypeName(schema.type)),
                   path);
}

tl::unexpected<Error> outOfRangeError(const SettingSchema &schema, const std::string &path)
{
    return failure(ResultCode::OutOfRange, "expected " + rangeText(schema), path);
}

Result<void> checkNumber(const SettingSchema &schema, const json &value, const std::string &path)
{
    const bool mustBeInteger = schema.type != SettingType::Number;
    if (mustBeInteger ? !value.is_number_integer() : !value.is_number()) {
        return wrongTypeError(schema, path);
    }
    const auto number = value.get<double>();
    if (!std::isfinite(number) || number < schema.minimum || number > schema.maximum) {
        return outOfRangeError(schema, path);
    }
    return {};
}

Result<void> checkNameList(const SettingSchema &schema, const json &value, const std::string &path)
{
    if (!value.is_array()) {
        return wrongTypeError(schema, path);
    }
    const auto allowed = split(schema.allowedNames, ' ');
    std::set<std::string> seen;
    for (const json &element : value) {
        if (!element.is_string()) {
            return wrongTypeError(schema, path);
        }
        const auto name = element.get<std::string>();
        if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
            return outOfRangeError(schema, path);
        }
        if (!seen.insert(name).second) {
            return failure(ResultCode::OutOfRange, "\"" + name + "\" is listed twice", path);
        }
    }
    return {};
}

Result<void> checkAmounts(const SettingSchema &schema, const json &value, const std::string &path)
{
    if (!value.is_object()) {
        return wrongTypeError(schema, path);
    }
    for (const auto &[key, amount] : value.items()) {
        std::string amountPath = path;
        amountPath.append("/").append(key);
        if (key != "milli_cores" && key != "memory_mib" && key != "accelerators") {
            return failure(ResultCode::UnknownSetting,
                           "unknown amount; expected milli_cores, memory_mib or accelerators",
                           amountPath);
        }
        if (auto checked = checkNumber(schema, amount, amountPath); !checked) {
            return checked;
        }
    }
    return {};
}

Result<void> checkType(const SettingSchema &schema, const json &value, const std::string &path)
{
    switch (schema.type) {
    case SettingType::Integer:
    case SettingType::Number:
        return checkNumber(schema, value, path);
    case SettingType::Boolean:
        if (!value.is_boolean()) {
            return wrongTypeError(schema, path);
        }
        return {};
    case SettingType::Text: {
        if (!value.is_string()) {
            return wrongTypeError(schema, path);
        }
        const auto size = static_cast<double>(value.get_ref<const std::string &>().size());
        if (size < schema.minimum || size > schema.maximum) {
            return outOfRangeError(schema, path);
        }
        return {};
    }
    case SettingType::NameList:
        return checkNameList(schema, value, path);
    case SettingType::Amounts:
        return checkAmounts(schema, value, path);
    case SettingType::AlertRule:
        if (!value.is_object()) {
            return wrongTypeError(schema, path);
        }
        return {};
    }
    return wrongTypeError(schema, path);
}

} // namespace

std::span<const SettingSchema> settingsSchema()
{
    return schemaTable;
}

const SettingSchema *findSettingSchema(const std::string &path)
{
    for (const SettingSchema &schema : schemaTable) {
        if (pathMatches(schema.pattern, path)) {
            return &schema;
        }
    }
    return nullptr;
}

std::string_view settingTypeName(SettingType type)
{
    switch (type) {
    case SettingType::Integer:
        return "integer";
    case SettingType::Number:
        return "number";
    case SettingType::Boolean:
        return "boolean";
    case SettingType::Text:
        return "text";
    case SettingType::NameList:
        return "list of names";
    case SettingType::Amounts:
        return "amounts";
    case SettingType::AlertRule:
        return "alert rule";
    }
    return "unknown";
}

std::string rangeText(const SettingSchema &schema)
{
    const auto formatBound = [](double value) {
        if (value == std::floor(value)) {
            return std::to_string(static_cast<std::int64_t>(value));
        }
        return json(value).dump();
    };
    switch (schema.type) {
    case SettingType::Integer:
    case SettingType::Number:
        return formatBound(schema.minimum) + " to " + formatBound(schema.maximum);
    case SettingType::Boolean:
        return "true or false";
    case SettingType::Text:
        return formatBound(schema.minimum) + " to " + formatBound(schema.maximum) + " bytes";
    case SettingType::NameList: {
        std::string text = "distinct names out of";
        for (const std::string_view name : split(schema.allowedNames, ' ')) {
            text += " " + std::string(name);
        }
        return text;
    }
    case SettingType::Amounts:
        return "milli_cores, memory_mib, accelerators: each " + formatBound(schema.minimum) + " to "
               + formatBound(schema.maximum);
    case SettingType::AlertRule:
        return "an object with the fields of a rule";
    }
    return {};
}

Result<std::string> checkSetting(const std::string &path, const std::string &valueText)
{
    const SettingSchema *schema = findSettingSchema(path);
    if (schema == nullptr) {
        return failure(ResultCode::UnknownSetting, "no such setting", path);
    }
    // The text may be larger than the value because comments are removed, but it needs a limit too.
    if (valueText.size() > 4 * maxSettingBytes) {
        return failure(ResultCode::ValueTooLarge, "the JSON text is larger than 64 KiB", path);
    }
    auto normalized = normalizeJson(valueText);
    if (!normalized) {
        Error error = normalized.error();
        error.where = error.where.empty() ? path : path + ": " + error.where;
        return tl::unexpected<Error>(std::move(error));
    }
    if (normalized->size() > maxSettingBytes) {
        return failure(ResultCode::ValueTooLarge, "the normalized value is larger than 16 KiB",
                       path);
    }
    const json value = json::parse(*normalized);
    if (value.is_null()) {
        return std::string();
    }
    if (auto checked = checkType(*schema, value, path); !checked) {
        return tl::unexpected<Error>(checked.error());
    }
    return normalized;
}

bool isPathSegment(std::string_view name)
{
    return !name.empty() && name.size() <= maxSegmentLength && name != "." && name != ".."
           && std::all_of(name.begin(), name.end(), [](char c) {
                  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                         || c == '-' || c == '_' || c == '.';
              });
}

} // namespace acaciadeal
