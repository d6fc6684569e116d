#ifndef ACACIADEAL_SCHEDULING_PLACEMENTPOLICY_H
#define ACACIADEAL_SCHEDULING_PLACEMENTPOLICY_H

#include "state/shardstate.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace acaciadeal {

/// Information about one host that is available to a policy. Thread-safe to read.
struct HostCandidate
{
    const HostState *host = nullptr;
    /// Capacity minus everything committed, including placements that are decided but not durable
    /// yet.
    Resources available;
    /// Number of placed tasks of the same job in the host's rack.
    std::uint32_t sameJobInRack = 0;
    /// Expected interference with the latency-critical work on the host, from 0 (none) to 1.
    double interference = 0;
};

/// Plug-in that chooses a host for a task among the hosts on which the task fits. Limits such as
/// team quotas are checked before the policy is called.
struct PlacementPolicy
{
    static constexpr std::string_view settingName = "scheduling.placement_policy";
    /// Returns the index of the chosen candidate, or nothing if @p candidates is empty.
    /// Precondition: the task fits on every candidate. Deterministic and thread-safe.
    std::optional<std::size_t> (*choose)(std::span<const HostCandidate> candidates,
                                         const Task &task);
};

} // namespace acaciadeal

#endif
