#ifndef ACACIADEAL_DAEMON_CONTEXT_H
#define ACACIADEAL_DAEMON_CONTEXT_H

#include "http/httpclient.h"
#include "http/httprouter.h"
#include "metrics/metrics.h"
#include "runtime/eventloop.h"
#include "settings/daemonsettings.h"
#include "store/platform.h"
#include "wire/peerclient.h"

namespace acaciadeal {

/// Resources shared by the services of one daemon. Must outlive all of them.
struct DaemonContext
{
    const DaemonSettings &settings;
    /// Event loop with one thread. All control state is changed on it.
    EventLoop &control;
    /// Event loop with several threads, which process the requests of callers.
    EventLoop &traffic;
    /// Callbacks run on the control thread.
    PlatformAdapter platform;
    /// Callbacks run on the control thread.
    HttpClient &controlClient;
    /// Callbacks run on traffic threads.
    HttpClient &trafficClient;
    /// Callbacks run on traffic threads.
    PeerClient &peers;
    Metrics &metrics;
    HttpRouter &router;
};

} // namespace acaciadeal

#endif
