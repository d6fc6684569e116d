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
/// Room in a frame for everything but the body of an answer.
constexpr std::size_t frameOverhead = 4096;
/// Forwarding tries one other daemon after a failure.
constexpr std::size_t maxForwards = 2;
/// Counted as the latency of a failed attempt, so that an instance that refuses or fails at once
/// does not look fast.
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

/// Returns whether an answer of a peer says that the request did not run there.
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

/// One request in progress. Apart from gaveUp, the members from `stage` on are guarded by the
/// service's mutex.
struct PendingRequest
{
    CallerRequest content;
    std::string fingerprint;
    bool forwardedHere = false;
    TimePoint arrival;
    TimePoint deadline;

    Stage stage = Stage::Claiming;
    /// Empty once the caller has been answered.
    HttpResponder respond;
    /// Set when the deadline passes before the request was handed over.
    std::atomic<bool> gaveUp = false;
    RequestQueueKey queueKey;
    std::optional<RecordClaim> claim;
    std::set<InstanceId> tried;
    std::vector<MemberInfo> forwardTargets;
    std::size_t forwards = 0;
    /// An attempt was handed over and its outcome is unknown, so "not run" would be untrue.
    bool mayHaveRun = false;
    /// Set if the request is refused as not run.
    Error refusal;
};

using PendingPtr = std::shared_ptr<PendingRequest>;

struct Attempt
{
    InstanceId instance;
    TimePoint started;
    /// The attempt decides whether the circuit breaker closes.
    bool trial = false;
};

struct KeptAnswer
{
    StoredAnswer answer;
    std::string fingerprint;
    /// Kept because its record is not yet written, regardless of the memory limit.
    bool pinned = false;
};

} // namespace

// One mutex guards all state, because admission, slots and queue change together. It is never held
// while a function outside the request path's decision logic runs: such calls are collected in a
// Step and made after the mutex was released.
struct RequestService::Impl : std::enable_shared_from_this<RequestService::Impl>
{
    class Step
    {
    public:
        explicit Step(Impl &impl)
            : m_lock(impl.mutex)
        {
        }
        ~Step()
        {
            m_lock.unlock();
            for (const auto &effect : m_effects) {
                effect();
            }
        }
        Step(const Step &) = delete;
        Step &operator=(const Step &) = delete;

        void after(std::function<void()> effect)
        {
            m_effects.push_back(std::move(effect));
        }

    private:
        std::unique_lock<std::mutex> m_lock;
        std::vector<std::function<void()>> m_effects;
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

    // Entry points; they take the mutex.
    void handlePost(const HttpRequest &request, HttpResponder respond);
    void handleGet(const HttpRequest &request, const HttpResponder &respond);
    void submit(CallerRequest content, bool forwardedHere, HttpResponder respond);
    void onClaimed(const PendingPtr &pending, Result<ClaimResult> result);
    void onAttemptEnded(const PendingPtr &pending, const Attempt &attempt,
                        const HttpOutcome &outcome);
    void onForwarded(const PendingPtr &pending, const Result<PeerMessage> &result);
    void onDeadline(const PendingPtr &pending);
    void onReleased(const PendingPtr &pending);

    // Steps of a request; the mutex is held.
    void enqueueRequest(Step &step, const PendingPtr &pending);
    void pump(Step &step, const ServiceId &service);
    void handOver(Step &step, const PendingPtr &pending, InstanceState &instance, TimePoint now);
    void recordAttempt(Step &step, const PendingPtr &pending, const Attempt &attempt,
                       const AttemptJudgement &judgement, bool instanceLeaves, TimePoint now);
    bool mayTryAgain(const PendingPtr &pending, AttemptVerdict verdict, TimePoint now);
    void forward(Step &step, const PendingPtr &pending);
    void deliver(Step &step, const PendingPtr &pending, StoredAnswer answer);
    void keepAnswer(const RequestId &id, KeptAnswer answer);
    void unpin(const RequestId &id);
    void refuse(Step &step, const PendingPtr &pending, Error error);
    void fail(Step &step, const PendingPtr &pending, const Error &error);
    void countFailure(Step &step, const RequestId &id, const Error &error);
    void respond(Step &step, const PendingPtr &pending, HttpResponse response);
    void end(Step &step, const PendingPtr &pending);
    void completeDrain(Step &step, bool waitForRecords);
    void publishGauges();
    void pumpAll(Step &step);
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
    std::map<std::uint64_t, PendingPtr> queued;
    std::uint64_t lastSequence = 0;
    RetryBudget retryBudget;
    std::mt19937_64 random;
    std::vector<MemberInfo> members;
    std::map<FailureDomainId, DomainCondition> domainStates;
    std::set<PendingPtr> active;
    std::multimap<RequestId, PendingPtr> activeById;
    std::map<RequestId, KeptAnswer> answers;
    std::deque<RequestId> answerOrder;
    std::size_t answerBytes = 0;
    bool draining = false;
    std::function<void()> drained;
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
            Step step(*impl);
            impl->completeDrain(step, true);
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
        respond(errorResponse({ResultCode::MalformedRequest, "not a request id", "id"}));
        return;
    }
    {
        Step step(*this);
        if (const auto it = answers.find(id); it != answers.end()) {
            step.after(
                [respond, response = toResponse(it->second.answer, id)] { respond(response); });
            return;
        }
        if (activeById.contains(id)) {
            step.after([respond, id] {
                respond(
                    withId(errorResponse(outcomeUnknown(id, "the request is in progress")), id));
            });
            return;
        }
    }
    store.read(id, [respond, id](const Result<std::optional<RequestRecord>> &result) {
        Error error{ResultCode::RequestNotFound, "no request of this id is recorded", id.value};
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
                        : outcomeUnknown(id, "no answer has arrived yet");
        }
        respond(withId(errorResponse(error), id));
    });
}

void RequestService::Impl::submit(CallerRequest content, bool forwardedHere, HttpResponder respond)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->fingerprint = contentFingerprint(content.tenant, content.service, content.body);
    pending->content = std::move(content);
    pending->forwardedHere = forwardedHere;
    pending->arrival = std::chrono::steady_clock::now();
    pending->deadline = pending->arrival + pending->content.timeout;
    pending->respond = std::move(respond);

    Step step(*this);
    const CallerRequest &request = pending->content;
    if (draining) {
        refuse(step, pending, {ResultCode::ShuttingDown, "the daemon is shutting down"});
        return;
    }
    // Late answers are found by id, so one id stands for one content.
    const auto sameId = activeById.find(request.id);
    const auto kept = answers.find(request.id);
    if ((sameId != activeById.end() && sameId->second->fingerprint != pending->fingerprint)
        || (kept != answers.end() && kept->second.fingerprint != pending->fingerprint)) {
        refuse(
            step, pending,
            {ResultCode::RequestIdReused, "the id was used with other content", request.id.value});
        return;
    }
    onRequest(retryBudget);
    active.insert(pending);
    activeById.emplace(request.id, pending);
    step.after(
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
        if (forwardedHere || pending->forwardTargets.empty()) {
            refuse(step, pending,
                   {ResultCode::NoInstance, "no usable instance of the service is known",
                    request.service.value});
            return;
        }
        forward(step, pending);
        return;
    }
    if (request.repeatable) {
        enqueueRequest(step, pending);
        return;
    }
    // Refused before the record is written, so that overload does not reach the platform.
    if (!admits(queue, request.requestClass)) {
        refuse(step, pending,
               {ResultCode::Overloaded, "the queue of the class is full",
                std::string(requestClassName(request.requestClass))});
        return;
    }
    step.after([self = shared_from_this(), pending] {
        self->store.claim(
            pending->content.id, pending->fingerprint, [pending] { return !pending->gaveUp; },
            [self, pending](Result<ClaimResult> result) {
                self->onClaimed(pending, std::move(result));
            });
    });
}

void RequestService::Impl::onClaimed(const PendingPtr &pending, Result<ClaimResult> result)
{
    Step step(*this);
    const RequestId &id = pending->content.id;
    if (pending->gaveUp) {
        // The caller was told that the request was not run.
        if (result && result->decision == ClaimDecision::Claim) {
            step.after([self = shared_from_this(), id, claim = result->claim] {
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
        refuse(step, pending, error);
        return;
    }
    switch (result->decision) {
    case ClaimDecision::Claim:
        pending->claim = std::move(result->claim);
        enqueueRequest(step, pending);
        return;
    case ClaimDecision::AnswerStored:
        respond(step, pending, toResponse(result->claim.record.answer, id));
        end(step, pending);
        return;
    case ClaimDecision::OutcomeUnknown:
        fail(step, pending, outcomeUnknown(id, "an earlier attempt was handed over"));
        return;
    case ClaimDecision::RequestIdReused:
        refuse(step, pending,
               {ResultCode::RequestIdReused, "the id was used with other content", id.value});
        return;
    }
}

void RequestService::Impl::enqueueRequest(Step &step, const PendingPtr &pending)
{
    const CallerRequest &request = pending->content;
    pending->stage = Stage::Queued;
    pending->queueKey = {request.requestClass, pending->deadline, ++lastSequence};
    const AdmissionDecision decision = enqueue(queue, request.service, pending->queueKey);
    if (decision.displaced) {
        const auto it = queued.find(decision.displaced->sequence);
        const PendingPtr displaced = it->second;
        queued.erase(it);
        refuse(step, displaced,
               {ResultCode::Overloaded, "a request of a higher class took the place in the queue",
                std::string(requestClassName(displaced->content.requestClass))});
    }
    if (!decision.admitted) {
        refuse(step, pending,
               {ResultCode::Overloaded, "the queue of the class is full",
                std::string(requestClassName(request.requestClass))});
        return;
    }
    queued[pending->queueKey.sequence] = pending;
    pump(step, request.service);
}

void RequestService::Impl::pump(Step &step, const ServiceId &service)
{
    const auto waiting = queue.waiting.find(service);
    if (waiting == queue.waiting.end()) {
        return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    const std::uint32_t slots = totalSlots(table, service);
    std::vector<InstanceState *> free;
    for (auto &[id, instance] : table.instances) {
        if (instance.info.service == service && hasFreeSlot(table, instance, now)) {
            free.push_back(&instance);
        }
    }
    std::vector<RequestQueueKey> started;
    for (const RequestQueueKey &key : waiting->second) {
        if (free.empty()) {
            break;
        }
        const PendingPtr &pending = queued.at(key.sequence);
        // An expired request is answered by its timer and must not be handed over any more.
        if (key.deadline <= now
            || !mayTakeSlot(queue, slotsInUse[service], slots, key.requestClass)) {
            continue;
        }
        const bool anyClosed = std::any_of(free.begin(), free.end(), [](const auto *instance) {
            return instance->breaker.state == BreakerState::Closed;
        });
        std::vector<InstanceState *> choices;
        std::vector<InstanceCandidate> candidates;
        for (InstanceState *const instance : free) {
            // A trial is likely to fail, so it is left to requests that can be repeated.
            const bool trial = instance->breaker.state != BreakerState::Closed;
            if (!pending->tried.contains(instance->info.id)
                && (pending->content.repeatable || !trial || !anyClosed)) {
                choices.push_back(instance);
                candidates.push_back(
                    {instance->inFlight, instance->slotShare, latencyAt(instance->latency, now)});
            }
        }
        const auto chosen = policy.choose(candidates, random());
        if (!chosen) {
            continue;
        }
        InstanceState &instance = *choices[*chosen];
        handOver(step, pending, instance, now);
        started.push_back(key);
        if (!hasFreeSlot(table, instance, now)) {
            free.erase(std::find(free.begin(), free.end(), &instance));
        }
    }
    for (const RequestQueueKey &key : started) {
        dequeue(queue, service, key);
        queued.erase(key.sequence);
    }
    publishGauges();
}

void RequestService::Impl::pumpAll(Step &step)
{
    std::vector<ServiceId> services;
    services.reserve(queue.waiting.size());
    for (const auto &[service, keys] : queue.waiting) {
        services.push_back(service);
    }
    for (const ServiceId &service : services) {
        pump(step, service);
    }
}

void RequestService::Impl::handOver(Step &step, const PendingPtr &pending, InstanceState &instance,
                                    TimePoint now)
{
    const CallerRequest &content = pending->content;
    pending->stage = Stage::Executing;
    pending->tried.insert(instance.info.id);
    const Attempt attempt{instance.info.id, now, instance.breaker.state != BreakerState::Closed};
    onAttempt(instance.breaker);
    ++instance.inFlight;
    ++slotsInUse[content.service][static_cast<std::size_t>(content.requestClass)];
    ++attemptsInProgress;
    step.after([self = shared_from_this(), pending, attempt,
                endpoint = endpoints.at(instance.info.id), left = pending->deadline - now] {
        const CallerRequest &request = pending->content;
        const auto leftMilliseconds = std::chrono::ceil<milliseconds>(left);
        HttpRequest message{
            .method = "POST",
            .target = "/v1/execute",
            .headers = {{"x-request-id", request.id.value},
                        {"x-deadline-ms", std::to_string(leftMilliseconds.count())}},
            .body = request.body};
        // A connection that the instance closes while it is idle would make the outcome of a
        // non-repeatable request unknown without need.
        const HttpCallOptions call{.timeout = left + self->options.lateAnswerTime,
                                   .freshConnection = !request.repeatable};
        self->context.trafficClient.send(endpoint, std::move(message), call,
                                         [self, pending, attempt](const HttpOutcome &outcome) {
                                             self->onAttemptEnded(pending, attempt, outcome);
                                         });
    });
}

void RequestService::Impl::recordAttempt(Step &step, const PendingPtr &pending,
                                         const Attempt &attempt, const AttemptJudgement &judgement,
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
    // The instance may have been removed and added again in the meantime.
    instance.inFlight -= instance.inFlight > 0 ? 1 : 0;
    instance.leavingSeen = instance.leavingSeen || instanceLeaves;
    const Duration elapsed = now - attempt.started;
    addSample(instance.latency,
              judgement.health == AttemptHealth::Success
                  ? elapsed
                  : std::max<Duration>(elapsed, failureLatency),
              now);
    const BreakerState before = instance.breaker.state;
    onResult(instance.breaker, options.breaker, judgement.health, attempt.trial, now);
    const BreakerState state = instance.breaker.state;
    if (state == before) {
        return;
    }
    step.after([id = attempt.instance, state] {
        logEvent(state == BreakerState::Closed ? EventId::InstanceResumed
                                               : EventId::InstanceSuspended,
                 {{"instance", id.value}});
    });
    if (state == BreakerState::Open) {
        // Requests may be waiting for the trial.
        step.after([self = shared_from_this(), service = content.service,
                    delay = instance.breaker.suspension] {
            self->context.traffic.postAfter(delay, [self, service] {
                Step trial(*self);
                self->pump(trial, service);
            });
        });
    }
}

bool RequestService::Impl::mayTryAgain(const PendingPtr &pending, AttemptVerdict verdict,
                                       TimePoint now)
{
    const CallerRequest &request = pending->content;
    if (!mayRepeat(verdict, request.repeatable) || !pending->respond || now >= pending->deadline
        || pending->tried.size() >= options.maxAttempts) {
        return false;
    }
    const bool hasOther =
        std::any_of(table.instances.begin(), table.instances.end(), [&](const auto &entry) {
            return entry.second.info.service == request.service
                   && !pending->tried.contains(entry.first) && isUsable(table, entry.second, now);
        });
    return hasOther && takeRetry(retryBudget);
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
        reason = observation.idMatches ? "the backend server answered with status "
                                             + std::to_string(observation.status)
                                       : "the answer does not repeat the request's id";
    } else {
        observation.transport = outcome.response.error().code;
        reason = outcome.response.error().message;
    }
    const AttemptJudgement judgement = judgeAttempt(observation);
    const TimePoint now = std::chrono::steady_clock::now();

    Step step(*this);
    recordAttempt(step, pending, attempt, judgement, instanceLeaves, now);
    if (judgement.verdict != AttemptVerdict::NotRun) {
        pending->mayHaveRun = true;
    }
    if (judgement.code == ResultCode::IncompleteAnswer) {
        step.after([id, instance = attempt.instance] {
            logEvent(EventId::AnswerIncomplete,
                     {{"request", id.value}, {"instance", instance.value}});
        });
    }
    if (judgement.verdict == AttemptVerdict::Answered) {
        deliver(step, pending,
                {outcome.response->status, headerOf(*outcome.response, "content-type"),
                 outcome.response->body});
    } else if (mayTryAgain(pending, judgement.verdict, now)) {
        step.after([self = shared_from_this()] {
            self->context.metrics.count("request_retries_total", {});
        });
        enqueueRequest(step, pending);
    } else if (judgement.verdict == AttemptVerdict::NotRun) {
        refuse(step, pending, {ResultCode::NotHandedOver, reason, pending->content.service.value});
    } else if (pending->content.repeatable) {
        Error error{judgement.code, reason, pending->content.service.value};
        if (judgement.code == ResultCode::OutcomeUnknown) {
            error = outcomeUnknown(id, reason);
        }
        fail(step, pending, error);
    } else if (judgement.verdict == AttemptVerdict::BackendError) {
        // The error is the answer; passed on as it is, a 503 could be taken for "not run".
        const HttpResponse response =
            errorResponse({ResultCode::BackendFailed, reason, pending->content.service.value});
        deliver(step, pending,
                {response.status, headerOf(response, "content-type"), response.body});
    } else {
        fail(step, pending, outcomeUnknown(id, reason));
    }
    pump(step, pending->content.service);
    publishGauges();
}

void RequestService::Impl::deliver(Step &step, const PendingPtr &pending, StoredAnswer answer)
{
    const RequestId id = pending->content.id;
    const bool late = !pending->respond;
    respond(step, pending, toResponse(answer, id));
    if (pending->claim) {
        keepAnswer(id, {answer, pending->fingerprint, true});
        step.after(
            [self = shared_from_this(), id, claim = *pending->claim, answer = std::move(answer)] {
                self->store.complete(id, claim, answer, [self, id] {
                    Step settled(*self);
                    self->unpin(id);
                });
            });
    } else if (late) {
        keepAnswer(id, {std::move(answer), pending->fingerprint, false});
    }
    end(step, pending);
}

void RequestService::Impl::keepAnswer(const RequestId &id, KeptAnswer answer)
{
    if (answers.contains(id)) {
        return;
    }
    if (!answer.pinned) {
        answerBytes += answer.answer.body.size();
        answerOrder.push_back(id);
    }
    answers.emplace(id, std::move(answer));
    while (answerBytes > options.lateAnswerBytes) {
        const auto oldest = answers.find(answerOrder.front());
        answerBytes -= oldest->second.answer.body.size();
        answers.erase(oldest);
        answerOrder.pop_front();
    }
}

void RequestService::Impl::unpin(const RequestId &id)
{
    const auto it = answers.find(id);
    if (it != answers.end() && it->second.pinned) {
        answers.erase(it);
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

void RequestService::Impl::forward(Step &step, const PendingPtr &pending)
{
    pending->stage = Stage::Forwarding;
    ++pending->forwards;
    const MemberInfo target = pending->forwardTargets.back();
    pending->forwardTargets.pop_back();
    const Duration left = pending->deadline - std::chrono::steady_clock::now();
    step.after([self = shared_from_this(), pending, target, left] {
        const CallerRequest &content = pending->content;
        const ForwardedRequest message{
            .id = content.id,
            .tenant = content.tenant,
            .requestClass = std::string(requestClassName(content.requestClass)),
            .service = content.service,
            .repeatable = content.repeatable,
            .timeout = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(left)),
            .body = content.body};
        self->context.peers.call(target.peer, message, left + self->options.lateAnswerTime,
                                 [self, pending](const Result<PeerMessage> &result) {
                                     self->onForwarded(pending, result);
                                 });
    });
}

void RequestService::Impl::onForwarded(const PendingPtr &pending, const Result<PeerMessage> &result)
{
    const RequestId &id = pending->content.id;
    Step step(*this);
    const ForwardedAnswer *const answer = result ? std::get_if<ForwardedAnswer>(&*result) : nullptr;
    if (!result && result.error().code == ResultCode::FrameTooLarge) {
        refuse(step, pending, {ResultCode::RequestTooLarge, result.error().message, "body"});
        return;
    }
    const bool notRunThere = answer != nullptr && isNotRunAnswer(*answer);
    if (answer == nullptr) {
        pending->mayHaveRun = true;
    }
    // A non-repeatable request may go to a second daemon as well: its record, which both daemons
    // see, lets it run only once.
    if ((answer == nullptr || notRunThere) && pending->respond
        && std::chrono::steady_clock::now() < pending->deadline && pending->forwards < maxForwards
        && !pending->forwardTargets.empty() && takeRetry(retryBudget)) {
        step.after([self = shared_from_this()] {
            self->context.metrics.count("request_retries_total", {});
        });
        forward(step, pending);
        return;
    }
    if (answer == nullptr || (notRunThere && pending->mayHaveRun)) {
        fail(step, pending,
             outcomeUnknown(id, "the daemon that the request was forwarded to did "
                                "not answer"));
        return;
    }
    const bool isJson = answer->body.starts_with('{');
    const StoredAnswer stored{answer->status, isJson ? "application/json" : "", answer->body};
    if (!pending->respond && answer->status < 500) {
        keepAnswer(id, {stored, pending->fingerprint, false});
    }
    respond(step, pending, toResponse(stored, id));
    end(step, pending);
}

void RequestService::Impl::onDeadline(const PendingPtr &pending)
{
    Step step(*this);
    if (!pending->respond) {
        return;
    }
    const RequestId &id = pending->content.id;
    switch (pending->stage) {
    case Stage::Claiming:
        pending->gaveUp = true;
        refuse(step, pending,
               {ResultCode::RecordUnavailable,
                "the request could not be recorded before its deadline", id.value});
        return;
    case Stage::Queued:
        dequeue(queue, pending->content.service, pending->queueKey);
        queued.erase(pending->queueKey.sequence);
        refuse(step, pending,
               {ResultCode::DeadlineExpired, "no slot was free before the deadline", id.value});
        return;
    case Stage::Executing:
    case Stage::Forwarding: {
        // The attempt goes on, and its late answer is kept.
        const Error error = outcomeUnknown(id, "the deadline passed before the answer arrived");
        countFailure(step, id, error);
        respond(step, pending, withId(errorResponse(error), id));
        return;
    }
    case Stage::Releasing:
        respond(step, pending, withId(errorResponse(pending->refusal), id));
        return;
    case Stage::Ended:
        return;
    }
}

void RequestService::Impl::onReleased(const PendingPtr &pending)
{
    Step step(*this);
    respond(step, pending, withId(errorResponse(pending->refusal), pending->content.id));
    end(step, pending);
}

/// Answers "not run". A record that was written is released first, so that a retry may run.
void RequestService::Impl::refuse(Step &step, const PendingPtr &pending, Error error)
{
    const RequestId &id = pending->content.id;
    if (pending->mayHaveRun && error.code != ResultCode::RequestIdReused) {
        fail(step, pending, outcomeUnknown(id, error.message));
        return;
    }
    step.after([self = shared_from_this(), id, error] {
        const std::string name(resultCodeName(error.code));
        self->context.metrics.count("requests_refused_total", {{"code", name}});
        logEvent(EventId::RequestRefused, {{"request", id.value},
                                           {"code", std::to_string(static_cast<int>(error.code))},
                                           {"reason", error.message}});
    });
    pending->refusal = std::move(error);
    if (!pending->claim) {
        respond(step, pending, withId(errorResponse(pending->refusal), id));
        end(step, pending);
        return;
    }
    pending->stage = Stage::Releasing;
    if (pending->refusal.code == ResultCode::DeadlineExpired) {
        respond(step, pending, withId(errorResponse(pending->refusal), id));
    }
    step.after([self = shared_from_this(), pending] {
        self->store.release(pending->content.id, *pending->claim,
                            [self, pending] { self->onReleased(pending); });
    });
}

void RequestService::Impl::countFailure(Step &step, const RequestId &id, const Error &error)
{
    step.after([self = shared_from_this(), id, error] {
        self->context.metrics.count("requests_failed_total",
                                    {{"code", std::string(resultCodeName(error.code))}});
        if (error.code == ResultCode::OutcomeUnknown) {
            logEvent(EventId::RequestOutcomeUnknown,
                     {{"request", id.value}, {"reason", error.message}});
        }
    });
}

/// Answers an error that does not mean "not run".
void RequestService::Impl::fail(Step &step, const PendingPtr &pending, const Error &error)
{
    const RequestId &id = pending->content.id;
    countFailure(step, id, error);
    respond(step, pending, withId(errorResponse(error), id));
    end(step, pending);
}

void RequestService::Impl::respond(Step &step, const PendingPtr &pending, HttpResponse response)
{
    if (!pending->respond) {
        return;
    }
    // Refusals are counted by code; among the latencies they would hide slow answers.
    const bool isRefusal = pending->refusal.code != ResultCode::Ok;
    step.after([self = shared_from_this(), pending, isRefusal, response = std::move(response),
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

void RequestService::Impl::end(Step &step, const PendingPtr &pending)
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
    // Counted after the record's own write has begun; otherwise the daemon could stop in between.
    step.after([self = shared_from_this()] {
        Step drainStep(*self);
        self->completeDrain(drainStep, true);
    });
}

void RequestService::Impl::completeDrain(Step &step, bool waitForRecords)
{
    if (draining && drained && active.empty() && (!waitForRecords || store.unsettled() == 0)) {
        step.after(std::exchange(drained, nullptr));
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
    Impl::Step step(*m_impl);
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
        // Another process took the name: what was learnt about the old one is void.
        if (const auto it = m_impl->endpoints.find(id);
            it != m_impl->endpoints.end() && it->second != host.endpoint) {
            m_impl->table.instances.erase(id);
        }
    }
    acaciadeal::setInstances(m_impl->table, instances);
    m_impl->endpoints = std::move(endpoints);
    m_impl->pumpAll(step);
}

void RequestService::setMembers(const std::vector<MemberInfo> &members)
{
    Impl::Step step(*m_impl);
    std::vector<DaemonId> sharers;
    for (const MemberInfo &member : members) {
        if (member.failureDomain == m_impl->context.settings.failureDomain) {
            sharers.push_back(member.daemon);
        }
    }
    m_impl->members = members;
    setSharers(m_impl->table, std::move(sharers));
    m_impl->pumpAll(step);
}

void RequestService::setDomainStates(std::map<FailureDomainId, DomainCondition> states)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->domainStates = std::move(states);
}

void RequestService::setClassRules(const ClassRules &rules)
{
    Impl::Step step(*m_impl);
    m_impl->queue.rules = rules;
    for (const RequestQueueKey &key : shedQueued(m_impl->queue)) {
        const auto it = m_impl->queued.find(key.sequence);
        const PendingPtr pending = it->second;
        m_impl->queued.erase(it);
        m_impl->refuse(step, pending,
                       {ResultCode::Overloaded, "requests of this class are shed",
                        std::string(requestClassName(key.requestClass))});
    }
    m_impl->pumpAll(step);
}

bool RequestService::isUnderPressure() const
{
    const std::lock_guard lock(m_impl->mutex);
    const TimePoint now = std::chrono::steady_clock::now();
    return std::any_of(m_impl->queued.begin(), m_impl->queued.end(), [now](const auto &entry) {
        const PendingRequest &pending = *entry.second;
        return pending.content.requestClass == RequestClass::Urgent
               && hasWaitedHalf(pending.arrival, pending.deadline, now);
    });
}

void RequestService::setLeaving(const std::set<std::string> &instances)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->table.leavingByPeers.clear();
    for (const std::string &instance : instances) {
        m_impl->table.leavingByPeers.insert({instance});
    }
}

std::set<std::string> RequestService::leaving() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::set<std::string> result;
    for (const InstanceId &instance : leavingSeenHere(m_impl->table)) {
        result.insert(instance.value);
    }
    return result;
}

void RequestService::handlePeer(const ForwardedRequest &message, PeerResponder respond)
{
    auto content = toCallerRequest(message);
    if (!content) {
        respond(Refusal{content.error()});
        return;
    }
    m_impl->submit(std::move(*content), true,
                   [id = message.id, respond = std::move(respond)](const HttpResponse &response) {
                       if (response.body.size() + frameOverhead > maxFramePayloadBytes) {
                           const HttpResponse tooLarge = errorResponse(outcomeUnknown(
                               id, "the answer is too large to be passed on between daemons"));
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
    Impl::Step step(*m_impl);
    m_impl->draining = true;
    m_impl->drained = std::move(done);
    m_impl->completeDrain(step, true);
    step.after([impl = m_impl] {
        impl->context.traffic.postAfter(impl->options.lateAnswerTime, [impl] {
            Impl::Step late(*impl);
            impl->completeDrain(late, false);
        });
    });
}

} // namespace acaciadeal
