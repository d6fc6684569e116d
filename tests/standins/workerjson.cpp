#include "standins/workerjson.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::standins {
namespace {

using nlohmann::json;

constexpr std::array classNames{std::pair{TaskClass::Urgent, "urgent"},
                                std::pair{TaskClass::LatencyCritical, "latency-critical"},
                                std::pair{TaskClass::Batch, "batch"}};
constexpr std::array outcomeNames{
    std::pair{RunOutcome::Finished, "finished"}, std::pair{RunOutcome::Failed, "failed"},
    std::pair{RunOutcome::Stopped, "stopped"}, std::pair{RunOutcome::LeaseLapsed, "lease-lapsed"}};

template<typename Table, typename Value>
std::string nameOf(const Table &table, Value value)
{
    for (const auto &[candidate, name] : table) {
        if (candidate == value) {
            return name;
        }
    }
    return {};
}

template<typename Table>
auto valueOf(const Table &table, const json &name)
{
    for (const auto &[value, candidate] : table) {
        if (name.get<std::string>() == candidate) {
            return value;
        }
    }
    throw json::other_error::create(501, "unknown name " + name.dump(), &name);
}

json toJson(const TaskRun &run)
{
    return {{"task", run.task.value}, {"incarnation", run.incarnation}};
}

TaskRun toRun(const json &item)
{
    return {{item.at("task").get<std::string>()}, item.at("incarnation").get<std::uint32_t>()};
}

template<typename T>
json toList(const std::vector<T> &items, json (*convert)(const T &))
{
    json list = json::array();
    for (const T &item : items) {
        list.push_back(convert(item));
    }
    return list;
}

template<typename T>
std::vector<T> fromList(const json &list, T (*convert)(const json &))
{
    std::vector<T> items;
    for (const json &item : list) {
        items.push_back(convert(item));
    }
    return items;
}

json startToJson(const StartOrder &order)
{
    json item = toJson(order.run);
    item["class"] = nameOf(classNames, order.taskClass);
    item["milli_cores"] = order.size.milliCores;
    item["memory_mib"] = order.size.memoryMiB;
    item["accelerators"] = order.size.accelerators;
    item["expected_run_ms"] = order.expectedRunTime.count();
    item["payload"] = order.payload;
    item["checkpoint"] = order.checkpoint;
    return item;
}

StartOrder toStart(const json &item)
{
    return {.run = toRun(item),
            .taskClass = valueOf(classNames, item.at("class")),
            .size = {.milliCores = item.at("milli_cores").get<std::int64_t>(),
                     .memoryMiB = item.at("memory_mib").get<std::int64_t>(),
                     .accelerators = item.at("accelerators").get<std::int64_t>()},
            .expectedRunTime = milliseconds(item.at("expected_run_ms").get<std::int64_t>()),
            .payload = item.at("payload").get<std::string>(),
            .checkpoint = item.at("checkpoint").get<std::string>()};
}

json throttleToJson(const ThrottleOrder &order)
{
    json item = toJson(order.run);
    item["percent"] = order.percent;
    return item;
}

ThrottleOrder toThrottle(const json &item)
{
    return {.run = toRun(item), .percent = item.at("percent").get<std::uint32_t>()};
}

json runningToJson(const RunningTask &task)
{
    json item = toJson(task.run);
    item["used_milli_cores"] = task.usedMilliCores;
    item["used_memory_mib"] = task.usedMemoryMiB;
    item["throttle_percent"] = task.throttlePercent;
    return item;
}

RunningTask toRunning(const json &item)
{
    return {.run = toRun(item),
            .usedMilliCores = item.at("used_milli_cores").get<std::int64_t>(),
            .usedMemoryMiB = item.at("used_memory_mib").get<std::int64_t>(),
            .throttlePercent = item.at("throttle_percent").get<std::uint32_t>()};
}

json endedToJson(const EndedRun &ended)
{
    json item = toJson(ended.run);
    item["outcome"] = nameOf(outcomeNames, ended.outcome);
    item["checkpoint"] = ended.checkpoint;
    item["detail"] = ended.detail;
    return item;
}

EndedRun toEnded(const json &item)
{
    return {.run = toRun(item),
            .outcome = valueOf(outcomeNames, item.at("outcome")),
            .checkpoint = item.at("checkpoint").get<std::string>(),
            .detail = item.at("detail").get<std::string>()};
}

json refusedToJson(const RefusedStart &refused)
{
    json item = toJson(refused.run);
    item["code"] = static_cast<int>(refused.code);
    return item;
}

RefusedStart toRefused(const json &item)
{
    return {.run = toRun(item),
            .code = static_cast<ResultCode>(item.at("code").get<std::uint16_t>())};
}

template<typename T, typename Convert>
Result<T> parse(const std::string &text, Convert convert)
{
    try {
        return convert(json::parse(text));
    } catch (const json::exception &e) {
        return failure(ResultCode::MalformedRequest, e.what(), "body");
    }
}

} // namespace

Result<WorkerOrders> parseOrders(const std::string &text)
{
    return parse<WorkerOrders>(text, [](const json &document) {
        return WorkerOrders{.shard = {document.at("shard").get<std::string>()},
                            .epoch = document.at("epoch").get<std::uint64_t>(),
                            .sequence = document.at("sequence").get<std::uint64_t>(),
                            .permit = document.at("permit").get<std::uint64_t>(),
                            .lease = milliseconds(document.at("lease_ms").get<std::int64_t>()),
                            .starts = fromList(document.at("starts"), &toStart),
                            .stops = fromList(document.at("stops"), &toRun),
                            .throttles = fromList(document.at("throttles"), &toThrottle),
                            .acknowledged = fromList(document.at("acknowledged"), &toRun)};
    });
}

std::string formatOrders(const WorkerOrders &orders)
{
    return json{{"shard", orders.shard.value},
                {"epoch", orders.epoch},
                {"sequence", orders.sequence},
                {"permit", orders.permit},
                {"lease_ms", orders.lease.count()},
                {"starts", toList(orders.starts, &startToJson)},
                {"stops", toList(orders.stops, &toJson)},
                {"throttles", toList(orders.throttles, &throttleToJson)},
                {"acknowledged", toList(orders.acknowledged, &toJson)}}
        .dump();
}

Result<WorkerReport> parseReport(const std::string &text)
{
    return parse<WorkerReport>(text, [](const json &document) {
        return WorkerReport{.bootId = document.at("boot_id").get<std::string>(),
                            .epoch = document.at("epoch").get<std::uint64_t>(),
                            .sequence = document.at("sequence").get<std::uint64_t>(),
                            .stale = document.at("stale").get<bool>(),
                            .permit = document.at("permit").get<std::uint64_t>(),
                            .running = fromList(document.at("running"), &toRunning),
                            .ended = fromList(document.at("ended"), &toEnded),
                            .refused = fromList(document.at("refused"), &toRefused)};
    });
}

std::string formatReport(const WorkerReport &report)
{
    return json{{"boot_id", report.bootId},
                {"epoch", report.epoch},
                {"sequence", report.sequence},
                {"stale", report.stale},
                {"permit", report.permit},
                {"running", toList(report.running, &runningToJson)},
                {"ended", toList(report.ended, &endedToJson)},
                {"refused", toList(report.refused, &refusedToJson)}}
        .dump();
}

} // namespace acaciadeal::standins
