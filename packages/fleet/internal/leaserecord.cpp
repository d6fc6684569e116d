#include "fleet/internal/leaserecord.h"

#include "jobs/jobspec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::internal {
namespace {

using nlohmann::json;

/// Upper bound of the fields of a row around its hosts and tasks, commas included.
constexpr std::size_t rowOverhead = 200;

json encodeTask(const TaskKey &task)
{
    return json::array({task.job.value, task.occurrence, task.step, task.index});
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

std::string encodeWaiting(const TaskKey &key, const WaitingTask &task)
{
    json entry = encodeTask(key);
    entry.push_back(task.lastRun);
    entry.push_back(task.waited.count());
    entry.push_back(task.down.count());
    return entry.dump();
}

/// Throws json::exception.
void addWaiting(const json &row, LeaseRecord &record)
{
    for (const json &entry : row.at("waiting")) {
        record.waiting[decodeTask(entry)] = {.lastRun = entry.at(4).get<std::uint64_t>(),
                                             .waited =
                                                 milliseconds(entry.at(5).get<std::int64_t>()),
                                             .down = milliseconds(entry.at(6).get<std::int64_t>())};
    }
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

} // namespace

std::vector<std::string> encodeLeases(const LeaseRecord &record, std::size_t maxBytes)
{
    /// Members of the JSON object and list of one row.
    struct RowText
    {
        std::string hosts;
        std::string waiting;
    };
    std::vector<RowText> texts(1);
    std::size_t total = 0;
    const auto add = [&](std::string RowText::*list, const std::string &text) {
        total += text.size() + 1;
        if (texts.back().hosts.size() + texts.back().waiting.size() + text.size() + rowOverhead
            > maxJobRowBytes) {
            texts.emplace_back();
        }
        std::string &members = texts.back().*list;
        members += (members.empty() ? "" : ",") + text;
    };
    for (const auto &[id, lease] : record.hosts) {
        std::string text = encodeHost(id, lease);
        if (total + text.size() > maxBytes || text.size() + rowOverhead > maxJobRowBytes) {
            text = encodeHost(id, {.remaining = lease.remaining});
        }
        add(&RowText::hosts, text);
    }
    for (const auto &[key, task] : record.waiting) {
        const std::string text = encodeWaiting(key, task);
        if (total + text.size() <= maxBytes) {
            add(&RowText::waiting, text);
        }
    }
    std::vector<std::string> rows;
    for (const RowText &text : texts) {
        json fields{{"epoch", record.epoch},
                    {"stopped", record.stopped},
                    {"since_heartbeat_ms", record.sinceHeartbeat.count()},
                    {"rows", texts.size()}};
        if (record.recovering) {
            fields["recovering_ms"] = record.recovering->count();
        }
        std::string row = fields.dump();
        row.pop_back();
        row.append(",\"hosts\":{").append(text.hosts).append("},\"waiting\":[");
        row.append(text.waiting).append("]}");
        rows.push_back(std::move(row));
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
            record.sinceHeartbeat = milliseconds(row.at("since_heartbeat_ms").get<std::int64_t>());
            if (row.at("rows").get<std::size_t>() != rows.size()) {
                return failure(ResultCode::CorruptSnapshot, "a row is missing", "lease record");
            }
            if (row.contains("recovering_ms")) {
                record.recovering = milliseconds(row.at("recovering_ms").get<std::int64_t>());
            }
            addHosts(row, record);
            addWaiting(row, record);
        }
        return record;
    } catch (const json::exception &e) {
        return failure(ResultCode::CorruptSnapshot, e.what(), "lease record");
    }
}

} // namespace acaciadeal::internal
