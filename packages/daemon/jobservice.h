#ifndef ACACIADEAL_DAEMON_JOBSERVICE_H
#define ACACIADEAL_DAEMON_JOBSERVICE_H

#include "daemon/context.h"
#include "daemon/platformwatch.h"
#include "state/change.h"

#include <optional>

namespace acaciadeal {

/// Job as submitted by a caller.
struct JobSubmission
{
    JobAccepted job;
    /// Failure domain requested by the submitter, if any.
    std::optional<FailureDomainId> failureDomain;
};

/// Parses the body of a submission. Errors: MalformedRequest naming the field. Thread-safe.
Result<JobSubmission> parseJob(const std::string &body);

/// Chooses the shard of a job among the failure domains that are in, by rendezvous hashing of the
/// job id. A failure domain that the job requests is chosen even if it is out. Returns nothing if
/// no domain is eligible. Thread-safe.
std::optional<ShardId> chooseShard(const JobSubmission &submission,
                                   const std::map<FailureDomainId, DomainView> &domains);

/// Serves `POST /v1/jobs`. A job is accepted once its rows are durable. Submitting the same job
/// again returns the same answer. A job whose encoding exceeds 48 KB is refused with
/// RequestTooLarge. Runs on the control thread.
class JobService
{
public:
    JobService(DaemonContext &context, PlatformWatch &watch);

    /// Precondition: the HTTP server has not started.
    void addRoutes();

private:
    void submit(const std::string &body, const HttpResponder &respond);
    void commitJob(const JobSubmission &submission, const ShardId &shard, std::uint64_t fingerprint,
                   const HttpResponder &respond);
    void answerKnownJob(const JobId &job, std::uint64_t fingerprint, const HttpResponder &respond);

    DaemonContext &m_context;
    PlatformWatch &m_watch;
    std::uint64_t m_submissions = 0;
};

} // namespace acaciadeal

#endif
