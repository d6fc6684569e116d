#include "fleet/internal/leaserecord.h"

#include "jobs/jobspec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::internal {
namespace {

using nlohmann::json;

/// Upper bound of the fields of a row around its hosts.
constexpr std::size_t rowOverhead = 100;

json encodeRuns(const HostRuns &runs)
{
    json list = json::array();
    for (const auto &[task, run] : runs) {
        list.push_back({task.job.value, task.occurrence, task.step, task.index, run});
    }
    return list;
}

/// Throws json::exception.
TaskKey decodeTask(const json &entry)
{
    return {.job = {entry.at(0).get<std::string>()},
            .occurrence = entry.at(1).get<std::uint32_t>(),
            .step = entry.at(2).get<std::uint32_t>(),
            .index = entry.at(3).get<std::uint32_t>()};
}

/// Returns the waits of which the text has at most @p maxBytes.
json encodeWaits(const std::map<TaskKey, RestartWait> &waits, std::size_t maxBytes)
{
    json list = json::array();
    std::size_t total = 0;
    for (const auto &[task, wait] : waits) {
        json entry = {task.job.value, task.occurrence, task.step,
                      task.index,     wait.run,        wait.waited.count()};
        total += entry.dump().size() + 1;
        if (total > maxBytes) {
            break;
        }
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

/// Throws json::exception.
void addWaits(const json &row, LeaseRecord &record)
{
    if (!row.contains("waits")) {
        return;
    }
    for (const json &entry : row.at("waits")) {
        record.waits[decodeTask(entry)] = {.run = entry.at(4).get<std::uint64_t>(),
                                           .waited = milliseconds(entry.at(5).get<std::int64_t>())};
    }
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
        if (lists.back().size() + text.size() + rowOverhead > maxJobRowBytes) {
            lists.emplace_back();
        }
        lists.back() += (lists.back().empty() ? "" : ",") + text;
    }
    const json waits = encodeWaits(
        record.waits, std::min(maxBytes - std::min(total, maxBytes), maxJobRowBytes - rowOverhead));
    if (!waits.empty()
        && lists.back().size() + waits.dump().size() + rowOverhead > maxJobRowBytes) {
        lists.emplace_back();
    }
    std::vector<std::string> rows;
    for (const std::string &hosts : lists) {
        json fields{{"epoch", record.epoch}, {"stopped", record.stopped}, {"rows", lists.size()}};
        if (!waits.empty() && &hosts == &lists.back()) {
            fields["waits"] = waits;
        }
        std::string row = fields.dump();
        row.pop_back();
        row.append(",\"hosts\":{").append(hosts).append("}}");
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
            if (row.at("rows").get<std::size_t>() != rows.size()) {
                return failure(ResultCode::CorruptSnapshot, "a row is missing", "lease record");
            }
            addHosts(row, record);
            addWaits(row, record);
        }
        return record;
    } catch (const json::exception &e) {
        return failure(ResultCode::CorruptSnapshot, e.what(), "lease record");
    }
}

} // namespace acaciadeal::internal
