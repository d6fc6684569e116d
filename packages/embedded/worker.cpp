#include "embedded/worker.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::embedded {
namespace {

/// Time for which issued permits are kept. It has to cover the longest lease that a holder grants,
/// which is limited by the autonomy time (1 h by default).
constexpr auto permitRetention = std::chrono::hours(1);
/// Number of lower bits of a permit that count the permits of one boot. The bits above hold the
/// boot count, so that permits of different boots differ.
constexpr unsigned permitCounterBits = 32;

/// Returns the work that a run throttled to @p percent does in @p elapsed, as time at full speed.
Duration workDone(Duration elapsed, std::uint32_t percent)
{
    return elapsed * percent / 100;
}

milliseconds currentProgress(const ActiveRun &run, TimePoint now)
{
    return run.progress
           + std::chrono::duration_cast<milliseconds>(
               workDone(now - run.progressUpdatedAt, run.throttlePercent));
}

/// Returns when the run ends by itself at its current speed, if it does.
std::optional<TimePoint> completionTime(const ActiveRun &run)
{
    if (run.script.runTime == milliseconds(0) || run.throttlePercent == 0) {
        return std::nullopt;
    }
    const Duration remaining = run.script.runTime - run.progress;
    return run.progressUpdatedAt + std::max(remaining, Duration(0)) * 100 / run.throttlePercent;
}

/// Returns TASK@INCARNATION@PROGRESS_MS, or an empty string if the task does not write checkpoints.
std::string checkpointName(const ActiveRun &run, TimePoint now)
{
    if (!run.script.checkpoints) {
        return {};
    }
    return run.order.run.task.value + "@" + std::to_string(run.order.run.incarnation) + "@"
           + std::to_string(currentProgress(run, now).count());
}

milliseconds progressFromCheckpoint(const std::string &checkpoint)
{
    std::int64_t count = 0;
    const auto at = checkpoint.rfind('@');
    if (at != std::string::npos) {
        std::from_chars(checkpoint.data() + at + 1, checkpoint.data() + checkpoint.size(), count);
    }
    return milliseconds(count);
}

std::string outcomeName(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Finished:
        return "finished";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::LeaseLapsed:
        return "lease-lapsed";
    }
    return {};
}

/// Moves a run from Worker::running to Worker::ended and completes its record.
void endRun(Worker &worker, const TaskRun &run, RunOutcome outcome, TimePoint at,
            std::string detail)
{
    const auto it = worker.running.find(run);
    const ActiveRun &active = it->second;
    EndedRun result{.run = run, .outcome = outcome, .detail = std::move(detail)};
    if (outcome == RunOutcome::Stopped || outcome == RunOutcome::LeaseLapsed) {
        result.checkpoint = checkpointName(active, at);
    }
    RunRecord &record = worker.records[active.recordIndex];
    record.endedAt = at;
    record.leaseEnd = active.leaseEnd;
    record.outcome = outcomeName(outcome);
    record.checkpoint = result.checkpoint;
    worker.ended[run] = {active.shard, std::move(result)};
    worker.running.erase(it);
}

std::uint64_t issuePermit(Worker &worker, TimePoint now)
{
    worker.permits[++worker.lastPermit] = now;
    while (worker.permits.begin()->second + permitRetention < now) {
        worker.permits.erase(worker.permits.begin());
    }
    return worker.lastPermit;
}

/// Returns why a start is refused, or Ok.
ResultCode startRefusal(const Worker &worker, const WorkerOrders &orders, const StartOrder &order,
                        TimePoint now)
{
    if (worker.running.contains(order.run) || worker.ended.contains(order.run)) {
        return ResultCode::RepeatedStart;
    }
    const auto permit = worker.permits.find(orders.permit);
    if (permit == worker.permits.end() || now - permit->second > worker.options.startWindow
        || permit->second + orders.lease <= now) {
        return ResultCode::StalePermit;
    }
    return worker.refusesStarts ? ResultCode::HostUnusable : ResultCode::Ok;
}

void startRun(Worker &worker, const WorkerOrders &orders, const StartOrder &order, TimePoint now)
{
    const TimePoint issued = worker.permits.at(orders.permit);
    ActiveRun run{.order = order,
                  .shard = orders.shard,
                  .script = parseTaskScript(order.payload, order.expectedRunTime),
                  .leaseEnd = issued + orders.lease,
                  .progress = progressFromCheckpoint(order.checkpoint),
                  .progressUpdatedAt = now,
                  .throttledAt = now,
                  .recordIndex = worker.records.size()};
    worker.records.push_back({.run = order.run,
                              .host = worker.options.host,
                              .shard = orders.shard,
                              .bootId = worker.bootId,
                              .epoch = orders.epoch,
                              .permit = orders.permit,
                              .permitAge = std::chrono::duration_cast<milliseconds>(now - issued),
                              .size = order.size,
                              .resumedFrom = order.checkpoint,
                              .startedAt = now,
                              .leaseEnd = run.leaseEnd});
    worker.running.emplace(order.run, std::move(run));
    const Resources sum = usedResources(worker);
    worker.peak.milliCores = std::max(worker.peak.milliCores, sum.milliCores);
    worker.peak.memoryMiB = std::max(worker.peak.memoryMiB, sum.memoryMiB);
    worker.peak.accelerators = std::max(worker.peak.accelerators, sum.accelerators);
    if (worker.failsEverything) {
        endRun(worker, order.run, RunOutcome::Failed, now, "the host fails every task");
    }
}

void renewLeases(Worker &worker, const WorkerOrders &orders)
{
    const auto permit = worker.permits.find(orders.permit);
    if (permit == worker.permits.end()) {
        return;
    }
    for (auto &[run, active] : worker.running) {
        if (active.shard == orders.shard) {
            // Never shorten a lease: the holder assumes the latest end of all leases that it
            // granted.
            active.leaseEnd = std::max(active.leaseEnd, permit->second + orders.lease);
            worker.records[active.recordIndex].leaseEnd = active.leaseEnd;
        }
    }
}

void throttleRun(Worker &worker, const ThrottleOrder &order, TimePoint now)
{
    const auto it = worker.running.find(order.run);
    if (it == worker.running.end()) {
        return;
    }
    ActiveRun &run = it->second;
    run.progress = currentProgress(run, now);
    run.progressUpdatedAt = now;
    run.previousThrottlePercent = run.throttlePercent;
    run.throttlePercent = std::min<std::uint32_t>(order.percent, 100);
    run.throttledAt = now;
}

/// Returns the report of a running task. Its usage is that of WorkerOptions::usageLag ago; the rest
/// is current.
RunningTask runningTaskReport(const WorkerOptions &options, const ActiveRun &run,
                              TimePoint startedAt, TimePoint now)
{
    RunningTask task{.run = run.order.run, .throttlePercent = run.throttlePercent};
    if (now - startedAt >= options.usageLag) {
        const std::uint32_t percent = now - run.throttledAt >= options.usageLag
                                          ? run.throttlePercent
                                          : run.previousThrottlePercent;
        task.usedMilliCores =
            run.order.size.milliCores * run.script.usePercent * percent / (100 * 100);
        task.usedMemoryMiB = run.order.size.memoryMiB * run.script.usePercent / 100;
    }
    return task;
}

/// Returns whether @p orders are stale, that is, not newer than the shard's fence. If they are
/// newer, advances the fence to their epoch and sequence number.
bool isStale(Worker &worker, const WorkerOrders &orders)
{
    ShardFence &fence = worker.fences[orders.shard];
    if (orders.epoch < fence.epoch
        || (orders.epoch == fence.epoch && orders.sequence <= fence.sequence)) {
        return true;
    }
    fence = {.epoch = orders.epoch, .sequence = orders.sequence};
    return false;
}

} // namespace

TaskScript parseTaskScript(const std::string &payload, milliseconds expectedRunTime)
{
    TaskScript script{.runTime = expectedRunTime};
    const auto document = nlohmann::json::parse(payload, nullptr, false);
    if (!document.is_object()) {
        return script;
    }
    script.runTime = milliseconds(document.value("run_ms", expectedRunTime.count()));
    script.fails = document.value("fail", false);
    script.checkpoints = document.value("checkpoint", false);
    script.usePercent = document.value("use_percent", script.usePercent);
    return script;
}

Worker makeWorker(WorkerOptions options)
{
    Worker worker;
    worker.options = std::move(options);
    restart(worker, {});
    return worker;
}

WorkerReport applyOrders(Worker &worker, const WorkerOrders &orders, TimePoint now)
{
    advance(worker, now);
    ++worker.orders;
    WorkerReport report{.bootId = worker.bootId, .sequence = orders.sequence};
    report.stale = isStale(worker, orders);
    if (report.stale) {
        ++worker.staleOrders;
    } else {
        for (const TaskRun &run : orders.acknowledged) {
            worker.ended.erase(run);
        }
        renewLeases(worker, orders);
        for (const StartOrder &order : orders.starts) {
            const ResultCode code = startRefusal(worker, orders, order, now);
            if (code == ResultCode::Ok) {
                startRun(worker, orders, order, now);
                continue;
            }
            worker.stalePermits += code == ResultCode::StalePermit ? 1 : 0;
            worker.repeatedStarts += code == ResultCode::RepeatedStart ? 1 : 0;
            report.refused.push_back({.run = order.run, .code = code});
        }
        for (const TaskRun &run : orders.stops) {
            if (worker.running.contains(run)) {
                endRun(worker, run, RunOutcome::Stopped, now, "stopped by the holder");
            }
        }
        for (const ThrottleOrder &order : orders.throttles) {
            throttleRun(worker, order, now);
        }
    }
    report.epoch = worker.fences[orders.shard].epoch;
    report.permit = issuePermit(worker, now);
    for (const auto &[run, active] : worker.running) {
        if (active.shard == orders.shard) {
            report.running.push_back(runningTaskReport(
                worker.options, active, worker.records[active.recordIndex].startedAt, now));
        }
    }
    for (const auto &[run, result] : worker.ended) {
        if (result.first == orders.shard) {
            report.ended.push_back(result.second);
        }
    }
    return report;
}

void advance(Worker &worker, TimePoint now)
{
    std::vector<TaskRun> runs;
    for (const auto &[run, active] : worker.running) {
        runs.push_back(run);
    }
    for (const TaskRun &run : runs) {
        const ActiveRun &active = worker.running.at(run);
        const auto completedAt = completionTime(active);
        if (completedAt && *completedAt <= now && *completedAt <= active.leaseEnd) {
            const RunOutcome outcome =
                active.script.fails ? RunOutcome::Failed : RunOutcome::Finished;
            endRun(worker, run, outcome, *completedAt,
                   active.script.fails ? "the payload requests a failure" : "");
        } else if (active.leaseEnd <= now) {
            endRun(worker, run, RunOutcome::LeaseLapsed, active.leaseEnd, "the lease lapsed");
        }
    }
}

void restart(Worker &worker, TimePoint now)
{
    advance(worker, now);
    for (const auto &[run, active] : worker.running) {
        RunRecord &record = worker.records[active.recordIndex];
        record.endedAt = now;
        record.outcome = "host-restarted";
    }
    worker.running.clear();
    worker.ended.clear();
    worker.permits.clear();
    worker.fences.clear();
    ++worker.bootCount;
    worker.bootId = worker.options.host.value + "-boot-" + std::to_string(worker.bootCount);
    worker.lastPermit = worker.bootCount << permitCounterBits;
}

Resources usedResources(const Worker &worker)
{
    Resources sum;
    for (const auto &[run, active] : worker.running) {
        sum = sum + active.order.size;
    }
    return sum;
}

} // namespace acaciadeal::embedded
