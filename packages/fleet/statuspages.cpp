#include "fleet/statuspages.h"

#include "dispatch/waitreason.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace acaciadeal {
namespace {

using nlohmann::json;

const std::string statusPath = "/v1/fleet/status";
const std::string lateJobsPath = "/v1/fleet/late";
const std::string jobsPath = "/v1/fleet/jobs/";
const std::string hostsPath = "/v1/fleet/hosts/";

std::int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

const char *nameOf(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unrecognized";
}

const char *nameOf(TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Waiting:
        return "waiting";
    case TaskPhase::Starting:
        return "starting";
    case TaskPhase::Uncertain:
        return "start unanswered";
    case TaskPhase::Running:
        return "running";
    case TaskPhase::Stopping:
        return "stopping";
    case TaskPhase::Done:
        return "done";
    }
    return "unrecognized";
}

json statusOf(const StatusInputs &inputs)
{
    json j = {{"daemon", inputs.daemon.value},
              {"holder", inputs.owner.daemon.value},
              {"epoch", inputs.owner.epoch},
              {"holds_shard", inputs.mayAct},
              {"configuration", inputs.view == nullptr ? 0 : inputs.view->config.version}};
    json evacuated = json::array();
    if (inputs.view != nullptr) {
        for (const FailureDomainId &domain : inputs.view->evacuated) {
            evacuated.push_back(domain.value);
        }
    }
    j["evacuated"] = std::move(evacuated);
    if (inputs.dispatcher != nullptr) {
        const FleetSummary sum = summarize(inputs.dispatcher->fleet);
        j["hosts"] = sum.hosts;
        j["usable_hosts"] = sum.usableHosts;
        j["cores"] = sum.capacity.milliCores / 1000;
        j["committed_cores"] = sum.committed.milliCores / 1000;
        j["backfill_cores"] = sum.backfillMilliCores / 1000;
        j["live_jobs"] = inputs.dispatcher->fleet.liveJobs.size();
        j["waiting_tasks"] = sum.waitingTasks;
        if (inputs.pendingJobs) {
            j["pending_jobs"] = *inputs.pendingJobs;
        } else {
            j["pending_jobs_unknown_because"] = inputs.pendingJobs.error().message;
        }
    }
    return j;
}

HttpResponse jobPage(const Dispatcher &dispatcher, const JobId &id, TimePoint now)
{
    const FleetState &fleet = dispatcher.fleet;
    const JobRuntime *const job = findJob(fleet, id);
    if (job == nullptr) {
        return errorResponse(
            {ResultCode::JobNotFound, "the holder does not know this job", id.value});
    }
    json steps = json::array();
    for (std::size_t n = 0; n < job->steps.size(); ++n) {
        json tasks = json::array();
        for (const TaskRuntime &task : job->steps[n].tasks) {
            tasks.push_back({{"phase", nameOf(task.phase)},
                             {"host", task.host.value},
                             {"run", task.run},
                             {"percent", task.percent}});
        }
        json step = {{"step", n}, {"waiting", job->steps[n].waiting}, {"tasks", std::move(tasks)}};
        const std::vector<TaskRuntime> &all = job->steps[n].tasks;
        const auto waiting = std::find_if(all.begin(), all.end(), [](const TaskRuntime &task) {
            return task.phase == TaskPhase::Waiting;
        });
        if (waiting != all.end() && !isTerminal(job->progress.outcome)) {
            const auto stepIndex = static_cast<std::uint32_t>(n);
            const WaitReason reason = explainWait(dispatcher, *job, stepIndex, *waiting, now);
            step["waits_because"] = waitRuleText(reason.rule);
            step["waited_ms"] = millisecondsOf(reason.waited);
            step["places"] = reason.places;
            step["avoided_hosts"] = reason.avoidedHosts;
        }
        steps.push_back(std::move(step));
    }
    return jsonResponse(json{
        {"job", id.value},
        {"queue", job->spec.terms.queue},
        {"state", nameOf(stateOf(*job))},
        {"age_ms", millisecondsOf(now - job->acceptedAt)},
        {"objective_left_ms", millisecondsOf(job->objective - now)},
        {"steps",
         std::move(steps)}}.dump());
}

HttpResponse hostPage(const FleetState &fleet, const HostId &id, TimePoint now)
{
    const auto it = fleet.hosts.find(id);
    if (it == fleet.hosts.end()) {
        return errorResponse(
            {ResultCode::UnknownHost, "the holder does not know this host", id.value});
    }
    const FleetHost &host = it->second;
    json runs = json::array();
    for (const auto &[task, run] : host.runs) {
        const TaskRuntime *const runtime = findTask(fleet, task);
        runs.push_back({{"task", describe(task)},
                        {"run", run},
                        {"phase", runtime == nullptr ? "unknown" : nameOf(runtime->phase)}});
    }
    return jsonResponse(json{
        {"host", id.value},
        {"failure_domain", host.failureDomain.value},
        {"listed", host.listed},
        {"reachable", host.reachable},
        {"leaving", host.leaving},
        {"avoided_for_ms", std::max<std::int64_t>(millisecondsOf(host.avoidUntil - now), 0)},
        {"cores", host.capacity.milliCores / 1000},
        {"committed_cores", host.committed.milliCores / 1000},
        {"backfill_cores", host.backfillMilliCores / 1000},
        {"backfill_speed_percent", host.pace},
        {"highest_tail_ratio", host.tailRatio},
        {"runs",
         std::move(runs)}}.dump());
}

HttpResponse lateJobsPage(const FleetState &fleet, TimePoint now)
{
    json late = json::array();
    for (const JobRuntime *const job : fleet.liveJobs) {
        if (now > job->objective && !isLongRunning(job->spec)) {
            late.push_back({{"job", job->spec.id.value},
                            {"queue", job->spec.terms.queue},
                            {"late_ms", millisecondsOf(now - job->objective)}});
        }
    }
    return jsonResponse(json{{"late", std::move(late)}}.dump());
}

} // namespace

HttpResponse statusPage(const std::string &path, const StatusInputs &inputs)
{
    if (path == statusPath) {
        return jsonResponse(statusOf(inputs).dump());
    }
    const bool known =
        path == lateJobsPath || path.starts_with(jobsPath) || path.starts_with(hostsPath);
    if (!known) {
        return errorResponse({ResultCode::UnknownPath, "unknown path", path});
    }
    if (inputs.dispatcher == nullptr) {
        return errorResponse({ResultCode::NotHolder, "only the shard's holder can answer this",
                              inputs.owner.daemon.value});
    }
    const FleetState &fleet = inputs.dispatcher->fleet;
    if (path == lateJobsPath) {
        return lateJobsPage(fleet, inputs.now);
    }
    if (path.starts_with(jobsPath)) {
        return jobPage(*inputs.dispatcher, {path.substr(jobsPath.size())}, inputs.now);
    }
    return hostPage(fleet, {path.substr(hostsPath.size())}, inputs.now);
}

} // namespace acaciadeal
