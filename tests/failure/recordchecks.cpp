#include "failure/recordchecks.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace acaciadeal::failure_tests {
namespace {

using nlohmann::json;

constexpr std::int64_t startWindowMs = 3'000;
constexpr std::int64_t microsecondsPerMillisecond = 1'000;
constexpr std::int64_t noEnd = std::numeric_limits<std::int64_t>::max();

Resources toResources(const json &item)
{
    return {.milliCores = item.at("milli_cores").get<std::int64_t>(),
            .memoryMiB = item.at("memory_mib").get<std::int64_t>(),
            .accelerators = item.at("accelerators").get<std::int64_t>()};
}

RunRow toRun(const json &item)
{
    RunRow run{.task = item.at("task").get<std::string>(),
               .incarnation = item.at("incarnation").get<std::uint32_t>(),
               .host = item.at("host").get<std::string>(),
               .failureDomain = item.at("failure_domain").get<std::string>(),
               .shard = item.at("shard").get<std::string>(),
               .epoch = item.at("epoch").get<std::uint64_t>(),
               .permitAgeMs = item.at("permit_age_ms").get<std::int64_t>(),
               .resumedFrom = item.at("resumed_from").get<std::string>(),
               .startedAt = item.at("started_at_us").get<std::int64_t>(),
               .leaseEnd = item.at("lease_end_us").get<std::int64_t>(),
               .outcome = item.at("outcome").get<std::string>(),
               .checkpoint = item.at("checkpoint").get<std::string>()};
    if (!item.at("ended_at_us").is_null()) {
        run.endedAt = item.at("ended_at_us").get<std::int64_t>();
    }
    return run;
}

std::string describe(const RunRow &run)
{
    return run.task + " incarnation " + std::to_string(run.incarnation) + " on " + run.host
           + " (epoch " + std::to_string(run.epoch) + ", " + std::to_string(run.startedAt) + " to "
           + (run.endedAt ? std::to_string(*run.endedAt) : "now") + ", "
           + (run.outcome.empty() ? "running" : run.outcome) + ")";
}

/// Returns the runs of each task, ordered by start time.
std::map<std::string, std::vector<RunRow>> runsByTask(const Records &records)
{
    std::map<std::string, std::vector<RunRow>> tasks;
    for (const RunRow &run : records.runs) {
        tasks[run.task].push_back(run);
    }
    for (auto &[task, runs] : tasks) {
        std::stable_sort(runs.begin(), runs.end(), [](const RunRow &a, const RunRow &b) {
            return a.startedAt < b.startedAt;
        });
    }
    return tasks;
}

void checkConsecutiveRuns(const RunRow &before, const RunRow &after, Violations &violations)
{
    if (before.endedAt.value_or(noEnd) > after.startedAt) {
        violations.push_back("G2: two runs at once: " + describe(before) + " and "
                             + describe(after));
    }
    if (before.incarnation >= after.incarnation) {
        violations.push_back("G3: incarnation repeated or reversed: " + describe(before) + " and "
                             + describe(after));
    }
    if (before.outcome == "finished") {
        violations.push_back("G3: run after the task finished: " + describe(after));
    }
    if (before.outcome == "stopped" && before.checkpoint != after.resumedFrom) {
        violations.push_back("G3: resumed from \"" + after.resumedFrom + "\" instead of \""
                             + before.checkpoint + "\": " + describe(after));
    }
}

/// G2: after a worker has accepted orders of a newer epoch, no order of an older epoch may start a
/// run on it.
void checkEpochOrder(const Records &records, Violations &violations)
{
    std::map<std::pair<std::string, std::string>, std::vector<RunRow>> runs;
    for (const RunRow &run : records.runs) {
        runs[{run.shard, run.host}].push_back(run);
    }
    for (const auto &[shardAndHost, hostRuns] : runs) {
        for (std::size_t n = 1; n < hostRuns.size(); ++n) {
            if (hostRuns[n - 1].startedAt <= hostRuns[n].startedAt
                && hostRuns[n - 1].epoch > hostRuns[n].epoch) {
                violations.push_back("G2: start by an older epoch: " + describe(hostRuns[n]));
            }
        }
    }
}

} // namespace

Records parseRecords(const std::string &text)
{
    const json document = json::parse(text);
    Records records{.now = document.at("now_us").get<std::int64_t>()};
    for (const json &item : document.at("runs")) {
        records.runs.push_back(toRun(item));
    }
    for (const json &item : document.at("executions")) {
        records.executions.push_back(
            {.request = item.at("request").get<std::string>(),
             .host = item.at("host").get<std::string>(),
             .failureDomain = item.at("failure_domain").get<std::string>(),
             .at = item.at("at_us").get<std::int64_t>(),
             .leaving = item.at("leaving").get<bool>(),
             .leavingSince = item.at("leaving_since_us").get<std::int64_t>()});
    }
    for (const json &item : document.at("hosts")) {
        records.hosts.push_back({.host = item.at("host").get<std::string>(),
                                 .failureDomain = item.at("failure_domain").get<std::string>(),
                                 .isWorker = item.at("worker").get<bool>(),
                                 .capacity = toResources(item.at("capacity")),
                                 .peak = toResources(item.at("peak")),
                                 .staleOrders = item.at("stale_orders").get<std::uint64_t>(),
                                 .stalePermits = item.at("stale_permits").get<std::uint64_t>(),
                                 .heldRequests = item.at("held").get<std::uint64_t>(),
                                 .active = item.at("active").get<std::uint32_t>()});
    }
    return records;
}

Violations taskViolations(const Records &records)
{
    Violations violations;
    for (const HostRow &host : records.hosts) {
        if (host.isWorker && !fits(host.peak, host.capacity)) {
            violations.push_back("G1: host " + host.host + " ran more than its capacity");
        }
    }
    for (const auto &[task, runs] : runsByTask(records)) {
        for (std::size_t n = 1; n < runs.size(); ++n) {
            checkConsecutiveRuns(runs[n - 1], runs[n], violations);
        }
    }
    checkEpochOrder(records, violations);
    for (const RunRow &run : records.runs) {
        if (run.permitAgeMs > startWindowMs) {
            violations.push_back("G4: start with an expired permit: " + describe(run));
        }
        if (run.endedAt.value_or(records.now) > run.leaseEnd) {
            violations.push_back("G2: ran beyond its lease: " + describe(run));
        }
    }
    return violations;
}

Violations startsWhileDomainOut(const Records &records, const std::string &failureDomain,
                                std::int64_t outAt, std::int64_t inAt)
{
    const std::int64_t limit = outAt + startWindowMs * microsecondsPerMillisecond;
    Violations violations;
    for (const RunRow &run : records.runs) {
        if (run.failureDomain == failureDomain && run.startedAt > limit && run.startedAt < inAt) {
            violations.push_back("G4: start " + std::to_string(run.startedAt - outAt)
                                 + " us after the failure domain was taken out: " + describe(run));
        }
    }
    return violations;
}

Violations repeatedExecutions(const Records &records, const std::string &prefix)
{
    Violations violations;
    for (const auto &[request, count] : executionCounts(records)) {
        if (request.starts_with(prefix) && count > 1) {
            violations.push_back("G7: request " + request + " was executed " + std::to_string(count)
                                 + " times");
        }
    }
    return violations;
}

Violations executionsAfterLeaving(const Records &records, std::int64_t limit)
{
    Violations violations;
    for (const ExecutionRow &row : records.executions) {
        if (row.leaving && row.at - row.leavingSince > limit) {
            violations.push_back("G8: " + row.host + " received " + row.request + " "
                                 + std::to_string(row.at - row.leavingSince)
                                 + " us after it began to leave");
        }
    }
    return violations;
}

std::map<std::string, int> executionCounts(const Records &records)
{
    std::map<std::string, int> counts;
    for (const ExecutionRow &row : records.executions) {
        ++counts[row.request];
    }
    return counts;
}

int runsWithOutcome(const Records &records, const std::string &task, const std::string &outcome)
{
    return static_cast<int>(
        std::count_if(records.runs.begin(), records.runs.end(), [&](const RunRow &run) {
            return run.task == task && run.outcome == outcome;
        }));
}

std::string toText(const Violations &violations)
{
    std::string text;
    for (const std::string &violation : violations) {
        text += violation + "\n";
    }
    return text;
}

} // namespace acaciadeal::failure_tests
