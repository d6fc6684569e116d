#ifndef ACACIADEAL_FLEET_INTERNAL_PROGRESSWRITER_H
#define ACACIADEAL_FLEET_INTERNAL_PROGRESSWRITER_H

#include "dispatch/fleetstate.h"
#include "store/platform.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
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
    /// Delay before a row that the store rejected is tried again.
    Duration rejectedRetryDelay = milliseconds(1'000);
};

/// Writes the progress of jobs in batches and keeps track of which ended runs are durable. If a
/// write conflicts with another one, such as a late write of an earlier holder, the stored progress
/// is merged and the result is written again. If the store rejects a batch, its jobs are written
/// one at a time. A row that is rejected alone is logged and retried with a delay, and the others
/// do not wait for it. Ended runs of its job are acknowledged meanwhile, as hosts list all ends in
/// one order; if the holder changes before the row is accepted, its tasks may run again.
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
    bool isRejected(const JobId &job) const;
    /// Returns whether all changed jobs, except those whose rows the store rejects, are durable.
    bool isWritten() const;
    /// Removes the next jobs to be written from the changed ones and adds their rows to
    /// @p transaction.
    std::vector<JobId> takeBatch(Transaction &transaction);
    /// Adds the row of a job unless the transaction would become too large. Returns whether it was
    /// added.
    bool addRow(Transaction &transaction, const JobRuntime &job, std::size_t &bytes) const;
    void onRejected(const std::vector<JobId> &jobs, const Error &error);
    void scheduleRejected();
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
    /// Jobs of a rejected batch, to be written one at a time.
    std::set<JobId> m_separate;
    /// Jobs whose rows the store rejected, with the time of the next attempt.
    std::map<JobId, TimePoint> m_rejected;
    bool m_writing = false;
    bool m_stopped = false;
    /// Time at which the scheduled write is due; unset if none is scheduled.
    std::optional<TimePoint> m_dueAt;
};

} // namespace acaciadeal::internal

#endif
