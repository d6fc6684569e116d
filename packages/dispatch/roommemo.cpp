#include "dispatch/roommemo.h"

#include <algorithm>

namespace acaciadeal {
namespace {

const std::vector<HostRoom> &hostsOf(const FleetState &fleet, RoomMemo &memo,
                                     const ServiceId &service)
{
    const auto [it, isNew] = memo.hosts.try_emplace(service.value);
    std::vector<HostRoom> &hosts = it->second;
    if (!isNew) {
        return hosts;
    }
    for (const FleetHost *const host : fleet.usable) {
        if (host->service == service) {
            hosts.push_back({.freeMilliCores = freeOn(*host).milliCores, .host = host});
        }
    }
    std::sort(hosts.begin(), hosts.end(), [](const HostRoom &a, const HostRoom &b) {
        return a.freeMilliCores > b.freeMilliCores;
    });
    return hosts;
}

} // namespace

RoomRequest roomRequest(const JobRuntime &job, std::uint32_t step, const PlacementPermits &permits)
{
    const StepSpec &spec = job.spec.steps[step];
    return {.kind = {.backfill = spec.backfill,
                     .image = spec.backfill ? job.steps[step].image : ImageId(0),
                     .service = job.spec.terms.service.value},
            .need = spec.taskSize,
            .permits = permits,
            .requiredLabel = spec.requiredLabel,
            .limitedStep = spec.maxTasksPerHost > 0 ? &job.steps[step] : nullptr};
}

bool covers(const RoomRequest &wide, const RoomRequest &narrow)
{
    return fits(wide.need, narrow.need) && covers(wide.permits, narrow.permits)
           && (wide.limitedStep == nullptr || wide.limitedStep == narrow.limitedStep)
           && (wide.requiredLabel.empty() || wide.requiredLabel == narrow.requiredLabel)
           && wide.kind == narrow.kind;
}

bool hasNoRoom(const RoomMemo &memo, const RoomRequest &request)
{
    const auto it = memo.failed.find(request.kind);
    return it != memo.failed.end()
           && std::any_of(it->second.begin(), it->second.end(),
                          [&request](const RoomRequest &other) { return covers(other, request); });
}

void rememberNoRoom(RoomMemo &memo, const RoomRequest &request)
{
    if (hasNoRoom(memo, request)) {
        return;
    }
    std::vector<RoomRequest> &failed = memo.failed[request.kind];
    std::erase_if(failed, [&request](const RoomRequest &other) { return covers(request, other); });
    if (failed.size() >= maxRoomMemoEntries) {
        failed.erase(failed.begin());
    }
    failed.push_back(request);
}

bool exceedsAllRoom(const FleetState &fleet, RoomMemo &memo, const ServiceId &service,
                    const StepSpec &step)
{
    const std::vector<HostRoom> &hosts = hostsOf(fleet, memo, service);
    return hosts.empty() || hosts.front().freeMilliCores < committedNeed(step).milliCores;
}

bool hasRoomTwice(const FleetState &fleet, RoomMemo &memo, const ServiceId &service,
                  const StepSpec &step)
{
    const std::vector<HostRoom> &hosts = hostsOf(fleet, memo, service);
    const std::int64_t need = committedNeed(step).milliCores;
    int places = 0;
    for (const HostRoom &room : hosts) {
        if (room.freeMilliCores < need || places >= 2) {
            break;
        }
        places += isEligible(*room.host, service, step) ? placesOn(*room.host, step) : 0;
    }
    return places >= 2;
}

} // namespace acaciadeal
