#ifndef ACACIADEAL_FLEET_FAKEHOSTS_H
#define ACACIADEAL_FLEET_FAKEHOSTS_H

#include "fleet/hostclient.h"
#include "store/platform.h"

#include <cstddef>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace acaciadeal {

class EventLoop;

/// Simulated host for tests. It checks fencing tokens, reports active and ended runs, and can stop
/// answering. Its clock counts from its last restart, and before that is the steady clock of the
/// process.
struct FakeHost
{
    std::uint64_t token = 0;
    std::uint64_t lastEndNumber = 0;
    bool unresponsive = false;
    /// Whether another host has the address.
    bool replaced = false;
    /// Delay of the answer to a renewal.
    Duration answerDelay{0};
    /// Whether start orders are executed but get no answer.
    bool losesStartAnswers = false;
    std::map<TaskKey, std::uint64_t> active;
    std::vector<ReportedRunEnd> ended;
    /// Number of ended runs that one report lists.
    std::size_t maxEndsPerReport = std::numeric_limits<std::size_t>::max();
    /// Number of the last ended run that was acknowledged, for each renewal that was executed.
    std::vector<std::uint64_t> acknowledgements;
    /// Task and run number of every start order that was executed.
    std::vector<std::pair<TaskKey, std::uint64_t>> starts;
    /// Longest lease that the host grants.
    milliseconds maxLease = std::chrono::hours(1);
    milliseconds leaseUntil{0};
    milliseconds bootedAt{1};
    /// Reading of the process's steady clock at which the host's clock shows 0.
    milliseconds clockStart{0};
};

/// Simulated hosts "h0", "h1" and so on. Used on the thread of its loop only.
class FakeHosts
{
public:
    FakeHosts(EventLoop &loop, int hosts);

    /// Returns the client through which a holder calls the hosts.
    HostClient client();
    /// Returns the host list.
    std::vector<HostRecord> records() const;
    FakeHost &host(const std::string &id);
    /// Restarts host @p id under its id: it loses all runs and state, and its clock starts anew.
    void restart(const std::string &id);
    /// Returns the time until the lease of the runs on host @p id expires.
    milliseconds remainingLease(const std::string &id) const;
    /// Ends the active run of @p task on host @p id; does nothing if there is none.
    void endRun(const std::string &id, const TaskKey &task, RunEnd how);
    /// Returns the number of active runs of @p task on all hosts; a run whose lease has expired
    /// does not count.
    int activeRuns(const TaskKey &task) const;
    /// Returns how many clients have been closed.
    int closedClients() const;

private:
    void renewLease(const HostCall &call, const RenewalCall &renewal, ReportCallback callback);
    void startRun(const HostCall &call, const StartRun &order, milliseconds leaseUntil,
                  StartCallback callback);
    void stopRun(const HostCall &call, const StopRun &order, OrderCallback callback);

    EventLoop &m_loop;
    std::map<std::string, FakeHost> m_hosts;
    int m_closedClients = 0;
};

} // namespace acaciadeal

#endif
