#include "fleet/jobfrontend.h"

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

/// Requests between daemons, sent as the class of a forwarded request.
constexpr const char *jobOffered = "job-offered";
constexpr const char *jobStored = "job-stored";
constexpr const char *jobState = "job-state";
constexpr const char *jobCancel = "job-cancel";
constexpr const char *queuePending = "queue-pending";

/// Body of the answer to a job offer if the job is stored already.
constexpr const char *storedAlready = "stored";

constexpr unsigned statusOk = 200;
/// Maximum number of jobs in one write. Each needs a check and a row, and the store accepts at most
/// 100 of both together.
constexpr std::size_t jobsPerCommit = 40;
/// Maximum number of writes in progress for each partition of the store.
constexpr int maxCommitsInFlight = 2;
/// Used if the retry time in the holder's rejection cannot be parsed.
constexpr unsigned long defaultRetryAfterMs = 2000;

ForwardedAnswer toAnswer(const Result<JobState> &state)
{
    if (state) {
        return {.status = statusOk, .body = std::to_string(static_cast<int>(*state))};
    }
    return {.status = static_cast<unsigned>(state.error().code), .body = state.error().message};
}

/// Returns nullopt if @p text is anything but a number.
std::optional<unsigned long> parseNumber(const std::string &text)
{
    unsigned long number = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

/// Errors: JobNotFound if the holder does not know the job; PlatformUnavailable otherwise.
Result<JobState> parseStateAnswer(const Result<ForwardedAnswer> &answer)
{
    if (!answer) {
        return failure(ResultCode::PlatformUnavailable, answer.error().message);
    }
    const auto number = parseNumber(answer->body);
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

struct JobFrontend::Submission
{
    JobSpec job;
    TimePoint deadline;
    SubmitCallback callback;
    int attempts = 0;
    milliseconds retryAfter{0};
    /// Whether an earlier attempt to store the job may have taken effect or may still do so.
    bool mayBeStored = false;
    /// Whether the job is written alone, after the store has rejected its batch.
    bool separate = false;
};

JobFrontend::JobFrontend(JobFrontendEnvironment environment, const JobFrontendOptions &options)
    : m_env(std::move(environment))
    , m_options(options)
{
}

void JobFrontend::submit(JobSpec job, Duration timeout, SubmitCallback callback)
{
    auto submission = std::make_shared<Submission>();
    submission->job = std::move(job);
    submission->deadline =
        bootClockNow() + std::chrono::duration_cast<Duration>(timeout * m_options.attemptTimeShare);
    submission->callback = std::move(callback);
    offer(submission);
}

/// Asks the holder whether it admits the job. Without an answer the job is accepted: once it is
/// stored it is durable, and the next holder schedules it.
void JobFrontend::offer(const std::shared_ptr<Submission> &submission)
{
    if (FleetHolder *const holder = m_env.localHolder()) {
        onOffered(submission, holder->offer(submission->job));
        return;
    }
    callHolder(jobOffered, submission->job.id, encodeJob(submission->job),
               [this, submission](const Result<ForwardedAnswer> &answer) {
                   AdmissionDecision decision;
                   if (answer && answer->status == static_cast<unsigned>(ResultCode::Overloaded)) {
                       decision.admitted = false;
                       decision.retryAfter =
                           milliseconds(parseNumber(answer->body).value_or(defaultRetryAfterMs));
                   }
                   decision.stored =
                       answer && answer->status == statusOk && answer->body == storedAlready;
                   onOffered(submission, decision);
               });
}

void JobFrontend::onOffered(const std::shared_ptr<Submission> &submission,
                            const AdmissionDecision &decision)
{
    if (decision.stored) {
        // Storing it again could fail, and the caller would then be told that the job was rejected
        // although it runs.
        completeSubmission(submission, {});
        return;
    }
    if (decision.admitted) {
        enqueueSubmission(submission);
        return;
    }
    submission->retryAfter = decision.retryAfter;
    completeSubmission(submission, failure(ResultCode::Overloaded,
                                           "the job would finish long after its objective"));
}

void JobFrontend::enqueueSubmission(const std::shared_ptr<Submission> &submission)
{
    m_waiting.push_back(submission);
    commitWaiting();
}

std::string JobFrontend::partitionOf(const Submission &submission) const
{
    return m_env.platform.partitionOf ? m_env.platform.partitionOf(jobRowKey(submission.job.id))
                                      : std::string();
}

void JobFrontend::commitWaiting()
{
    std::set<std::string> partitions;
    for (const auto &submission : m_waiting) {
        partitions.insert(partitionOf(*submission));
    }
    for (const std::string &partition : partitions) {
        commitPartition(partition);
    }
}

/// Load pattern: a slow store executes a few writes per second in each of its partitions, while
/// jobs arrive at several times that rate. Writing all waiting jobs of a partition at once keeps
/// the partition's queue short, and no partition has to wait for another one.
void JobFrontend::commitPartition(const std::string &partition)
{
    const TimePoint now = bootClockNow();
    PartitionWrites &writes = m_writes[partition];
    if (writes.inFlight >= maxCommitsInFlight
        || (writes.inFlight > 0 && now - writes.lastStartedAt < m_options.slowCommitThreshold)) {
        return;
    }
    std::vector<std::shared_ptr<Submission>> batch;
    Transaction transaction;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    std::erase_if(m_waiting, [&](const std::shared_ptr<Submission> &submission) {
        const std::string key = jobRowKey(submission->job.id);
        if (!batch.empty() && (submission->separate || batch.front()->separate)) {
            return false;
        }
        // A second submission of a job in this batch waits for the outcome of the first one.
        if (partitionOf(*submission) != partition || batch.size() >= jobsPerCommit
            || keys.contains(key)) {
            return false;
        }
        std::string value = encodeJob(submission->job);
        if (!batch.empty() && bytes + value.size() > maxBytesPerWrite) {
            return false;
        }
        bytes += value.size();
        keys.insert(key);
        ++submission->attempts;
        transaction.checks.push_back({key, 0});
        transaction.puts.push_back({key, std::move(value)});
        batch.push_back(submission);
        return true;
    });
    ++writes.inFlight;
    writes.lastStartedAt = now;
    m_env.platform.commit(std::move(transaction), [this, partition, batch = std::move(batch)](
                                                      const Result<CommitVersions> &result) {
        const auto it = m_writes.find(partition);
        if (--it->second.inFlight == 0) {
            m_writes.erase(it);
        }
        onCommitted(batch, result);
        commitWaiting();
    });
    m_env.loop.postAfter(m_options.slowCommitThreshold, [this] { commitWaiting(); });
}

void JobFrontend::onCommitted(const std::vector<std::shared_ptr<Submission>> &batch,
                              const Result<CommitVersions> &result)
{
    const bool exists = !result && result.error().code == ResultCode::CheckFailed;
    if (exists && result.error().where.empty()) {
        for (const auto &submission : batch) {
            onStored(submission, failure(ResultCode::PlatformProtocol,
                                         "the store did not name the failed check"));
        }
        return;
    }
    if (!result && result.error().code == ResultCode::WriteRejected && batch.size() > 1) {
        // The store does not say which row it rejected.
        for (const auto &submission : batch) {
            submission->separate = true;
            m_waiting.push_back(submission);
        }
        return;
    }
    for (const auto &submission : batch) {
        if (exists && result.error().where != jobRowKey(submission->job.id)) {
            // The check of another job failed, so nothing of the batch was stored.
            m_waiting.push_back(submission);
        } else {
            onStored(submission, result);
        }
    }
}

void JobFrontend::onStored(const std::shared_ptr<Submission> &submission,
                           const Result<CommitVersions> &result)
{
    if (result) {
        completeSubmission(submission, {});
        return;
    }
    if (result.error().code == ResultCode::CheckFailed) {
        readExistingRow(submission);
        return;
    }
    if (result.error().code == ResultCode::WriteRejected && !submission->mayBeStored) {
        completeSubmission(submission, tl::unexpected<Error>(result.error()));
        return;
    }
    const bool unknown = result.error().code != ResultCode::PlatformUnavailable
                         && result.error().code != ResultCode::WriteRejected;
    submission->mayBeStored = submission->mayBeStored || unknown;
    const bool late = bootClockNow() + m_options.commitRetryDelay >= submission->deadline;
    const bool refused =
        !submission->mayBeStored && submission->attempts >= m_options.maxRefusedAttempts;
    if (!late && !refused) {
        m_env.loop.postAfter(m_options.commitRetryDelay,
                             [this, submission] { enqueueSubmission(submission); });
        return;
    }
    completeSubmission(submission,
                       failure(submission->mayBeStored ? ResultCode::WriteOutcomeUnknown
                                                       : ResultCode::PlatformUnavailable,
                               result.error().message));
}

/// Completes the submission of a job whose row exists already. An earlier attempt or another daemon
/// has stored the job, or the job was cancelled before it was stored.
void JobFrontend::readExistingRow(const std::shared_ptr<Submission> &submission)
{
    readState(submission->job.id, [this, submission](const Result<JobState> &state) {
        if (state || state.error().code == ResultCode::CorruptSnapshot) {
            completeSubmission(submission, {});
        } else if (state.error().code == ResultCode::JobNotFound) {
            completeSubmission(submission, failure(ResultCode::JobCancelled,
                                                   "the job was cancelled before it was stored"));
        } else {
            completeSubmission(submission,
                               failure(ResultCode::WriteOutcomeUnknown, state.error().message));
        }
    });
}

void JobFrontend::completeSubmission(const std::shared_ptr<Submission> &submission,
                                     const Result<void> &result)
{
    const JobSpec &job = submission->job;
    const std::string attempts = std::to_string(submission->attempts);
    if (result) {
        logEvent(EventId::JobAccepted, {{"job", job.id.value},
                                        {"queue", job.terms.queue},
                                        {"steps", std::to_string(job.steps.size())},
                                        {"attempts", attempts}});
        m_env.metrics.count("fleet_jobs_accepted_total", {{"queue", job.terms.queue}});
        notifyHolder(job);
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

/// Tells the holder about a stored job. Without this it would find the row by itself within a
/// second.
void JobFrontend::notifyHolder(const JobSpec &job)
{
    if (FleetHolder *const holder = m_env.localHolder()) {
        holder->addStoredJob(job);
        return;
    }
    callHolder(jobStored, job.id, encodeJob(job),
               [id = job.id](const Result<ForwardedAnswer> &answer) {
                   if (answer && answer->status == statusOk) {
                       return;
                   }
                   // Not retried: a lost message only delays the start of the job.
                   logEvent(EventId::HolderNotNotified,
                            {{"job", id.value},
                             {"reason", answer ? answer->body : answer.error().message}});
               });
}

void JobFrontend::callHolder(const std::string &requestClass, const JobId &job,
                             const std::string &body,
                             std::function<void(Result<ForwardedAnswer>)> callback)
{
    const OwnerRecord &owner = m_env.owner();
    if (owner.epoch == 0 || owner.released) {
        callback(failure(ResultCode::NotHolder, "no daemon holds the shard"));
        return;
    }
    m_env.peers.call(
        owner.peer, ForwardedRequest{.id = {job.value}, .requestClass = requestClass, .body = body},
        m_options.holderTimeout, [this, callback = std::move(callback)](Result<PeerMessage> reply) {
            m_env.loop.post([callback, reply = std::move(reply)] {
                if (!reply) {
                    callback(tl::unexpected<Error>(reply.error()));
                } else if (const auto *answer = std::get_if<ForwardedAnswer>(&*reply)) {
                    callback(*answer);
                } else {
                    callback(failure(ResultCode::InvalidMessage,
                                     "the peer answered with an unexpected message"));
                }
            });
        });
}

void JobFrontend::queryOrCancel(FleetHolder &holder, const JobId &job, bool cancelling,
                                JobStateCallback callback)
{
    if (cancelling) {
        holder.cancel(job, std::move(callback));
    } else {
        holder.queryState(job, std::move(callback));
    }
}

void JobFrontend::queryState(const JobId &job, JobStateCallback callback)
{
    // If the holder cannot answer, the state is read from the job's rows.
    const auto answerOrReadRows = [this, job,
                                   callback = std::move(callback)](const Result<JobState> &answer) {
        if (answer) {
            callback(answer);
        } else {
            readState(job, callback);
        }
    };
    if (FleetHolder *const holder = m_env.localHolder()) {
        queryOrCancel(*holder, job, false, answerOrReadRows);
        return;
    }
    callHolder(jobState, job, {}, [answerOrReadRows](const Result<ForwardedAnswer> &answer) {
        answerOrReadRows(parseStateAnswer(answer));
    });
}

void JobFrontend::readState(const JobId &job, JobStateCallback callback)
{
    m_env.platform.read({.prefix = jobRowKey(job)}, [this, job, callback = std::move(callback)](
                                                        const Result<std::vector<Row>> &jobRows) {
        if (!jobRows) {
            callback(failure(ResultCode::PlatformUnavailable, jobRows.error().message));
            return;
        }
        // A cancellation may be stored without the job's row.
        const bool hasJobRow =
            std::any_of(jobRows->begin(), jobRows->end(),
                        [&job](const Row &row) { return row.key == jobRowKey(job); });
        if (!hasJobRow || !tombstones(*jobRows).empty()) {
            callback(failure(ResultCode::JobNotFound, "the store has no such job", job.value));
            return;
        }
        m_env.platform.read({.keys = {progressRowKey(job)}},
                            [jobRows, callback](const Result<std::vector<Row>> &progressRows) {
                                if (!progressRows) {
                                    callback(failure(ResultCode::PlatformUnavailable,
                                                     progressRows.error().message));
                                    return;
                                }
                                std::vector<Error> ignored;
                                const auto jobs = joinJobRows(*jobRows, *progressRows, ignored);
                                if (jobs.empty()) {
                                    callback(failure(ResultCode::CorruptSnapshot,
                                                     "the job's rows cannot be decoded"));
                                    return;
                                }
                                callback(storedState(jobs.front()));
                            });
    });
}

void JobFrontend::cancel(const JobId &job, JobStateCallback callback)
{
    const auto answerOrStoreCancellation =
        [this, job, callback = std::move(callback)](const Result<JobState> &answer) {
            if (answer) {
                logEvent(EventId::JobCancelled, {{"job", job.value}, {"through", "holder"}});
                callback(answer);
            } else {
                storeCancellation(job, callback);
            }
        };
    if (FleetHolder *const holder = m_env.localHolder()) {
        queryOrCancel(*holder, job, true, answerOrStoreCancellation);
        return;
    }
    callHolder(jobCancel, job, {},
               [answerOrStoreCancellation](const Result<ForwardedAnswer> &answer) {
                   answerOrStoreCancellation(parseStateAnswer(answer));
               });
}

/// Cancels a job that the holder does not know or that it could not be asked about. If there is no
/// such job, a write of it may still be in progress, so the caller is told so only once a tombstone
/// makes that write fail.
void JobFrontend::storeCancellation(const JobId &job, JobStateCallback callback)
{
    const std::string key = jobRowKey(job);
    m_env.platform.commit(
        {.checks = {{key, 0}}, .puts = {{key, encodeTombstone()}}},
        [this, job, callback = std::move(callback)](const Result<CommitVersions> &result) {
            if (result) {
                logEvent(EventId::JobCancelled, {{"job", job.value}, {"through", "tombstone"}});
                callback(failure(ResultCode::JobNotFound, "the store has no such job", job.value));
            } else if (result.error().code == ResultCode::CheckFailed) {
                storeCancellationOfStoredJob(job, callback);
            } else {
                callback(failure(ResultCode::PlatformUnavailable, result.error().message));
            }
        });
}

void JobFrontend::storeCancellationOfStoredJob(const JobId &job, JobStateCallback callback)
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

void JobFrontend::countPendingJobs(const std::string &queue, PendingCallback callback)
{
    if (FleetHolder *const holder = m_env.localHolder()) {
        callback(holder->countPendingJobs(queue));
        return;
    }
    callHolder(queuePending, {}, queue,
               [callback = std::move(callback)](const Result<ForwardedAnswer> &answer) {
                   if (!answer) {
                       callback(failure(ResultCode::PlatformUnavailable, answer.error().message));
                       return;
                   }
                   const auto n = parseNumber(answer->body);
                   if (answer->status != statusOk || !n) {
                       callback(failure(ResultCode::PlatformUnavailable, answer->body));
                       return;
                   }
                   callback(*n);
               });
}

void JobFrontend::serve(const ForwardedRequest &request, const PeerResponder &respond)
{
    FleetHolder *const holder = m_env.localHolder();
    if (holder == nullptr) {
        respond(ForwardedAnswer{.status = static_cast<unsigned>(ResultCode::NotHolder),
                                .body = "this daemon does not hold the shard"});
        return;
    }
    const JobId job{request.id.value};
    if (request.requestClass == jobStored) {
        auto spec = decodeJob(request.body);
        if (spec) {
            holder->addStoredJob(std::move(*spec));
        } else {
            logEvent(EventId::RowIgnored, {{"row", "announcement of job " + job.value},
                                           {"reason", spec.error().message}});
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
        const auto n = holder->countPendingJobs(request.body);
        respond(ForwardedAnswer{
            .status = n ? statusOk : static_cast<unsigned>(ResultCode::PlatformUnavailable),
            .body = n ? std::to_string(*n) : n.error().message});
        return;
    }
    queryOrCancel(*holder, job, request.requestClass == jobCancel,
                  [respond](const Result<JobState> &state) { respond(toAnswer(state)); });
}

} // namespace acaciadeal
