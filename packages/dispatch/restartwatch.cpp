#include "dispatch/restartwatch.h"

#include <utility>

namespace acaciadeal {
namespace {

using std::chrono::seconds;

/// Time for which a long-running task may be away, whatever room there is.
constexpr Duration allowedAway = seconds(6);
/// Time for which it may be away after that while there is room.
constexpr Duration allowedWithRoom = seconds(3);
/// Time before that in which no host may have been lost or have come back.
constexpr Duration calmBefore = seconds(4);
/// Places from which the hosts count as having room.
constexpr int placesNeeded = 2;

void widen(CountRange &range, int count, bool first)
{
    range.lowest = first ? count : std::min(range.lowest, count);
    range.highest = first ? count : std::max(range.highest, count);
}

/// Follows the longest absence after the loss of a host.
void noteAway(RestartWatch &watch, const Absence &absence, TimePoint now)
{
    if (!absence.running && absence.lostHost) {
        watch.longestAway = std::max(watch.longestAway, now - absence.endedAt);
    }
}

void sampleTask(RestartWatch &watch, const TaskKey &task, Absence &absence, int places,
                TimePoint now)
{
    if (now - absence.endedAt < allowedAway || places < placesNeeded) {
        absence.roomSince.reset();
        return;
    }
    LateRestart &late = absence.late;
    const bool first = !absence.roomSince;
    if (first) {
        absence.roomSince = now;
        late = {.task = task, .endedAt = absence.endedAt};
    }
    widen(late.truePlaces, places, first);
    const bool calm = now - watch.fleetChangedAt >= calmBefore + allowedWithRoom;
    if (calm && now - *absence.roomSince >= allowedWithRoom && !absence.reported) {
        late.dueAt = now;
        absence.reported = watch.late.size();
        watch.late.push_back(late);
    }
}

/// Hosts with an open place for a task that is away, before a round of decisions.
struct OpenHosts
{
    LateRestart *late = nullptr;
    std::set<HostId> hosts;
};

OpenHosts findOpenHosts(Absence &absence, const FleetState &fleet, TimePoint now)
{
    LateRestart &late = absence.late;
    OpenHosts open{.late = &late};
    int believed = 0;
    int notAvoided = 0;
    for (const auto &[id, host] : fleet.hosts) {
        const int places = isUsable(fleet, host)
                               ? placesBeside(host.runs, freeOn(host), late.task, absence.step)
                               : 0;
        believed += places;
        if (places > 0 && now >= host.avoidUntil) {
            notAvoided += places;
            open.hosts.insert(id);
        }
    }
    widen(late.believedPlaces, believed, late.rounds == 0);
    widen(late.openPlaces, notAvoided, late.rounds == 0);
    ++late.rounds;
    late.roundsWithOneOpen += notAvoided >= 1 ? 1 : 0;
    late.roundsWithTwoOpen += notAvoided >= placesNeeded ? 1 : 0;
    return open;
}

bool takesPlace(const OpenHosts &open, const StartRun &order, const FleetState &fleet)
{
    const JobRuntime *const job = findJob(fleet, order.task.job);
    return job != nullptr && !job->spec.steps[order.task.step].backfill
           && order.task.job != open.late->task.job && open.hosts.contains(order.host);
}

} // namespace

void noteRunStart(RestartWatch &watch, const TaskKey &task, const StepSpec &step, TimePoint now)
{
    Absence &absence = watch.absences[task];
    noteAway(watch, absence, now);
    if (absence.reported) {
        watch.late[*absence.reported].restartedAt = now;
    }
    absence = {.step = step, .running = true};
}

void noteRunEnd(RestartWatch &watch, const TaskKey &task, bool lostHost, TimePoint now)
{
    const auto it = watch.absences.find(task);
    if (it != watch.absences.end()) {
        it->second = {.step = it->second.step, .lostHost = lostHost, .endedAt = now};
    }
}

void noteJobEnd(RestartWatch &watch, const JobId &job, TimePoint now)
{
    auto it = watch.absences.lower_bound({.job = job});
    while (it != watch.absences.end() && it->first.job == job) {
        noteAway(watch, it->second, now);
        it = watch.absences.erase(it);
    }
}

void sampleAbsences(RestartWatch &watch, const PlaceCounter &truePlaces, TimePoint now)
{
    for (auto &[task, absence] : watch.absences) {
        if (!absence.running) {
            noteAway(watch, absence, now);
            sampleTask(watch, task, absence, truePlaces(task, absence.step), now);
        }
    }
}

Orders planWatched(RestartWatch &watch, Dispatcher &dispatcher, TimePoint now)
{
    std::vector<OpenHosts> openHosts;
    for (auto &[task, absence] : watch.absences) {
        if (absence.roomSince && !absence.reported) {
            openHosts.push_back(findOpenHosts(absence, dispatcher.fleet, now));
        }
    }
    Orders orders = plan(dispatcher, now);
    for (const OpenHosts &open : openHosts) {
        open.late->placesTaken += static_cast<int>(
            std::count_if(orders.starts.begin(), orders.starts.end(), [&](const StartRun &order) {
                return takesPlace(open, order, dispatcher.fleet);
            }));
    }
    return orders;
}

} // namespace acaciadeal
