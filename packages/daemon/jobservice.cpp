#include "daemon/jobservice.h"

#include "base/hash.h"
#include "daemon/rowkeys.h"
#include "state/codec.h"
#include "store/commitwithretry.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace acaciadeal {

using nlohmann::json;

namespace {

/// Maximum size of an encoded job, which must fit into one inbox row and one log entry.
constexpr std::size_t maxJobBytes = 48 * 1024;
/// Time after which a submission whose outcome is still unknown is no longer retried.
constexpr Duration submissionTimeout = std::chrono::seconds(10);

Result<TaskClass> parseTaskClass(const std::string &text)
{
    if (text == "urgent") {
        return TaskClass::Urgent;
    }
    if (text == "latency-critical") {
        return TaskClass::LatencyCritical;
    }
    if (text == "batch") {
        return TaskClass::Batch;
    }
    return failure(ResultCode::MalformedRequest, "class must be urgent, latency-critical or batch",
                   "tasks.class");
}

Result<Task> parseTask(const json &item, const JobId &job, const TeamId &team)
{
    const auto taskClass = parseTaskClass(item.value("class", "batch"));
    if (!taskClass) {
        return tl::unexpected<Error>(taskClass.error());
    }
    const Resources size{.milliCores = item.value("milli_cores", std::int64_t{0}),
                         .memoryMiB = item.value("memory_mib", std::int64_t{0}),
                         .accelerators = item.value("accelerators", std::int64_t{0})};
    if (!isNonNegative(size)) {
        return failure(ResultCode::MalformedRequest, "a resource amount must not be negative",
                       "tasks");
    }
    Task task;
    task.spec = {.id = {item.at("task").get<std::string>()},
                 .job = job,
                 .team = team,
                 .taskClass = *taskClass,
                 .size = size,
                 .expectedRunTime = milliseconds(item.value("expected_run_ms", std::int64_t{0})),
                 .deadline = milliseconds(item.value("deadline_ms", std::int64_t{0})),
                 .maxFailures = item.value("max_failures", std::uint32_t{3}),
                 .payload = item.value("payload", "")};
    return task;
}

Result<JobSubmission> toSubmission(const json &document)
{
    JobSubmission submission;
    submission.job.job = {document.at("job").get<std::string>()};
    const TeamId team{document.at("team").get<std::string>()};
    if (submission.job.job.empty() || team.empty()) {
        return failure(ResultCode::MalformedRequest, "job and team must not be empty", "job");
    }
    if (document.contains("failure_domain")) {
        submission.failureDomain = {document.at("failure_domain").get<std::string>()};
    }
    std::set<TaskId> ids;
    for (const json &item : document.at("tasks")) {
        auto task = parseTask(item, submission.job.job, team);
        if (!task) {
            return tl::unexpected<Error>(task.error());
        }
        if (task->spec.id.empty() || !ids.insert(task->spec.id).second) {
            return failure(ResultCode::MalformedRequest,
                           "a task id is empty or used more than once", "tasks.task");
        }
        submission.job.tasks.push_back(std::move(*task));
    }
    if (submission.job.tasks.empty()) {
        return failure(ResultCode::MalformedRequest, "a job needs at least one task", "tasks");
    }
    return submission;
}

HttpResponse acceptedResponse(const JobId &job, const ShardId &shard)
{
    return jsonResponse(json{{"job", job.value}, {"shard", shard.value}}.dump());
}

} // namespace

Result<JobSubmission> parseJob(const std::string &body)
{
    try {
        return toSubmission(json::parse(body));
    } catch (const json::exception &e) {
        return failure(ResultCode::MalformedRequest, e.what(), "body");
    }
}

std::optional<ShardId> chooseShard(const JobSubmission &submission,
                                   const std::map<FailureDomainId, DomainView> &domains)
{
    std::optional<ShardId> best;
    std::uint64_t bestScore = 0;
    for (const auto &[domain, view] : domains) {
        if (submission.failureDomain && *submission.failureDomain != domain) {
            continue;
        }
        const std::size_t score = stableHash(submission.job.job.value + "/" + domain.value);
        // A job that requests its failure domain waits there while the domain is out.
        const bool eligible = view.row.in || submission.failureDomain.has_value();
        if (eligible && (!best || score > bestScore)) {
            best = ShardId{domain.value};
            bestScore = score;
        }
    }
    return best;
}

JobService::JobService(DaemonContext &context, PlatformWatch &watch)
    : m_context(context)
    , m_watch(watch)
{
}

void JobService::addRoutes()
{
    m_context.router.add(
        {"POST", "/v1/jobs", [this](const HttpRequest &request, HttpResponder respond) {
             m_context.control.post([this, body = request.body, respond = std::move(respond)] {
                 submit(body, respond);
             });
         }});
}

void JobService::submit(const std::string &body, const HttpResponder &respond)
{
    const auto submission = parseJob(body);
    if (!submission) {
        respond(errorResponse(submission.error()));
        return;
    }
    // Refuse the job before sending anything: a submission sent to an unreachable platform could
    // still take effect later.
    if (!m_watch.view().reachable) {
        respond(
            errorResponse({ResultCode::PlatformUnavailable,
                           "the platform is unreachable; the job was not submitted", "platform"}));
        return;
    }
    const auto shard = chooseShard(*submission, m_watch.view().domains);
    if (!shard) {
        respond(errorResponse({ResultCode::UnknownFailureDomain,
                               "no failure domain is in, or the requested one does not exist",
                               "failure_domain"}));
        return;
    }
    commitJob(*submission, *shard, stableHash(body), respond);
}

void JobService::commitJob(const JobSubmission &submission, const ShardId &shard,
                           std::uint64_t fingerprint, const HttpResponder &respond)
{
    const JobId &job = submission.job.job;
    const std::string tasks = encodeTasks(job, submission.job.tasks);
    if (tasks.size() > maxJobBytes) {
        respond(errorResponse({ResultCode::RequestTooLarge,
                               "the encoded job exceeds " + std::to_string(maxJobBytes) + " bytes",
                               "tasks"}));
        return;
    }
    const JobRow row{
        .shard = shard,
        .fingerprint = fingerprint,
        .submissionId =
            m_context.settings.daemon.value + "-"
            + std::to_string(std::chrono::steady_clock::now().time_since_epoch().count()) + "-"
            + std::to_string(++m_submissions)};
    const TimePoint giveUpAt = std::chrono::steady_clock::now() + submissionTimeout;
    commitWithRetry(m_context.control, m_context.platform,
                    {.checks = {{jobKey(job), 0}},
                     .puts = {{jobKey(job), encode(row)}, {inboxKey(shard, job), tasks}}},
                    jobKey(job),
                    {.shouldRetry =
                         [giveUpAt] {
                             return std::chrono::steady_clock::now() < giveUpAt;
                         }},
                    [this, job, shard, fingerprint, respond](const Result<CommitVersions> &result) {
                        if (result) {
                            respond(acceptedResponse(job, shard));
                        } else if (result.error().code == ResultCode::CheckFailed) {
                            answerKnownJob(job, fingerprint, respond);
                        } else {
                            respond(errorResponse(result.error()));
                        }
                    });
}

void JobService::answerKnownJob(const JobId &job, std::uint64_t fingerprint,
                                const HttpResponder &respond)
{
    m_context.platform.read(
        {.keys = {jobKey(job)}}, [job, fingerprint, respond](const Result<std::vector<Row>> &rows) {
            if (!rows || rows->empty()) {
                respond(errorResponse({ResultCode::PlatformUnavailable,
                                       "the job is already recorded, but its row could not be read",
                                       jobKey(job)}));
                return;
            }
            const auto row = decodeJobRow(rows->front().value);
            if (!row || row->fingerprint != fingerprint) {
                respond(errorResponse({ResultCode::JobIdReused,
                                       "the job id was already used with different content",
                                       job.value}));
                return;
            }
            respond(acceptedResponse(job, row->shard));
        });
}

} // namespace acaciadeal
