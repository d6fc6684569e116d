#ifndef ACACIADEAL_FLEET_FAKEHOSTS_H
#define ACACIADEAL_FLEET_FAKEHOSTS_H

#include "fleet/hostport.h"
#include "store/platform.h"

#include <map>
#include <string>
#include <vector>

namespace acaciadeal {

class EventLoop;

/// A host of the tests: fences, lists runs and ends, and can fall silent. Its clock is the steady
/// clock of the process.
struct FakeHost
{
    std::uint64_t token = 0;
    std::uint64_t ends = 0;
    bool silent = false;
    /// Time that an answer to a renewal takes.
    Duration answerDelay{0};
    /// Start orders are carried out, but get no answer.
    bool losesStartAnswers = false;
    std::map<TaskKey, std::uint64_t> active;
    std::vector<RunEnding> ended;
    /// Number up to which each renewal that was carried out acknowledged ends.
    std::vector<std::uint64_t> acknowledgements;
    /// Every start that was carried out.
    std::vector<std::pair<TaskKey, std::uint64_t>> starts;
    milliseconds leaseUntil{0};
    milliseconds bootedAt{1};
};

/// Hosts "h0", "h1" and so on. Used on the thread of its loop only.
class FakeHosts
{
public:
    FakeHosts(EventLoop &loop, int hosts);

    /// Returns the port through which a holder gives orders.
    HostPort port();
    /// Returns the host list.
    std::vector<HostRecord> records() const;
    FakeHost &host(const std::string &id);
    /// Ends a run at its host.
    void end(const std::string &id, const TaskKey &task, RunEnd how);
    /// Returns how many runs of @p task are active now, over all hosts that are not silent.
    int activeRuns(const TaskKey &task) const;

private:
    void renew(const HostCall &call, const RenewalCall &renewal, ReportCallback callback);
    void start(const HostCall &call, const StartRun &order, milliseconds leaseUntil,
               StartCallback callback);
    void stop(const HostCall &call, const StopRun &order, OrderCallback callback);

    EventLoop &m_loop;
    std::map<std::string, FakeHost> m_hosts;
};

} // namespace acaciadeal

#endif
