#ifndef ACACIADEAL_DISPATCH_WAITREASON_H
#define ACACIADEAL_DISPATCH_WAITREASON_H

#include "dispatch/dispatcher.h"

#include <string_view>
#include <vector>

namespace acaciadeal {

/// The scheduling rule because of which a task waits.
enum class WaitRule : std::uint8_t {
    /// The task may be running on a host that has not reported to the new holder yet.
    HolderIsNew,
    /// The stored lease record lists a run of the task, which would mislead a later holder.
    LeaseRecord,
    /// A step that it depends on is not done.
    EarlierStep,
    /// The host list is too old to start tasks.
    OldHostList,
    /// A host refused the task, and the delay before the next attempt has not passed.
    StartRefused,
    /// No host of the service has the required label and is large enough.
    NoSuchHost,
    /// No usable host has enough free resources.
    NoRoom,
    /// A host would suit, but the task has to avoid it for a while.
    AvoidedHosts,
    /// The hosts with enough free resources already run the maximum number of tasks of the step.
    TasksPerHost,
    /// On the hosts with enough free resources, the backfill task would interfere with serving
    /// tasks or find too few idle processors.
    Interference,
    /// The free resources are reserved for short tasks.
    UrgentRoom,
    /// The free resources are kept for restarts of long-running tasks.
    RestartRoom,
    /// A host suits; the next scheduling round starts the task.
    NextRound,
};

/// Returns the name of the rule in logs and metrics. Thread-safe.
std::string_view waitRuleName(WaitRule rule);
/// Returns a description of the rule for operators. Thread-safe.
std::string_view waitRuleText(WaitRule rule);

/// Why a task waits, and the data behind it as known to the holder.
struct WaitReason
{
    WaitRule rule = WaitRule::NextRound;
    Duration waited{0};
    /// Time since a run of the task was last known to be present.
    Duration down{0};
    /// Hosts that suit the task, and hosts that would suit it if the task did not have to avoid
    /// them.
    int suitableHosts = 0;
    int avoidedHosts = 0;
    /// Number of tasks of the step that fit into the free resources of eligible usable hosts,
    /// counting at most two for each host and no other rules.
    int places = 0;
    int usableHosts = 0;
    /// Age of the oldest report of a usable host.
    Duration oldestReport{0};
};

/// Returns why @p task of @p job's step @p step waits. Precondition: it is waiting. Must not be
/// called while another thread changes @p dispatcher.
WaitReason explainWait(const Dispatcher &dispatcher, const JobRuntime &job, std::uint32_t step,
                       const TaskRuntime &task, TimePoint now);

/// A step with waiting tasks, and the one of them that has waited longest.
struct WaitingStep
{
    const JobRuntime *job = nullptr;
    std::uint32_t step = 0;
    std::uint32_t task = 0;
    Duration waited{0};
    /// Whether that task is long-running and was started before.
    bool isRestart = false;
    /// When the reason of this step's wait was last logged.
    TimePoint reasonLoggedAt;
};

/// Returns the steps whose dependencies are done and in which a task has waited for at least
/// @p minWait: restarts of long-running tasks first, then in the order in which they were last
/// logged, the least recent first, then the longest wait first.
std::vector<WaitingStep> waitingSteps(const FleetState &fleet, Duration minWait, TimePoint now);

/// Records that the reason of a step's wait was logged.
void recordReasonLogged(FleetState &fleet, const WaitingStep &step, TimePoint now);

} // namespace acaciadeal

#endif
