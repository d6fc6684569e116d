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
Enum enumOf(const json &value, const std::array<std::string_view, count> &names)
{
    const auto text = value.get<std::string>();
    for (std::size_t n = 0; n < count; ++n) {
        if (names[n] == text) {
            return static_cast<Enum>(n);
        }
    }
    throw json::other_error::create(501, "unknown name \"" + text + "\"", &value);
}

json runJson(const TaskRun &run)
{
    return {{"task", run.task.value}, {"incarnation", run.incarnation}};
}

TaskRun runOf(const json &value)
{
    return {{value.at("task").get<std::string>()}, value.at("incarnation").get<std::uint32_t>()};
}

template<typename T, typename ToJson>
json listJson(const std::vector<T> &values, ToJson toJson)
{
    json list = json::array();
    for (const T &value : values) {
        list.push_back(toJson(value));
    }
    return list;
}

template<typename T, typename FromJson>
std::vector<T> listOf(const json &list, FromJson fromJson)
{
    std::vector<T> values;
    for (const json &value : list.get_ref<const json::array_t &>()) {
        values.push_back(fromJson(value));
    }
    return values;
}

/// Runs @p decode on the parsed text and turns each JSON error into a numbered one.
template<typename T, typename Decode>
Result<T> decodeJson(const std::string &text, Decode decode)
{
    try {
        return decode(json::parse(text));
    } catch (const json::exception &e) {
        return failure(ResultCode::MalformedRequest, e.what(), "control message");
    }
}

/// Payloads and checkpoint names are opaque; invalid UTF-8 in them must not end the holder.
std::string dump(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json startJson(const StartOrder &start)
{
    json value = runJson(start.run);
    value["class"] = classNames.at(static_cast<std::size_t>(start.taskClass));
    value["milli_cores"] = start.size.milliCores;
    value["memory_mib"] = start.size.memoryMiB;
    value["accelerators"] = start.size.accelerators;
    value["expected_run_ms"] = start.expectedRunTime.count();
    value["payload"] = start.payload;
    value["checkpoint"] = start.checkpoint;
    return value;
}

StartOrder startOf(const json &value)
{
    return {.run = runOf(value),
            .taskClass = enumOf<TaskClass>(value.at("class"), classNames),
            .size = {.milliCores = value.at("milli_cores").get<std::int64_t>(),
                     .memoryMiB = value.at("memory_mib").get<std::int64_t>(),
                     .accelerators = value.at("accelerators").get<std::int64_t>()},
            .expectedRunTime = milliseconds(value.at("expected_run_ms").get<std::int64_t>()),
            .payload = value.at("payload").get<std::string>(),
            .checkpoint = value.at("checkpoint").get<std::string>()};
}

json endedJson(const EndedRun &ended)
{
    json value = runJson(ended.run);
    value["outcome"] = outcomeNames.at(static_cast<std::size_t>(ended.outcome));
    value["checkpoint"] = ended.checkpoint;
    value["detail"] = ended.detail;
    return value;
}

EndedRun endedOf(const json &value)
{
    if (value.at("checkpoint").get_ref<const std::string &>().size() > maxCheckpointName) {
        throw json::other_error::create(501, "the checkpoint name is too long", &value);
    }
    return {.run = runOf(value),
            .outcome = enumOf<RunOutcome>(value.at("outcome"), outcomeNames),
            .checkpoint = value.at("checkpoint").get<std::string>(),
            .detail = value.at("detail").get<std::string>()};
}

json runningJson(const RunningTask &task)
{
    json value = runJson(task.run);
    value["used_milli_cores"] = task.usedMilliCores;
    value["used_memory_mib"] = task.usedMemoryMiB;
    value["throttle_percent"] = task.throttlePercent;
    return value;
}

RunningTask runningOf(const json &value)
{
    return {.run = runOf(value),
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
                     {"starts", listJson(orders.starts, startJson)},
                     {"stops", listJson(orders.stops, runJson)},
                     {"throttles", listJson(orders.throttles,
                                            [](const ThrottleOrder &throttle) {
                                                json value = runJson(throttle.run);
                                                value["percent"] = throttle.percent;
                                                return value;
                                            })},
                     {"acknowledged", listJson(orders.acknowledged, runJson)}});
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
            .starts = listOf<StartOrder>(document.at("starts"), startOf),
            .stops = listOf<TaskRun>(document.at("stops"), runOf),
            .throttles = listOf<ThrottleOrder>(
                document.at("throttles"),
                [](const json &value) {
                    return ThrottleOrder{runOf(value), value.at("percent").get<std::uint32_t>()};
                }),
            .acknowledged = listOf<TaskRun>(document.at("acknowledged"), runOf)};
    });
}

std::string encodeReport(const WorkerReport &report)
{
    json document{{"boot_id", report.bootId},
                  {"epoch", report.epoch},
                  {"sequence", report.sequence},
                  {"stale", report.stale},
                  {"permit", report.permit},
                  {"running", listJson(report.running, runningJson)},
                  {"ended", listJson(report.ended, endedJson)},
                  {"refused", listJson(report.refused, [](const RefusedStart &refused) {
                       json value = runJson(refused.run);
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
            .running = listOf<RunningTask>(document.at("running"), runningOf),
            .ended = listOf<EndedRun>(document.at("ended"), endedOf),
            .refused = listOf<RefusedStart>(document.at("refused"), [](const json &value) {
                return RefusedStart{runOf(value),
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
