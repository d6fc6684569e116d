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
    /// Rate of the host's clock; may be 2% slow.
    double clockRate = 1.0;
};

/// Stand-in of a host, by the users' published protocol: fences, leases on its own clock, numbered
/// ends, lives. Tells the ledger what it runs. Used on the loop's only thread.
class HostStandin
{
public:
    /// Throws std::runtime_error if no port can be opened.
    HostStandin(EventLoop &loop, std::mt19937_64 &random, InvariantChecker &checker,
                HostOptions options);

    Endpoint endpoint() const;
    const std::string &id() const;
    /// Row in the host list; @p address is where callers reach the host.
    nlohmann::json hostRow(const Endpoint &address, bool leaving) const;
    /// Loses everything and begins a new life.
    void crash();
    /// Share of the orders that get no answer and are carried out seconds later.
    void setDelayedOrderShare(double share);
    /// Tasks make no progress while set.
    void setStalled(bool stalled);

private:
    struct Run
    {
        std::uint64_t run = 0;
        Duration remaining{0};
        int milliCores = 0;
    };
    struct RunEnd
    {
        std::uint64_t number = 0;
        TaskName task;
        std::uint64_t run = 0;
        std::string outcome;
        /// Whether the lease lapsed after the end; users do not count it as taken note of then.
        bool lapsedAfterEnd = false;
    };

    void serve(const HttpRequest &request, const standins::FaultyResponder &respond);
    /// Carries out a call other than a renewal; returns its answer.
    HttpResponse executeOrder(const std::string &path, const nlohmann::json &call);
    HttpResponse startRun(const nlohmann::json &call);
    void renewLease(const nlohmann::json &call, TimePoint until,
                    const std::function<void(HttpResponse)> &respond);
    HttpResponse answer(nlohmann::json body, unsigned status = 200) const;
    HttpResponse conflict(const std::string &reason) const;
    void extendLease(const nlohmann::json &call);
    void endRun(const TaskName &task, const std::string &outcome);
    void tick();
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
    std::uint64_t m_endCount = 0;
    double m_delayedOrderShare = 0;
    bool m_stalled = false;
    TimePoint m_lastTickAt;
};

} // namespace acaciadeal::soak

#endif
