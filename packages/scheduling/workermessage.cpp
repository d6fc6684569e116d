#include "scheduling/workermessage.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace acaciadeal {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 3> classNames{"urgent", "latency_critical", "batch"};
constexpr std::array<std::string_view, 4> outcomeNames{"finished", "failed", "stopped",
                                                       "lease_lapsed"};

template<typename Enum, std::size_t count>
Enum enumFromJson(const json &value, const std::array<std::string_view, count> &names)
{
    const auto text = value.get<std::string>();
    for (std::size_t n = 0; n < count; ++n) {
        if (names[n] == text) {
            return static_cast<Enum>(n);
        }
    }
    throw json::other_error::create(501, "unknown name \"" + text + "\"", &value);
}

json runToJson(const TaskRun &run)
{
    return {{"task", run.task.value}, {"incarnation", run.incarnation}};
}

TaskRun runFromJson(const json &value)
{
    return {{value.at("task").get<std::string>()}, value.at("incarnation").get<std::uint32_t>()};
}

template<typename T, typename ToJson>
json listToJson(const std::vector<T> &values, ToJson toJson)
{
    json list = json::array();
    for (const T &value : values) {
        list.push_back(toJson(value));
    }
    return list;
}

template<typename T, typename FromJson>
std::vector<T> listFromJson(const json &list, FromJson fromJson)
{
    std::vector<T> values;
    for (const json &value : list.get_ref<const json::array_t &>()) {
        values.push_back(fromJson(value));
    }
    return values;
}

/// Runs @p decode on the parsed text and turns a JSON exception into a MalformedRequest failure.
template<typename T, typename Decode>
Result<T> decodeJson(const std::string &text, Decode decode)
{
    try {
        return decode(json::parse(text));
    } catch (const json::exception &e) {
        return failure(ResultCode::MalformedRequest, e.what(), "control message");
    }
}

/// Serializes @p document. Payloads and checkpoint names are opaque, so invalid UTF-8 in them is
/// replaced instead of throwing an exception that would stop the holder.
std::string dump(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json startToJson(const StartOrder &start)
{
    json value = runToJson(start.run);
    value["class"] = classNames.at(static_cast<std::size_t>(start.taskClass));
    value["milli_cores"] = start.size.milliCores;
    value["memory_mib"] = start.size.memoryMiB;
    value["accelerators"] = start.size.accelerators;
    value["expected_run_ms"] = start.expectedRunTime.count();
    value["payload"] = start.payload;
    value["checkpoint"] = start.checkpoint;
    return value;
}

StartOrder startFromJson(const json &value)
{
    return {.run = runFromJson(value),
            .taskClass = enumFromJson<TaskClass>(value.at("class"), classNames),
            .size = {.milliCores = value.at("milli_cores").get<std::int64_t>(),
                     .memoryMiB = value.at("memory_mib").get<std::int64_t>(),
                     .accelerators = value.at("accelerators").get<std::int64_t>()},
            .expectedRunTime = milliseconds(value.at("expected_run_ms").get<std::int64_t>()),
            .payload = value.at("payload").get<std::string>(),
            .checkpoint = value.at("checkpoint").get<std::string>()};
}

json endedToJson(const EndedRun &ended)
{
    json value = runToJson(ended.run);
    value["outcome"] = outcomeNames.at(static_cast<std::size_t>(ended.outcome));
    value["checkpoint"] = ended.checkpoint;
    value["detail"] = ended.detail;
    return value;
}

EndedRun endedFromJson(const json &value)
{
    if (value.at("checkpoint").get_ref<const std::string &>().size() > maxCheckpointNameBytes) {
        throw json::other_error::create(501, "the checkpoint name is too long", &value);
    }
    return {.run = runFromJson(value),
            .outcome = enumFromJson<RunOutcome>(value.at("outcome"), outcomeNames),
            .checkpoint = value.at("checkpoint").get<std::string>(),
            .detail = value.at("detail").get<std::string>()};
}

json runningToJson(const RunningTask &task)
{
    json value = runToJson(task.run);
    value["used_milli_cores"] = task.usedMilliCores;
    value["used_memory_mib"] = task.usedMemoryMiB;
    value["throttle_percent"] = task.throttlePercent;
    return value;
}

RunningTask runningFromJson(const json &value)
{
    return {.run = runFromJson(value),
            .usedMilliCores = value.at("used_milli_cores").get<std::int64_t>(),
            .usedMemoryMiB = value.at("used_memory_mib").get<std::int64_t>(),
            .throttlePercent = value.at("throttle_percent").get<std::uint32_t>()};
}

} // namespace

std::string encodeOrders(const WorkerOrders &orders)
{
    return dump(json{{"shard", orders.shard.value},
                     {"epoch", orders.epoch},
                     {"sequence", orders.sequence},
                     {"permit", orders.permit},
                     {"lease_ms", orders.lease.count()},
                     {"starts", listToJson(orders.starts, startToJson)},
                     {"stops", listToJson(orders.stops, runToJson)},
                     {"throttles", listToJson(orders.throttles,
                                              [](const ThrottleOrder &throttle) {
                                                  json value = runToJson(throttle.run);
                                                  value["percent"] = throttle.percent;
                                                  return value;
                                              })},
                     {"acknowledged", listToJson(orders.acknowledged, runToJson)}});
}

Result<WorkerOrders> decodeOrders(const std::string &text)
{
    return decodeJson<WorkerOrders>(text, [](const json &document) {
        return WorkerOrders{
            .shard = {document.at("shard").get<std::string>()},
            .epoch = document.at("epoch").get<std::uint64_t>(),
            .sequence = document.at("sequence").get<std::uint64_t>(),
            .permit = document.at("permit").get<std::uint64_t>(),
            .lease = milliseconds(document.at("lease_ms").get<std::int64_t>()),
            .starts = listFromJson<StartOrder>(document.at("starts"), startFromJson),
            .stops = listFromJson<TaskRun>(document.at("stops"), runFromJson),
            .throttles = listFromJson<ThrottleOrder>(
                document.at("throttles"),
                [](const json &value) {
                    return ThrottleOrder{runFromJson(value),
                                         value.at("percent").get<std::uint32_t>()};
                }),
            .acknowledged = listFromJson<TaskRun>(document.at("acknowledged"), runFromJson)};
    });
}

std::string encodeReport(const WorkerReport &report)
{
    json document{{"boot_id", report.bootId},
                  {"epoch", report.epoch},
                  {"sequence", report.sequence},
                  {"stale", report.stale},
                  {"permit", report.permit},
                  {"running", listToJson(report.running, runningToJson)},
                  {"ended", listToJson(report.ended, endedToJson)},
                  {"refused", listToJson(report.refused, [](const RefusedStart &refused) {
                       json value = runToJson(refused.run);
                       value["code"] = static_cast<std::uint16_t>(refused.code);
                       return value;
                   })}};
    if (report.leaseRemaining) {
        document["lease_remaining_ms"] = report.leaseRemaining->count();
    }
    return dump(document);
}

Result<WorkerReport> decodeReport(const std::string &text)
{
    return decodeJson<WorkerReport>(text, [](const json &document) {
        WorkerReport report{
            .bootId = document.at("boot_id").get<std::string>(),
            .epoch = document.at("epoch").get<std::uint64_t>(),
            .sequence = document.at("sequence").get<std::uint64_t>(),
            .stale = document.at("stale").get<bool>(),
            .permit = document.at("permit").get<std::uint64_t>(),
            .running = listFromJson<RunningTask>(document.at("running"), runningFromJson),
            .ended = listFromJson<EndedRun>(document.at("ended"), endedFromJson),
            .refused = listFromJson<RefusedStart>(document.at("refused"), [](const json &value) {
                return RefusedStart{runFromJson(value),
                                    static_cast<ResultCode>(value.at("code").get<std::uint16_t>())};
            })};
        if (document.contains("lease_remaining_ms")) {
            report.leaseRemaining =
                milliseconds(document.at("lease_remaining_ms").get<std::int64_t>());
        }
        return report;
    });
}

} // namespace acaciadeal
