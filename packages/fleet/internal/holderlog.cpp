#include "fleet/internal/holderlog.h"

#include "dispatch/waitreason.h"
#include "logging/log.h"
#include "runtime/bootclock.h"

#include <algorithm>
#include <utility>

namespace acaciadeal::internal {
namespace {

std::string inMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

std::string age(const std::optional<TimePoint> &since, TimePoint now)
{
    return since ? inMilliseconds(now - *since) : "none";
}

} // namespace

void logDispatchEvents(Dispatcher &dispatcher, Metrics &metrics)
{
    for (const DispatchEvent &event : std::exchange(dispatcher.events, {})) {
        const std::string run = std::to_string(event.run);
        switch (event.kind) {
        case DispatchEvent::Kind::RunEnded:
            metrics.count("fleet_runs_ended_total", {{"end", event.reason}});
            logEvent(EventId::RunEnded, {{"job", event.job.value},
                                         {"task", event.taskName},
                                         {"run", run},
                                         {"host", event.host.value},
                                         {"end", event.reason}});
            break;
        case DispatchEvent::Kind::RunLost:
            metrics.count("fleet_runs_lost_total", {});
            logEvent(EventId::RunLost, {{"job", event.job.value},
                                        {"task", event.taskName},
                                        {"run", run},
                                        {"host", event.host.value},
                                        {"reason", event.reason}});
            break;
        case DispatchEvent::Kind::RunAdopted:
            logEvent(EventId::RunAdopted, {{"job", event.job.value},
                                           {"task", event.taskName},
                                           {"run", run},
                                           {"host", event.host.value}});
            break;
        case DispatchEvent::Kind::HostAvoided:
            logEvent(EventId::HostAvoided, {{"host", event.host.value},
                                            {"reason", event.reason},
                                            {"for_ms", inMilliseconds(event.duration)}});
            break;
        case DispatchEvent::Kind::JobEnded: {
            const JobRuntime *const job = findJob(dispatcher.fleet, event.job);
            const auto age = job == nullptr ? Duration(0) : bootClockNow() - job->acceptedAt;
            metrics.observe("fleet_job_seconds",
                            {{"queue", job == nullptr ? "" : job->spec.terms.queue}}, age);
            logEvent(EventId::JobEnded, {{"job", event.job.value},
                                         {"reason", event.reason},
                                         {"age_ms", inMilliseconds(age)}});
            break;
        }
        }
    }
}

void logStatus(const FleetState &fleet, const HolderView &view, RoundTimes &rounds, TimePoint now)
{
    const std::clock_t processorTime = std::clock();
    const RoundTimes ended = std::exchange(rounds, RoundTimes{.processorTime = processorTime});
    const std::clock_t used = processorTime - ended.processorTime;
    const FleetSummary sum = summarize(fleet);
    int avoided = 0;
    Resources avoidedRoom;
    for (const auto &[id, host] : fleet.hosts) {
        if (isUsable(fleet, host) && now < host.avoidUntil) {
            ++avoided;
            avoidedRoom = avoidedRoom + freeResources(host);
        }
    }
    const auto cores = [](std::int64_t milliCores) {
        return std::to_string(milliCores / 1000);
    };
    logEvent(
        EventId::FleetStatus,
        {{"hosts", std::to_string(sum.hosts)},
         {"usable", std::to_string(sum.usableHosts)},
         {"avoided", std::to_string(avoided)},
         {"avoided_free", cores(avoidedRoom.milliCores)},
         {"cores", cores(sum.capacity.milliCores)},
         {"committed", cores(sum.committed.milliCores)},
         {"serving", cores(sum.servingMilliCores)},
         {"backfill", cores(sum.backfillMilliCores)},
         {"memory_gib", std::to_string(sum.capacity.memoryMiB / 1024)},
         {"memory_used_gib", std::to_string(sum.committed.memoryMiB / 1024)},
         {"live_jobs", std::to_string(fleet.liveJobs.size())},
         {"waiting_tasks", std::to_string(sum.waitingTasks)},
         {"waiting_backfill_tasks", std::to_string(sum.waitingBackfillTasks)},
         {"long_running_spare", cores(static_cast<std::int64_t>(fleet.longRunningSpareMilliCores))},
         {"may_act", view.mayAct ? "yes" : "no"},
         {"pending_jobs", std::to_string(sum.pendingJobs)},
         {"unconfirmed_jobs", std::to_string(sum.unconfirmedJobs)},
         {"unanswered_orders", std::to_string(view.unansweredOrders)},
         {"oldest_order_ms", age(view.oldestOrderAt, now)},
         {"job_table_age_ms", age(view.jobsReadAt, now)},
         {"host_list_age_ms", age(fleet.hostListReadAt, now)},
         {"rounds", std::to_string(ended.rounds)},
         {"rounds_ms", inMilliseconds(ended.total)},
         {"longest_round_ms", inMilliseconds(ended.longestRound)},
         {"latest_round_ms", inMilliseconds(ended.maxStartDelay)},
         {"processor_ms", std::to_string(used / (CLOCKS_PER_SEC / 1000))}});
}

void logPendingJobs(const FleetState &fleet, const HolderView &view, const std::string &queue,
                    const Result<std::size_t> &pending, TimePoint now)
{
    const auto it = fleet.queues.find(queue);
    const QueueCounts counts = it == fleet.queues.end() ? QueueCounts{} : it->second;
    logEvent(EventId::PendingJobsCounted,
             {{"queue", queue},
              {"answer", pending ? std::to_string(*pending) : pending.error().message},
              {"live_jobs", std::to_string(counts.live)},
              {"unconfirmed_jobs", std::to_string(counts.unconfirmed)},
              {"may_act", view.mayAct ? "yes" : "no"},
              {"job_table_age_ms", age(view.jobsReadAt, now)}});
}

void logWaits(Dispatcher &dispatcher, Metrics &metrics, TimePoint now)
{
    std::vector<WaitingStep> steps = waitingSteps(dispatcher.fleet, minReportedWait, now);
    const std::size_t found = steps.size();
    steps.resize(std::min(found, maxWaitLogLines));
    for (const WaitingStep &step : steps) {
        const JobRuntime &job = *step.job;
        const TaskRuntime &task = job.steps[step.step].tasks[step.task];
        const Resources &size = job.spec.steps[step.step].taskSize;
        const WaitReason reason = explainWait(dispatcher, job, step.step, task, now);
        recordReasonLogged(dispatcher.fleet, step, now);
        const std::string rule(waitRuleName(reason.rule));
        metrics.count("fleet_waits_total", {{"rule", rule}});
        logEvent(EventId::TaskWaits,
                 {{"job", job.spec.id.value},
                  {"task", describe({.job = job.spec.id, .step = step.step, .index = step.task})},
                  {"rule", rule},
                  {"waited_ms", inMilliseconds(reason.waited)},
                  {"down_ms", inMilliseconds(reason.down)},
                  {"restart", step.isRestart ? "yes" : "no"},
                  {"waiting_in_step", std::to_string(job.steps[step.step].waiting)},
                  {"millicores", std::to_string(size.milliCores)},
                  {"memory_mib", std::to_string(size.memoryMiB)},
                  {"places", std::to_string(reason.places)},
                  {"suitable_hosts", std::to_string(reason.suitableHosts)},
                  {"avoided_hosts", std::to_string(reason.avoidedHosts)},
                  {"usable_hosts", std::to_string(reason.usableHosts)},
                  {"oldest_report_ms", inMilliseconds(reason.oldestReport)},
                  {"steps_that_wait", std::to_string(found)}});
    }
}

} // namespace acaciadeal::internal
