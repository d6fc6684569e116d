#ifndef ACACIADEAL_DISPATCH_PLACEMENT_H
#define ACACIADEAL_DISPATCH_PLACEMENT_H

#include "dispatch/fleetstate.h"

#include <string_view>

namespace acaciadeal {

/// Share of the processors committed to tasks with a tail target that they use on average. They are
/// sized for their peaks, and batch tasks get what they leave.
inline constexpr double servingUse = 0.55;
/// Part of a backfill task's processors that a host must have left. Below it a task runs slower
/// than it would by waiting for one of the tasks there to end.
inline constexpr double minBackfillShare = 0.7;
/// Pressure on a serving task, from its own users and from batch tasks, up to which batch tasks
/// that disturb it are placed beside it: its tail is then at two thirds of its target, and the load
/// of its users may rise by a tenth while they run.
inline constexpr double maxPressure = 0.7;
/// Pressure from one batch task above which a host does not count as room for its image.
inline constexpr double maxAddedPressure = 0.12;

/// Returns whether @p host belongs to @p service and has the label that @p step requires.
/// Thread-safe.
bool isEligible(const FleetHost &host, const ServiceId &service, const StepSpec &step);

/// Returns what a task of @p step commits; batch tasks commit no processors. Thread-safe.
Resources resourcesToCommit(const StepSpec &step);

/// Returns whether any host, however busy, could ever run a task of @p step.
bool canEverRun(const FleetState &fleet, const ServiceId &service, const StepSpec &step);

/// Returns the processors on @p host that a backfill task of @p step could ever use: all that
/// serving and urgent tasks leave, or none if its image disturbs what serves there.
double usableMilliCores(const FleetState &fleet, const FleetHost &host, const StepSpec &step,
                        ImageId image);

/// Returns the processors that backfill tasks can use on @p host beside those they use already.
double idleMilliCores(const FleetHost &host);

/// Wait after which a batch task is placed beside serving tasks that it disturbs, if most of the
/// fleet is idle: it then runs at the speed that their tails allow. Users expect that nothing waits
/// for 3 s in an idle fleet.
inline constexpr Duration allowInterferenceAfter = milliseconds(2000);

/// Wait after which a long-running task starts on an avoided host if no other has room, since its
/// failed runs are not counted.
inline constexpr Duration useAvoidedHostsAfter = milliseconds(1000);

/// Wait after which a task starts again on the host on which it failed, whatever else holds; as
/// long as a host is avoided.
inline constexpr Duration retrySameHostAfter = std::chrono::seconds(4);

/// Committed share below which most of the fleet counts as idle; what batch tasks use is not
/// committed. Users say a half; the rest is for figures that are up to a second old.
inline constexpr double mostlyIdleThreshold = 0.55;

/// What a task may do that others of its step may not.
struct PlacementPermits
{
    /// A batch task may run beside serving tasks that it disturbs.
    bool mayInterfere = false;
    /// A task may run on a host that is avoided, or on which it failed, if no other has room.
    bool mayUseAvoidedHosts = false;
    /// Host on which the task failed and may not run again yet; empty if there is none. Owned by
    /// the task.
    std::string_view excludedHost;
};

/// Returns what a task of @p job's step @p step may do, however long it has waited. Precondition:
/// preparePlacementRound() was called in this round. Thread-safe.
PlacementPermits widestPermits(const FleetState &fleet, const JobRuntime &job, std::uint32_t step);

/// Returns what @p task of @p job's step @p step may do now. Precondition: preparePlacementRound()
/// was called in this round. Thread-safe.
PlacementPermits permitsOf(const FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                           const TaskRuntime &task, TimePoint now);

/// Returns whether @p wide allows everything that @p narrow allows. Thread-safe.
bool covers(const PlacementPermits &wide, const PlacementPermits &narrow);

/// What keeps a task off a host.
enum class HostRejection : std::uint8_t {
    None,
    /// The host is of another service or lacks the label.
    WrongHost,
    /// No room beside what is committed there.
    InsufficientRoom,
    /// The host runs as many tasks of the step as may run together.
    TasksPerHost,
    /// A batch task would disturb what serves there, or get too little.
    Interference,
    /// The host would suit, and is avoided for a while by tasks that may still wait.
    Avoided,
};

struct HostRating
{
    HostRejection rejection = HostRejection::None;
    /// How well the host suits; meaningful without a misfit.
    double score = 0;
};

/// Returns whether and how well @p host suits a task of @p job's step @p step now. Precondition:
/// the host is usable, @p permits are the task's, and preparePlacementRound() was called in this
/// round. Thread-safe.
HostRating rateHost(const FleetState &fleet, const FleetHost &host, const JobRuntime &job,
                    std::uint32_t step, const TaskRuntime &task, const PlacementPermits &permits,
                    TimePoint now);

/// Returns how many more tasks of @p step fit beside what is committed on @p host, 2 at most.
/// Thread-safe.
int placesOn(const FleetHost &host, const StepSpec &step);

/// Notes which hosts are usable, and for each host how much of the backfill work that waits could
/// run there without disturbing what serves. Called once before a round of chooseHost().
void preparePlacementRound(FleetState &fleet);

/// Chooses the host for one task of @p job's step @p step, or nullptr if none has room now.
/// Precondition: preparePlacementRound() was called in this round.
///
/// Load pattern: serving tasks hold most processors for long, urgent short tasks arrive in bunches
/// and need theirs whole, and batch tasks live on what is idle but disturb what serves beside them.
/// Serving tasks are packed onto as few hosts as possible and beside others of their image, because
/// which batch tasks disturb them depends on the image; urgent tasks fill the gaps of the packed
/// hosts first; batch tasks go where their images do not disturb. What can run anywhere leaves the
/// hosts that are open to all images to those that have no others.
FleetHost *chooseHost(FleetState &fleet, const JobRuntime &job, std::uint32_t step,
                      const TaskRuntime &task, TimePoint now);

} // namespace acaciadeal

#endif
