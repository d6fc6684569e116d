#ifndef ACACIADEAL_STANDINS_DEPLOYMENT_H
#define ACACIADEAL_STANDINS_DEPLOYMENT_H

#include "store/platform.h"

#include <string>
#include <vector>

namespace acaciadeal::standins {

/// Hosts that the stand-ins simulate.
struct Deployment
{
    std::string region;
    std::vector<FailureDomainId> failureDomains;
    /// Workers first, then instances. If the file's first_port is 0, all ports are 0, and the
    /// operating system assigns them.
    std::vector<HostRecord> hosts;
};

/// Parses a deployment file: JSON with comments. Errors: SyntaxError. Thread-safe.
Result<Deployment> parseDeployment(const std::string &text);

/// Reads and parses a deployment file. Errors: FileUnreadable, SyntaxError.
Result<Deployment> readDeployment(const std::string &path);

} // namespace acaciadeal::standins

#endif
