#ifndef ACACIADEAL_DISPATCH_RESTARTWATCH_H
#define ACACIADEAL_DISPATCH_RESTARTWATCH_H

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace acaciadeal {

/// Lowest and highest value of a count over several samples.
struct CountRange
{
    int lowest = 0;
    int highest = 0;
};

/// A long-running task that was not restarted in time although the hosts had room for two such
/// tasks. A place is room for one such task.
struct LateRestart
{
    TaskKey task;
    TimePoint endedAt;
    /// Latest time at which it should have run again.
    TimePoint dueAt;
    std::optional<TimePoint> restartedAt;
    /// Places in the time in which it was down and had room: by the hosts' true state, by the
    /// dispatcher's state, and of the latter the open ones, on hosts that are not avoided.
    CountRange truePlaces;
    CountRange knownPlaces;
    CountRange openPlaces;
    /// Scheduling rounds in that time, and those with at least one and at least two open places.
    int rounds = 0;
    int roundsWithOneOpen = 0;
    int roundsWithTwoOpen = 0;
    /// Tasks of other jobs that were started on a host with an open place, without backfill tasks.
    int placesTaken = 0;
};

/// State of a long-running task that has run at least once.
struct TrackedTask
{
    StepSpec step;
    bool running = false;
    /// Whether its last run ended because the host was lost.
    bool lostHost = false;
    TimePoint endedAt;
    /// Time of the first of the consecutive samples so far that found room for two such tasks.
    std::optional<TimePoint> roomSince;
    /// Data collected since `roomSince`, for the case that the restart is late.
    LateRestart late;
    /// Index in RestartWatch::late, if the restart is late.
    std::optional<std::size_t> lateIndex;
};

/// Checks the requirement on restarts of long-running tasks against the true state of the hosts:
/// from 6 s after its last run, a task may be down for at most 3 s while there is room for two such
/// tasks. Neither it nor the functions that change it are thread-safe.
struct RestartWatch
{
    std::map<TaskKey, TrackedTask> trackedTasks;
    /// When a host was last lost or added.
    TimePoint fleetChangedAt;
    std::vector<LateRestart> late;
    /// Longest downtime of a task whose host was lost.
    Duration longestDowntime{0};
};

/// Returns how many tasks of @p step fit into the free resources @p room of a host with @p runs, a
/// map by TaskKey, within the limit of tasks per host. Thread-safe.
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

/// Records the start of a run of a long-running task. Precondition: its job is not cancelled.
void recordRunStart(RestartWatch &watch, const TaskKey &task, const StepSpec &step, TimePoint now);

/// Records the end of a run. Does nothing for tasks that are not long-running.
void recordRunEnd(RestartWatch &watch, const TaskKey &task, bool lostHost, TimePoint now);

/// Stops tracking the tasks of a cancelled job.
void stopTrackingJob(RestartWatch &watch, const JobId &job, TimePoint now);

/// Returns the number of places for a task by the true state of the hosts.
using PlaceCounter = std::function<int(const TaskKey &, const StepSpec &)>;

/// Takes a sample for each tracked task that is not running. Precondition: called at equal
/// intervals that divide the 6 s and the 3 s of the requirement evenly.
void sampleDownTasks(RestartWatch &watch, const PlaceCounter &truePlaces, TimePoint now);

/// Calls plan(), and records the places that the dispatcher saw for tasks that are down and have
/// room.
Orders planAndRecord(RestartWatch &watch, Dispatcher &dispatcher, TimePoint now);

} // namespace acaciadeal

#endif
