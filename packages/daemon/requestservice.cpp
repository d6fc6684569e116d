#include "daemon/requestservice.h"

#include "daemon/internal/recordstore.h"
#include "daemon/internal/requestcodec.h"
#include "kernel/pluginregistry.h"
#include "logging/log.h"
#include "requests/attemptoutcome.h"
#include "requests/instancetable.h"
#include "requests/routingpolicy.h"
#include "wire/codec.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace acaciadeal {
namespace {

constexpr std::string_view requestsPath = "/v1/requests";
/// Space reserved in a peer frame for everything but the body of an answer.
constexpr std::size_t frameOverheadBytes = 4096;
/// A request is forwarded to one daemon and, if that fails, to one other.
constexpr std::size_t maxForwardAttempts = 2;
/// Minimum latency recorded for a failed attempt, so that an instance that fails or refuses quickly
/// does not look fast to the routing policy.
constexpr milliseconds failureLatency(1000);

std::string pathOfRequest(const RequestId &id)
{
    return std::string(requestsPath) + "/" + id.value;
}

HttpResponse withId(HttpResponse response, const RequestId &id)
{
    response.headers["x-request-id"] = id.value;
    return response;
}

HttpResponse toResponse(const StoredAnswer &answer, const RequestId &id)
{
    HttpResponse response{answer.status, {}, answer.body};
    if (!answer.contentType.empty()) {
        response.headers["content-type"] = answer.contentType;
    }
    return withId(std::move(response), id);
}

std::string headerOf(const HttpResponse &response, const std::string &name)
{
    const auto it = response.headers.find(name);
    return it == response.headers.end() ? std::string() : it->second;
}

Error outcomeUnknown(const RequestId &id, const std::string &message)
{
    return {ResultCode::OutcomeUnknown, message, pathOfRequest(id)};
}

/// Returns whether the answer of a peer states that the request did not run there.
bool isNotRunAnswer(const ForwardedAnswer &answer)
{
    if (answer.status != 503 && answer.status != 429) {
        return false;
    }
    const auto object = nlohmann::json::parse(answer.body, nullptr, false);
    if (!object.is_object() || !object.contains("code") || !object["code"].is_number_unsigned()) {
        return false;
    }
    switch (static_cast<ResultCode>(object["code"].get<std::uint16_t>())) {
    case ResultCode::Overloaded:
    case ResultCode::NoInstance:
    case ResultCode::ShuttingDown:
    case ResultCode::RecordUnavailable:
    case ResultCode::NotHandedOver:
    case ResultCode::PlatformUnavailable:
        return true;
    default:
        return false;
    }
}

enum class Stage : std::uint8_t { Claiming, Queued, Executing, Forwarding, Releasing, Ended };

/// A request in progress. The members from `stage` on are guarded by the service's mutex, except
/// claimAbandoned, which is atomic.
struct PendingRequest
{
    CallerRequest content;
    std::string fingerprint;
    /// The request was forwarded by a daemon of another failure domain and is not forwarded again.
    bool receivedFromPeer = false;
    TimePoint arrival;
    TimePoint deadline;

    Stage stage = Stage::Claiming;
    /// Empty once the caller has received a response.
    HttpResponder respond;
    /// Set if the deadline passed while the record was being claimed; the request must then not
    /// run.
    std::atomic<bool> claimAbandoned = false;
    RequestQueueKey queueKey;
    std::optional<RecordClaim> claim;
    std::set<InstanceId> triedInstances;
    std::vector<MemberInfo> forwardTargets;
    std::size_t forwardCount = 0;
    /// An attempt may have run and its outcome is unknown, so the request must not be reported as
    /// not run.
    bool mayHaveRun = false;
    /// Error to report if the request is refused as not run; otherwise Ok.
    Error refusal;
};

using PendingPtr = std::shared_ptr<PendingRequest>;

struct Attempt
{
    InstanceId instance;
    TimePoint started;
    /// The attempt is a trial, whose result decides whether the circuit breaker closes again.
    bool trial = false;
};

/// Answer kept for `GET /v1/requests/<id>`.
struct CachedAnswer
{
    StoredAnswer answer;
    std::string fingerprint;
    /// Not evicted by the memory limit, because its record has not been written yet.
    bool pinned = false;
};

} // namespace

// One mutex guards all state, because admission, slots and queue change together. It is never held
// while calling the network, the record store, responders or the log: such calls are collected in a
// LockedScope and executed after the mutex was released.
struct RequestService::Impl : std::enable_shared_from_this<RequestService::Impl>
{
    /// Locks the mutex and, on destruction, unlocks it and then executes the deferred calls in
    /// order.
    class LockedScope
    {
    public:
        explicit LockedScope(Impl &impl)
            : m_lock(impl.mutex)
        {
        }
        ~LockedScope()
        {
            m_lock.unlock();
            for (const auto &deferredCall : m_deferredCalls) {
                deferredCall();
            }
        }
        LockedScope(const LockedScope &) = delete;
        LockedScope &operator=(const LockedScope &) = delete;

        void afterUnlock(std::function<void()> deferredCall)
        {
            m_deferredCalls.push_back(std::move(deferredCall));
        }

    private:
        std::unique_lock<std::mutex> m_lock;
        std::vector<std::function<void()>> m_deferredCalls;
    };

    Impl(DaemonContext &daemonContext, const RequestServiceOptions &serviceOptions,
         const RoutingPolicy &routingPolicy)
        : context(daemonContext)
        , options(serviceOptions)
        , policy(routingPolicy)
        , store(context.control, context.platform, context.settings.daemon)
        , retryBudget(serviceOptions.retryBudget)
        , random(std::random_device{}())
    {
        table.self = context.settings.daemon;
        queue.limits = options.admission;
    }

    void addRoutes();

    // Entry points, which lock the mutex.
    void handlePost(const HttpRequest &request, HttpResponder respond);
    void handleGet(const HttpRequest &request, const HttpResponder &respond);
    void submit(CallerRequest content, bool receivedFromPeer, HttpResponder respond);
    void onClaimed(const PendingPtr &pending, Result<ClaimResult> result);
    void onAttemptEnded(const PendingPtr &pending, const Attempt &attempt,
                        const HttpOutcome &outcome);
    void onForwarded(const PendingPtr &pending, const Result<PeerMessage> &result);
    void onDeadline(const PendingPtr &pending);
    void onReleased(const PendingPtr &pending);

    // Functions called with the mutex held; @p scope collects the calls to make after unlocking.
    void enqueueRequest(LockedScope &scope, const PendingPtr &pending);
    void dispatchQueued(LockedScope &scope, const ServiceId &service);
    void startAttempt(LockedScope &scope, const PendingPtr &pending, InstanceState &instance,
                      TimePoint now);
    void recordAttemptResult(LockedScope &scope, const PendingPtr &pending, const Attempt &attempt,
                             const AttemptClassification &classification, bool instanceLeaves,
                             TimePoint now);
    bool mayAttemptAgain(const PendingPtr &pending, AttemptOutcome outcome, TimePoint now);
    void forward(LockedScope &scope, const PendingPtr &pending);
    void deliverAnswer(LockedScope &scope, const PendingPtr &pending, StoredAnswer answer);
    void cacheAnswer(const RequestId &id, CachedAnswer answer);
    void unpin(const RequestId &id);
    void refuse(LockedScope &scope, const PendingPtr &pending, Error error);
    void fail(LockedScope &scope, const PendingPtr &pending, const Error &error);
    void countFailure(LockedScope &scope, const RequestId &id, const Error &error);
    void respond(LockedScope &scope, const PendingPtr &pending, HttpResponse response);
    void finishRequest(LockedScope &scope, const PendingPtr &pending);
    void completeDrainIfIdle(LockedScope &scope, bool waitForRecords);
    void publishGauges();
    void dispatchAllQueued(LockedScope &scope);
    bool isOut(const FailureDomainId &domain) const;
    std::vector<MemberInfo> forwardTargets();

    DaemonContext &context;
    const RequestServiceOptions options;
    const RoutingPolicy policy;
    RecordStore store;

    mutable std::mutex mutex;
    InstanceTable table;
    std::map<InstanceId, Endpoint> endpoints;
    std::map<ServiceId, SlotsByClass> slotsInUse;
    std::uint32_t attemptsInProgress = 0;
    AdmissionQueue queue;
    /// The requests in `queue`, by the sequence number of their queue key.
    std::map<std::uint64_t, PendingPtr> queuedBySequence;
    std::uint64_t lastSequence = 0;
    RetryBudget retryBudget;
    std::mt19937_64 random;
    std::vector<MemberInfo> members;
    std::map<FailureDomainId, DomainCondition> domainStates;
    std::set<PendingPtr> active;
    std::multimap<RequestId, PendingPtr> activeById;
    std::map<RequestId, CachedAnswer> cachedAnswers;
    /// Cached answers that are not pinned, oldest first.
    std::deque<RequestId> evictionOrder;
    /// Total size of the bodies of these answers.
    std::size_t evictableBytes = 0;
    bool draining = false;
    std::function<void()> drainCallback;
};

void RequestService::Impl::addRoutes()
{
    const auto self = shared_from_this();
    context.router.add({.method = "POST",
                        .prefix = std::string(requestsPath),
                        .handler = [self](const HttpRequest &request, HttpResponder respond) {
                            self->handlePost(request, std::move(respond));
                        }});
    context.router.add(
        {.method = "GET",
         .prefix = std::string(requestsPath) + "/",
         .handler = [self](const HttpRequest &request, const HttpResponder &respond) {
             self->handleGet(request, respond);
         }});
    store.onSettled([weak = weak_from_this()] {
        if (const auto impl = weak.lock()) {
            LockedScope scope(*impl);
            impl->completeDrainIfIdle(scope, true);
        }
    });
}

void RequestService::Impl::handlePost(const HttpRequest &request, HttpResponder respond)
{
    auto content = parseCallerRequest(request.body);
    if (!content) {
        context.metrics.count("requests_refused_total",
                              {{"code", std::string(resultCodeName(content.error().code))}});
        respond(errorResponse(content.error()));
        return;
    }
    submit(std::move(*content), false, std::move(respond));
}

void RequestService::Impl::handleGet(const HttpRequest &request, const HttpResponder &respond)
{
    const RequestId id{pathOf(request.target).substr(requestsPath.size() + 1)};
    if (!isValidRequestId(id.value)) {
        respond(errorResponse({ResultCode::MalformedRequest, "the request id is not valid", "id"}));
        return;
    }
    {
        LockedScope scope(*this);
        if (const auto it = cachedAnswers.find(id); it != cachedAnswers.end()) {
            scope.afterUnlock(
                [respond, response = toResponse(it->second.answer, id)] { respond(response); });
            return;
        }
        if (activeById.contains(id)) {
            scope.afterUnlock([respond, id] {
                respond(
                    withId(errorResponse(outcomeUnknown(id, "the request is in progress")), id));
            });
            return;
        }
    }
    store.read(id, [respond, id](const Result<std::optional<RequestRecord>> &result) {
        Error error{ResultCode::RequestNotFound, "no request with this id is recorded", id.value};
        if (!result) {
            error = result.error();
        } else if (result->has_value()) {
            const RequestRecord &record = **result;
            if (record.state == RecordState::Done) {
                respond(toResponse(record.answer, id));
                return;
            }
            error = record.state == RecordState::NotRun
                        ? Error{ResultCode::NotHandedOver, "the request was not run", id.value}
                        : outcomeUnknown(id, "the request may have run; no answer is recorded");
        }
        respond(withId(errorResponse(error), id));
    });
}

void RequestService::Impl::submit(CallerRequest content, bool receivedFromPeer,
                                  HttpResponder respond)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->fingerprint = contentFingerprint(content.tenant, content.service, content.body);
    pending->content = std::move(content);
    pending->receivedFromPeer = receivedFromPeer;
    pending->arrival = std::chrono::steady_clock::now();
    pending->deadline = pending->arrival + pending->content.timeout;
    pending->respond = std::move(respond);

    LockedScope scope(*this);
    const CallerRequest &request = pending->content;
    if (draining) {
        refuse(scope, pending, {ResultCode::ShuttingDown, "the daemon is shutting down"});
        return;
    }
    // Answers are looked up by id, so an id must not be reused with different content.
    const auto sameId = activeById.find(request.id);
    const auto cached = cachedAnswers.find(request.id);
    if ((sameId != activeById.end() && sameId->second->fingerprint != pending->fingerprint)
        || (cached != cachedAnswers.end() && cached->second.fingerprint != pending->fingerprint)) {
        refuse(scope, pending,
               {ResultCode::RequestIdReused, "the id was already used with different content",
                request.id.value});
        return;
    }
    recordRequest(retryBudget);
    active.insert(pending);
    activeById.emplace(request.id, pending);
    scope.afterUnlock(
        [self = shared_from_this(), weak = std::weak_ptr(pending), timeout = request.timeout] {
            self->context.traffic.postAfter(timeout, [self, weak] {
                if (const auto expired = weak.lock()) {
                    self->onDeadline(expired);
                }
            });
        });
    if (isOut(context.settings.failureDomain)
        || !hasUsableInstance(table, request.service, pending->arrival)) {
        pending->forwardTargets = forwardTargets();
        if (receivedFromPeer || pending->forwardTargets.empty()) {
            refuse(scope, pending,
                   {ResultCode::NoInstance, "the service has no usable instance",
                    request.service.value});
            return;
        }
        forward(scope, pending);
        return;
    }
    if (request.repeatable) {
        enqueueRequest(scope, pending);
        return;
    }
    // Check the queue before writing the record, so that overload does not put load on the
    // platform.
    if (!admits(queue, request.requestClass)) {
        refuse(scope, pending,
               {ResultCode::Overloaded, "the queue of the request class is full",
                std::string(requestClassName(request.requestClass))});
        return;
    }
    scope.afterUnlock([self = shared_from_this(), pending] {
        self->store.claim(
            pending->content.id, pending->fingerprint,
            [pending] { return !pending->claimAbandoned; },
            [self, pending](Result<ClaimResult> result) {
                self->onClaimed(pending, std::move(result));
            });
    });
}

void RequestService::Impl::onClaimed(const PendingPtr &pending, Result<ClaimResult> result)
{
    LockedScope scope(*this);
    const RequestId &id = pending->content.id;
    if (pending->claimAbandoned) {
        // The caller has already been told that the request was not run.
        if (result && result->decision == ClaimDecision::Claim) {
            scope.afterUnlock([self = shared_from_this(), id, claim = result->claim] {
                self->store.release(id, claim, [] {});
            });
        }
        return;
    }
    if (!result) {
        Error error = result.error();
        if (error.code == ResultCode::PlatformProtocol) {
            error.code = ResultCode::RecordUnavailable;
        }
        refuse(scope, pending, error);
        return;
    }
    switch (result->decision) {
    case ClaimDecision::Claim:
        pending->claim = std::move(result->claim);
        enqueueRequest(scope, pending);
        return;
    case ClaimDecision::AnswerStored:
        respond(scope, pending, toResponse(result->claim.record.answer, id));
        finishRequest(scope, pending);
        return;
    case ClaimDecision::OutcomeUnknown:
        fail(scope, pending,
             outcomeUnknown(id, "an earlier attempt may have run; no answer is recorded"));
        return;
    case ClaimDecision::RequestIdReused:
        refuse(scope, pending,
               {ResultCode::RequestIdReused, "the id was already used with different content",
                id.value});
        return;
    }
}

void RequestService::Impl::enqueueRequest(LockedScope &scope, const PendingPtr &pending)
{
    const CallerRequest &request = pending->content;
    pending->stage = Stage::Queued;
    pending->queueKey = {request.requestClass, pending->deadline, ++lastSequence};
    const AdmissionDecision decision = enqueue(queue, request.service, pending->queueKey);
    if (decision.displaced) {
        const auto it = queuedBySequence.find(decision.displaced->sequence);
        const PendingPtr displaced = it->second;
        queuedBySequence.erase(it);
        refuse(scope, displaced,
               {ResultCode::Overloaded,
                "displaced from the full queue by a request of a higher class",
                std::string(requestClassName(displaced->content.requestClass))});
    }
    if (!decision.admitted) {
        refuse(scope, pending,
               {ResultCode::Overloaded, "the queue of the request class is full",
                std::string(requestClassName(request.requestClass))});
        return;
    }
    queuedBySequence[pending->queueKey.sequence] = pending;
    dispatchQueued(scope, request.service);
}

void RequestService::Impl::dispatchQueued(LockedScope &scope, const ServiceId &service)
{
    const auto waiting = queue.waiting.find(service);
    if (waiting == queue.waiting.end()) {
        return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    const std::uint32_t slots = totalSlots(table, service);
    std::vector<InstanceState *> freeInstances;
    for (auto &[id, instance] : table.instances) {
        if (instance.info.service == service && hasFreeSlot(table, instance, now)) {
            freeInstances.push_back(&instance);
        }
    }
    std::vector<RequestQueueKey> started;
    for (const RequestQueueKey &key : waiting->second) {
        if (freeInstances.empty()) {
            break;
        }
        const PendingPtr &pending = queuedBySequence.at(key.sequence);
        // An expired request must not be started any more; its timer sends the response.
        if (key.deadline <= now
            || !mayTakeSlot(queue, slotsInUse[service], slots, key.requestClass)) {
            continue;
        }
        const bool anyBreakerClosed =
            std::any_of(freeInstances.begin(), freeInstances.end(), [](const auto *instance) {
                return instance->breaker.state == BreakerState::Closed;
            });
        std::vector<InstanceState *> choices;
        std::vector<InstanceCandidate> candidates;
        for (InstanceState *const instance : freeInstances) {
            // A trial of a suspended instance is likely to fail, so a non-repeatable request is
            // used for it only if no instance with a closed breaker is free.
            const bool trial = instance->breaker.state != BreakerState::Closed;
            if (!pending->triedInstances.contains(instance->info.id)
                && (pending->content.repeatable || !trial || !anyBreakerClosed)) {
                choices.push_back(instance);
                candidates.push_back({instance->inFlight, instance->slotShare,
                                      decayedLatency(instance->latency, now)});
            }
        }
        const auto chosen = policy.choose(candidates, random());
        if (!chosen) {
            continue;
        }
        InstanceState &instance = *choices[*chosen];
        startAttempt(scope, pending, instance, now);
        started.push_back(key);
        if (!hasFreeSlot(table, instance, now)) {
            freeInstances.erase(std::find(freeInstances.begin(), freeInstances.end(), &instance));
        }
    }
    for (const RequestQueueKey &key : started) {
        dequeue(queue, service, key);
        queuedBySequence.erase(key.sequence);
    }
    publishGauges();
}

void RequestService::Impl::dispatchAllQueued(LockedScope &scope)
{
    std::vector<ServiceId> services;
    services.reserve(queue.waiting.size());
    for (const auto &[service, keys] : queue.waiting) {
        services.push_back(service);
    }
    for (const ServiceId &service : services) {
        dispatchQueued(scope, service);
    }
}

void RequestService::Impl::startAttempt(LockedScope &scope, const PendingPtr &pending,
                                        InstanceState &instance, TimePoint now)
{
    const CallerRequest &content = pending->content;
    pending->stage = Stage::Executing;
    pending->triedInstances.insert(instance.info.id);
    const Attempt attempt{instance.info.id, now, instance.breaker.state != BreakerState::Closed};
    recordAttemptStart(instance.breaker);
    ++instance.inFlight;
    ++slotsInUse[content.service][static_cast<std::size_t>(content.requestClass)];
    ++attemptsInProgress;
    scope.afterUnlock([self = shared_from_this(), pending, attempt,
                       endpoint = endpoints.at(instance.info.id),
                       timeLeft = pending->deadline - now] {
        const CallerRequest &request = pending->content;
        const auto timeLeftMs = std::chrono::ceil<milliseconds>(timeLeft);
        HttpRequest message{.method = "POST",
                            .target = "/v1/execute",
                            .headers = {{"x-request-id", request.id.value},
                                        {"x-deadline-ms", std::to_string(timeLeftMs.count())}},
                            .body = request.body};
        // Use a fresh connection for non-repeatable requests: if the instance closed an idle
        // connection just as the request is sent, the outcome would needlessly be unknown.
        const HttpCallOptions call{.timeout = timeLeft + self->options.lateAnswerTimeout,
                                   .freshConnection = !request.repeatable};
        self->context.trafficClient.send(endpoint, std::move(message), call,
                                         [self, pending, attempt](const HttpOutcome &outcome) {
                                             self->onAttemptEnded(pending, attempt, outcome);
                                         });
    });
}

void RequestService::Impl::recordAttemptResult(LockedScope &scope, const PendingPtr &pending,
                                               const Attempt &attempt,
                                               const AttemptClassification &classification,
                                               bool instanceLeaves, TimePoint now)
{
    const CallerRequest &content = pending->content;
    --slotsInUse[content.service][static_cast<std::size_t>(content.requestClass)];
    --attemptsInProgress;
    const auto it = table.instances.find(attempt.instance);
    if (it == table.instances.end()) {
        return;
    }
    InstanceState &instance = it->second;
    // The counter may be 0: the instance may have been removed and added again in the meantime.
    instance.inFlight -= instance.inFlight > 0 ? 1 : 0;
    instance.selfReportedLeaving = instance.selfReportedLeaving || instanceLeaves;
    const Duration elapsed = now - attempt.started;
    addLatencySample(instance.latency,
                     classification.health == AttemptHealth::Success
                         ? elapsed
                         : std::max<Duration>(elapsed, failureLatency),
                     now);
    const BreakerState before = instance.breaker.state;
    recordAttemptEnd(instance.breaker, options.breaker, classification.health, attempt.trial, now);
    const BreakerState state = instance.breaker.state;
    if (state == before) {
        return;
    }
    scope.afterUnlock([id = attempt.instance, state] {
        logEvent(state == BreakerState::Closed ? EventId::InstanceResumed
                                               : EventId::InstanceSuspended,
                 {{"instance", id.value}});
    });
    if (state == BreakerState::Open) {
        // Queued requests may be waiting for the trial after the suspension.
        scope.afterUnlock([self = shared_from_this(), service = content.service,
                           delay = instance.breaker.suspension] {
            self->context.traffic.postAfter(delay, [self, service] {
                LockedScope trialScope(*self);
                self->dispatchQueued(trialScope, service);
            });
        });
    }
}

bool RequestService::Impl::mayAttemptAgain(const PendingPtr &pending, AttemptOutcome outcome,
                                           TimePoint now)
{
    const CallerRequest &request = pending->content;
    if (!mayRetry(outcome, request.repeatable) || !pending->respond || now >= pending->deadline
        || pending->triedInstances.size() >= options.maxAttempts) {
        return false;
    }
    const bool hasUntriedInstance =
        std::any_of(table.instances.begin(), table.instances.end(), [&](const auto &entry) {
            return entry.second.info.service == request.service
                   && !pending->triedInstances.contains(entry.first)
                   && isUsable(table, entry.second, now);
        });
    return hasUntriedInstance && tryTakeRetry(retryBudget);
}

void RequestService::Impl::onAttemptEnded(const PendingPtr &pending, const Attempt &attempt,
                                          const HttpOutcome &outcome)
{
    AttemptObservation observation{.handedOver = outcome.handedOver};
    bool instanceLeaves = false;
    std::string reason;
    const RequestId &id = pending->content.id;
    if (outcome.response) {
        observation.status = outcome.response->status;
        observation.idMatches = headerOf(*outcome.response, "x-request-id") == id.value;
        observation.notRunDeclared = headerOf(*outcome.response, "x-not-run") == "true";
        instanceLeaves = headerOf(*outcome.response, "x-leaving") == "true";
        reason = observation.idMatches ? "the backend server responded with status "
                                             + std::to_string(observation.status)
                                       : "the answer does not carry the id of the request";
    } else {
        observation.transportResult = outcome.response.error().code;
        reason = outcome.response.error().message;
    }
    const AttemptClassification classification = classifyAttempt(observation);
    const TimePoint now = std::chrono::steady_clock::now();

    LockedScope scope(*this);
    recordAttemptResult(scope, pending, attempt, classification, instanceLeaves, now);
    if (classification.outcome != AttemptOutcome::NotRun) {
        pending->mayHaveRun = true;
    }
    if (classification.code == ResultCode::IncompleteAnswer) {
        scope.afterUnlock([id, instance = attempt.instance] {
            logEvent(EventId::AnswerIncomplete,
                     {{"request", id.value}, {"instance", instance.value}});
        });
    }
    if (classification.outcome == AttemptOutcome::Answered) {
        deliverAnswer(scope, pending,
                      {outcome.response->status, headerOf(*outcome.response, "content-type"),
                       outcome.response->body});
    } else if (mayAttemptAgain(pending, classification.outcome, now)) {
        scope.afterUnlock([self = shared_from_this()] {
            self->context.metrics.count("request_retries_total", {});
        });
        enqueueRequest(scope, pending);
    } else if (classification.outcome == AttemptOutcome::NotRun) {
        refuse(scope, pending, {ResultCode::NotHandedOver, reason, pending->content.service.value});
    } else if (pending->content.repeatable) {
        Error error{classification.code, reason, pending->content.service.value};
        if (classification.code == ResultCode::OutcomeUnknown) {
            error = outcomeUnknown(id, reason);
        }
        fail(scope, pending, error);
    } else if (classification.outcome == AttemptOutcome::BackendError) {
        // The error is recorded as the answer. It is not passed on unchanged, because a 503 could
        // be mistaken for "not run".
        const HttpResponse response =
            errorResponse({ResultCode::BackendFailed, reason, pending->content.service.value});
        deliverAnswer(scope, pending,
                      {response.status, headerOf(response, "content-type"), response.body});
    } else {
        fail(scope, pending, outcomeUnknown(id, reason));
    }
    dispatchQueued(scope, pending->content.service);
    publishGauges();
}

void RequestService::Impl::deliverAnswer(LockedScope &scope, const PendingPtr &pending,
                                         StoredAnswer answer)
{
    const RequestId id = pending->content.id;
    const bool late = !pending->respond;
    respond(scope, pending, toResponse(answer, id));
    if (pending->claim) {
        cacheAnswer(id, {answer, pending->fingerprint, true});
        scope.afterUnlock(
            [self = shared_from_this(), id, claim = *pending->claim, answer = std::move(answer)] {
                self->store.complete(id, claim, answer, [self, id] {
                    LockedScope settledScope(*self);
                    self->unpin(id);
                });
            });
    } else if (late) {
        cacheAnswer(id, {std::move(answer), pending->fingerprint, false});
    }
    finishRequest(scope, pending);
}

void RequestService::Impl::cacheAnswer(const RequestId &id, CachedAnswer answer)
{
    if (cachedAnswers.contains(id)) {
        return;
    }
    if (!answer.pinned) {
        evictableBytes += answer.answer.body.size();
        evictionOrder.push_back(id);
    }
    cachedAnswers.emplace(id, std::move(answer));
    while (evictableBytes > options.lateAnswerCacheBytes) {
        const auto oldest = cachedAnswers.find(evictionOrder.front());
        evictableBytes -= oldest->second.answer.body.size();
        cachedAnswers.erase(oldest);
        evictionOrder.pop_front();
    }
}

void RequestService::Impl::unpin(const RequestId &id)
{
    const auto it = cachedAnswers.find(id);
    if (it != cachedAnswers.end() && it->second.pinned) {
        cachedAnswers.erase(it);
    }
}

std::vector<MemberInfo> RequestService::Impl::forwardTargets()
{
    std::vector<MemberInfo> targets;
    for (const MemberInfo &member : members) {
        if (member.failureDomain != context.settings.failureDomain
            && !isOut(member.failureDomain)) {
            targets.push_back(member);
        }
    }
    std::shuffle(targets.begin(), targets.end(), random);
    return targets;
}

void RequestService::Impl::forward(LockedScope &scope, const PendingPtr &pending)
{
    pending->stage = Stage::Forwarding;
    ++pending->forwardCount;
    const MemberInfo target = pending->forwardTargets.back();
    pending->forwardTargets.pop_back();
    const Duration timeLeft = pending->deadline - std::chrono::steady_clock::now();
    scope.afterUnlock([self = shared_from_this(), pending, target, timeLeft] {
        const CallerRequest &content = pending->content;
        const ForwardedRequest message{
            .id = content.id,
            .tenant = content.tenant,
            .requestClass = std::string(requestClassName(content.requestClass)),
            .service = content.service,
            .repeatable = content.repeatable,
            .timeout = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(timeLeft)),
            .body = content.body};
        self->context.peers.call(target.peer, message, timeLeft + self->options.lateAnswerTimeout,
                                 [self, pending](const Result<PeerMessage> &result) {
                                     self->onForwarded(pending, result);
                                 });
    });
}

void RequestService::Impl::onForwarded(const PendingPtr &pending, const Result<PeerMessage> &result)
{
    const RequestId &id = pending->content.id;
    LockedScope scope(*this);
    const ForwardedAnswer *const answer = result ? std::get_if<ForwardedAnswer>(&*result) : nullptr;
    if (!result && result.error().code == ResultCode::FrameTooLarge) {
        refuse(scope, pending, {ResultCode::RequestTooLarge, result.error().message, "body"});
        return;
    }
    const bool notRunThere = answer != nullptr && isNotRunAnswer(*answer);
    if (answer == nullptr) {
        pending->mayHaveRun = true;
    }
    // A non-repeatable request may also be forwarded to a second daemon: both use the same record,
    // so the request runs at most once.
    if ((answer == nullptr || notRunThere) && pending->respond
        && std::chrono::steady_clock::now() < pending->deadline
        && pending->forwardCount < maxForwardAttempts && !pending->forwardTargets.empty()
        && tryTakeRetry(retryBudget)) {
        scope.afterUnlock([self = shared_from_this()] {
            self->context.metrics.count("request_retries_total", {});
        });
        forward(scope, pending);
        return;
    }
    if (answer == nullptr || (notRunThere && pending->mayHaveRun)) {
        fail(scope, pending,
             outcomeUnknown(
                 id, "the daemon that the request was forwarded to did not return a definite "
                     "result"));
        return;
    }
    const bool isJson = answer->body.starts_with('{');
    const StoredAnswer stored{answer->status, isJson ? "application/json" : "", answer->body};
    if (!pending->respond && answer->status < 500) {
        cacheAnswer(id, {stored, pending->fingerprint, false});
    }
    respond(scope, pending, toResponse(stored, id));
    finishRequest(scope, pending);
}

void RequestService::Impl::onDeadline(const PendingPtr &pending)
{
    LockedScope scope(*this);
    if (!pending->respond) {
        return;
    }
    const RequestId &id = pending->content.id;
    switch (pending->stage) {
    case Stage::Claiming:
        pending->claimAbandoned = true;
        refuse(scope, pending,
               {ResultCode::RecordUnavailable,
                "the request could not be recorded before its deadline", id.value});
        return;
    case Stage::Queued:
        dequeue(queue, pending->content.service, pending->queueKey);
        queuedBySequence.erase(pending->queueKey.sequence);
        refuse(scope, pending,
               {ResultCode::DeadlineExpired, "no slot became free before the deadline", id.value});
        return;
    case Stage::Executing:
    case Stage::Forwarding: {
        // The attempt continues, and its late answer is kept.
        const Error error = outcomeUnknown(id, "the deadline passed before the answer arrived");
        countFailure(scope, id, error);
        respond(scope, pending, withId(errorResponse(error), id));
        return;
    }
    case Stage::Releasing:
        respond(scope, pending, withId(errorResponse(pending->refusal), id));
        return;
    case Stage::Ended:
        return;
    }
}

void RequestService::Impl::onReleased(const PendingPtr &pending)
{
    LockedScope scope(*this);
    respond(scope, pending, withId(errorResponse(pending->refusal), pending->content.id));
    finishRequest(scope, pending);
}

/// Responds that the request was not run. If a record was claimed, it is released first, so that a
/// retry may run.
void RequestService::Impl::refuse(LockedScope &scope, const PendingPtr &pending, Error error)
{
    const RequestId &id = pending->content.id;
    if (pending->mayHaveRun && error.code != ResultCode::RequestIdReused) {
        fail(scope, pending, outcomeUnknown(id, error.message));
        return;
    }
    scope.afterUnlock([self = shared_from_this(), id, error] {
        const std::string name(resultCodeName(error.code));
        self->context.metrics.count("requests_refused_total", {{"code", name}});
        logEvent(EventId::RequestRefused, {{"request", id.value},
                                           {"code", std::to_string(static_cast<int>(error.code))},
                                           {"reason", error.message}});
    });
    pending->refusal = std::move(error);
    if (!pending->claim) {
        respond(scope, pending, withId(errorResponse(pending->refusal), id));
        finishRequest(scope, pending);
        return;
    }
    pending->stage = Stage::Releasing;
    if (pending->refusal.code == ResultCode::DeadlineExpired) {
        respond(scope, pending, withId(errorResponse(pending->refusal), id));
    }
    scope.afterUnlock([self = shared_from_this(), pending] {
        self->store.release(pending->content.id, *pending->claim,
                            [self, pending] { self->onReleased(pending); });
    });
}

void RequestService::Impl::countFailure(LockedScope &scope, const RequestId &id, const Error &error)
{
    scope.afterUnlock([self = shared_from_this(), id, error] {
        self->context.metrics.count("requests_failed_total",
                                    {{"code", std::string(resultCodeName(error.code))}});
        if (error.code == ResultCode::OutcomeUnknown) {
            logEvent(EventId::RequestOutcomeUnknown,
                     {{"request", id.value}, {"reason", error.message}});
        }
    });
}

/// Responds with an error for a request that ran or may have run.
void RequestService::Impl::fail(LockedScope &scope, const PendingPtr &pending, const Error &error)
{
    const RequestId &id = pending->content.id;
    countFailure(scope, id, error);
    respond(scope, pending, withId(errorResponse(error), id));
    finishRequest(scope, pending);
}

void RequestService::Impl::respond(LockedScope &scope, const PendingPtr &pending,
                                   HttpResponse response)
{
    if (!pending->respond) {
        return;
    }
    // Refusals are counted by code instead. Their short latencies would hide slow answers.
    const bool isRefusal = pending->refusal.code != ResultCode::Ok;
    scope.afterUnlock([self = shared_from_this(), pending, isRefusal,
                       response = std::move(response),
                       responder = std::exchange(pending->respond, nullptr)] {
        const CallerRequest &content = pending->content;
        if (!isRefusal) {
            self->context.metrics.observe(
                "request_seconds",
                {{"tenant", content.tenant},
                 {"class", std::string(requestClassName(content.requestClass))}},
                std::chrono::steady_clock::now() - pending->arrival);
        }
        responder(response);
    });
}

void RequestService::Impl::finishRequest(LockedScope &scope, const PendingPtr &pending)
{
    pending->stage = Stage::Ended;
    if (active.erase(pending) == 0) {
        return;
    }
    const auto [first, last] = activeById.equal_range(pending->content.id);
    const auto it =
        std::find_if(first, last, [&](const auto &entry) { return entry.second == pending; });
    if (it != last) {
        activeById.erase(it);
    }
    // Check for the end of the drain only after the write of the record has begun; otherwise the
    // daemon could stop before it.
    scope.afterUnlock([self = shared_from_this()] {
        LockedScope drainScope(*self);
        self->completeDrainIfIdle(drainScope, true);
    });
}

void RequestService::Impl::completeDrainIfIdle(LockedScope &scope, bool waitForRecords)
{
    if (draining && drainCallback && active.empty()
        && (!waitForRecords || store.unsettled() == 0)) {
        scope.afterUnlock(std::exchange(drainCallback, nullptr));
    }
}

void RequestService::Impl::publishGauges()
{
    context.metrics.set("request_slots_in_use", {}, attemptsInProgress);
    context.metrics.set("retry_budget_tokens", {}, retriesLeft(retryBudget));
}

bool RequestService::Impl::isOut(const FailureDomainId &domain) const
{
    const auto it = domainStates.find(domain);
    return it != domainStates.end() && it->second == DomainCondition::Out;
}

Result<std::unique_ptr<RequestService>> RequestService::create(DaemonContext &context,
                                                               const RequestServiceOptions &options)
{
    const auto policy =
        PluginRegistry<RoutingPolicy>::instance().find(context.settings.routingPolicy);
    if (!policy) {
        return tl::unexpected<Error>(policy.error());
    }
    auto impl = std::make_shared<Impl>(context, options, *policy);
    impl->addRoutes();
    return std::unique_ptr<RequestService>(new RequestService(std::move(impl)));
}

RequestService::RequestService(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

RequestService::~RequestService() = default;

void RequestService::setInstances(const std::vector<HostRecord> &hosts)
{
    Impl::LockedScope scope(*m_impl);
    std::vector<InstanceInfo> instances;
    std::map<InstanceId, Endpoint> endpoints;
    for (const HostRecord &host : hosts) {
        if (host.service.empty() || host.failureDomain != m_impl->context.settings.failureDomain) {
            continue;
        }
        const InstanceId id{host.host.value};
        instances.push_back({.id = id,
                             .service = host.service,
                             .slots = host.slots,
                             .connections = host.connections,
                             .leaving = host.condition == HostCondition::Leaving});
        endpoints[id] = host.endpoint;
        // A new endpoint means another process under the same name: discard the state of the old
        // one.
        if (const auto it = m_impl->endpoints.find(id);
            it != m_impl->endpoints.end() && it->second != host.endpoint) {
            m_impl->table.instances.erase(id);
        }
    }
    acaciadeal::setInstances(m_impl->table, instances);
    m_impl->endpoints = std::move(endpoints);
    m_impl->dispatchAllQueued(scope);
}

void RequestService::setMembers(const std::vector<MemberInfo> &members)
{
    Impl::LockedScope scope(*m_impl);
    std::vector<DaemonId> sharingDaemons;
    for (const MemberInfo &member : members) {
        if (member.failureDomain == m_impl->context.settings.failureDomain) {
            sharingDaemons.push_back(member.daemon);
        }
    }
    m_impl->members = members;
    setSharingDaemons(m_impl->table, std::move(sharingDaemons));
    m_impl->dispatchAllQueued(scope);
}

void RequestService::setDomainStates(std::map<FailureDomainId, DomainCondition> states)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->domainStates = std::move(states);
}

void RequestService::setClassRules(const ClassRules &rules)
{
    Impl::LockedScope scope(*m_impl);
    m_impl->queue.rules = rules;
    for (const RequestQueueKey &key : shedQueued(m_impl->queue)) {
        const auto it = m_impl->queuedBySequence.find(key.sequence);
        const PendingPtr pending = it->second;
        m_impl->queuedBySequence.erase(it);
        m_impl->refuse(scope, pending,
                       {ResultCode::Overloaded,
                        "requests of this class are being shed under overload",
                        std::string(requestClassName(key.requestClass))});
    }
    m_impl->dispatchAllQueued(scope);
}

bool RequestService::isUnderPressure() const
{
    const std::lock_guard lock(m_impl->mutex);
    const TimePoint now = std::chrono::steady_clock::now();
    return std::any_of(
        m_impl->queuedBySequence.begin(), m_impl->queuedBySequence.end(), [now](const auto &entry) {
            const PendingRequest &pending = *entry.second;
            return pending.content.requestClass == RequestClass::Urgent
                   && hasWaitedHalfOfTimeLimit(pending.arrival, pending.deadline, now);
        });
}

void RequestService::setLeavingInstances(const std::set<std::string> &instances)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->table.peerReportedLeaving.clear();
    for (const std::string &instance : instances) {
        m_impl->table.peerReportedLeaving.insert({instance});
    }
}

std::set<std::string> RequestService::leavingInstances() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::set<std::string> result;
    for (const InstanceId &instance : locallyObservedLeaving(m_impl->table)) {
        result.insert(instance.value);
    }
    return result;
}

void RequestService::handleForwardedRequest(const ForwardedRequest &message, PeerResponder respond)
{
    auto content = toCallerRequest(message);
    if (!content) {
        respond(Refusal{content.error()});
        return;
    }
    m_impl->submit(std::move(*content), true,
                   [id = message.id, respond = std::move(respond)](const HttpResponse &response) {
                       if (response.body.size() + frameOverheadBytes > maxFramePayloadBytes) {
                           const HttpResponse tooLarge = errorResponse(outcomeUnknown(
                               id, "the answer is too large to be sent between daemons"));
                           respond(ForwardedAnswer{tooLarge.status, tooLarge.body});
                           return;
                       }
                       respond(ForwardedAnswer{response.status, response.body});
                   });
}

std::size_t RequestService::inProgress() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->active.size();
}

void RequestService::drain(std::function<void()> done)
{
    Impl::LockedScope scope(*m_impl);
    m_impl->draining = true;
    m_impl->drainCallback = std::move(done);
    m_impl->completeDrainIfIdle(scope, true);
    scope.afterUnlock([impl = m_impl] {
        impl->context.traffic.postAfter(impl->options.lateAnswerTimeout, [impl] {
            Impl::LockedScope lateScope(*impl);
            impl->completeDrainIfIdle(lateScope, false);
        });
    });
}

} // namespace acaciadeal
