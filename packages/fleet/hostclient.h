#ifndef ACACIADEAL_FLEET_HOSTCLIENT_H
#define ACACIADEAL_FLEET_HOSTCLIENT_H

#include "base/error.h"
#include "dispatch/dispatcher.h"
#include "http/httpmessage.h"

#include <functional>
#include <optional>
#include <string>

namespace acaciadeal {

/// Address and fencing token of one call to a host.
struct HostCall
{
    Endpoint endpoint;
    /// Expected id of the host; a host with another id at the same address refuses the call.
    HostId host;
    /// Fencing token; a host refuses calls with a lower token than the highest it has seen.
    std::uint64_t token = 0;
    /// Boot time of the incarnation that the call is for, because times on the host's clock and
    /// numbers of ended runs are valid in one incarnation only. If set, no other one executes the
    /// call. Unset if it is not known.
    std::optional<milliseconds> bootedAt;
    Duration timeout = milliseconds(500);
};

struct RenewalCall
{
    /// Time on the host's clock at which the lease of all its runs expires; unset if the lease is
    /// not extended.
    std::optional<milliseconds> leaseUntil;
    /// The host may delete its records of ended runs up to this number: they are durable.
    std::uint64_t acknowledged = 0;
    /// Time for which the host may delay its answer until a run ends.
    milliseconds wait{0};
};

using StartCallback = std::function<void(StartOutcome, std::string detail)>;
using OrderCallback = std::function<void(Result<void>)>;
/// Receives the host's report. If another incarnation than the one that the call is for sent it,
/// the call had no further effect. Errors: StaleEpoch if the host has seen a higher token,
/// HostReplaced if a host with another id has the address, NotHandedOver if the call was not sent
/// because earlier ones occupy all connections, or the error of the connection.
using ReportCallback = std::function<void(Result<HostReport>)>;

/// Asynchronous calls to hosts. All functions return immediately and call back exactly once.
struct HostClient
{
    /// Starts a run, and extends the host's lease to @c leaseUntil on the host's clock.
    std::function<void(const HostCall &, const StartRun &, milliseconds leaseUntil, StartCallback)>
        startRun;
    std::function<void(const HostCall &, const StopRun &, OrderCallback)> stopRun;
    /// Sets the speed of a backfill run.
    std::function<void(const HostCall &, const PaceRun &, OrderCallback)> paceRun;
    /// Extends the host's lease, acknowledges ended runs, and returns the host's report.
    std::function<void(const HostCall &, const RenewalCall &, ReportCallback)> renewLease;
    /// Closes the connections to all hosts, those of calls in progress after their answers. Later
    /// calls are not sent.
    std::function<void()> close;
};

} // namespace acaciadeal

#endif
