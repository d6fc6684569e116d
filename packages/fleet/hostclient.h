#ifndef ACACIADEAL_FLEET_HOSTCLIENT_H
#define ACACIADEAL_FLEET_HOSTCLIENT_H

#include "base/error.h"
#include "dispatch/dispatcher.h"
#include "http/httpmessage.h"

#include <functional>
#include <optional>
#include <string>

namespace acaciadeal {

/// Addressing and fencing of one call to a host.
struct HostCall
{
    Endpoint endpoint;
    /// Life of the host that is meant; another one at the address refuses the call.
    HostId host;
    /// Fencing token; a host does nothing for a lower one than it has seen.
    std::uint64_t token = 0;
    Duration timeout = milliseconds(500);
};

struct RenewalCall
{
    /// Time on the host's clock until which everything that runs there may go on.
    std::optional<milliseconds> leaseUntil;
    /// Ends up to this number are durable and may be forgotten.
    std::uint64_t acknowledged = 0;
    /// Time for which the host may wait for an end before it answers.
    milliseconds wait{0};
};

using StartCallback = std::function<void(StartOutcome, std::string detail)>;
using OrderCallback = std::function<void(Result<void>)>;
/// The report; StaleEpoch if the host has seen a higher token, HostUnusable if another life of the
/// host has the address, or the error of the connection.
using ReportCallback = std::function<void(Result<HostReport>)>;

/// Orders to hosts. All functions return at once and call back exactly once.
struct HostClient
{
    std::function<void(const HostCall &, const StartRun &, milliseconds leaseUntil, StartCallback)>
        start;
    std::function<void(const HostCall &, const StopRun &, OrderCallback)> stop;
    std::function<void(const HostCall &, const PaceRun &, OrderCallback)> pace;
    std::function<void(const HostCall &, const RenewalCall &, ReportCallback)> renew;
};

} // namespace acaciadeal

#endif
