#ifndef ACACIADEAL_SOAK_HOSTSTANDIN_H
#define ACACIADEAL_SOAK_HOSTSTANDIN_H

#include "base/time.h"
#include "soak/ledger.h"
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
    HostStandin(EventLoop &loop, std::mt19937_64 &random, Ledger &ledger, HostOptions options);

    Endpoint endpoint() const;
    const std::string &id() const;
    /// Row in the host list; @p address is where callers reach the host.
    nlohmann::json row(const Endpoint &address, bool leaving) const;
    /// Loses everything and begins a new life.
    void crash();
    /// Share of the orders that get no answer and are carried out seconds later.
    void setLateOrders(double share);
    /// Tasks make no progress while set.
    void setStandingStill(bool standing);

private:
    struct Run
    {
        std::uint64_t run = 0;
        Duration left{0};
        int milliCores = 0;
    };
    struct End
    {
        std::uint64_t number = 0;
        TaskName task;
        std::uint64_t run = 0;
        std::string how;
        /// Whether the lease lapsed after the end; users do not count it as taken note of then.
        bool lapsedSince = false;
    };

    void serve(const HttpRequest &request, const standins::FaultyResponder &respond);
    /// Carries out a call other than a renewal; returns its answer.
    HttpResponse carryOut(const std::string &path, const nlohmann::json &call);
    HttpResponse start(const nlohmann::json &call);
    void renew(const nlohmann::json &call, TimePoint until,
               const std::function<void(HttpResponse)> &respond);
    HttpResponse answer(nlohmann::json body, unsigned status = 200) const;
    HttpResponse conflict(const std::string &reason) const;
    void extendLease(const nlohmann::json &call);
    void end(const TaskName &task, const std::string &how);
    void tick();
    std::int64_t clockMs() const;
    std::string life() const;

    EventLoop &m_loop;
    std::mt19937_64 &m_random;
    Ledger &m_ledger;
    HostOptions m_options;
    std::unique_ptr<standins::FaultyServer> m_server;
    TimePoint m_bornAt;
    std::int64_t m_born = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<TaskName, Run> m_active;
    std::map<TaskName, std::uint64_t> m_highestEnded;
    std::vector<End> m_ends;
    std::uint64_t m_endCount = 0;
    double m_lateOrders = 0;
    bool m_standingStill = false;
    TimePoint m_tickedAt;
};

} // namespace acaciadeal::soak

#endif
