#include "dispatch/roomcache.h"

#include <algorithm>

namespace acaciadeal {
namespace {

const ServiceRoom &roomOf(const FleetState &fleet, RoomCache &cache, const ServiceId &service)
{
    const auto [it, isNew] = cache.services.try_emplace(service.value);
    ServiceRoom &room = it->second;
    if (!isNew) {
        return room;
    }
    for (const FleetHost *const host : fleet.usableHosts) {
        if (host->service == service) {
            const Resources free = freeResources(*host);
            room.largest = {.milliCores = std::max(room.largest.milliCores, free.milliCores),
                            .memoryMiB = std::max(room.largest.memoryMiB, free.memoryMiB),
                            .accelerators = std::max(room.largest.accelerators, free.accelerators)};
            room.hosts.push_back({.free = free, .host = host});
        }
    }
    std::sort(room.hosts.begin(), room.hosts.end(), [](const HostRoom &a, const HostRoom &b) {
        return a.free.milliCores > b.free.milliCores;
    });
    return room;
}

/// Returns the end of the range of hosts with enough free processors. Precondition: @p hosts is
/// sorted by them in descending order.
std::vector<HostRoom>::const_iterator endOfHostsWithCores(const std::vector<HostRoom> &hosts,
                                                          const Resources &need)
{
    return std::partition_point(hosts.begin(), hosts.end(), [&need](const HostRoom &room) {
        return room.free.milliCores >= need.milliCores;
    });
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

bool hasNoRoom(const RoomCache &cache, const RoomRequest &request)
{
    const auto it = cache.failed.find(request.kind);
    return it != cache.failed.end()
           && std::any_of(it->second.begin(), it->second.end(),
                          [&request](const RoomRequest &other) { return covers(other, request); });
}

void cacheNoRoom(RoomCache &cache, const RoomRequest &request)
{
    if (hasNoRoom(cache, request)) {
        return;
    }
    std::vector<RoomRequest> &failed = cache.failed[request.kind];
    std::erase_if(failed, [&request](const RoomRequest &other) { return covers(request, other); });
    if (failed.size() >= maxRoomCacheEntries) {
        failed.erase(failed.begin());
    }
    failed.push_back(request);
}

bool fitsNoHost(const FleetState &fleet, RoomCache &cache, const ServiceId &service,
                const StepSpec &step)
{
    const Resources need = resourcesToCommit(step);
    const auto &[largest, hosts] = roomOf(fleet, cache, service);
    return !fits(need, largest)
           || std::none_of(hosts.begin(), endOfHostsWithCores(hosts, need),
                           [&need](const HostRoom &room) { return fits(need, room.free); });
}

bool hasRoomForTwo(const FleetState &fleet, RoomCache &cache, const ServiceId &service,
                   const StepSpec &step)
{
    const Resources need = resourcesToCommit(step);
    const std::vector<HostRoom> &hosts = roomOf(fleet, cache, service).hosts;
    int places = 0;
    const auto end = endOfHostsWithCores(hosts, need);
    for (auto it = hosts.begin(); it != end && places < 2; ++it) {
        if (fits(need, it->free) && isEligible(*it->host, service, step)) {
            places += countPlacesUpToTwo(*it->host, step);
        }
    }
    return places >= 2;
}

} // namespace acaciadeal
