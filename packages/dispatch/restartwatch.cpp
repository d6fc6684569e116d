#include "dispatch/restartwatch.h"

#include <utility>

namespace acaciadeal {
namespace {

using std::chrono::seconds;

/// Time for which a long-running task may be down, regardless of room.
constexpr Duration allowedDowntime = seconds(6);
/// Time for which it may be down after that while there is room.
constexpr Duration allowedDowntimeWithRoom = seconds(3);
/// A restart is reported as late only if no host was lost or added for at least the sum of this
/// time and allowedDowntimeWithRoom.
constexpr Duration requiredStableTime = seconds(4);
/// Number of places from which the hosts count as having room.
constexpr int placesNeeded = 2;

void extendRange(CountRange &range, int count, bool first)
{
    range.lowest = first ? count : std::min(range.lowest, count);
    range.highest = first ? count : std::max(range.highest, count);
}

/// Updates the longest downtime of a task whose host was lost.
void updateLongestDowntime(RestartWatch &watch, const TrackedTask &tracked, TimePoint now)
{
    if (!tracked.running && tracked.lostHost) {
        watch.longestDowntime = std::max(watch.longestDowntime, now - tracked.endedAt);
    }
}

void sampleTask(RestartWatch &watch, const TaskKey &task, TrackedTask &tracked, int places,
                TimePoint now)
{
    if (now - tracked.endedAt < allowedDowntime || places < placesNeeded) {
        tracked.roomSince.reset();
        return;
    }
    LateRestart &late = tracked.late;
    const bool first = !tracked.roomSince;
    if (first) {
        tracked.roomSince = now;
        late = {.task = task, .endedAt = tracked.endedAt};
    }
    extendRange(late.truePlaces, places, first);
    const bool stable = now - watch.fleetChangedAt >= requiredStableTime + allowedDowntimeWithRoom;
    if (stable && now - *tracked.roomSince >= allowedDowntimeWithRoom && !tracked.lateIndex) {
        late.dueAt = now;
        tracked.lateIndex = watch.late.size();
        watch.late.push_back(late);
    }
}

/// Hosts with an open place for a task that is down, before a scheduling round.
struct OpenHosts
{
    LateRestart *late = nullptr;
    std::set<HostId> hosts;
};

OpenHosts findOpenHosts(TrackedTask &tracked, const FleetState &fleet, TimePoint now)
{
    LateRestart &late = tracked.late;
    OpenHosts open{.late = &late};
    int known = 0;
    int notAvoided = 0;
    for (const auto &[id, host] : fleet.hosts) {
        const int places = isUsable(fleet, host) ? countFreePlaces(host.runs, freeResources(host),
                                                                   late.task, tracked.step)
                                                 : 0;
        known += places;
        if (places > 0 && now >= host.avoidUntil) {
            notAvoided += places;
            open.hosts.insert(id);
        }
    }
    extendRange(late.knownPlaces, known, late.rounds == 0);
    extendRange(late.openPlaces, notAvoided, late.rounds == 0);
    ++late.rounds;
    late.roundsWithOneOpen += notAvoided >= 1 ? 1 : 0;
    late.roundsWithTwoOpen += notAvoided >= placesNeeded ? 1 : 0;
    return open;
}

bool takesOpenPlace(const OpenHosts &open, const StartRun &order, const FleetState &fleet)
{
    const JobRuntime *const job = findJob(fleet, order.task.job);
    return job != nullptr && !job->spec.steps[order.task.step].backfill
           && order.task.job != open.late->task.job && open.hosts.contains(order.host);
}

} // namespace

void recordRunStart(RestartWatch &watch, const TaskKey &task, const StepSpec &step, TimePoint now)
{
    TrackedTask &tracked = watch.trackedTasks[task];
    updateLongestDowntime(watch, tracked, now);
    if (tracked.lateIndex) {
        watch.late[*tracked.lateIndex].restartedAt = now;
    }
    tracked = {.step = step, .running = true};
}

void recordRunEnd(RestartWatch &watch, const TaskKey &task, bool lostHost, TimePoint now)
{
    const auto it = watch.trackedTasks.find(task);
    if (it != watch.trackedTasks.end()) {
        it->second = {.step = it->second.step, .lostHost = lostHost, .endedAt = now};
    }
}

void stopTrackingJob(RestartWatch &watch, const JobId &job, TimePoint now)
{
    auto it = watch.trackedTasks.lower_bound({.job = job});
    while (it != watch.trackedTasks.end() && it->first.job == job) {
        updateLongestDowntime(watch, it->second, now);
        it = watch.trackedTasks.erase(it);
    }
}

void sampleDownTasks(RestartWatch &watch, const PlaceCounter &truePlaces, TimePoint now)
{
    for (auto &[task, tracked] : watch.trackedTasks) {
        if (!tracked.running) {
            updateLongestDowntime(watch, tracked, now);
            sampleTask(watch, task, tracked, truePlaces(task, tracked.step), now);
        }
    }
}

Orders planAndRecord(RestartWatch &watch, Dispatcher &dispatcher, TimePoint now)
{
    std::vector<OpenHosts> openHosts;
    for (auto &[task, tracked] : watch.trackedTasks) {
        if (tracked.roomSince && !tracked.lateIndex) {
            openHosts.push_back(findOpenHosts(tracked, dispatcher.fleet, now));
        }
    }
    Orders orders = plan(dispatcher, now);
    for (const OpenHosts &open : openHosts) {
        open.late->placesTaken += static_cast<int>(
            std::count_if(orders.starts.begin(), orders.starts.end(), [&](const StartRun &order) {
                return takesOpenPlace(open, order, dispatcher.fleet);
            }));
    }
    return orders;
}

} // namespace acaciadeal
