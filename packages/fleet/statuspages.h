#ifndef ACACIADEAL_FLEET_STATUSPAGES_H
#define ACACIADEAL_FLEET_STATUSPAGES_H

#include "dispatch/dispatcher.h"
#include "fleet/fleetconfig.h"
#include "fleet/ownership.h"
#include "http/httpmessage.h"

#include <cstddef>
#include <map>
#include <string>

namespace acaciadeal {

/// State of a daemon from which the status pages are built.
struct StatusInputs
{
    DaemonId daemon;
    bool mayAct = false;
    const OwnerRecord &owner;
    /// nullptr before the first configuration.
    const OperatorView *view = nullptr;
    /// nullptr in a daemon that is not the holder.
    const Dispatcher *dispatcher = nullptr;
    /// Pending jobs by queue, or why this daemon cannot give them.
    Result<std::map<std::string, std::size_t>> pendingJobs{};
    TimePoint now;
};

/// Answers /v1/fleet/status, /v1/fleet/jobs/ID, /v1/fleet/hosts/ID and /v1/fleet/late. Only the
/// holder answers the last three; other daemons return NotHolder with the holder's id. Thread-safe.
HttpResponse statusPage(const std::string &path, const StatusInputs &inputs);

} // namespace acaciadeal

#endif
