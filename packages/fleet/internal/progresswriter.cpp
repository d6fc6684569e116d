#include "fleet/internal/progresswriter.h"

#include "fleet/jobrows.h"
#include "logging/log.h"
#include "runtime/bootclock.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <utility>

namespace acaciadeal::internal {
namespace {

/// Maximum number of jobs in one transaction. Each needs a check and a write, and the store accepts
/// at most 100 of both together.
constexpr std::size_t jobsPerWrite = 45;

} // namespace

ProgressWriter::ProgressWriter(ProgressWriterEnvironment environment,
                               const ProgressWriterOptions &options)
    : m_env(std::move(environment))
    , m_options(options)
{
}

bool ProgressWriter::isClean() const
{
    const auto &hosts = m_env.fleet.hosts;
    return isWritten() && std::all_of(hosts.begin(), hosts.end(), [](const auto &entry) {
               return entry.second.lastDurableEnd == entry.second.lastSeenEnd;
           });
}

bool ProgressWriter::isRejected(const JobId &job) const
{
    return m_rejected.contains(job);
}

bool ProgressWriter::isWritten() const
{
    const auto &dirty = m_env.fleet.dirty;
    return std::all_of(dirty.begin(), dirty.end(),
                       [this](const JobId &job) { return isRejected(job); });
}

void ProgressWriter::scheduleFlush()
{
    if (m_stopped || m_writing) {
        return;
    }
    scheduleRejected();
    if (isClean()) {
        return;
    }
    const bool urgent =
        !m_waiters.empty()
        || std::any_of(m_env.fleet.dirty.begin(), m_env.fleet.dirty.end(), [this](const JobId &id) {
               if (isRejected(id)) {
                   return false;
               }
               const JobRuntime *const job = findJob(m_env.fleet, id);
               return job != nullptr && isTerminal(job->progress.outcome);
           });
    schedule(urgent ? m_options.shortFlushDelay : m_options.flushDelay);
}

void ProgressWriter::scheduleRejected()
{
    if (m_rejected.empty()) {
        return;
    }
    const auto next =
        std::min_element(m_rejected.begin(), m_rejected.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    schedule(std::max(next->second - bootClockNow(), Duration(0)));
}

void ProgressWriter::schedule(Duration delay)
{
    const TimePoint due = bootClockNow() + delay;
    if (m_dueAt && *m_dueAt <= due) {
        return;
    }
    m_dueAt = due;
    m_env.loop.postAfter(delay, [this, due] {
        if (m_dueAt == due && !m_stopped) {
            m_dueAt.reset();
            flush();
        }
    });
}

bool ProgressWriter::addRow(Transaction &transaction, const JobRuntime &job,
                            std::size_t &bytes) const
{
    std::string value = encodeProgress(job.progress);
    if (!transaction.puts.empty() && bytes + value.size() > maxBytesPerWrite) {
        return false;
    }
    bytes += value.size();
    const std::string key = progressRowKey(job.spec.id);
    transaction.checks.push_back({key, job.progressVersion});
    transaction.puts.push_back({key, std::move(value)});
    return true;
}

std::vector<JobId> ProgressWriter::takeBatch(Transaction &transaction)
{
    auto &dirty = m_env.fleet.dirty;
    std::erase_if(dirty, [this](const JobId &id) { return findJob(m_env.fleet, id) == nullptr; });
    std::erase_if(m_separate, [&dirty](const JobId &id) { return !dirty.contains(id); });
    std::erase_if(m_rejected, [&dirty](const auto &entry) { return !dirty.contains(entry.first); });
    std::size_t bytes = 0;
    const auto takeAlone = [&](const JobId &id) {
        addRow(transaction, *findJob(m_env.fleet, id), bytes);
        dirty.erase(id);
        return std::vector<JobId>{id};
    };
    if (!m_separate.empty()) {
        return takeAlone(*m_separate.begin());
    }
    const TimePoint now = bootClockNow();
    const auto due = std::find_if(m_rejected.begin(), m_rejected.end(),
                                  [now](const auto &entry) { return entry.second <= now; });
    if (due != m_rejected.end()) {
        return takeAlone(due->first);
    }
    std::vector<JobId> jobs;
    for (const JobId &id : dirty) {
        if (jobs.size() >= jobsPerWrite) {
            break;
        }
        if (isRejected(id)) {
            continue;
        }
        if (!addRow(transaction, *findJob(m_env.fleet, id), bytes)) {
            break;
        }
        jobs.push_back(id);
    }
    for (const JobId &id : jobs) {
        dirty.erase(id);
    }
    return jobs;
}

void ProgressWriter::flush()
{
    if (m_writing || !m_env.mayAct()) {
        return;
    }
    Transaction transaction;
    const std::vector<JobId> jobs = takeBatch(transaction);
    EndedRunNumbers endedRuns;
    if (isWritten()) {
        for (const auto &[id, host] : m_env.fleet.hosts) {
            if (host.lastDurableEnd != host.lastSeenEnd) {
                endedRuns[id] = {.bootedAt = host.bootedAt, .number = host.lastSeenEnd};
            }
        }
    }
    if (jobs.empty()) {
        markDurable(endedRuns);
        scheduleRejected();
        return;
    }
    m_writing = true;
    m_env.platform.commit(std::move(transaction),
                          [this, jobs, endedRuns](const Result<CommitVersions> &result) {
                              if (!m_stopped) {
                                  onWritten(jobs, endedRuns, result);
                              }
                          });
}

void ProgressWriter::onWritten(const std::vector<JobId> &jobs, const EndedRunNumbers &endedRuns,
                               const Result<CommitVersions> &result)
{
    m_writing = false;
    if (result) {
        for (const JobId &id : jobs) {
            if (JobRuntime *const job = findJob(m_env.fleet, id)) {
                job->progressVersion = result->at(progressRowKey(id));
            }
            m_separate.erase(id);
            m_rejected.erase(id);
        }
        markDurable(endedRuns);
        scheduleFlush();
        return;
    }
    m_env.fleet.dirty.insert(jobs.begin(), jobs.end());
    if (result.error().code == ResultCode::CheckFailed && !result.error().where.empty()) {
        mergeRow(result.error().where);
        return;
    }
    if (result.error().code == ResultCode::WriteRejected) {
        onRejected(jobs, result.error());
        return;
    }
    logEvent(EventId::WriteOutcomeUnknown,
             {{"what", "progress of " + std::to_string(jobs.size()) + " jobs"},
              {"reason", result.error().message}});
    schedule(m_options.retryDelay);
}

/// The store does not say which row of a batch it rejected.
void ProgressWriter::onRejected(const std::vector<JobId> &jobs, const Error &error)
{
    if (jobs.size() > 1) {
        m_separate.insert(jobs.begin(), jobs.end());
        schedule(m_options.shortFlushDelay);
        return;
    }
    const JobId &id = jobs.front();
    const JobRuntime *const job = findJob(m_env.fleet, id);
    m_separate.erase(id);
    m_rejected[id] = bootClockNow() + m_options.rejectedRetryDelay;
    logEvent(EventId::RowRejected,
             {{"row", progressRowKey(id)},
              {"bytes", std::to_string(job == nullptr ? 0 : encodeProgress(job->progress).size())},
              {"reason", error.message}});
    scheduleFlush();
}

/// Merges a stored row whose version is not the expected one. It was written by this holder and the
/// answer was lost, or it is a late write of an earlier holder.
void ProgressWriter::mergeRow(const std::string &key)
{
    m_env.platform.read({.keys = {key}}, [this, key](const Result<std::vector<Row>> &rows) {
        if (m_stopped) {
            return;
        }
        const JobId id{key.substr(key.find('/') + 1)};
        JobRuntime *const job = findJob(m_env.fleet, id);
        if (rows && job != nullptr) {
            job->progressVersion = rows->empty() ? 0 : rows->front().version;
            if (!rows->empty()) {
                if (const auto stored = decodeProgress(job->spec, rows->front().value)) {
                    m_env.onStoredProgress(id, *stored);
                } else {
                    logEvent(EventId::RowIgnored,
                             {{"row", key}, {"reason", stored.error().message}});
                }
            }
        }
        schedule(m_options.shortFlushDelay);
    });
}

void ProgressWriter::markDurable(const EndedRunNumbers &endedRuns)
{
    for (const auto &[id, end] : endedRuns) {
        FleetHost *const host = findHost(m_env.fleet, id);
        // A host that has restarted, or that was removed and has come back, numbers its ended runs
        // from 1 again.
        if (host != nullptr && end.bootedAt == host->bootedAt && end.number <= host->lastSeenEnd) {
            host->lastDurableEnd = std::max(host->lastDurableEnd, end.number);
        }
    }
    answerWaiters();
    m_env.onDurable();
    if (m_onFinished && isWritten()) {
        std::exchange(m_onFinished, nullptr)();
    }
}

void ProgressWriter::answerWaiters()
{
    std::vector<Waiter> durable;
    std::erase_if(m_waiters, [&](Waiter &waiter) {
        if (m_env.fleet.dirty.contains(waiter.job)) {
            return false;
        }
        durable.push_back(std::move(waiter));
        return true;
    });
    for (const Waiter &waiter : durable) {
        waiter.callback(true);
    }
}

void ProgressWriter::whenDurable(const JobId &job, std::function<void(bool)> callback)
{
    if (m_stopped) {
        callback(false);
        return;
    }
    if (!m_env.fleet.dirty.contains(job) && !m_writing) {
        callback(true);
        return;
    }
    m_waiters.push_back({job, std::move(callback)});
    scheduleFlush();
}

void ProgressWriter::finish(std::function<void()> done)
{
    if (m_stopped || (isWritten() && !m_writing) || !m_env.mayAct()) {
        done();
        return;
    }
    m_onFinished = std::move(done);
    schedule(Duration(0));
}

void ProgressWriter::stop()
{
    m_stopped = true;
    for (const Waiter &waiter : std::exchange(m_waiters, {})) {
        waiter.callback(false);
    }
    if (m_onFinished) {
        std::exchange(m_onFinished, nullptr)();
    }
}

} // namespace acaciadeal::internal
