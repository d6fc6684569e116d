#ifndef ACACIADEAL_DISPATCH_ROOMCACHE_H
#define ACACIADEAL_DISPATCH_ROOMCACHE_H

#include "dispatch/placement.h"

#include <map>
#include <string_view>
#include <vector>

namespace acaciadeal {

/// Key of requests that can be compared by covers().
struct RoomKind
{
    bool backfill = false;
    /// Set for backfill tasks; 0 otherwise, as the room for committed tasks does not depend on the
    /// image.
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
    /// The step of the task if it limits the tasks per host, otherwise nullptr. Only tasks of the
    /// same step count towards the limit.
    const StepRuntime *limitedStep = nullptr;
};

/// Free resources of a host.
struct HostRoom
{
    Resources free;
    const FleetHost *host = nullptr;
};

/// Free resources of the usable hosts of a service.
struct ServiceRoom
{
    /// The largest free amount of each resource, not necessarily all on the same host.
    Resources largest;
    /// In descending order of free processors.
    std::vector<HostRoom> hosts;
};

/// Highest number of requests of one kind in a RoomCache. A further request replaces the oldest.
inline constexpr std::size_t maxRoomCacheEntries = 16;

/// Cache of the requests for which no host was found in one scheduling round. Avoids the search for
/// other tasks with the same or larger requirements. Valid as long as hosts only lose free
/// resources. There is one exception: a backfill task may interfere less after others have taken
/// idle processors; it is started in the next round. Not thread-safe.
struct RoomCache
{
    /// Requests without a suitable host. No request in a vector covers another one.
    std::map<RoomKind, std::vector<RoomRequest>> failed;
    /// By service, whose name a job owns. Computed when first needed and not updated.
    std::map<std::string_view, ServiceRoom> services;
};

/// Returns what a task of @p job's step @p step with @p permits asks for. Precondition: the job has
/// the step. Thread-safe.
RoomRequest roomRequest(const JobRuntime &job, std::uint32_t step, const PlacementPermits &permits);

/// Returns whether every host that suits @p narrow suits @p wide too, so that no host suits
/// @p narrow if none suits @p wide. Thread-safe.
bool covers(const RoomRequest &wide, const RoomRequest &narrow);

/// Returns whether @p cache shows that no host suits @p request.
bool hasNoRoom(const RoomCache &cache, const RoomRequest &request);

/// Records that no host was found for @p request.
void cacheNoRoom(RoomCache &cache, const RoomRequest &request);

/// Returns whether no usable host of @p service had enough free resources for a task of @p step
/// when @p cache was first used for the service. Precondition: preparePlacementRound() was called
/// in this round.
bool fitsNoHost(const FleetState &fleet, RoomCache &cache, const ServiceId &service,
                const StepSpec &step);

/// Returns whether two tasks of @p step fit into the free resources of the eligible usable hosts of
/// @p service, on one host or on two. Like fitsNoHost(), uses the free resources at the first use
/// of @p cache. Precondition: preparePlacementRound() was called in this round.
bool hasRoomForTwo(const FleetState &fleet, RoomCache &cache, const ServiceId &service,
                   const StepSpec &step);

} // namespace acaciadeal

#endif
