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
    /// Called after ended runs have become durable.
    std::function<void()> onDurable;
    /// Called with the stored progress of a job if it differs from what this holder last wrote.
    std::function<void(const JobId &, const JobProgress &)> onStoredProgress;
};

struct ProgressWriterOptions
{
    /// Time for which progress is batched before it is written.
    Duration flushDelay = milliseconds(60);
    /// The same if a job has ended, a callback waits for the write, or a write had a conflict.
    Duration shortFlushDelay = milliseconds(4);
    /// Delay before a write that failed is repeated.
    Duration retryDelay = milliseconds(100);
};

/// Writes the progress of jobs in batches and keeps track of which ended runs are durable. If a
/// write conflicts with another one, such as a late write of an earlier holder, the stored progress
/// is merged and the result is written again.
class ProgressWriter
{
public:
    ProgressWriter(ProgressWriterEnvironment environment, const ProgressWriterOptions &options);

    /// Schedules a write if any progress is not durable.
    void scheduleFlush();
    /// Calls @p callback with true once the job's current progress is durable, immediately if it
    /// already is, or with false if the writer is stopped before.
    void whenDurable(const JobId &job, std::function<void(bool)> callback);
    /// Writes the remaining progress, then calls @p done once.
    void finish(std::function<void()> done);
    /// Stops writing and calls the callbacks of whenDurable() that are still waiting with false.
    void stop();

private:
    struct Waiter
    {
        JobId job;
        std::function<void(bool)> callback;
    };

    /// Number of an ended run, as reported by the incarnation of a host that started at @ref
    /// bootedAt; each incarnation counts from 1.
    struct EndedRunNumber
    {
        std::optional<milliseconds> bootedAt;
        std::uint64_t number = 0;
    };
    using EndedRunNumbers = std::map<HostId, EndedRunNumber>;

    bool isClean() const;
    void schedule(Duration delay);
    void flush();
    void onWritten(const std::vector<JobId> &jobs, const EndedRunNumbers &endedRuns,
                   const Result<CommitVersions> &result);
    void mergeRow(const std::string &key);
    void markDurable(const EndedRunNumbers &endedRuns);
    void answerWaiters();

    ProgressWriterEnvironment m_env;
    ProgressWriterOptions m_options;
    std::vector<Waiter> m_waiters;
    std::function<void()> m_onFinished;
    bool m_writing = false;
    bool m_stopped = false;
    /// Time at which the scheduled write is due; unset if none is scheduled.
    std::optional<TimePoint> m_dueAt;
};

} // namespace acaciadeal::internal

#endif
