#include "fleet/internal/leaserecord.h"

#include "jobs/jobspec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace acaciadeal::internal {
namespace {

using nlohmann::json;

/// Upper bound of the fields of a row around its hosts.
constexpr std::size_t rowOverhead = 100;

json encodeTask(const TaskKey &task)
{
    return {task.job.value, task.occurrence, task.step, task.index};
}

/// Throws json::exception.
TaskKey decodeTask(const json &entry)
{
    return {.job = {entry.at(0).get<std::string>()},
            .occurrence = entry.at(1).get<std::uint32_t>(),
            .step = entry.at(2).get<std::uint32_t>(),
            .index = entry.at(3).get<std::uint32_t>()};
}

json encodeRuns(const HostRuns &runs)
{
    json list = json::array();
    for (const auto &[task, run] : runs) {
        json entry = encodeTask(task);
        entry.push_back(run);
        list.push_back(std::move(entry));
    }
    return list;
}

/// Throws json::exception.
HostRuns decodeRuns(const json &list)
{
    HostRuns runs;
    for (const json &entry : list) {
        runs[decodeTask(entry)] = entry.at(4).get<std::uint64_t>();
    }
    return runs;
}

/// Returns the text of one host, as a member of a JSON object.
std::string encodeHost(const HostId &id, const HostLease &lease)
{
    json host{{"lease_ms", lease.remaining.count()}};
    if (lease.runs) {
        host["runs"] = encodeRuns(*lease.runs);
    }
    return json(id.value).dump() + ":" + host.dump();
}

/// Throws json::exception.
void addHosts(const json &row, LeaseRecord &record)
{
    for (const auto &[id, host] : row.at("hosts").items()) {
        HostLease lease{.remaining = milliseconds(host.at("lease_ms").get<std::int64_t>())};
        if (host.contains("runs")) {
            lease.runs = decodeRuns(host.at("runs"));
        }
        record.hosts[{id}] = std::move(lease);
    }
}

/// Returns the text of one task that is down, as a member of a JSON array.
std::string encodeDownTask(const TaskKey &task, const DownTask &state)
{
    json entry = encodeTask(task);
    entry.push_back(state.run);
    entry.push_back(state.down.count());
    return entry.dump();
}

/// Throws json::exception.
void addDownTasks(const json &row, LeaseRecord &record)
{
    for (const json &entry : row.at("down")) {
        record.downTasks[decodeTask(entry)] = {.run = entry.at(4).get<std::uint64_t>(),
                                               .down =
                                                   milliseconds(entry.at(5).get<std::int64_t>())};
    }
}

/// Appends a member to the last of @p lists, or to a new list if the row would become too long.
void addMember(std::vector<std::string> &lists, const std::string &text)
{
    if (lists.empty() || lists.back().size() + text.size() + rowOverhead > maxJobRowBytes) {
        lists.emplace_back();
    }
    lists.back() += (lists.back().empty() ? "" : ",") + text;
}

} // namespace

std::vector<std::string> encodeLeases(const LeaseRecord &record, std::size_t maxBytes)
{
    std::vector<std::string> lists(1);
    std::size_t total = 0;
    for (const auto &[id, lease] : record.hosts) {
        std::string text = encodeHost(id, lease);
        if (total + text.size() > maxBytes || text.size() + rowOverhead > maxJobRowBytes) {
            text = encodeHost(id, {.remaining = lease.remaining});
        }
        total += text.size();
        addMember(lists, text);
    }
    std::vector<std::string> downLists;
    for (const auto &[task, state] : record.downTasks) {
        const std::string text = encodeDownTask(task, state);
        if (total + text.size() <= maxBytes) {
            total += text.size();
            addMember(downLists, text);
        }
    }
    const json fields{{"epoch", record.epoch},
                      {"stopped", record.stopped},
                      {"rows", lists.size() + downLists.size()}};
    std::string start = fields.dump();
    start.pop_back();
    std::vector<std::string> rows;
    rows.reserve(lists.size() + downLists.size());
    const auto addRow = [&](std::string_view open, std::string_view list, std::string_view close) {
        std::string row = start;
        row += open;
        row += list;
        row += close;
        rows.push_back(std::move(row));
    };
    for (const std::string &hosts : lists) {
        addRow(R"(,"hosts":{)", hosts, "}}");
    }
    for (const std::string &tasks : downLists) {
        addRow(R"(,"down":[)", tasks, "]}");
    }
    return rows;
}

Result<LeaseRecord> decodeLeases(const std::vector<std::string> &rows)
{
    try {
        LeaseRecord record;
        for (const std::string &text : rows) {
            const json row = json::parse(text);
            record.epoch = row.at("epoch").get<std::uint64_t>();
            record.stopped = row.at("stopped").get<bool>();
            if (row.at("rows").get<std::size_t>() != rows.size()) {
                return failure(ResultCode::CorruptSnapshot, "a row is missing", "lease record");
            }
            if (row.contains("down")) {
                addDownTasks(row, record);
            } else {
                addHosts(row, record);
            }
        }
        return record;
    } catch (const json::exception &e) {
        return failure(ResultCode::CorruptSnapshot, e.what(), "lease record");
    }
}

} // namespace acaciadeal::internal
