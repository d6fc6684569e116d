#ifndef ACACIADEAL_DISPATCH_PLACEMENT_H
#define ACACIADEAL_DISPATCH_PLACEMENT_H

#include "dispatch/fleetstate.h"

#include <string_view>

namespace acaciadeal {

/// Average utilization of the processors committed to tasks with a tail latency target. These tasks
/// are sized for their peaks; backfill tasks use the idle remainder.
inline constexpr double averageServingUtilization = 0.55;
/// Share of a backfill task's processors that must be idle on a host. With less, the task would be
/// done later than if it waited for another task on the host to end.
inline constexpr double minBackfillShare = 0.7;
/// Highest pressure on a serving task, from its own users and from backfill tasks, at which
/// backfill tasks that interfere with it are placed on its host. At this pressure its tail latency
/// is two thirds of its target, and the load of its users may still rise by a tenth.
inline constexpr double maxPressure = 0.7;
/// If a single backfill task would add more pressure than this, the host does not count as capacity
/// for its image.
inline constexpr double maxAddedPressure = 0.12;

/// Returns whether @p host belongs to @p service and has the label that @p step requires.
/// Thread-safe.
bool isEligible(const FleetHost &host, const ServiceId &service, const StepSpec &step);

/// Returns the resources that a task of @p step commits. Backfill tasks commit no processors.
/// Thread-safe.
Resources resourcesToCommit(const StepSpec &step);

/// Returns whether any host, if it were empty, could run a task of @p step.
bool canEverRun(const FleetState &fleet, const ServiceId &service, const StepSpec &step);

/// Returns the processors on @p host that backfill tasks of @p step could use if no others ran
/// there: all that committed tasks leave idle, or none if the image interferes with serving tasks
/// there.
double usableMilliCores(const FleetState &fleet, const FleetHost &host, const StepSpec &step,
                        ImageId image);

/// Returns the processors on @p host that backfill tasks can use in addition to those they use
/// already.
double idleMilliCores(const FleetHost &host);

/// Wait after which a backfill task may run on a host although it interferes with serving tasks
/// there, if its service is mostly idle; see mostlyIdleThreshold. It then runs at the speed that
/// their tail latency allows. In a mostly idle service, this is also the wait after which a task
/// that is not long-running may start on an avoided host. The requirement is that no task waits for
/// 3 s in an idle fleet.
inline constexpr Duration allowInterferenceAfter = milliseconds(2000);

/// Wait after which a long-running task may start on an avoided host if no other host has room.
/// This costs it no attempts, as failed runs of long-running tasks are not counted.
inline constexpr Duration useAvoidedHostsAfter = milliseconds(1000);

/// Wait after which a task may always start again on the host on which it last failed. As long as
/// the time for which a host is avoided.
inline constexpr Duration retrySameHostAfter = std::chrono::seconds(4);

/// Share of committed processors below which a service's hosts count as mostly idle. Processors of
/// backfill tasks are not committed. The requirement says one half; the margin of 0.05 allows for
/// data that is up to a second old.
inline constexpr double mostlyIdleThreshold = 0.55;

/// Relaxations of the placement rules that apply to a task. They depend on how long it has waited,
/// so they differ between tasks of a step.
struct PlacementPermits
{
    /// A backfill task may run on a host where it interferes with serving tasks.
    bool mayInterfere = false;
    /// If no other host has room, the task may run on an avoided host, or on the one on which it
    /// last failed.
    bool mayUseAvoidedHosts = false;
    /// Host on which the task failed and may not run yet; empty if there is none. Refers to a
    /// string that the task owns.
    std::string_view excludedHost;
};

/// Returns the permits of a task of @p job's step @p step that has waited long enough for all
/// permits that the step can get in this round. Precondition: preparePlacementRound() was called in
/// this round. Thread-safe.
PlacementPermits widestPermits(const FleetState &fleet, const JobRuntime &job, std::uint32_t step);

/// Returns the current permits of @p task of @p job's step @p step. Precondition:
/// preparePlacementRound() was called in this round. Thread-safe.
PlacementPermits permitsOf(const FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                           const TaskRuntime &task, TimePoint now);

/// Returns whether @p wide allows everything that @p narrow allows. Thread-safe.
bool covers(const PlacementPermits &wide, const PlacementPermits &narrow);

/// Why a task cannot be placed on a host.
enum class HostRejection : std::uint8_t {
    None,
    /// The host belongs to another service or lacks the required label; see isEligible().
    NotEligible,
    /// The free resources are too small.
    InsufficientRoom,
    /// The host already runs the maximum number of tasks of the step.
    TasksPerHost,
    /// A backfill task would interfere with serving tasks, or there are too few idle processors.
    Interference,
    /// The host would suit, but the task may not use it yet: the host is avoided, or the task
    /// failed there.
    Avoided,
};

struct HostRating
{
    HostRejection rejection = HostRejection::None;
    /// The highest score is the best host; only valid if `rejection` is None.
    double score = 0;
};

/// Returns whether and how well @p host suits a task of @p job's step @p step now. Precondition:
/// the host is usable, @p permits are the task's, and preparePlacementRound() was called in this
/// round. Thread-safe.
HostRating rateHost(const FleetState &fleet, const FleetHost &host, const JobRuntime &job,
                    std::uint32_t step, const TaskRuntime &task, const PlacementPermits &permits,
                    TimePoint now);

/// Returns how many more tasks of @p step fit into the free resources of @p host, at most 2.
/// Thread-safe.
int countPlacesUpToTwo(const FleetHost &host, const StepSpec &step);

/// Determines which hosts are usable, which services are mostly idle, and for each host the share
/// of the waiting backfill work that could run there without interfering with serving tasks. Called
/// once before each scheduling round, that is, before its first call of chooseHost().
void preparePlacementRound(FleetState &fleet);

/// Returns the best host for @p task of @p job's step @p step, or nullptr if none suits it now.
/// Precondition: preparePlacementRound() was called in this round.
///
/// Load pattern: serving tasks hold most processors for a long time, urgent short tasks arrive in
/// bursts and need committed processors, and backfill tasks use idle processors but interfere with
/// serving tasks on the same host. Serving tasks are packed onto as few hosts as possible, together
/// with others of their image, because which backfill tasks interfere with them depends on the
/// image. Urgent tasks first fill the gaps on the packed hosts. Backfill tasks are placed where
/// their images do not interfere. Tasks that can run on any host leave the hosts that suit every
/// image to the tasks that have no alternative.
FleetHost *chooseHost(FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                      const TaskRuntime &task, TimePoint now);

} // namespace acaciadeal

#endif
