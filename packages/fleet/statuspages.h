#ifndef ACACIADEAL_FLEET_STATUSPAGES_H
#define ACACIADEAL_FLEET_STATUSPAGES_H

#include "dispatch/dispatcher.h"
#include "fleet/fleetconfig.h"
#include "fleet/ownership.h"
#include "http/httpmessage.h"

#include <string>

namespace acaciadeal {

/// What a daemon knows when an operator asks it.
struct StatusInputs
{
    DaemonId daemon;
    bool mayAct = false;
    const OwnerRecord &owner;
    /// nullptr before the first configuration.
    const OperatorView *view = nullptr;
    /// nullptr in a daemon that is not the holder.
    const Dispatcher *dispatcher = nullptr;
    TimePoint now;
};

/// Answers /v1/fleet/status, /v1/fleet/jobs/ID, /v1/fleet/hosts/ID and /v1/fleet/late. The last
/// three are answered by the holder only; others say with NotHolder who that is. Thread-safe.
HttpResponse statusPage(const std::string &path, const StatusInputs &inputs);

} // namespace acaciadeal

#endif
