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

/// A queue and the address under which callers reach it.
struct QueueConfig
{
    QueueTerms terms;
    /// Host name in the caller's request.
    std::string hostName;
    std::string pathPrefix;
    /// Whether an advice service has to approve hosts for each step.
    bool needsAdvice = false;

    friend bool operator==(const QueueConfig &, const QueueConfig &) = default;
};

/// What the operators have put in force.
struct FleetConfig
{
    std::uint64_t version = 0;
    std::vector<QueueConfig> queues;
    std::size_t maxBodyBytes = 256 * 1024;

    friend bool operator==(const FleetConfig &, const FleetConfig &) = default;
};

/// Everything that the operators say, as of one moment.
struct OperatorView
{
    FleetConfig config;
    std::set<FailureDomainId> evacuated;
};

/// Returns the queue with @p hostName and the longest prefix of @p path, or nullptr. Thread-safe.
const QueueConfig *findQueue(const FleetConfig &config, const std::string &hostName,
                             const std::string &path);

} // namespace acaciadeal

#endif
