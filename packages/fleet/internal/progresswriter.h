#ifndef ACACIADEAL_FLEET_INTERNAL_PROGRESSWRITER_H
#define ACACIADEAL_FLEET_INTERNAL_PROGRESSWRITER_H

#include "dispatch/fleetstate.h"
#include "store/platform.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::internal {

struct ProgressWriterEnvironment
{
    EventLoop &loop;
    const PlatformAdapter &platform;
    FleetState &fleet;
    std::function<bool()> mayAct;
    /// Called after ends have become durable.
    std::function<void()> onDurable;
    /// Called with the stored progress of a job if it is not what this holder expected.
    std::function<void(const JobId &, const JobProgress &)> onStoredProgress;
};

struct ProgressWriterOptions
{
    Duration delay = milliseconds(60);
    Duration urgentDelay = milliseconds(4);
    Duration retryDelay = milliseconds(100);
};

/// Writes the progress of jobs in groups and tells which ends are durable. A write that loses
/// against another one, such as a late write of an earlier holder, is merged and written again.
class ProgressWriter
{
public:
    ProgressWriter(ProgressWriterEnvironment environment, const ProgressWriterOptions &options);

    /// Schedules a write if something is not durable.
    void flushSoon();
    /// Calls @p callback with true once the job's current progress is durable, at once if it is,
    /// or with false if that fails.
    void whenDurable(const JobId &job, std::function<void(bool)> callback);
    /// Writes what is left, then calls @p done once.
    void finish(std::function<void()> done);
    /// Ends all writes and fails those who wait.
    void stop();

private:
    struct Waiter
    {
        JobId job;
        std::function<void(bool)> callback;
    };

    /// An end that a host listed in the life that began at @ref bootedAt.
    struct HostEnd
    {
        std::optional<milliseconds> bootedAt;
        std::uint64_t number = 0;
    };
    using HostEnds = std::map<HostId, HostEnd>;

    bool isClean() const;
    void schedule(Duration delay);
    void flush();
    void onWritten(const std::vector<JobId> &jobs, const HostEnds &ends,
                   const Result<CommitVersions> &result);
    void mergeRow(const std::string &key);
    void markDurable(const HostEnds &ends);
    void answerWaiters();

    ProgressWriterEnvironment m_env;
    ProgressWriterOptions m_options;
    std::vector<Waiter> m_waiters;
    std::function<void()> m_finished;
    bool m_writing = false;
    bool m_stopped = false;
    /// Due time of the scheduled write, if there is one.
    std::optional<TimePoint> m_dueAt;
};

} // namespace acaciadeal::internal

#endif
