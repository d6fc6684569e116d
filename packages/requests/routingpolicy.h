#ifndef ACACIADEAL_REQUESTS_ROUTINGPOLICY_H
#define ACACIADEAL_REQUESTS_ROUTINGPOLICY_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace acaciadeal {

/// What a policy may know of one instance that has a free slot.
struct InstanceCandidate
{
    /// Requests of this daemon that the instance is working on.
    std::uint32_t inFlight = 0;
    /// This daemon's share of the instance's slots. Greater than inFlight.
    std::uint32_t slots = 1;
    /// Decaying estimate; zero if nothing is known.
    Duration latency{0};
};

/// Plug-in that chooses an instance for a request.
struct RoutingPolicy
{
    static constexpr std::string_view settingName = "requests.routing_policy";
    /// Returns the index of the chosen candidate, or nothing if there is none. @p random is a
    /// uniformly distributed number. Deterministic and thread-safe.
    std::optional<std::size_t> (*choose)(std::span<const InstanceCandidate> candidates,
                                         std::uint64_t random);
};

} // namespace acaciadeal

#endif
