#ifndef ACACIADEAL_FLEET_JOBFRONTEND_H
#define ACACIADEAL_FLEET_JOBFRONTEND_H

#include "fleet/fleetconfig.h"
#include "fleet/holder.h"
#include "fleet/ownership.h"
#include "metrics/metrics.h"
#include "store/platform.h"
#include "wire/peerclient.h"
#include "wire/peerserver.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciadeal {

class EventLoop;

struct JobFrontendOptions
{
    /// Timeout of a request to the holder in another daemon; after it, the store is read instead.
    Duration holderTimeout = milliseconds(500);
    Duration commitRetryDelay = milliseconds(60);
    /// Jobs that arrive during a write are stored together by the next write. If a write takes
    /// longer than this, about 20 times its usual duration, a second one is started in parallel.
    Duration slowCommitThreshold = milliseconds(150);
    /// Share of the caller's timeout after which no further attempt to store the job is made. The
    /// caller then gets a final answer, with time left to try another daemon.
    double attemptTimeShare = 0.4;
    /// Maximum number of attempts to store a job while the store refuses the write; then the job is
    /// rejected.
    int maxRefusedAttempts = 3;
};

struct JobFrontendEnvironment
{
    EventLoop &loop;
    const PlatformAdapter &platform;
    PeerClient &peers;
    Metrics &metrics;
    /// Returns the holder that runs in this daemon, or nullptr.
    std::function<FleetHolder *()> localHolder;
    /// Returns the owner row of the shard as last read.
    std::function<const OwnerRecord &()> owner;
};

/// Outcome of a submission.
struct SubmitOutcome
{
    /// Whether the job was stored, or why it was not.
    Result<void> result;
    /// For a rejected job: time after which the caller should submit it again.
    milliseconds retryAfter{0};
};

using SubmitCallback = std::function<void(const SubmitOutcome &)>;
using PendingCallback = std::function<void(Result<std::size_t>)>;

/// Handles callers' requests in every daemon: stores submitted jobs, and answers queries by asking
/// the shard's holder or, if it does not answer, by reading the store. Used on one control thread.
class JobFrontend
{
public:
    JobFrontend(JobFrontendEnvironment environment, const JobFrontendOptions &options);

    /// Stores @p job; repeated submissions of the same id store it only once. Errors: Overloaded if
    /// the holder rejects it; JobCancelled if it was cancelled before it was stored;
    /// PlatformUnavailable if it was certainly not stored; WriteOutcomeUnknown if that is not known
    /// by the end of @p timeout.
    void submit(JobSpec job, Duration timeout, SubmitCallback callback);
    /// Errors: JobNotFound, PlatformUnavailable.
    void queryState(const JobId &job, JobStateCallback callback);
    /// Calls back once the cancellation is durable. Errors: JobNotFound, PlatformUnavailable. After
    /// JobNotFound, a submission that is still in progress cannot store the job any more.
    void cancel(const JobId &job, JobStateCallback callback);
    /// Errors: PlatformUnavailable if no holder answers.
    void countPendingJobs(const std::string &queue, PendingCallback callback);

    /// Answers a request that another daemon sent to the shard's holder.
    void serve(const ForwardedRequest &request, const PeerResponder &respond);

private:
    struct Submission;

    void offer(const std::shared_ptr<Submission> &submission);
    void onOffered(const std::shared_ptr<Submission> &submission,
                   const AdmissionDecision &decision);
    void enqueueSubmission(const std::shared_ptr<Submission> &submission);
    void commitWaiting();
    void commitPartition(const std::string &partition);
    std::string partitionOf(const Submission &submission) const;
    void onCommitted(const std::vector<std::shared_ptr<Submission>> &batch,
                     const Result<CommitVersions> &result);
    void onStored(const std::shared_ptr<Submission> &submission,
                  const Result<CommitVersions> &result);
    void readExistingRow(const std::shared_ptr<Submission> &submission);
    void completeSubmission(const std::shared_ptr<Submission> &submission,
                            const Result<void> &result);
    void notifyHolder(const JobSpec &job);
    void callHolder(const std::string &requestClass, const JobId &job, const std::string &body,
                    std::function<void(Result<ForwardedAnswer>)> callback);
    void readState(const JobId &job, JobStateCallback callback);
    void storeCancellation(const JobId &job, JobStateCallback callback);
    void storeCancellationOfStoredJob(const JobId &job, JobStateCallback callback);
    void queryOrCancel(FleetHolder &holder, const JobId &job, bool cancelling,
                       JobStateCallback callback);

    JobFrontendEnvironment m_env;
    JobFrontendOptions m_options;
    /// Submissions whose jobs are to be stored by the next write.
    std::vector<std::shared_ptr<Submission>> m_waiting;
    struct PartitionWrites
    {
        int inFlight = 0;
        TimePoint lastStartedAt;
    };
    /// Writes in progress, by partition of the store.
    std::map<std::string, PartitionWrites> m_writes;
};

} // namespace acaciadeal

#endif
