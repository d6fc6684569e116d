#include "cases.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

namespace acaciadeal::review {
namespace {

/// Length of a freeze: that of `node_freeze` in the site file.
constexpr Duration freezeTime = milliseconds(4000);
/// Time from a burst to the freeze of the holder, and from there to the next burst.
constexpr Duration burstTime = milliseconds(700);
constexpr Duration takeoverTime = milliseconds(5000);
/// Four former holders with 16 connections each use up the 64 connections of a server.
constexpr std::size_t formerHolders = 4;
constexpr int maxFreezes = 13;
constexpr Duration checkPeriod = milliseconds(100);
/// A task that lasts has to run again from 6 s after its last run; the rule is broken if it doesn't
/// for 3 s, and these and the 4 s before them are calm.
constexpr std::int64_t restartMs = 6000;
constexpr std::int64_t idleMs = 3000;
constexpr std::int64_t calmMs = 4000;
/// After the last freeze, the case ends after this time if nothing is broken.
constexpr std::int64_t observeMs = 24000;

constexpr unsigned lastingJob = 1;
constexpr int lastingTasks = 2;
constexpr int minionMilliCores = 16000;

class Connections : public std::enable_shared_from_this<Connections>
{
public:
    explicit Connections(Deployment &deployment)
        : m_deployment(deployment)
    {
    }

    void start()
    {
        const Step step{
            .tasks = lastingTasks,
            .size = {.milliCores = 1000, .memoryMb = 1000, .runTime = std::chrono::minutes(10)},
            .lasting = true,
            .tasksPerServer = 1};
        m_deployment.submit(0, jobId(lastingJob), {step},
                            [self = shared_from_this()](unsigned status, const std::string &) {
                                if (status != 200) {
                                    self->m_deployment.finish(Verdict::NotRun,
                                                              "the first job was not accepted");
                                    return;
                                }
                                self->burst();
                            });
    }

private:
    /// Submits two jobs of 36 tasks, 18 of each job for each of the two servers.
    void burst()
    {
        const Step step{.tasks = 36,
                        .size = {.milliCores = 300, .memoryMb = 500, .runTime = milliseconds(300)},
                        .tasksPerServer = 18};
        for (int n = 0; n < 2; ++n) {
            m_deployment.submit(0, jobId(++m_lastJob), {step},
                                [](unsigned, const std::string &) {});
        }
        m_deployment.after(burstTime, [self = shared_from_this()] { self->freezeHolder(); });
    }

    void freezeHolder()
    {
        const std::size_t holder = m_deployment.holder().value_or(0);
        m_formerHolders.insert(holder);
        ++m_freezes;
        if (m_deployment.trouble()) {
            m_deployment.freeze(holder, freezeTime);
        }
        m_deployment.after(takeoverTime, [self = shared_from_this()] {
            if (!self->isPrepared()) {
                self->burst();
                return;
            }
            self->m_calmSinceMs =
                self->m_deployment.nowMs()
                - std::chrono::duration_cast<milliseconds>(takeoverTime - freezeTime).count();
            self->m_deployment.record().add("the last freeze has ended; daemon "
                                            + std::to_string(*self->m_deployment.holder())
                                            + " holds the shard");
            self->check();
        });
    }

    /// Returns whether enough daemons have been frozen as holders and another one holds the shard.
    bool isPrepared() const
    {
        if (!m_deployment.trouble()) {
            return m_freezes >= static_cast<int>(formerHolders);
        }
        return m_freezes >= maxFreezes
               || (m_formerHolders.size() >= formerHolders
                   && !m_formerHolders.contains(m_deployment.holder().value_or(0)));
    }

    /// Returns since when a task of the lasting job has no run; nullopt if it runs.
    std::optional<std::int64_t> idleSinceMs(int index) const
    {
        const std::string task = jobId(lastingJob) + ".0.0." + std::to_string(index);
        std::optional<std::int64_t> since;
        for (const RunRecord &run : m_deployment.runs()) {
            if (run.task == task && run.endedMs < 0) {
                return std::nullopt;
            }
            if (run.task == task) {
                since = std::max(since.value_or(0), run.endedMs);
            }
        }
        return since;
    }

    /// Returns whether both tasks of the lasting job have had no run for long enough while there is
    /// room for two: one place on each server, and under half of each server in use.
    bool isOverdue(std::int64_t now) const
    {
        const auto &minions = m_deployment.minions();
        const bool hasRoom = std::all_of(minions.begin(), minions.end(), [](const auto &minion) {
            return minion->usedMilliCores() < minionMilliCores / 2;
        });
        bool overdue = hasRoom;
        for (int n = 0; n < lastingTasks; ++n) {
            const auto since = idleSinceMs(n);
            overdue = overdue && since && now - *since >= restartMs;
        }
        return overdue;
    }

    void check()
    {
        const std::int64_t now = m_deployment.nowMs();
        if (!isOverdue(now)) {
            m_overdueSinceMs.reset();
        } else if (!m_overdueSinceMs) {
            m_overdueSinceMs = now;
        }
        if (m_overdueSinceMs && now - *m_overdueSinceMs >= idleMs
            && now - m_calmSinceMs >= calmMs + idleMs) {
            const auto &minions = m_deployment.minions();
            m_deployment.finish(Verdict::Broken,
                                "LOST: the tasks of the job that lasts have not run for "
                                    + std::to_string(restartMs + now - *m_overdueSinceMs)
                                    + " ms or more, with room for two all the while, and "
                                    + std::to_string(now - m_calmSinceMs)
                                    + " ms after the last freeze; the servers refused "
                                    + std::to_string(minions[0]->refusedConnections()) + " and "
                                    + std::to_string(minions[1]->refusedConnections())
                                    + " connections");
            return;
        }
        if (now - m_calmSinceMs >= observeMs) {
            if (m_deployment.trouble() && m_formerHolders.size() < formerHolders) {
                m_deployment.finish(Verdict::NotRun, "too few daemons have been the holder");
            } else {
                m_deployment.finish(Verdict::Held, "the tasks that last run");
            }
            return;
        }
        m_deployment.after(checkPeriod, [self = shared_from_this()] { self->check(); });
    }

    Deployment &m_deployment;
    std::set<std::size_t> m_formerHolders;
    int m_freezes = 0;
    unsigned m_lastJob = lastingJob;
    std::int64_t m_calmSinceMs = 0;
    std::optional<std::int64_t> m_overdueSinceMs;
};

} // namespace

Case connectionsCase()
{
    return {.options = {.daemons = 9, .minions = 2, .milliCores = minionMilliCores},
            .start = [](Deployment &deployment) {
                std::make_shared<Connections>(deployment)->start();
            }};
}

} // namespace acaciadeal::review
