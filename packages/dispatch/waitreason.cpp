#include "dispatch/waitreason.h"

#include "dispatch/placement.h"
#include "dispatch/waitorder.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace acaciadeal {
namespace {

/// Number of usable hosts for each reason why the task cannot be placed on them.
using RejectionCounts = std::array<int, static_cast<std::size_t>(HostRejection::Avoided) + 1>;

WaitRule ruleFor(const RejectionCounts &hosts)
{
    const auto has = [&hosts](HostRejection rejection) {
        return hosts[static_cast<std::size_t>(rejection)] > 0;
    };
    if (has(HostRejection::Avoided)) {
        return WaitRule::AvoidedHosts;
    }
    if (has(HostRejection::TasksPerHost)) {
        return WaitRule::TasksPerHost;
    }
    return has(HostRejection::Interference) ? WaitRule::Interference : WaitRule::NoRoom;
}

} // namespace

std::string_view waitRuleName(WaitRule rule)
{
    switch (rule) {
    case WaitRule::HolderIsNew:
        return "holder_is_new";
    case WaitRule::LeaseRecord:
        return "lease_record";
    case WaitRule::EarlierStep:
        return "earlier_step";
    case WaitRule::OldHostList:
        return "old_host_list";
    case WaitRule::StartRefused:
        return "start_refused";
    case WaitRule::NoSuchHost:
        return "no_such_host";
    case WaitRule::NoRoom:
        return "no_room";
    case WaitRule::AvoidedHosts:
        return "avoided_hosts";
    case WaitRule::TasksPerHost:
        return "tasks_per_host";
    case WaitRule::Interference:
        return "interference";
    case WaitRule::UrgentRoom:
        return "urgent_room";
    case WaitRule::RestartRoom:
        return "restart_room";
    case WaitRule::NextRound:
        return "next_round";
    }
    return "unrecognized";
}

std::string_view waitRuleText(WaitRule rule)
{
    switch (rule) {
    case WaitRule::HolderIsNew:
        return "the holder is new, and a host that may be running the task has not reported yet";
    case WaitRule::LeaseRecord:
        return "the stored lease record still lists the task's last run";
    case WaitRule::EarlierStep:
        return "an earlier step is not done";
    case WaitRule::OldHostList:
        return "the host list is too old to start tasks";
    case WaitRule::StartRefused:
        return "a host refused the start; the task is retried after a short delay";
    case WaitRule::NoSuchHost:
        return "no host of the service is large enough and has the label";
    case WaitRule::NoRoom:
        return "no usable host has enough free resources";
    case WaitRule::AvoidedHosts:
        return "the hosts with enough free resources are avoided for a while";
    case WaitRule::TasksPerHost:
        return "the hosts with enough free resources already run the maximum number of tasks of "
               "the step";
    case WaitRule::Interference:
        return "no host has enough idle processors for the task without interference with serving "
               "tasks";
    case WaitRule::UrgentRoom:
        return "the free processors are reserved for the recent peak demand of short tasks";
    case WaitRule::RestartRoom:
        return "the free processors are kept for long-running tasks that lost their hosts";
    case WaitRule::NextRound:
        return "a host is available; the next scheduling round starts the task";
    }
    return "unrecognized";
}

WaitReason explainWait(const Dispatcher &dispatcher, const JobRuntime &job, std::uint32_t step,
                       const TaskRuntime &task, TimePoint now)
{
    const FleetState &fleet = dispatcher.fleet;
    const StepSpec &spec = job.spec.steps[step];
    WaitReason reason{.waited = now - task.phaseSince, .down = now - task.downSince};
    const auto index = static_cast<std::uint32_t>(&task - job.steps[step].tasks.data());
    const TaskKey key{.job = job.spec.id, .step = step, .index = index};
    const PlacementPermits permits = permitsOf(fleet, job, step, task, now);
    RejectionCounts hosts{};
    for (const auto &[id, host] : fleet.hosts) {
        if (!isUsable(fleet, host)) {
            continue;
        }
        ++reason.usableHosts;
        reason.oldestReport = std::max(reason.oldestReport, now - host.reportedAt);
        const HostRejection rejection =
            rateHost(fleet, host, job, step, task, permits, now).rejection;
        ++hosts[static_cast<std::size_t>(rejection)];
        reason.places +=
            rejection == HostRejection::NotEligible ? 0 : countPlacesUpToTwo(host, spec);
    }
    reason.suitableHosts = hosts[static_cast<std::size_t>(HostRejection::None)];
    reason.avoidedHosts = hosts[static_cast<std::size_t>(HostRejection::Avoided)];
    if (job.inRecovery && !task.accountedFor) {
        reason.rule = WaitRule::HolderIsNew;
    } else if (isHeldBack(fleet, job, key, task)) {
        reason.rule = WaitRule::LeaseRecord;
    } else if (!job.steps[step].dependenciesDone) {
        reason.rule = WaitRule::EarlierStep;
    } else if (isHostListOld(dispatcher, now)) {
        reason.rule = WaitRule::OldHostList;
    } else if (now < task.notBefore) {
        reason.rule = WaitRule::StartRefused;
    } else if (!canEverRun(fleet, job.spec.terms.service, spec)) {
        reason.rule = WaitRule::NoSuchHost;
    } else if (reason.suitableHosts == 0) {
        reason.rule = ruleFor(hosts);
    } else if (spec.longRunning && !leavesRoomForUrgentTasks(fleet, spec)) {
        const bool isRestart = task.run > 0;
        if (!isOverdue(reason.down)
            || (reason.places < 2 && !(isRestart && isRestartUrgent(reason.down)))) {
            reason.rule = WaitRule::UrgentRoom;
        } else if (!isRestart && fleet.spareBesidesRestarts < spec.taskSize.milliCores) {
            reason.rule = WaitRule::RestartRoom;
        }
    }
    return reason;
}

std::vector<WaitingStep> waitingSteps(const FleetState &fleet, Duration minWait, TimePoint now)
{
    std::vector<WaitingStep> result;
    for (const JobRuntime *const job : fleet.liveJobs) {
        for (std::uint32_t n = 0; n < job->steps.size(); ++n) {
            const StepRuntime &step = job->steps[n];
            if (!step.dependenciesDone || step.waiting == 0) {
                continue;
            }
            WaitingStep longest{.job = job,
                                .step = n,
                                .waited = Duration(-1),
                                .reasonLoggedAt = step.reasonLoggedAt};
            for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
                const TaskRuntime &task = step.tasks[index];
                const bool isRestart = job->spec.steps[n].longRunning && task.run > 0;
                const Duration waited = now - task.phaseSince;
                if (task.phase == TaskPhase::Waiting
                    && std::tuple(isRestart, waited)
                           > std::tuple(longest.isRestart, longest.waited)) {
                    longest.task = index;
                    longest.waited = waited;
                    longest.isRestart = isRestart;
                }
            }
            if (longest.waited >= minWait) {
                result.push_back(longest);
            }
        }
    }
    std::sort(result.begin(), result.end(), [](const WaitingStep &a, const WaitingStep &b) {
        return std::tuple(b.isRestart, a.reasonLoggedAt, b.waited)
               < std::tuple(a.isRestart, b.reasonLoggedAt, a.waited);
    });
    return result;
}

void recordReasonLogged(FleetState &fleet, const WaitingStep &step, TimePoint now)
{
    if (JobRuntime *const job = findJob(fleet, step.job->spec.id)) {
        job->steps[step.step].reasonLoggedAt = now;
    }
}

} // namespace acaciadeal
