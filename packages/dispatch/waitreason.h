#ifndef ACACIADEAL_DISPATCH_WAITREASON_H
#define ACACIADEAL_DISPATCH_WAITREASON_H

#include "dispatch/dispatcher.h"

#include <string_view>
#include <vector>

namespace acaciadeal {

/// The rule that keeps a task waiting.
enum class WaitRule : std::uint8_t {
    /// The task may still run on a host that has not answered a new holder.
    HolderIsNew,
    EarlierStep,
    /// The host list is too old to start tasks by it.
    OldHostList,
    /// A host just refused it.
    StartRefused,
    /// No host of the service is large enough or has the label.
    NoSuchHost,
    /// No usable host has room.
    NoRoom,
    /// Only hosts that are avoided have room.
    AvoidedHosts,
    /// Hosts with room run as many tasks of the step as may run together.
    TasksPerHost,
    /// Hosts with room would be disturbed by the batch task, or have too few idle processors.
    Interference,
    /// The room is kept for short tasks.
    UrgentRoom,
    /// A host suits; the next round starts the task.
    NextRound,
};

/// Short name for logs and metrics. Thread-safe.
std::string_view waitRuleName(WaitRule rule);
/// Sentence for operators. Thread-safe.
std::string_view waitRuleText(WaitRule rule);

/// Why a task waits, with what the holder believes.
struct WaitReason
{
    WaitRule rule = WaitRule::NextRound;
    Duration waited{0};
    /// Hosts that suit the task, and hosts that would if they were not avoided.
    int suitableHosts = 0;
    int avoidedHosts = 0;
    /// Places for tasks of the step on usable hosts, at most two a host, by room alone.
    int places = 0;
    int usableHosts = 0;
    /// Age of the oldest report of a usable host.
    Duration oldestReport{0};
};

/// Explains why @p task of @p job's step @p step does not run. Precondition: it waits. Not
/// thread-safe against changes of @p dispatcher.
WaitReason explainWait(const Dispatcher &dispatcher, const JobRuntime &job, std::uint32_t step,
                       const TaskRuntime &task, TimePoint now);

/// A step with waiting tasks, and the one of them that has waited longest.
struct WaitingStep
{
    const JobRuntime *job = nullptr;
    std::uint32_t step = 0;
    std::uint32_t task = 0;
    Duration waited{0};
    /// Whether that task ran before.
    bool isRestart = false;
    /// When the step was explained last.
    TimePoint reasonLoggedAt;
};

/// Returns the open steps in which a task has waited for @p atLeast: restarts of long-running tasks
/// first, then those that were explained longest ago, then by their wait.
std::vector<WaitingStep> waitingSteps(const FleetState &fleet, Duration atLeast, TimePoint now);

/// Notes that the wait of a step was explained.
void recordReasonLogged(FleetState &fleet, const WaitingStep &step, TimePoint now);

} // namespace acaciadeal

#endif
