#ifndef ACACIADEAL_SOAK_HOSTSTANDIN_H
#define ACACIADEAL_SOAK_HOSTSTANDIN_H

#include "base/time.h"
#include "soak/invariantchecker.h"
#include "standins/faultyserver.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::soak {

struct HostOptions
{
    std::string id;
    std::string service;
    std::string failureDomain;
    int milliCores = 8000;
    int maxAttempts = 4;
    /// Longest lease that the host grants; a longer one is shortened to it.
    milliseconds maxLease{10'000};
    /// Rate of the host's clock relative to real time; may be as low as 0.98, a clock that is 2%
    /// slow.
    double clockRate = 1.0;
};

/// Stand-in for a host. Implements the users' published host protocol: fencing tokens, leases
/// measured by the host's own clock, numbered run ends, and loss of all state at a reboot. Reports
/// its runs to the invariant checker. Used only on the loop's single thread.
class HostStandin
{
public:
    /// Throws std::runtime_error if no port can be opened.
    HostStandin(EventLoop &loop, std::mt19937_64 &random, InvariantChecker &checker,
                HostOptions options);

    Endpoint endpoint() const;
    const std::string &id() const;
    /// Returns the host's row in the host list; @p address is where callers reach the host.
    nlohmann::json hostRow(const Endpoint &address) const;
    /// A host that goes first announces that it leaves, and serves on meanwhile.
    enum class Presence : std::uint8_t { Ready, Leaving, Gone };
    Presence presence() const;
    void announceLeave();
    /// Ends all runs; no later order is executed.
    void leave();
    /// Returns how many tasks of the given size fit beside the runs of the host.
    int freePlaces(int milliCores) const;
    /// Simulates a crash and reboot: loses all runs and state, and gets a new boot time. The caller
    /// makes sure that nothing arrives any more on connections that are not reset.
    enum class Connections : std::uint8_t { Reset, LeftOpen };
    void crash(Connections connections = Connections::Reset);
    /// Sets the share of the orders that get no answer and are executed 2 to 5 s later.
    void setDelayedOrderShare(double share);
    /// How start orders are refused: not at all, with status 503 as by a host that considers itself
    /// unhealthy, or for lack of room.
    enum class Rejection : std::uint8_t { None, Unhealthy, NoRoom };
    void setRejection(Rejection rejection);
    /// While set, tasks make no progress.
    void setStalled(bool stalled);
    /// Adds so many ends of runs of a forgotten job to the list of unacknowledged ends that the
    /// next ones do not fit into the same answer.
    void fillEndList();
    /// Returns how many connections were closed because of the limit.
    std::size_t refusedConnections() const;
    /// Returns the number of orders that are left without an answer at present.
    int heldOrders() const;
    /// Returns how many connections are in use.
    std::size_t openConnections() const;
    /// Returns how many orders and renewals have no answer yet and were given up by their daemon,
    /// so that their connections are no longer in use.
    std::size_t abandonedRequests() const;

private:
    struct Run
    {
        std::uint64_t run = 0;
        Duration remaining{0};
        int milliCores = 0;
        bool longRunning = false;
    };
    struct RunEnd
    {
        std::uint64_t number = 0;
        TaskName task;
        std::uint64_t run = 0;
        std::string outcome;
        /// Whether the lease lapsed after the run ended. In that case, users do not count the end
        /// as acknowledged.
        bool lapsedAfterEnd = false;
    };

    void serve(const HttpRequest &request, const standins::FaultyResponder &respond);
    /// Executes a call other than a lease renewal and returns the answer.
    HttpResponse executeOrder(const std::string &path, const nlohmann::json &call);
    HttpResponse startRun(const nlohmann::json &call);
    void renewLease(const nlohmann::json &call, TimePoint until,
                    const std::function<void(HttpResponse)> &respond);
    HttpResponse answer(nlohmann::json body, unsigned status = 200) const;
    HttpResponse conflict(const std::string &reason) const;
    void extendLease(const nlohmann::json &call);
    void endRun(const TaskName &task, const std::string &outcome);
    void tick();
    int usedMilliCores() const;
    std::int64_t clockMs() const;
    std::string bootName() const;

    EventLoop &m_loop;
    std::mt19937_64 &m_random;
    InvariantChecker &m_checker;
    HostOptions m_options;
    std::unique_ptr<standins::FaultyServer> m_server;
    TimePoint m_bootedAt;
    std::int64_t m_bootTimeMs = 0;
    std::uint64_t m_fencingToken = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<TaskName, Run> m_active;
    std::map<TaskName, std::uint64_t> m_highestEndedRun;
    std::vector<RunEnd> m_unacknowledgedEnds;
    int m_forgottenRuns = 0;
    int m_heldOrders = 0;
    std::uint64_t m_endCount = 0;
    double m_delayedOrderShare = 0;
    Rejection m_rejection = Rejection::None;
    bool m_stalled = false;
    Presence m_presence = Presence::Ready;
    TimePoint m_lastTickAt;
};

} // namespace acaciadeal::soak

#endif
