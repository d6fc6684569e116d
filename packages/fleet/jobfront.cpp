#include "fleet/jobfront.h"

#include "fleet/jobrows.h"
#include "logging/log.h"
#include "runtime/bootclock.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

namespace acaciadeal {
namespace {

/// Questions between daemons, as the class of a forwarded request.
constexpr const char *jobOffered = "job-offered";
constexpr const char *jobStored = "job-stored";
constexpr const char *jobState = "job-state";
constexpr const char *jobCancel = "job-cancel";
constexpr const char *queuePending = "queue-pending";

/// Body of the answer to an offer of a job that is stored already.
constexpr const char *storedAlready = "stored";

constexpr unsigned statusOk = 200;
/// The store takes 100 entries in a write, checks and rows counted.
constexpr std::size_t jobsPerCommit = 40;
/// Per part of the store.
constexpr int maxCommitsInFlight = 2;
/// For a rejection whose time cannot be read.
constexpr unsigned long defaultRetryAfterMs = 2000;

ForwardedAnswer answerOf(const Result<JobState> &state)
{
    if (state) {
        return {.status = statusOk, .body = std::to_string(static_cast<int>(*state))};
    }
    return {.status = static_cast<unsigned>(state.error().code), .body = state.error().message};
}

std::optional<unsigned long> numberOf(const std::string &text)
{
    unsigned long number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} ? std::optional(number) : std::nullopt;
}

/// Errors: JobNotFound as the holder says; otherwise PlatformUnavailable.
Result<JobState> stateOfAnswer(const Result<ForwardedAnswer> &answer)
{
    if (!answer) {
        return failure(ResultCode::PlatformUnavailable, answer.error().message);
    }
    const auto number = numberOf(answer->body);
    if (answer->status == statusOk && number
        && *number <= static_cast<unsigned long>(JobState::Cancelled)) {
        return static_cast<JobState>(*number);
    }
    if (answer->status == static_cast<unsigned>(ResultCode::JobNotFound)) {
        return failure(ResultCode::JobNotFound, answer->body);
    }
    return failure(ResultCode::PlatformUnavailable, answer->body);
}

} // namespace

struct JobFront::Submission
{
    JobSpec job;
    TimePoint deadline;
    SubmitCallback callback;
    int attempts = 0;
    milliseconds retryAfter{0};
    /// Whether an earlier attempt may still take effect.
    bool uncertain = false;
};

JobFront::JobFront(JobFrontEnvironment environment, const JobFrontOptions &options)
    : m_env(std::move(environment))
    , m_options(options)
{
}

void JobFront::submit(JobSpec job, Duration timeout, SubmitCallback callback)
{
    auto submission = std::make_shared<Submission>();
    submission->job = std::move(job);
    submission->deadline =
        bootClockNow() + std::chrono::duration_cast<Duration>(timeout * m_options.attemptShare);
    submission->callback = std::move(callback);
    offer(submission);
}

/// Asks the holder whether the job can still be served. Without an answer the job is taken: it is
/// safe in the store, and the next holder serves it.
void JobFront::offer(const std::shared_ptr<Submission> &submission)
{
    if (FleetHolder *const holder = m_env.localHolder()) {
        onOffered(submission, holder->offer(submission->job));
        return;
    }
    askHolder(jobOffered, submission->job.id, encodeJob(submission->job),
              [this, submission](const Result<ForwardedAnswer> &answer) {
                  AdmissionDecision decision;
                  if (answer && answer->status == static_cast<unsigned>(ResultCode::Overloaded)) {
                      decision.admitted = false;
                      decision.retryAfter =
                          milliseconds(numberOf(answer->body).value_or(defaultRetryAfterMs));
                  }
                  decision.stored =
                      answer && answer->status == statusOk && answer->body == storedAlready;
                  onOffered(submission, decision);
              });
}

void JobFront::onOffered(const std::shared_ptr<Submission> &submission,
                         const AdmissionDecision &decision)
{
    if (decision.stored) {
        // A refusal by the store now would deny a job that runs.
        settle(submission, {});
        return;
    }
    if (decision.admitted) {
        store(submission);
        return;
    }
    submission->retryAfter = decision.retryAfter;
    settle(submission, failure(ResultCode::Overloaded, "the job would end after its objective"));
}

void JobFront::store(const std::shared_ptr<Submission> &submission)
{
    m_waiting.push_back(submission);
    commitWaiting();
}

std::string JobFront::partOf(const Submission &submission) const
{
    return m_env.platform.partOf ? m_env.platform.partOf(jobRowKey(submission.job.id))
                                 : std::string();
}

void JobFront::commitWaiting()
{
    std::set<std::string> parts;
    for (const auto &submission : m_waiting) {
        parts.insert(partOf(*submission));
    }
    for (const std::string &part : parts) {
        commitPart(part);
    }
}

/// Load pattern: a slow store carries out a few writes a second in each of its parts, while jobs
/// arrive at several times that rate. One write for all that wait for a part keeps its queue short,
/// and no part waits for another one.
void JobFront::commitPart(const std::string &part)
{
    const TimePoint now = bootClockNow();
    PartWrites &writes = m_writes[part];
    if (writes.inFlight >= maxCommitsInFlight
        || (writes.inFlight > 0 && now - writes.lastAt < m_options.slowCommit)) {
        return;
    }
    std::vector<std::shared_ptr<Submission>> batch;
    Transaction transaction;
    std::set<std::string> keys;
    std::erase_if(m_waiting, [&](const std::shared_ptr<Submission> &submission) {
        const std::string key = jobRowKey(submission->job.id);
        // A repeated submission that arrives meanwhile waits for the outcome of the first.
        if (partOf(*submission) != part || batch.size() >= jobsPerCommit
            || !keys.insert(key).second) {
            return false;
        }
        ++submission->attempts;
        transaction.checks.push_back({key, 0});
        transaction.puts.push_back({key, encodeJob(submission->job)});
        batch.push_back(submission);
        return true;
    });
    ++writes.inFlight;
    writes.lastAt = now;
    m_env.platform.commit(std::move(transaction), [this, part, batch = std::move(batch)](
                                                      const Result<CommitVersions> &result) {
        const auto it = m_writes.find(part);
        if (--it->second.inFlight == 0) {
            m_writes.erase(it);
        }
        onCommitted(batch, result);
        commitWaiting();
    });
    m_env.loop.postAfter(m_options.slowCommit, [this] { commitWaiting(); });
}

void JobFront::onCommitted(const std::vector<std::shared_ptr<Submission>> &batch,
                           const Result<CommitVersions> &result)
{
    const bool exists = !result && result.error().code == ResultCode::CheckFailed;
    if (exists && result.error().where.empty()) {
        for (const auto &submission : batch) {
            onStored(submission, failure(ResultCode::PlatformProtocol, "no failed check is named"));
        }
        return;
    }
    for (const auto &submission : batch) {
        if (exists && result.error().where != jobRowKey(submission->job.id)) {
            // Nothing of the batch was stored because of another job of it.
            m_waiting.push_back(submission);
        } else {
            onStored(submission, result);
        }
    }
}

void JobFront::onStored(const std::shared_ptr<Submission> &submission,
                        const Result<CommitVersions> &result)
{
    // A row that exists is this job, stored by an earlier attempt or by another daemon.
    if (result || result.error().code == ResultCode::CheckFailed) {
        settle(submission, {});
        return;
    }
    const bool unknown = result.error().code != ResultCode::PlatformUnavailable;
    submission->uncertain = submission->uncertain || unknown;
    const bool late = bootClockNow() + m_options.commitRetry >= submission->deadline;
    const bool refused =
        !submission->uncertain && submission->attempts >= m_options.refusedAttempts;
    if (!late && !refused) {
        m_env.loop.postAfter(m_options.commitRetry, [this, submission] { store(submission); });
        return;
    }
    settle(submission, failure(submission->uncertain ? ResultCode::WriteOutcomeUnknown
                                                     : ResultCode::PlatformUnavailable,
                               result.error().message));
}

void JobFront::settle(const std::shared_ptr<Submission> &submission, const Result<void> &result)
{
    const JobSpec &job = submission->job;
    const std::string attempts = std::to_string(submission->attempts);
    if (result) {
        logEvent(EventId::JobAccepted, {{"job", job.id.value},
                                        {"queue", job.terms.queue},
                                        {"steps", std::to_string(job.steps.size())},
                                        {"attempts", attempts}});
        m_env.metrics.count("fleet_jobs_accepted_total", {{"queue", job.terms.queue}});
        announce(job);
    } else {
        const bool unknown = result.error().code == ResultCode::WriteOutcomeUnknown;
        logEvent(unknown ? EventId::JobOutcomeUnknown : EventId::JobRejected,
                 {{"job", job.id.value},
                  {"queue", job.terms.queue},
                  {"attempts", attempts},
                  {"retry_after_ms", std::to_string(submission->retryAfter.count())},
                  {"reason", result.error().message}});
        m_env.metrics.count("fleet_jobs_rejected_total", {{"queue", job.terms.queue}});
    }
    submission->callback({result, submission->retryAfter});
}

/// Tells the holder at once; it would find the row by itself within a second.
void JobFront::announce(const JobSpec &job)
{
    if (FleetHolder *const holder = m_env.localHolder()) {
        holder->addStored(job);
        return;
    }
    askHolder(jobStored, job.id, encodeJob(job), [](const Result<ForwardedAnswer> &) {
        // A lost announcement only delays the start.
    });
}

void JobFront::askHolder(const std::string &question, const JobId &job, const std::string &body,
                         std::function<void(Result<ForwardedAnswer>)> callback)
{
    const OwnerRecord &owner = m_env.owner();
    if (owner.epoch == 0 || owner.released) {
        callback(failure(ResultCode::NotHolder, "no daemon holds the shard"));
        return;
    }
    m_env.peers.call(
        owner.peer, ForwardedRequest{.id = {job.value}, .requestClass = question, .body = body},
        m_options.holderTimeout, [this, callback = std::move(callback)](Result<PeerMessage> reply) {
            m_env.loop.post([callback, reply = std::move(reply)] {
                if (!reply) {
                    callback(tl::unexpected<Error>(reply.error()));
                } else if (const auto *answer = std::get_if<ForwardedAnswer>(&*reply)) {
                    callback(*answer);
                } else {
                    callback(failure(ResultCode::InvalidMessage, "unexpected answer of a peer"));
                }
            });
        });
}

void JobFront::holderState(FleetHolder &holder, const JobId &job, bool cancelling,
                           JobStateCallback callback)
{
    if (cancelling) {
        holder.cancel(job, std::move(callback));
    } else {
        holder.state(job, std::move(callback));
    }
}

void JobFront::state(const JobId &job, JobStateCallback callback)
{
    // Whatever the holder cannot say, the rows tell.
    const auto orRead = [this, job,
                         callback = std::move(callback)](const Result<JobState> &answer) {
        if (answer) {
            callback(answer);
        } else {
            readState(job, callback);
        }
    };
    if (FleetHolder *const holder = m_env.localHolder()) {
        holderState(*holder, job, false, orRead);
        return;
    }
    askHolder(jobState, job, {},
              [orRead](const Result<ForwardedAnswer> &answer) { orRead(stateOfAnswer(answer)); });
}

void JobFront::readState(const JobId &job, JobStateCallback callback)
{
    m_env.platform.read({.prefix = jobRowKey(job)}, [this, job, callback = std::move(callback)](
                                                        const Result<std::vector<Row>> &jobRows) {
        if (!jobRows) {
            callback(failure(ResultCode::PlatformUnavailable, jobRows.error().message));
            return;
        }
        if (jobRows->empty()) {
            callback(failure(ResultCode::JobNotFound, "there is no such job", job.value));
            return;
        }
        m_env.platform.read(
            {.keys = {progressRowKey(job)}},
            [jobRows, callback](const Result<std::vector<Row>> &progressRows) {
                if (!progressRows) {
                    callback(
                        failure(ResultCode::PlatformUnavailable, progressRows.error().message));
                    return;
                }
                std::vector<Error> ignored;
                const auto jobs = joinJobRows(*jobRows, *progressRows, ignored);
                if (jobs.empty()) {
                    callback(failure(ResultCode::CorruptSnapshot, "the rows are unreadable"));
                    return;
                }
                callback(storedState(jobs.front()));
            });
    });
}

void JobFront::cancel(const JobId &job, JobStateCallback callback)
{
    const auto orStore = [this, job,
                          callback = std::move(callback)](const Result<JobState> &answer) {
        if (answer) {
            logEvent(EventId::JobCancelled, {{"job", job.value}, {"through", "holder"}});
            callback(answer);
        } else {
            storeCancellation(job, callback);
        }
    };
    if (FleetHolder *const holder = m_env.localHolder()) {
        holderState(*holder, job, true, orStore);
        return;
    }
    askHolder(jobCancel, job, {},
              [orStore](const Result<ForwardedAnswer> &answer) { orStore(stateOfAnswer(answer)); });
}

void JobFront::storeCancellation(const JobId &job, JobStateCallback callback)
{
    readState(job, [this, job, callback = std::move(callback)](const Result<JobState> &state) {
        if (!state || isTerminal(*state)) {
            callback(state);
            return;
        }
        m_env.platform.commit(
            {.puts = {{cancelRowKey(job), job.value}}},
            [this, job, callback](const Result<CommitVersions> &result) {
                if (!result) {
                    callback(failure(ResultCode::PlatformUnavailable, result.error().message));
                    return;
                }
                logEvent(EventId::JobCancelled, {{"job", job.value}, {"through", "store"}});
                if (FleetHolder *const holder = m_env.localHolder()) {
                    holder->cancel(job, [](const Result<JobState> &) {});
                }
                callback(JobState::Cancelled);
            });
    });
}

void JobFront::pending(const std::string &queue, PendingCallback callback)
{
    if (const FleetHolder *const holder = m_env.localHolder()) {
        const auto n = holder->pending(queue);
        if (n) {
            callback(*n);
        } else {
            callback(failure(ResultCode::PlatformUnavailable, "the shard is being recovered"));
        }
        return;
    }
    askHolder(queuePending, {}, queue,
              [callback = std::move(callback)](const Result<ForwardedAnswer> &answer) {
                  if (!answer) {
                      callback(failure(ResultCode::PlatformUnavailable, answer.error().message));
                      return;
                  }
                  const auto n = numberOf(answer->body);
                  if (answer->status != statusOk || !n) {
                      callback(failure(ResultCode::PlatformUnavailable, answer->body));
                      return;
                  }
                  callback(*n);
              });
}

void JobFront::serve(const ForwardedRequest &request, const PeerResponder &respond)
{
    FleetHolder *const holder = m_env.localHolder();
    if (holder == nullptr) {
        respond(ForwardedAnswer{.status = static_cast<unsigned>(ResultCode::NotHolder),
                                .body = "not the holder"});
        return;
    }
    const JobId job{request.id.value};
    if (request.requestClass == jobStored) {
        auto spec = decodeJob(request.body);
        if (spec) {
            holder->addStored(std::move(*spec));
        }
        respond(ForwardedAnswer{.status = statusOk});
        return;
    }
    if (request.requestClass == jobOffered) {
        const auto spec = decodeJob(request.body);
        const AdmissionDecision decision = spec ? holder->offer(*spec) : AdmissionDecision{};
        respond(ForwardedAnswer{
            .status = decision.admitted ? statusOk : static_cast<unsigned>(ResultCode::Overloaded),
            .body = decision.stored ? storedAlready : std::to_string(decision.retryAfter.count())});
        return;
    }
    if (request.requestClass == queuePending) {
        const auto n = holder->pending(request.body);
        respond(ForwardedAnswer{
            .status = n ? statusOk : static_cast<unsigned>(ResultCode::PlatformUnavailable),
            .body = n ? std::to_string(*n) : "the shard is being recovered"});
        return;
    }
    holderState(*holder, job, request.requestClass == jobCancel,
                [respond](const Result<JobState> &state) { respond(answerOf(state)); });
}

} // namespace acaciadeal
