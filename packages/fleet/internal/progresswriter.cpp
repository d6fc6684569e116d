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
    return m_env.fleet.dirty.empty()
           && std::all_of(hosts.begin(), hosts.end(), [](const auto &entry) {
                  return entry.second.lastDurableEnd == entry.second.lastSeenEnd;
              });
}

void ProgressWriter::scheduleFlush()
{
    if (m_stopped || m_writing || isClean()) {
        return;
    }
    const bool urgent =
        !m_waiters.empty()
        || std::any_of(m_env.fleet.dirty.begin(), m_env.fleet.dirty.end(), [this](const JobId &id) {
               const JobRuntime *const job = findJob(m_env.fleet, id);
               return job != nullptr && isTerminal(job->progress.outcome);
           });
    schedule(urgent ? m_options.shortFlushDelay : m_options.flushDelay);
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

void ProgressWriter::flush()
{
    if (m_writing || !m_env.mayAct()) {
        return;
    }
    Transaction transaction;
    std::vector<JobId> jobs;
    auto &dirty = m_env.fleet.dirty;
    while (!dirty.empty() && jobs.size() < jobsPerWrite) {
        const JobId id = *dirty.begin();
        dirty.erase(dirty.begin());
        const JobRuntime *const job = findJob(m_env.fleet, id);
        if (job == nullptr) {
            continue;
        }
        const std::string key = progressRowKey(id);
        transaction.checks.push_back({key, job->progressVersion});
        transaction.puts.push_back({key, encodeProgress(job->progress)});
        jobs.push_back(id);
    }
    EndedRunNumbers endedRuns;
    if (dirty.empty()) {
        for (const auto &[id, host] : m_env.fleet.hosts) {
            if (host.lastDurableEnd != host.lastSeenEnd) {
                endedRuns[id] = {.bootedAt = host.bootedAt, .number = host.lastSeenEnd};
            }
        }
    }
    if (jobs.empty()) {
        markDurable(endedRuns);
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
    logEvent(EventId::WriteOutcomeUnknown,
             {{"what", "progress of " + std::to_string(jobs.size()) + " jobs"},
              {"reason", result.error().message}});
    schedule(m_options.retryDelay);
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
    if (m_onFinished && m_env.fleet.dirty.empty()) {
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
    if (m_stopped || (m_env.fleet.dirty.empty() && !m_writing) || !m_env.mayAct()) {
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
