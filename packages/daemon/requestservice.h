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

/// Whether a failure domain is in use (In) or was taken out by an operator (Out).
enum class DomainCondition : std::uint8_t { In, Out };

struct RequestServiceOptions
{
    AdmissionLimits admission;
    BreakerOptions breaker;
    RetryBudgetOptions retryBudget;
    /// Maximum number of instances on which one request is tried.
    std::size_t maxAttempts = 3;
    /// Time that an instance may take beyond the caller's deadline. Its late answer is kept for
    /// `GET /v1/requests/<id>`. Also the longest time that drain() waits for unsettled records.
    Duration lateAnswerTimeout = std::chrono::seconds(30);
    /// Memory limit for late answers of repeatable or forwarded requests, in bytes of their bodies.
    std::size_t lateAnswerCacheBytes = 4 * 1024 * 1024;
};

/// Serves the requests of callers: `POST /v1/requests` and `GET /v1/requests/<id>`.
/// All methods are thread-safe.
class RequestService
{
public:
    /// Adds the routes to the router. Preconditions: @p context outlives the service; its event
    /// loops are stopped before it is destroyed, so that no callback of the service runs later; its
    /// HTTP server has not started. Errors: UnknownPlugin if the routing policy does not exist.
    static Result<std::unique_ptr<RequestService>>
    create(DaemonContext &context, const RequestServiceOptions &options = {});
    ~RequestService();
    RequestService(const RequestService &) = delete;
    RequestService &operator=(const RequestService &) = delete;

    /// Replaces the instances. Host records without a service or of other failure domains are
    /// ignored.
    void setInstances(const std::vector<HostRecord> &hosts);

    /// Replaces the members. Members of this daemon's failure domain share its instances; members
    /// of other domains receive forwarded requests. A newly started daemon leaves itself out of the
    /// list until the others have reduced their shares.
    void setMembers(const std::vector<MemberInfo> &members);

    /// Replaces the states of the failure domains. A domain that is not listed is in.
    void setDomainStates(std::map<FailureDomainId, DomainCondition> states);

    /// Sets for each request class whether its requests are admitted, held in the queue or shed
    /// under overload. Queued requests of a class that is shed are refused with Overloaded.
    void setClassRules(const ClassRules &rules);

    /// Returns whether a queued urgent request has waited for half of the time until its deadline.
    bool isUnderPressure() const;

    /// Replaces the instances that peers reported as leaving.
    void setLeavingInstances(const std::set<std::string> &instances);

    /// Returns the instances that are leaving according to the host list or their own answers, for
    /// this daemon's heartbeats. Reports of peers are not included.
    std::set<std::string> leavingInstances() const;

    /// Serves a request that a daemon of another failure domain forwarded.
    void handleForwardedRequest(const ForwardedRequest &message, PeerResponder respond);

    /// Returns the number of requests that have not been answered yet.
    std::size_t inProgress() const;

    /// Refuses new requests with ShuttingDown and calls @p done after the last request has ended
    /// and its record was written. After RequestServiceOptions::lateAnswerTimeout, records that
    /// could not be written are no longer waited for. Precondition: called at most once.
    void drain(std::function<void()> done);

private:
    struct Impl;
    explicit RequestService(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
