#ifndef ACACIADEAL_FLEET_JOBROWS_H
#define ACACIADEAL_FLEET_JOBROWS_H

#include "jobs/jobprogress.h"
#include "jobs/jobspec.h"
#include "store/platform.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace acaciadeal {

/// Keys of a job's rows. The spec never changes; the progress is written by the shard's holder; the
/// cancellation is written by any daemon that cannot reach the holder.
std::string jobRowKey(const JobId &job);
std::string cancelRowKey(const JobId &job);
std::string progressRowKey(const JobId &job);

/// Tables of these rows.
inline constexpr const char *jobTable = "job";
inline constexpr const char *progressTable = "progress";

/// One job as its rows tell.
struct StoredJob
{
    JobSpec spec;
    JobProgress progress;
    std::uint64_t progressVersion = 0;
    bool cancelled = false;
};

/// Joins the rows of both tables. Rows that cannot be read are reported in @p ignored.
std::vector<StoredJob> joinJobRows(const std::vector<Row> &jobRows,
                                   const std::vector<Row> &progressRows,
                                   std::vector<Error> &ignored);

/// Returns the state that the rows of one job show to a caller.
JobState storedState(const StoredJob &job);

} // namespace acaciadeal

#endif
