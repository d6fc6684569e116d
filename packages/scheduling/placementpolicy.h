#ifndef ACACIADEAL_SCHEDULING_PLACEMENTPOLICY_H
#define ACACIADEAL_SCHEDULING_PLACEMENTPOLICY_H

#include "state/shardstate.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace acaciadeal {

/// What a policy may know of one host. Thread-safe to read.
struct HostCandidate
{
    const HostState *host = nullptr;
    /// Capacity less everything committed, including placements decided but not yet durable.
    Resources available;
    /// Number of placed tasks of the same job in the host's rack.
    std::uint32_t sameJobInRack = 0;
    /// Expected harm to the latency-critical work on the host, from 0 (none) to 1.
    double interference = 0;
};

/// Share of a team's dominant resource and the like are settled before the policy is asked; it only
/// chooses among hosts that fit.
struct PlacementPolicy
{
    static constexpr std::string_view settingName = "scheduling.placement_policy";
    /// Returns the index of the chosen candidate. Precondition: every candidate fits the task;
    /// @p candidates may be empty, then nothing is returned. Deterministic and thread-safe.
    std::optional<std::size_t> (*choose)(std::span<const HostCandidate> candidates,
                                         const Task &task);
};

} // namespace acaciadeal

#endif
