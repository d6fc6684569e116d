#ifndef ACACIADEAL_FLEET_FLEETCONFIG_H
#define ACACIADEAL_FLEET_FLEETCONFIG_H

#include "base/identifier.h"
#include "base/time.h"
#include "jobs/jobspec.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal {

/// A queue, and the host name and path prefix by which callers address it.
struct QueueConfig
{
    QueueTerms terms;
    /// Host name in the caller's request.
    std::string hostName;
    std::string pathPrefix;
    /// Whether an external recommendation service has to approve the hosts of each step.
    bool requiresRecommendation = false;

    friend bool operator==(const QueueConfig &, const QueueConfig &) = default;
};

/// Configuration set by the operators.
struct FleetConfig
{
    std::uint64_t version = 0;
    std::vector<QueueConfig> queues;
    std::size_t maxBodyBytes = 256 * 1024;

    friend bool operator==(const FleetConfig &, const FleetConfig &) = default;
};

/// Consistent snapshot of the operators' settings: the configuration and the evacuated failure
/// domains.
struct OperatorView
{
    FleetConfig config;
    std::set<FailureDomainId> evacuated;
};

/// Returns the queue with @p hostName whose path prefix is the longest one that matches @p path, or
/// nullptr if none matches. Thread-safe.
const QueueConfig *findQueue(const FleetConfig &config, const std::string &hostName,
                             const std::string &path);

} // namespace acaciadeal

#endif
