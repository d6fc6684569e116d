#include "fleet/internal/holderlog.h"

#include "logging/log.h"
#include "runtime/bootclock.h"

#include <utility>

namespace acaciadeal::internal {

void logFindings(Dispatcher &dispatcher, Metrics &metrics)
{
    for (const Finding &finding : std::exchange(dispatcher.findings, {})) {
        const std::string run = std::to_string(finding.run);
        switch (finding.kind) {
        case Finding::Kind::RunEnded:
            metrics.count("fleet_runs_ended_total", {{"end", finding.reason}});
            logEvent(EventId::RunEnded, {{"job", finding.job.value},
                                         {"task", finding.subject},
                                         {"run", run},
                                         {"host", finding.host.value},
                                         {"end", finding.reason}});
            break;
        case Finding::Kind::RunLost:
            metrics.count("fleet_runs_lost_total", {});
            logEvent(EventId::RunLost, {{"job", finding.job.value},
                                        {"task", finding.subject},
                                        {"run", run},
                                        {"host", finding.host.value},
                                        {"reason", finding.reason}});
            break;
        case Finding::Kind::RunAdopted:
            logEvent(EventId::RunAdopted, {{"job", finding.job.value},
                                           {"task", finding.subject},
                                           {"run", run},
                                           {"host", finding.host.value}});
            break;
        case Finding::Kind::HostAvoided:
            logEvent(EventId::HostAvoided,
                     {{"host", finding.host.value}, {"reason", finding.reason}});
            break;
        case Finding::Kind::JobEnded: {
            const JobRuntime *const job = findJob(dispatcher.fleet, finding.job);
            const auto age = job == nullptr ? Duration(0) : bootNow() - job->acceptedAt;
            metrics.observe("fleet_job_seconds",
                            {{"queue", job == nullptr ? "" : job->spec.terms.queue}}, age);
            logEvent(EventId::JobEnded,
                     {{"job", finding.job.value},
                      {"reason", finding.reason},
                      {"age_ms",
                       std::to_string(std::chrono::duration_cast<milliseconds>(age).count())}});
            break;
        }
        }
    }
}

void logStatus(const FleetState &fleet)
{
    const FleetSummary sum = summarize(fleet);
    const auto cores = [](std::int64_t milliCores) {
        return std::to_string(milliCores / 1000);
    };
    logEvent(EventId::FleetStatus,
             {{"hosts", std::to_string(sum.hosts)},
              {"usable", std::to_string(sum.usableHosts)},
              {"cores", cores(sum.capacity.milliCores)},
              {"committed", cores(sum.committed.milliCores)},
              {"serving", cores(sum.servingMilliCores)},
              {"backfill", cores(sum.backfillMilliCores)},
              {"memory_gib", std::to_string(sum.capacity.memoryMiB / 1024)},
              {"memory_used_gib", std::to_string(sum.committed.memoryMiB / 1024)},
              {"live_jobs", std::to_string(fleet.live.size())},
              {"waiting_tasks", std::to_string(sum.waitingTasks)},
              {"waiting_backfill_tasks", std::to_string(sum.waitingBackfillTasks)}});
}

} // namespace acaciadeal::internal
