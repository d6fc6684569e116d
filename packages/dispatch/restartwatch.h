#ifndef ACACIADEAL_DISPATCH_RESTARTWATCH_H
#define ACACIADEAL_DISPATCH_RESTARTWATCH_H

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace acaciadeal {

/// Lowest and highest of several counts.
struct CountRange
{
    int lowest = 0;
    int highest = 0;
};

/// A long-running task that stayed away although the hosts had room for two of its kind.
struct LateRestart
{
    TaskKey task;
    TimePoint endedAt;
    /// When it should have run at the latest.
    TimePoint dueAt;
    std::optional<TimePoint> restartedAt;
    /// Places for such a task while it was away and had room: by the hosts' true state, by what the
    /// dispatcher believed, and of the latter those that were not on probation.
    CountRange truePlaces;
    CountRange believedPlaces;
    CountRange openPlaces;
    /// Rounds of decisions in that time, and those that saw at least one or two open places.
    int rounds = 0;
    int roundsWithOneOpen = 0;
    int roundsWithTwoOpen = 0;
    /// Tasks of other jobs that were started on a host with an open place; no batch tasks.
    int placesTaken = 0;
};

/// A long-running task that has run before.
struct TrackedTask
{
    StepSpec step;
    bool running = false;
    bool lostHost = false;
    TimePoint endedAt;
    /// Start of the time in which every sample found room for two.
    std::optional<TimePoint> roomSince;
    LateRestart late;
    /// Index of its entry among the late restarts, if it has one.
    std::optional<std::size_t> lateIndex;
};

/// Checks the users' rule for long-running tasks against the true state of the hosts: 6 s after its
/// last run, a task may be away while there is room for two of its kind only for 3 s more. Neither
/// it nor the functions that change it are thread-safe.
struct RestartWatch
{
    std::map<TaskKey, TrackedTask> trackedTasks;
    /// When a host was last lost or came back.
    TimePoint fleetChangedAt;
    std::vector<LateRestart> late;
    /// Longest time for which a task that lost its host did not run.
    Duration longestDowntime{0};
};

/// Returns how many tasks of @p step fit into @p room on a host where @p runs are present, a map
/// by task. Thread-safe.
template<typename Runs>
int countFreePlaces(const Runs &runs, Resources room, const TaskKey &task, const StepSpec &step)
{
    const auto siblings = std::count_if(runs.begin(), runs.end(), [&task](const auto &entry) {
        return entry.first.job == task.job && entry.first.step == task.step;
    });
    int places = 0;
    const auto mayHold = [&] {
        return step.maxTasksPerHost == 0 || places + siblings < step.maxTasksPerHost;
    };
    while (fits(step.taskSize, room) && mayHold()) {
        room = room - step.taskSize;
        ++places;
    }
    return places;
}

/// Notes that a run of a long-running task began at a host. Precondition: its job is not cancelled.
void noteRunStart(RestartWatch &watch, const TaskKey &task, const StepSpec &step, TimePoint now);

/// Notes that a run ended at its host; does nothing for other tasks than long-running ones.
void noteRunEnd(RestartWatch &watch, const TaskKey &task, bool lostHost, TimePoint now);

/// Forgets the tasks of a job that was cancelled.
void noteJobEnd(RestartWatch &watch, const JobId &job, TimePoint now);

/// Counts the places that the hosts truly have for a task.
using PlaceCounter = std::function<int(const TaskKey &, const StepSpec &)>;

/// Takes a sample for each task that is away. Precondition: called at equal intervals that divide
/// the times of the rule.
void sampleDownTasks(RestartWatch &watch, const PlaceCounter &truePlaces, TimePoint now);

/// Plans like plan(), and notes what the dispatcher saw of the places for tasks that are away.
Orders planAndRecord(RestartWatch &watch, Dispatcher &dispatcher, TimePoint now);

} // namespace acaciadeal

#endif
