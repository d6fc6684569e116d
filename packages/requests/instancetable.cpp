#include "requests/instancetable.h"

#include "requests/internal/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciadeal {
namespace {

void updateShares(InstanceTable &table, InstanceState &state)
{
    state.slotShare =
        computeShare(state.info.slots, state.info.id, table.self, table.sharingDaemons);
    state.connectionShare =
        computeShare(state.info.connections, state.info.id, table.self, table.sharingDaemons);
}

/// Returns how many requests this daemon may have in progress on the instance. Each takes a slot
/// and a connection.
std::uint32_t usableCapacity(const InstanceState &instance)
{
    return std::min(instance.slotShare, instance.connectionShare);
}

} // namespace

std::uint32_t computeShare(std::uint32_t total, const InstanceId &instance, const DaemonId &self,
                           std::span<const DaemonId> sharingDaemons)
{
    if (std::find(sharingDaemons.begin(), sharingDaemons.end(), self) == sharingDaemons.end()) {
        return 0;
    }
    const auto daemonCount = static_cast<std::uint32_t>(sharingDaemons.size());
    const auto rank = [&instance](const DaemonId &daemon) {
        return std::pair(internal::stableHash(0, {instance.value, daemon.value}), daemon);
    };
    const auto ownRank = rank(self);
    const auto rankedBefore =
        std::count_if(sharingDaemons.begin(), sharingDaemons.end(),
                      [&](const DaemonId &daemon) { return rank(daemon) > ownRank; });
    return total / daemonCount
           + (static_cast<std::uint32_t>(rankedBefore) < total % daemonCount ? 1 : 0);
}

void setInstances(InstanceTable &table, const std::vector<InstanceInfo> &instances)
{
    std::map<InstanceId, InstanceState> next;
    for (const InstanceInfo &info : instances) {
        InstanceState &state = next[info.id];
        if (const auto it = table.instances.find(info.id); it != table.instances.end()) {
            state = it->second;
        }
        state.info = info;
        updateShares(table, state);
    }
    table.instances = std::move(next);
}

void setSharingDaemons(InstanceTable &table, std::vector<DaemonId> sharingDaemons)
{
    std::sort(sharingDaemons.begin(), sharingDaemons.end());
    sharingDaemons.erase(std::unique(sharingDaemons.begin(), sharingDaemons.end()),
                         sharingDaemons.end());
    table.sharingDaemons = std::move(sharingDaemons);
    for (auto &[id, state] : table.instances) {
        updateShares(table, state);
    }
}

bool isLeaving(const InstanceTable &table, const InstanceState &instance)
{
    return instance.info.leaving || instance.selfReportedLeaving
           || table.peerReportedLeaving.contains(instance.info.id);
}

std::set<InstanceId> locallyObservedLeaving(const InstanceTable &table)
{
    std::set<InstanceId> result;
    for (const auto &[id, state] : table.instances) {
        if (state.info.leaving || state.selfReportedLeaving) {
            result.insert(id);
        }
    }
    return result;
}

bool isUsable(const InstanceTable &table, const InstanceState &instance, TimePoint now)
{
    return !isLeaving(table, instance) && usableCapacity(instance) > 0
           && (allowsRequest(instance.breaker, now)
               || instance.breaker.state == BreakerState::HalfOpen);
}

bool hasUsableInstance(const InstanceTable &table, const ServiceId &service, TimePoint now)
{
    return std::any_of(table.instances.begin(), table.instances.end(), [&](const auto &entry) {
        return entry.second.info.service == service && isUsable(table, entry.second, now);
    });
}

bool hasFreeSlot(const InstanceTable &table, const InstanceState &instance, TimePoint now)
{
    return isUsable(table, instance, now) && allowsRequest(instance.breaker, now)
           && instance.inFlight < usableCapacity(instance);
}

std::uint32_t totalSlots(const InstanceTable &table, const ServiceId &service)
{
    std::uint32_t total = 0;
    for (const auto &[id, state] : table.instances) {
        if (state.info.service == service && !isLeaving(table, state)) {
            total += usableCapacity(state);
        }
    }
    return total;
}

Duration decayedLatency(const LatencyEstimate &estimate, TimePoint now)
{
    const std::chrono::duration<double> age = now - estimate.updatedAt;
    if (estimate.value == Duration::zero() || age.count() <= 0) {
        return estimate.value;
    }
    return std::chrono::duration_cast<Duration>(estimate.value * std::exp2(-age.count() / 10));
}

void addLatencySample(LatencyEstimate &estimate, Duration sample, TimePoint now)
{
    const Duration current = decayedLatency(estimate, now);
    estimate.value = current == Duration::zero()
                         ? sample
                         : std::chrono::duration_cast<Duration>(current * 0.7 + sample * 0.3);
    estimate.updatedAt = now;
}

} // namespace acaciadeal
