#ifndef ACACIADEAL_FLEET_JOBFRONT_H
#define ACACIADEAL_FLEET_JOBFRONT_H

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

struct JobFrontOptions
{
    /// Time for the holder to answer a question of another daemon; then the store is asked.
    Duration holderTimeout = milliseconds(500);
    Duration commitRetry = milliseconds(60);
    /// Jobs that arrive while a write is on its way are stored together by the next one. A second
    /// write joins one that takes this long, about 20 times an ordinary one.
    Duration slowCommit = milliseconds(150);
    /// Part of a caller's time after which no further attempt is made. The caller gets its final
    /// answer then, with time left to try another daemon.
    double attemptShare = 0.4;
    /// Attempts to store a job while the store refuses; then the caller is told when to come back.
    int refusedAttempts = 3;
};

struct JobFrontEnvironment
{
    EventLoop &loop;
    const PlatformAdapter &platform;
    PeerClient &peers;
    Metrics &metrics;
    /// The holder that runs in this daemon, or nullptr.
    std::function<FleetHolder *()> localHolder;
    /// The holder's row as last read.
    std::function<const OwnerRecord &()> owner;
};

/// Outcome of a submission: stored, or why not, and then when the caller should come back.
struct SubmitOutcome
{
    Result<void> result;
    milliseconds retryAfter{0};
};

using SubmitCallback = std::function<void(const SubmitOutcome &)>;
using PendingCallback = std::function<void(Result<std::size_t>)>;

/// What every daemon does for callers: it stores jobs, and asks the shard's holder or else the
/// store about them. Used on one control thread.
class JobFront
{
public:
    JobFront(JobFrontEnvironment environment, const JobFrontOptions &options);

    /// Stores @p job once, however often its id arrives. Errors: Overloaded if the holder rejects
    /// it; PlatformUnavailable if it was
    /// provably not stored; WriteOutcomeUnknown if that is not known by the end of @p timeout.
    void submit(JobSpec job, Duration timeout, SubmitCallback callback);
    /// Errors: JobNotFound, PlatformUnavailable.
    void state(const JobId &job, JobStateCallback callback);
    /// Answers after the cancellation is durable. Errors: JobNotFound, PlatformUnavailable.
    void cancel(const JobId &job, JobStateCallback callback);
    /// Errors: PlatformUnavailable if no holder answers.
    void pending(const std::string &queue, PendingCallback callback);

    /// Serves a question of another daemon.
    void serve(const ForwardedRequest &request, const PeerResponder &respond);

private:
    struct Submission;

    void offer(const std::shared_ptr<Submission> &submission);
    void onOffered(const std::shared_ptr<Submission> &submission,
                   const AdmissionDecision &decision);
    void store(const std::shared_ptr<Submission> &submission);
    void commitWaiting();
    void commitPart(const std::string &part);
    std::string partitionOf(const Submission &submission) const;
    void onCommitted(const std::vector<std::shared_ptr<Submission>> &batch,
                     const Result<CommitVersions> &result);
    void onStored(const std::shared_ptr<Submission> &submission,
                  const Result<CommitVersions> &result);
    void settle(const std::shared_ptr<Submission> &submission, const Result<void> &result);
    void announce(const JobSpec &job);
    void askHolder(const std::string &question, const JobId &job, const std::string &body,
                   std::function<void(Result<ForwardedAnswer>)> callback);
    void readState(const JobId &job, JobStateCallback callback);
    void storeCancellation(const JobId &job, JobStateCallback callback);
    void holderState(FleetHolder &holder, const JobId &job, bool cancelling,
                     JobStateCallback callback);

    JobFrontEnvironment m_env;
    JobFrontOptions m_options;
    /// Jobs that wait for the next write.
    std::vector<std::shared_ptr<Submission>> m_waiting;
    struct PartWrites
    {
        int inFlight = 0;
        TimePoint lastAt;
    };
    /// Writes that are on their way, by part of the store.
    std::map<std::string, PartWrites> m_writes;
};

} // namespace acaciadeal

#endif
