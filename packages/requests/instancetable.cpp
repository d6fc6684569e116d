#include "requests/instancetable.h"

#include "requests/internal/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciadeal {
namespace {

void updateShares(InstanceTable &table, InstanceState &state)
{
    state.slotShare = shareOf(state.info.slots, state.info.id, table.self, table.sharers);
    state.connectionShare =
        shareOf(state.info.connections, state.info.id, table.self, table.sharers);
}

std::uint32_t capacity(const InstanceState &instance)
{
    return std::min(instance.slotShare, instance.connectionShare);
}

} // namespace

std::uint32_t shareOf(std::uint32_t total, const InstanceId &instance, const DaemonId &self,
                      std::span<const DaemonId> sharers)
{
    if (std::find(sharers.begin(), sharers.end(), self) == sharers.end()) {
        return 0;
    }
    const auto n = static_cast<std::uint32_t>(sharers.size());
    const auto rank = [&instance](const DaemonId &daemon) {
        return std::pair(internal::stableHash(0, {instance.value, daemon.value}), daemon);
    };
    const auto own = rank(self);
    const auto before = std::count_if(sharers.begin(), sharers.end(),
                                      [&](const DaemonId &daemon) { return rank(daemon) > own; });
    return total / n + (static_cast<std::uint32_t>(before) < total % n ? 1 : 0);
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

void setSharers(InstanceTable &table, std::vector<DaemonId> sharers)
{
    std::sort(sharers.begin(), sharers.end());
    sharers.erase(std::unique(sharers.begin(), sharers.end()), sharers.end());
    table.sharers = std::move(sharers);
    for (auto &[id, state] : table.instances) {
        updateShares(table, state);
    }
}

bool isLeaving(const InstanceTable &table, const InstanceState &instance)
{
    return instance.info.leaving || instance.leavingSeen
           || table.leavingByPeers.contains(instance.info.id);
}

std::set<InstanceId> leavingSeenHere(const InstanceTable &table)
{
    std::set<InstanceId> result;
    for (const auto &[id, state] : table.instances) {
        if (state.info.leaving || state.leavingSeen) {
            result.insert(id);
        }
    }
    return result;
}

bool isUsable(const InstanceTable &table, const InstanceState &instance, TimePoint now)
{
    return !isLeaving(table, instance) && capacity(instance) > 0
           && (allows(instance.breaker, now) || instance.breaker.state == BreakerState::HalfOpen);
}

bool hasUsableInstance(const InstanceTable &table, const ServiceId &service, TimePoint now)
{
    return std::any_of(table.instances.begin(), table.instances.end(), [&](const auto &entry) {
        return entry.second.info.service == service && isUsable(table, entry.second, now);
    });
}

bool hasFreeSlot(const InstanceTable &table, const InstanceState &instance, TimePoint now)
{
    return isUsable(table, instance, now) && allows(instance.breaker, now)
           && instance.inFlight < capacity(instance);
}

std::uint32_t totalSlots(const InstanceTable &table, const ServiceId &service)
{
    std::uint32_t total = 0;
    for (const auto &[id, state] : table.instances) {
        if (state.info.service == service && !isLeaving(table, state)) {
            total += capacity(state);
        }
    }
    return total;
}

Duration latencyAt(const LatencyEstimate &estimate, TimePoint now)
{
    const std::chrono::duration<double> age = now - estimate.updated;
    if (estimate.value == Duration::zero() || age.count() <= 0) {
        return estimate.value;
    }
    return std::chrono::duration_cast<Duration>(estimate.value * std::exp2(-age.count() / 10));
}

void addSample(LatencyEstimate &estimate, Duration sample, TimePoint now)
{
    const Duration current = latencyAt(estimate, now);
    estimate.value = current == Duration::zero()
                         ? sample
                         : std::chrono::duration_cast<Duration>(current * 0.7 + sample * 0.3);
    estimate.updated = now;
}

} // namespace acaciadeal
