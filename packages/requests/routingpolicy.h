#ifndef ACACIADEAL_REQUESTS_ROUTINGPOLICY_H
#define ACACIADEAL_REQUESTS_ROUTINGPOLICY_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace acaciadeal {

/// Information about one instance with a free slot that is available to a policy.
struct InstanceCandidate
{
    /// Requests of this daemon that are in progress on the instance.
    std::uint32_t inFlight = 0;
    /// This daemon's share of the instance's slots. Greater than inFlight.
    std::uint32_t slots = 1;
    /// Decaying latency estimate; zero if unknown.
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
