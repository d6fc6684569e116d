#ifndef ACACIADEAL_DISPATCH_ROOMCACHE_H
#define ACACIADEAL_DISPATCH_ROOMCACHE_H

#include "dispatch/placement.h"

#include <map>
#include <string_view>
#include <vector>

namespace acaciadeal {

/// Requests that may cover each other.
struct RoomKind
{
    bool backfill = false;
    /// Of a backfill task; 0 otherwise, as room for committed tasks does not depend on the image.
    ImageId image = 0;
    /// Owned by the job.
    std::string_view service;

    friend auto operator<=>(const RoomKind &, const RoomKind &) = default;
};

/// What decides whether chooseHost() finds a host for a task.
struct RoomRequest
{
    RoomKind kind;
    Resources need;
    PlacementPermits permits;
    /// Owned by the job.
    std::string_view requiredLabel;
    /// Set if the tasks of the step are limited per host; only they count.
    const StepRuntime *limitedStep = nullptr;
};

struct HostRoom
{
    Resources free;
    const FleetHost *host = nullptr;
};

/// What was free on the usable hosts of a service.
struct ServiceRoom
{
    /// The largest amount of each resource, not necessarily on one host.
    Resources largest;
    /// Most processors first.
    std::vector<HostRoom> hosts;
};

/// Most requests of a kind that a RoomCache holds; older ones make room for newer ones.
inline constexpr std::size_t maxRoomCacheEntries = 16;

/// Requests for which no host was found in one round of decisions. Spares the search for the many
/// tasks that wait for the same kind of room. Valid while hosts only lose room. The exception, a
/// batch task that disturbs less once others have taken idle processors, is left to the next round.
/// Not thread-safe.
struct RoomCache
{
    /// None covers another one.
    std::map<RoomKind, std::vector<RoomRequest>> failed;
    /// By service, owned by a job; as of the first question about it.
    std::map<std::string_view, ServiceRoom> services;
};

/// Returns what a task of @p job's step @p step with @p permits asks for. Precondition: the job has
/// the step. Thread-safe.
RoomRequest roomRequest(const JobRuntime &job, std::uint32_t step, const PlacementPermits &permits);

/// Returns whether every host that suits @p narrow suits @p wide too, so that no host suits
/// @p narrow if none suits @p wide. Thread-safe.
bool covers(const RoomRequest &wide, const RoomRequest &narrow);

/// Returns whether @p memo shows that no host suits @p request.
bool hasNoRoom(const RoomCache &cache, const RoomRequest &request);

/// Records that no host was found for @p request.
void cacheNoRoom(RoomCache &cache, const RoomRequest &request);

/// Returns whether no usable host of @p service had room for a task of @p step when @p memo was
/// first asked. Precondition: preparePlacementRound() was called in this round.
bool fitsNoHost(const FleetState &fleet, RoomCache &cache, const ServiceId &service,
                const StepSpec &step);

/// Returns whether the usable hosts together have room for two tasks of @p step of a job of
/// @p service. Precondition: preparePlacementRound() was called in this round.
bool hasRoomForTwo(const FleetState &fleet, RoomCache &cache, const ServiceId &service,
                   const StepSpec &step);

} // namespace acaciadeal

#endif
