#include "fleet/jobrows.h"

#include <set>

namespace acaciadeal {
namespace {

constexpr const char *cancelSuffix = "!cancel";
/// Not valid JSON, so that no encoded job has this value.
constexpr const char *tombstoneValue = "cancelled before it was stored";

} // namespace

std::string jobRowKey(const JobId &job)
{
    return std::string(jobTable) + "/" + job.value;
}

std::string cancelRowKey(const JobId &job)
{
    return jobRowKey(job) + cancelSuffix;
}

std::string progressRowKey(const JobId &job)
{
    return std::string(progressTable) + "/" + job.value;
}

std::string encodeTombstone()
{
    return tombstoneValue;
}

bool isTombstone(const std::string &value)
{
    return value == tombstoneValue;
}

std::vector<JobId> tombstones(const std::vector<Row> &jobRows)
{
    std::vector<JobId> ids;
    for (const Row &row : jobRows) {
        if (isTombstone(row.value)) {
            ids.push_back({row.key.substr(jobRowKey({}).size())});
        }
    }
    return ids;
}

Result<JobSpec> decodeJobRow(const std::string &key, const std::string &value)
{
    auto job = decodeJob(value);
    if (job && jobRowKey(job->id) != key) {
        return failure(ResultCode::CorruptSnapshot, "the row contains job " + job->id.value, key);
    }
    return job;
}

std::vector<StoredJob> joinJobRows(const std::vector<Row> &jobRows,
                                   const std::vector<Row> &progressRows,
                                   std::vector<Error> &ignored)
{
    std::set<std::string> cancelled;
    for (const Row &row : jobRows) {
        if (row.key.ends_with(cancelSuffix)) {
            cancelled.insert(row.key);
        }
    }
    std::unordered_map<std::string, const Row *> progressByKey;
    for (const Row &row : progressRows) {
        progressByKey[row.key] = &row;
    }
    std::vector<StoredJob> jobs;
    for (const Row &row : jobRows) {
        if (row.key.ends_with(cancelSuffix) || isTombstone(row.value)) {
            continue;
        }
        auto spec = decodeJobRow(row.key, row.value);
        if (!spec) {
            ignored.push_back({spec.error().code, spec.error().message, row.key});
            continue;
        }
        StoredJob job{.spec = std::move(*spec)};
        job.progress = emptyProgress(job.spec);
        job.cancelled = cancelled.contains(cancelRowKey(job.spec.id));
        const auto it = progressByKey.find(progressRowKey(job.spec.id));
        if (it != progressByKey.end()) {
            job.progressVersion = it->second->version;
            if (auto progress = decodeProgress(job.spec, it->second->value)) {
                job.progress = std::move(*progress);
            } else {
                ignored.push_back(progress.error());
            }
        }
        jobs.push_back(std::move(job));
    }
    return jobs;
}

JobState storedState(const StoredJob &job)
{
    if (isTerminal(job.progress.outcome)) {
        return job.progress.outcome;
    }
    return job.cancelled ? JobState::Cancelled : JobState::Running;
}

} // namespace acaciadeal
