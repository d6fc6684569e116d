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

/// Entry of the host list for one instance.
struct InstanceInfo
{
    InstanceId id;
    ServiceId service;
    /// Number of requests that the instance serves at the same time.
    std::uint32_t slots = 8;
    /// Number of connections that the instance accepts.
    std::uint32_t connections = 64;
    bool leaving = false;
};

struct LatencyEstimate
{
    Duration value{0};
    TimePoint updatedAt;
};

struct InstanceState
{
    InstanceInfo info;
    /// This daemon's share of the instance's slots and of its connections.
    std::uint32_t slotShare = 0;
    std::uint32_t connectionShare = 0;
    std::uint32_t inFlight = 0;
    LatencyEstimate latency;
    CircuitBreaker breaker;
    /// Whether an answer of the instance itself said that it is leaving.
    bool selfReportedLeaving = false;
};

/// Instances of this daemon's failure domain, as known to this daemon. Not thread-safe.
struct InstanceTable
{
    std::map<InstanceId, InstanceState> instances;
    /// Instances that peers reported as leaving.
    std::set<InstanceId> peerReportedLeaving;
    /// Daemons that share the instances, in ascending order.
    std::vector<DaemonId> sharingDaemons;
    DaemonId self;
};

/// Returns the part of @p total that @p self may use. Each of the n daemons gets floor(total / n);
/// the remainder goes, one each, to the daemons that rank first by rendezvous hash of (instance,
/// daemon). Returns 0 if @p self is not among @p sharingDaemons. Precondition: @p sharingDaemons
/// contains no daemon twice. Thread-safe.
std::uint32_t computeShare(std::uint32_t total, const InstanceId &instance, const DaemonId &self,
                           std::span<const DaemonId> sharingDaemons);

/// Replaces the instances. Those that stay keep their counters, latency estimates and breakers.
void setInstances(InstanceTable &table, const std::vector<InstanceInfo> &instances);
/// Replaces the daemons that share the instances.
void setSharingDaemons(InstanceTable &table, std::vector<DaemonId> sharingDaemons);

bool isLeaving(const InstanceTable &table, const InstanceState &instance);
/// Returns the instances that are leaving according to the host list or their own answers. Leaves
/// out those that only peers reported; otherwise daemons would pass a report back and forth for
/// ever.
std::set<InstanceId> locallyObservedLeaving(const InstanceTable &table);

/// Returns whether @p instance can serve a request now or as soon as a slot is free.
bool isUsable(const InstanceTable &table, const InstanceState &instance, TimePoint now);
/// Returns whether @p service has a usable instance.
bool hasUsableInstance(const InstanceTable &table, const ServiceId &service, TimePoint now);
/// Returns whether @p instance is usable and this daemon's share has a free slot.
bool hasFreeSlot(const InstanceTable &table, const InstanceState &instance, TimePoint now);
/// Returns this daemon's slots on the instances of @p service that are not leaving.
std::uint32_t totalSlots(const InstanceTable &table, const ServiceId &service);

/// Returns the estimate, halved for every 10 s without a new sample, so that an instance that was
/// slow once is tried again.
Duration decayedLatency(const LatencyEstimate &estimate, TimePoint now);
/// Adds a sample to the moving average with a weight of 30%.
void addLatencySample(LatencyEstimate &estimate, Duration sample, TimePoint now);

} // namespace acaciadeal

#endif
