#ifndef ACACIADEAL_FLEET_JOBROWS_H
#define ACACIADEAL_FLEET_JOBROWS_H

#include "jobs/jobprogress.h"
#include "jobs/jobspec.h"
#include "store/platform.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace acaciadeal {

/// Return the keys of a job's rows. The spec never changes; the progress is written by the shard's
/// holder; the cancellation is written by a daemon that cannot reach the holder.
std::string jobRowKey(const JobId &job);
std::string cancelRowKey(const JobId &job);
std::string progressRowKey(const JobId &job);

/// Maximum size of the rows in one transaction. The store accepts 1 MB of JSON; base64 adds a
/// third, and the names of 90 entries need less than 64 KB.
inline constexpr std::size_t maxBytesPerWrite = (1'000'000 - 64 * 1024) / 4 * 3;
static_assert(maxBytesPerWrite >= maxJobRowBytes);

/// Value of a job row that a cancellation wrote because there was no row. A write of the job that
/// is still in progress then fails, because it requires that the row is absent.
std::string encodeTombstone();
bool isTombstone(const std::string &value);
/// Returns the ids of the jobs whose rows are tombstones.
std::vector<JobId> tombstones(const std::vector<Row> &jobRows);

/// Tables of these rows; cancellations are in the job table.
inline constexpr const char *jobTable = "job";
inline constexpr const char *progressTable = "progress";

/// Decodes the job in the row with @p key. Errors: CorruptSnapshot if the row is not the one of
/// that job, and those of decodeJob().
Result<JobSpec> decodeJobRow(const std::string &key, const std::string &value);

/// A job as read from its rows.
struct StoredJob
{
    JobSpec spec;
    JobProgress progress;
    /// Version of the progress row; 0 if there is none.
    std::uint64_t progressVersion = 0;
    bool cancelled = false;
};

/// Joins the rows of both tables by job; skips tombstones. For each row that cannot be decoded an
/// error is added to @p ignored.
std::vector<StoredJob> joinJobRows(const std::vector<Row> &jobRows,
                                   const std::vector<Row> &progressRows,
                                   std::vector<Error> &ignored);

/// Returns the state of a job according to its rows. A job that has neither ended nor been
/// cancelled counts as running, because the rows do not show whether it still waits.
JobState storedState(const StoredJob &job);

} // namespace acaciadeal

#endif
