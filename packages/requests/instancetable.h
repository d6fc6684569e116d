#ifndef ACACIADEAL_REQUESTS_INSTANCETABLE_H
#define ACACIADEAL_REQUESTS_INSTANCETABLE_H

#include "base/identifier.h"
#include "base/time.h"
#include "requests/circuitbreaker.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace acaciadeal {

/// What the host list says about an instance.
struct InstanceInfo
{
    InstanceId id;
    ServiceId service;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    bool leaving = false;
};

struct LatencyEstimate
{
    Duration value{0};
    TimePoint updated;
};

struct InstanceState
{
    InstanceInfo info;
    /// This daemon's shares.
    std::uint32_t slotShare = 0;
    std::uint32_t connectionShare = 0;
    std::uint32_t inFlight = 0;
    LatencyEstimate latency;
    CircuitBreaker breaker;
    /// The instance itself answered that it is leaving.
    bool selfReportedLeaving = false;
};

/// Instances of the own failure domain as one daemon sees them. Not thread-safe.
struct InstanceTable
{
    std::map<InstanceId, InstanceState> instances;
    /// Instances that peers reported as leaving.
    std::set<InstanceId> peerReportedLeaving;
    /// Daemons that share the instances, in ascending order.
    std::vector<DaemonId> sharingDaemons;
    DaemonId self;
};

/// Returns the part of @p total that @p self may use: floor(total / n), and one more for the
/// members ranked first by rendezvous hash of (instance, daemon), as many as the remainder. Returns
/// 0 if
/// @p self is not among @p sharers. Precondition: @p sharers contains no daemon twice. Thread-safe.
std::uint32_t computeShare(std::uint32_t total, const InstanceId &instance, const DaemonId &self,
                      std::span<const DaemonId> sharingDaemons);

/// Replaces the instances and keeps counters, estimates and breakers of those that stay.
void setInstances(InstanceTable &table, const std::vector<InstanceInfo> &instances);
/// Replaces the daemons that share the instances.
void setSharingDaemons(InstanceTable &table, std::vector<DaemonId> sharingDaemons);

bool isLeaving(const InstanceTable &table, const InstanceState &instance);
/// Returns the leaving instances known from the host list or their own answers, without those that
/// only peers reported; otherwise daemons would keep a report alive among each other.
std::set<InstanceId> locallyObservedLeaving(const InstanceTable &table);

/// Returns whether @p instance could serve a request, now or as soon as a slot is free.
bool isUsable(const InstanceTable &table, const InstanceState &instance, TimePoint now);
/// Returns whether @p service has a usable instance.
bool hasUsableInstance(const InstanceTable &table, const ServiceId &service, TimePoint now);
/// Returns whether @p instance is usable and this daemon's share has a free slot.
bool hasFreeSlot(const InstanceTable &table, const InstanceState &instance, TimePoint now);
/// Returns this daemon's slots on the instances of @p service that are not leaving.
std::uint32_t totalSlots(const InstanceTable &table, const ServiceId &service);

/// Halves the estimate for every 10 s without a new sample, so that an instance that was slow once
/// is tried again.
Duration decayedLatency(const LatencyEstimate &estimate, TimePoint now);
/// Adds a sample with a weight of 30%.
void addLatencySample(LatencyEstimate &estimate, Duration sample, TimePoint now);

} // namespace acaciadeal

#endif
