#ifndef ACACIADEAL_DAEMON_REQUESTSERVICE_H
#define ACACIADEAL_DAEMON_REQUESTSERVICE_H

#include "daemon/context.h"
#include "requests/admission.h"
#include "requests/circuitbreaker.h"
#include "requests/retrybudget.h"
#include "wire/peerserver.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal {

enum class DomainCondition : std::uint8_t { In, Out };

struct RequestServiceOptions
{
    AdmissionLimits admission;
    BreakerOptions breaker;
    RetryBudgetOptions retryBudget;
    /// Most instances that one request is tried on.
    std::size_t maxAttempts = 3;
    /// Time that an instance may take beyond the caller's deadline; its late answer is kept for
    /// `GET /v1/requests/<id>`. Also the time that drain() waits for outstanding records.
    Duration lateAnswerTimeout = std::chrono::seconds(30);
    /// Memory for late answers of repeatable requests, in bytes of their bodies.
    std::size_t lateAnswerCacheBytes = 4 * 1024 * 1024;
};

/// Serves the requests of callers: `POST /v1/requests` and `GET /v1/requests/<id>`.
/// All methods are thread-safe.
class RequestService
{
public:
    /// Adds the routes to the router. Preconditions: @p context outlives the service, its event
    /// loops are stopped before the service's last callback could run, and its server has not
    /// started. Errors: UnknownPlugin if the routing policy does not exist.
    static Result<std::unique_ptr<RequestService>>
    create(DaemonContext &context, const RequestServiceOptions &options = {});
    ~RequestService();
    RequestService(const RequestService &) = delete;
    RequestService &operator=(const RequestService &) = delete;

    /// Replaces the instances. Records without a service and of other failure domains are ignored.
    void setInstances(const std::vector<HostRecord> &hosts);

    /// Replaces the members. Those of the own failure domain share the instances, so a newcomer
    /// passes a list without itself until the others have shrunk their shares; the others receive
    /// forwarded requests.
    void setMembers(const std::vector<MemberInfo> &members);

    /// Replaces the conditions of the failure domains; one that is not named is in.
    void setDomainStates(std::map<FailureDomainId, DomainCondition> states);

    /// Sets what is given up under pressure, by request class. Queued requests of a class that is
    /// shed are refused with Overloaded.
    void setClassRules(const ClassRules &rules);

    /// Returns whether an urgent request has waited in the queue for half of its limit.
    bool isUnderPressure() const;

    /// Replaces the leaving instances that peers reported.
    void setLeavingInstances(const std::set<std::string> &instances);

    /// Returns the leaving instances that this daemon knows from the host list or from their own
    /// answers, for its heartbeats.
    std::set<std::string> leavingInstances() const;

    /// Serves a request that a daemon of another failure domain forwarded.
    void handleForwardedRequest(const ForwardedRequest &message, PeerResponder respond);

    /// Returns the number of requests that have not been answered yet.
    std::size_t inProgress() const;

    /// Refuses new requests with ShuttingDown and calls @p done after the last request has ended
    /// and its record is settled. Records that the platform does not take within
    /// RequestServiceOptions::lateAnswerTimeout are not waited for.
    /// Precondition: called once.
    void drain(std::function<void()> done);

private:
    struct Impl;
    explicit RequestService(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
