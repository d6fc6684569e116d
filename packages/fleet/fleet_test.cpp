#include "fleet/fakehosts.h"
#include "fleet/holder.h"
#include "fleet/internal/leaserecord.h"
#include "fleet/internal/progresswriter.h"
#include "fleet/jobrows.h"
#include "fleet/ownership.h"
#include "kernel/pluginregistry.h"
#include "runtime/bootclock.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <future>
#include <limits>
#include <optional>
#include <thread>

using namespace acaciadeal;

namespace {

constexpr milliseconds lease{400};
constexpr Duration testTimeout = std::chrono::seconds(10);
/// Delay of the host's answer to the new holder in takeOver().
constexpr Duration takeoverAnswerDelay = milliseconds(300);

/// Runs @p function on the loop's thread, waits for it and returns its result.
template<typename Function>
auto onLoop(EventLoop &loop, Function function)
{
    auto promise = std::make_shared<std::promise<decltype(function())>>();
    loop.post([promise, function] { promise->set_value(function()); });
    return promise->get_future().get();
}

/// Polls @p condition on the loop's thread. Returns false if it is not true within testTimeout.
template<typename Condition>
bool eventually(EventLoop &loop, Condition condition)
{
    const TimePoint deadline = bootClockNow() + testTimeout;
    while (bootClockNow() < deadline) {
        if (onLoop(loop, condition)) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

JobSpec oneTaskJob(const std::string &id)
{
    return {.id = {id},
            .terms = {.queue = "q", .service = {"svc"}, .maxAttempts = 3},
            .steps = {{.taskSize = {.milliCores = 1000, .memoryMiB = 100},
                       .estimatedRunTime = milliseconds(1000)}}};
}

TaskKey taskOf(const std::string &id)
{
    return {.job = {id}};
}

/// Simulated hosts, a store in memory that can fail, and the holders that use them, by epoch.
struct Cluster
{
    EventLoop loop{{.threads = 1}};
    FakeHosts hosts;
    PlatformAdapter platform;
    Metrics metrics{{}};
    std::map<int, std::shared_ptr<FleetHolder>> holders;
    std::map<int, bool> mayAct;
    /// Hosts that are missing from the host list.
    std::set<std::string> unlisted;
    /// Delay of the store's answer to a write of progress.
    Duration progressDelay{0};
    /// Job whose progress row the store rejects, also in a transaction with others.
    JobId rejectedProgress;
    /// Transactions that were rejected because of it.
    int rejectedWrites = 0;
    /// Keys of the progress rows whose delayed write has been answered.
    std::set<std::string> storedProgress;
    /// Whether the store refuses to delete job rows.
    bool refusesJobRemoval = false;
    /// The store refuses this many of the next reads of changed jobs.
    int refusedChanges = 0;
    /// The store refuses this many of the next reads of the whole job table.
    int refusedJobTables = 0;
    /// Time after which reads of changed jobs fail; unset if they succeed.
    std::optional<Duration> changesTimeout;
    /// Whether the answers to writes of the roster are lost, and the writes as well.
    bool losesRosterWrites = false;
    /// Whether reads of changed jobs fail because the store has dropped the history of changes.
    bool historyLost = false;
    /// Whether each answer has only the first of the changes, and says so.
    bool cutsChanges = false;
    milliseconds hostLease = lease;
    milliseconds maxHostLease{1500};
    Duration readJobsEvery = milliseconds(50);
    Duration maxCountAge = testTimeout;
    Duration catchUpTimeout = testTimeout;
    /// Job whose rows are removed after the next read of the job or progress table.
    JobId removedBetweenReads;
    /// When the last heartbeat of a holder was sent, and read by the next one; unset if that is not
    /// known.
    std::optional<TimePoint> heartbeatSeenAt;
    Duration renewalRetryDelay = milliseconds(20);
    Duration endedJobRetention = std::chrono::seconds(150);

    explicit Cluster(int n)
        : hosts(loop, n)
    {
        platform = PluginRegistry<PlatformPlugin>::instance().find("memory")->create(loop, {});
        platform.listHosts = [this](const HostsCallback &callback) {
            loop.post([this, callback] {
                std::vector<HostRecord> records = hosts.records();
                std::erase_if(records, [this](const HostRecord &record) {
                    return unlisted.contains(record.host.value);
                });
                callback(std::move(records));
            });
        };
        platform.partitionOf = [](const std::string &key) {
            return key.substr(0, key.find('/'));
        };
        platform.changes = [this, changes = platform.changes](const std::string &table,
                                                              std::uint64_t after, Duration wait,
                                                              ChangesCallback callback) {
            if (changesTimeout) {
                loop.postAfter(*changesTimeout, [callback = std::move(callback)] {
                    callback(failure(ResultCode::PlatformUnavailable, "no answer in time"));
                });
                return;
            }
            if (refusedChanges > 0 || historyLost) {
                const ResultCode code =
                    refusedChanges > 0 ? ResultCode::PlatformUnavailable : ResultCode::HistoryLost;
                refusedChanges = std::max(refusedChanges - 1, 0);
                loop.post([code, callback = std::move(callback)] {
                    callback(failure(code, "the change feed is not available"));
                });
                return;
            }
            if (cutsChanges) {
                changes(table, after, wait,
                        [after, callback = std::move(callback)](Result<RowChanges> result) {
                            if (result && !result->rows.empty()) {
                                result->rows.resize(1);
                                result->version = after;
                                result->complete = false;
                            }
                            callback(std::move(result));
                        });
                return;
            }
            changes(table, after, wait, std::move(callback));
        };
        platform.readTable = [this, readTable = platform.readTable](const std::string &table,
                                                                    SnapshotCallback callback) {
            if (table == jobTable && refusedJobTables > 0) {
                --refusedJobTables;
                loop.post([callback = std::move(callback)] {
                    callback(failure(ResultCode::PlatformUnavailable, "status 503"));
                });
                return;
            }
            readTable(table, std::move(callback));
            if (const JobId id = removedBetweenReads;
                (table == jobTable || table == progressTable) && !id.empty()) {
                removedBetweenReads = {};
                platform.commit({.deletes = {jobRowKey(id), progressRowKey(id)}},
                                [](const Result<CommitVersions> &) {});
            }
        };
        platform.commit = [this, commit = platform.commit](const Transaction &transaction,
                                                           CommitCallback callback) {
            const bool removesJobs =
                std::any_of(transaction.deletes.begin(), transaction.deletes.end(),
                            [](const std::string &key) { return key.starts_with("job/"); });
            if (removesJobs && refusesJobRemoval) {
                loop.post([callback = std::move(callback)] {
                    callback(failure(ResultCode::PlatformUnavailable, "status 503"));
                });
                return;
            }
            if (losesRosterWrites && !transaction.puts.empty()
                && transaction.puts[0].key.starts_with("roster/")) {
                loop.post([callback = std::move(callback)] {
                    callback(failure(ResultCode::WriteOutcomeUnknown, "no answer"));
                });
                return;
            }
            const bool isRejected =
                !rejectedProgress.empty()
                && std::any_of(transaction.puts.begin(), transaction.puts.end(),
                               [this](const RowPut &put) {
                                   return put.key == progressRowKey(rejectedProgress);
                               });
            if (isRejected) {
                ++rejectedWrites;
                loop.post([callback = std::move(callback)] {
                    callback(failure(ResultCode::WriteRejected, "status 400"));
                });
                return;
            }
            const bool isProgress =
                !transaction.puts.empty() && transaction.puts[0].key.starts_with("progress/");
            commit(transaction, [this, isProgress, callback = std::move(callback)](
                                    const Result<CommitVersions> &result) {
                if (!isProgress || progressDelay == Duration(0)) {
                    callback(result);
                    return;
                }
                loop.postAfter(progressDelay, [this, result, callback] {
                    recordProgressRows(result);
                    callback(result);
                });
            });
        };
    }

    ~Cluster()
    {
        onLoop(loop, [this] {
            for (auto &[epoch, holder] : holders) {
                holder->stop();
            }
            return true;
        });
        loop.stop();
    }

    /// Starts the holder of @p epoch. The previous holder has stopped @p stoppedAgo before.
    FleetHolder &startHolder(int epoch, const std::set<FailureDomainId> &evacuated = {},
                             Duration stoppedAgo = Duration(0))
    {
        mayAct[epoch] = true;
        return *onLoop(loop, [this, epoch, evacuated, stoppedAgo] {
            auto holder = std::make_shared<FleetHolder>(
                FleetHolderEnvironment{.loop = loop,
                                       .platform = platform,
                                       .hosts = hosts.client(),
                                       .metrics = metrics,
                                       .mayAct = [this, epoch] { return mayAct[epoch]; },
                                       .sinceHeartbeat =
                                           [this] {
                                               return heartbeatSeenAt
                                                          ? bootClockNow() - *heartbeatSeenAt
                                                          : Duration(0);
                                           },
                                       .onFenced =
                                           [this, epoch](const std::string &) {
                                               mayAct[epoch] = false;
                                           }},
                FleetHolderOptions{.epoch = static_cast<std::uint64_t>(epoch),
                                   .previous = {.stoppedAt = bootClockNow() - stoppedAgo,
                                                .heartbeatSeenAt = heartbeatSeenAt},
                                   .lease = hostLease,
                                   .maxHostLease = maxHostLease,
                                   .renewalWait = milliseconds(50),
                                   .hostTimeout = milliseconds(40),
                                   .renewalRetryDelay = renewalRetryDelay,
                                   .flushDelay = milliseconds(10),
                                   .listHostsEvery = milliseconds(50),
                                   .readJobsEvery = readJobsEvery,
                                   .maxCountAge = maxCountAge,
                                   .catchUpTimeout = catchUpTimeout,
                                   .tickEvery = milliseconds(10),
                                   .endedJobRetention = endedJobRetention});
            holders[epoch] = holder;
            if (!evacuated.empty()) {
                holder->setEvacuated(evacuated);
            }
            holder->start();
            return holder;
        });
    }

    /// Stops the holder of @p epoch like a daemon that is shut down.
    void stopHolderAsPlanned(int epoch)
    {
        std::promise<void> finished;
        loop.post([&] { holders[epoch]->finish([&finished] { finished.set_value(); }); });
        finished.get_future().get();
        runOnLoop([&] {
            mayAct[epoch] = false;
            holders[epoch]->stop();
        });
    }

    /// Stops the holder of @p epoch like a daemon that loses power.
    void stopHolderAtOnce(int epoch)
    {
        runOnLoop([&] {
            mayAct[epoch] = false;
            holders[epoch]->stop();
        });
    }

    /// Submits job "j", waits until its task runs, and returns the host.
    std::string runOneTask()
    {
        submit(oneTaskJob("j"));
        REQUIRE(waitUntilRunning("j"));
        return hostOf("j");
    }

    /// Lets the host fall silent, and if @p gone ends its runs.
    void silenceHost(const std::string &id, bool gone)
    {
        runOnLoop([&] {
            hosts.host(id).unresponsive = true;
            if (gone) {
                hosts.host(id).active.clear();
                unlisted.insert(id);
            }
        });
    }

    /// Limits the leases of all hosts to maxHostLease, and restarts those that are idle.
    void restartIdleHosts()
    {
        runOnLoop([&] {
            for (const HostRecord &record : hosts.records()) {
                FakeHost &host = hosts.host(record.host.value);
                host.maxLease = maxHostLease;
                if (host.active.empty()) {
                    hosts.restart(record.host.value);
                }
            }
        });
    }

    /// Returns the stored lease record.
    internal::LeaseRecord storedLeases()
    {
        std::promise<internal::LeaseRecord> record;
        loop.post([&] {
            platform.readTable("roster", [&record](const Result<RowSnapshot> &snapshot) {
                std::vector<std::string> rows;
                for (const Row &row : snapshot->rows) {
                    if (row.key.starts_with("roster/leases.")) {
                        rows.push_back(row.value);
                    }
                }
                record.set_value(*internal::decodeLeases(rows));
            });
        });
        return record.get_future().get();
    }

    /// Waits until the stored lease record lists the host, or until it does not.
    bool waitUntilRecorded(const std::string &id, bool listed)
    {
        const TimePoint deadline = bootClockNow() + testTimeout;
        while (bootClockNow() < deadline) {
            if (storedLeases().hosts.contains({id}) == listed) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        return false;
    }

    /// Waits until the task of job "j" has been started on another host than @p first. Returns the
    /// largest number of its runs that were active at the same time until then; unset if it does
    /// not start.
    std::optional<int> activeRunsUntilStartedElsewhere(const std::string &first)
    {
        int maxActive = 0;
        const bool started = eventually(loop, [&] {
            maxActive = std::max(maxActive, hosts.activeRuns(taskOf("j")));
            const std::vector<HostRecord> records = hosts.records();
            return std::any_of(records.begin(), records.end(), [&](const HostRecord &record) {
                const auto &active = hosts.host(record.host.value).active;
                return record.host.value != first && active.contains(taskOf("j"));
            });
        });
        return started ? std::optional(maxActive) : std::nullopt;
    }

    /// Stores a job's row as JobFrontend does; the holder finds it by reading the job table.
    void submit(const JobSpec &job)
    {
        std::promise<bool> stored;
        platform.commit(
            {.checks = {{jobRowKey(job.id), 0}}, .puts = {{jobRowKey(job.id), encodeJob(job)}}},
            [&stored](const Result<CommitVersions> &result) {
                stored.set_value(result.has_value());
            });
        REQUIRE(stored.get_future().get());
    }

    /// Stores a cancellation as JobFrontend does if it cannot reach the holder.
    void storeCancellation(const std::string &id)
    {
        std::promise<bool> stored;
        platform.commit({.puts = {{cancelRowKey({id}), id}}},
                        [&stored](const Result<CommitVersions> &result) {
                            stored.set_value(result.has_value());
                        });
        REQUIRE(stored.get_future().get());
    }

    /// Runs @p function on the loop's thread and waits for it.
    template<typename Function>
    void runOnLoop(Function function)
    {
        onLoop(loop, [function] {
            function();
            return true;
        });
    }

    /// Starts a second holder after the first one has stopped. On return it has read the job @p id,
    /// and waits for the answer of h0, on which the task of another job runs.
    FleetHolder &takeOver(const std::string &id)
    {
        startHolder(1);
        submit(oneTaskJob("first"));
        REQUIRE(waitUntilRunning("first"));
        runOnLoop([this] {
            mayAct[1] = false;
            hosts.host("h0").answerDelay = takeoverAnswerDelay;
        });
        submit(oneTaskJob(id));
        readJobsEvery = testTimeout;
        FleetHolder &holder = startHolder(2);
        REQUIRE(eventually(loop, [&] { return holder.dispatcher().fleet.jobs.contains({id}); }));
        REQUIRE(startCount(id) == 0);
        return holder;
    }

    /// Submits a job with two tasks and waits until both run on h0.
    JobSpec runTwoTasks(const std::string &id)
    {
        JobSpec job = oneTaskJob(id);
        job.steps[0].tasks = 2;
        submit(job);
        REQUIRE(eventually(loop, [this, &id] {
            const auto &active = hosts.host("h0").active;
            return active.contains(taskOf(id)) && active.contains({.job = {id}, .index = 1});
        }));
        return job;
    }

    /// Overwrites a progress row, like a late write of an earlier holder.
    void storeProgress(const std::string &id, const JobProgress &progress)
    {
        std::promise<bool> stored;
        platform.commit({.puts = {{progressRowKey({id}), encodeProgress(progress)}}},
                        [&stored](const Result<CommitVersions> &result) {
                            stored.set_value(result.has_value());
                        });
        REQUIRE(stored.get_future().get());
    }

    /// Adds the rows of a successful write to @ref storedProgress.
    void recordProgressRows(const Result<CommitVersions> &result)
    {
        for (const auto &[key, version] : result.value_or(CommitVersions())) {
            storedProgress.insert(key);
        }
    }

    /// Waits until exactly one run of the job's task is active; returns false after testTimeout.
    bool waitUntilRunning(const std::string &id)
    {
        return eventually(loop, [this, &id] { return hosts.activeRuns(taskOf(id)) == 1; });
    }

    /// Returns the host on which the job's task is active, or an empty string.
    std::string hostOf(const std::string &id)
    {
        return onLoop(loop, [this, &id] {
            for (const HostRecord &record : hosts.records()) {
                if (hosts.host(record.host.value).active.contains(taskOf(id))) {
                    return record.host.value;
                }
            }
            return std::string();
        });
    }

    /// Returns the holder's count of pending jobs of queue "q"; -1 if it gives none.
    int pendingCount(FleetHolder &holder)
    {
        return onLoop(loop, [&holder] {
            const auto n = holder.countPendingJobs("q");
            return n ? static_cast<int>(*n) : -1;
        });
    }

    JobState stateOf(FleetHolder &holder, const std::string &id)
    {
        std::promise<JobState> state;
        loop.post([&] {
            holder.queryState({id}, [&state](const Result<JobState> &result) {
                state.set_value(result.value_or(JobState::Queued));
            });
        });
        return state.get_future().get();
    }

    /// Waits until the holder knows that the job has ended, then returns its state once that is
    /// durable; unset if it is not within 2 s.
    std::optional<JobState> stateWithin(FleetHolder &holder, const std::string &id)
    {
        if (!eventually(loop, [&] {
                const JobRuntime *const job = findJob(holder.dispatcher().fleet, {id});
                return job != nullptr && isTerminal(job->progress.outcome);
            })) {
            return std::nullopt;
        }
        auto state = std::make_shared<std::promise<std::optional<JobState>>>();
        auto future = state->get_future();
        loop.post([&holder, id, state] {
            holder.queryState({id}, [state](const Result<JobState> &result) {
                state->set_value(result ? std::optional(*result) : std::nullopt);
            });
        });
        if (future.wait_for(std::chrono::seconds(2)) != std::future_status::ready) {
            return std::nullopt;
        }
        return future.get();
    }

    /// Ends the run of job "early" on h0, and restarts h0 while the holder writes the progress of
    /// this job. The first run that ends after the restart is that of job "late".
    void restartDuringWrite(FleetHolder &holder)
    {
        submit(oneTaskJob("early"));
        submit(oneTaskJob("late"));
        REQUIRE(waitUntilRunning("early"));
        REQUIRE(waitUntilRunning("late"));
        onLoop(loop, [&] {
            hosts.endRun("h0", taskOf("early"), RunEnd::Done);
            return true;
        });
        REQUIRE(eventually(loop, [&] {
            return acaciadeal::stateOf(*findJob(holder.dispatcher().fleet, {"early"}))
                   == JobState::Completed;
        }));
        // Longer than the delay after which the holder sends the write.
        std::this_thread::sleep_for(milliseconds(50));
        onLoop(loop, [&] {
            FakeHost &host = hosts.host("h0");
            host.bootedAt = milliseconds(2);
            host.lastEndNumber = 0;
            host.ended.clear();
            hosts.endRun("h0", taskOf("late"), RunEnd::Done);
            return true;
        });
    }

    /// Completes a job, and waits until the holder has removed it from memory, while the store
    /// refuses to delete its row. Precondition: endedJobRetention is short.
    void completeWithFailedRemoval(const std::string &id, FleetHolder &holder)
    {
        onLoop(loop, [this] { return refusesJobRemoval = true; });
        submit(oneTaskJob(id));
        REQUIRE(waitUntilRunning(id));
        onLoop(loop, [&] {
            hosts.endRun("h0", taskOf(id), RunEnd::Done);
            return true;
        });
        REQUIRE(eventually(loop, [&] { return holder.dispatcher().fleet.jobs.empty(); }));
        std::this_thread::sleep_for(milliseconds(50));
    }

    /// Returns how often the job's task has been started, on all hosts.
    std::size_t startCount(const std::string &id)
    {
        return onLoop(loop, [this, &id] {
            std::size_t n = 0;
            for (const HostRecord &record : hosts.records()) {
                for (const auto &[task, run] : hosts.host(record.host.value).starts) {
                    n += task == taskOf(id) ? 1 : 0;
                }
            }
            return n;
        });
    }

    /// Submits another job, waits until 0.2 s after it runs, and returns how often the task of job
    /// @p id has been started by then.
    std::size_t startsAfterNextJob(const std::string &id)
    {
        submit(oneTaskJob("next"));
        REQUIRE(waitUntilRunning("next"));
        std::this_thread::sleep_for(milliseconds(200));
        return startCount(id);
    }
};

} // namespace

// Guards against a completion that callers see before it is durable.
TEST_CASE("a job runs, and its completion is durable when callers see it")
{
    Cluster cluster(2);
    FleetHolder &holder = cluster.startHolder(1);
    cluster.submit(oneTaskJob("j"));
    REQUIRE(cluster.waitUntilRunning("j"));
    const std::string host = cluster.hostOf("j");
    onLoop(cluster.loop, [&] {
        cluster.hosts.endRun(host, taskOf("j"), RunEnd::Done);
        return true;
    });
    REQUIRE(eventually(cluster.loop, [&] {
        return stateOf(*findJob(holder.dispatcher().fleet, {"j"})) == JobState::Completed;
    }));
    CHECK(cluster.stateOf(holder, "j") == JobState::Completed);
    std::promise<std::vector<Row>> rows;
    cluster.platform.read({.keys = {progressRowKey({"j"})}},
                          [&rows](const Result<std::vector<Row>> &result) {
                              rows.set_value(result.value_or(std::vector<Row>{}));
                          });
    const auto stored = rows.get_future().get();
    REQUIRE(stored.size() == 1);
    const auto progress = decodeProgress(oneTaskJob("j"), stored[0].value);
    REQUIRE(progress);
    CHECK(progress->outcome == JobState::Completed);
    CHECK(cluster.startCount("j") == 1);
}

// Guards against one row that blocks the progress of all jobs, and the acknowledgement of ended
// runs.
TEST_CASE("a progress row that the store rejects does not block those of other jobs")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    const std::vector<std::string> jobs = {"a", "rejected", "z"};
    for (const std::string &id : jobs) {
        cluster.submit(oneTaskJob(id));
        REQUIRE(cluster.waitUntilRunning(id));
    }
    cluster.runOnLoop([&] {
        cluster.rejectedProgress = {"rejected"};
        for (const std::string &id : jobs) {
            cluster.hosts.endRun("h0", taskOf(id), RunEnd::Done);
        }
    });
    CHECK(cluster.stateWithin(holder, "a") == JobState::Completed);
    CHECK(cluster.stateWithin(holder, "z") == JobState::Completed);
    CHECK(eventually(cluster.loop, [&] { return cluster.hosts.host("h0").ended.empty(); }));
    // It is retried, alone and not all the time.
    const int before = onLoop(cluster.loop, [&] { return cluster.rejectedWrites; });
    std::this_thread::sleep_for(milliseconds(1'500));
    const int after = onLoop(cluster.loop, [&] { return cluster.rejectedWrites; });
    CHECK(after > before);
    CHECK(after <= before + 3);
    CHECK(cluster.stateWithin(holder, "rejected") == std::nullopt);
    // Jobs that end later are not affected either.
    cluster.submit(oneTaskJob("later"));
    REQUIRE(cluster.waitUntilRunning("later"));
    cluster.runOnLoop([&] { cluster.hosts.endRun("h0", taskOf("later"), RunEnd::Done); });
    CHECK(cluster.stateWithin(holder, "later") == JobState::Completed);
    cluster.runOnLoop([&] { cluster.rejectedProgress = {}; });
    CHECK(eventually(cluster.loop,
                     [&] { return !holder.dispatcher().fleet.dirty.contains({"rejected"}); }));
    CHECK(cluster.stateWithin(holder, "rejected") == JobState::Completed);
}

// Guards against a batch that is larger than the store accepts in one call.
TEST_CASE("a write of progress has at most 1 MB, and all large rows are written")
{
    constexpr std::size_t maxCallBytes = 1'000'000;
    constexpr std::size_t jobCount = 45;
    EventLoop loop{{.threads = 1}};
    FleetState fleet;
    std::size_t largestCall = 0;
    std::set<std::string> written;
    PlatformAdapter platform;
    platform.commit = [&](const Transaction &transaction, const CommitCallback &callback) {
        std::size_t bytes = 0;
        CommitVersions versions;
        for (const RowPut &put : transaction.puts) {
            // In base64.
            bytes += (put.value.size() + 2) / 3 * 4;
            written.insert(put.key);
            versions[put.key] = 1;
        }
        largestCall = std::max(largestCall, bytes);
        loop.post([callback, versions] { callback(versions); });
    };
    for (std::size_t n = 0; n < jobCount; ++n) {
        JobSpec spec = oneTaskJob("j" + std::to_string(n));
        spec.steps[0].tasks = maxTasksPerJob;
        auto job = std::make_unique<JobRuntime>();
        job->progress = emptyProgress(spec);
        for (std::uint32_t task = 0; task < 3'000; ++task) {
            job->progress.steps[0].failedRuns[task] = {1, 2};
        }
        job->spec = spec;
        fleet.dirty.insert(spec.id);
        fleet.jobs[spec.id] = std::move(job);
    }
    internal::ProgressWriter writer({.loop = loop,
                                     .platform = platform,
                                     .fleet = fleet,
                                     .mayAct = [] { return true; },
                                     .onDurable = [] {},
                                     .onStoredProgress =
                                         [](const JobId &, const JobProgress &) {
                                         }},
                                    {});
    loop.post([&] { writer.scheduleFlush(); });
    CHECK(eventually(loop, [&] { return written.size() == jobCount && fleet.dirty.empty(); }));
    CHECK(largestCall > maxCallBytes / 2);
    CHECK(largestCall < maxCallBytes);
    onLoop(loop, [&] {
        writer.stop();
        return true;
    });
    loop.stop();
}

// Guards against tasks of an unresponsive host that are never restarted, and against a second run
// while the lease of the first one is still valid.
TEST_CASE("the task of an unresponsive host starts elsewhere once its lease has expired")
{
    Cluster cluster(2);
    cluster.startHolder(1);
    cluster.submit(oneTaskJob("j"));
    REQUIRE(cluster.waitUntilRunning("j"));
    const std::string unresponsiveHost = cluster.hostOf("j");
    onLoop(cluster.loop, [&] {
        cluster.hosts.host(unresponsiveHost).unresponsive = true;
        return true;
    });
    int maxActive = 0;
    REQUIRE(eventually(cluster.loop, [&] {
        maxActive = std::max(maxActive, cluster.hosts.activeRuns(taskOf("j")));
        return std::any_of(
            cluster.hosts.host(unresponsiveHost == "h0" ? "h1" : "h0").starts.begin(),
            cluster.hosts.host(unresponsiveHost == "h0" ? "h1" : "h0").starts.end(),
            [](const auto &entry) { return entry.first == taskOf("j"); });
    }));
    CHECK(maxActive == 1);
}

// Guards against tasks that wait for the lease of a host although it is known to be gone.
TEST_CASE("the task of a host whose address another host has starts elsewhere at once")
{
    Cluster cluster(2);
    // Long enough that the test fails if the lease is waited for.
    cluster.hostLease = milliseconds(8000);
    cluster.startHolder(1);
    cluster.submit(oneTaskJob("j"));
    REQUIRE(cluster.waitUntilRunning("j"));
    const std::string gone = cluster.hostOf("j");
    const TimePoint goneAt = bootClockNow();
    cluster.runOnLoop([&] {
        cluster.hosts.host(gone).active.clear();
        cluster.hosts.host(gone).replaced = true;
    });
    REQUIRE(cluster.waitUntilRunning("j"));
    CHECK(cluster.hostOf("j") != gone);
    CHECK(bootClockNow() - goneAt < cluster.hostLease / 2);
}

// Guards against a second run after a start order that was executed but whose answer was lost.
TEST_CASE("a run whose start was not answered is adopted")
{
    Cluster cluster(1);
    cluster.startHolder(1);
    onLoop(cluster.loop, [&] {
        cluster.hosts.host("h0").losesStartAnswers = true;
        return true;
    });
    cluster.submit(oneTaskJob("j"));
    REQUIRE(cluster.waitUntilRunning("j"));
    std::this_thread::sleep_for(lease);
    CHECK(cluster.startCount("j") == 1);
    CHECK(cluster.waitUntilRunning("j"));
}

// Guards against tasks that run twice or are restarted when another daemon takes over, and against
// a holder that never plans because evacuations were set before its start.
TEST_CASE("a new holder adopts the active runs and starts new tasks")
{
    Cluster cluster(2);
    cluster.startHolder(1);
    cluster.submit(oneTaskJob("old"));
    REQUIRE(cluster.waitUntilRunning("old"));
    onLoop(cluster.loop, [&] {
        cluster.mayAct[1] = false;
        return true;
    });
    FleetHolder &next = cluster.startHolder(2, {{"elsewhere"}});
    cluster.submit(oneTaskJob("new"));
    REQUIRE(cluster.waitUntilRunning("new"));
    CHECK(cluster.startCount("old") == 1);
    REQUIRE(eventually(cluster.loop, [&] {
        const auto *const task = findTask(next.dispatcher().fleet, taskOf("old"));
        return task != nullptr && task->phase == TaskPhase::Running;
    }));
    CHECK(cluster.startCount("old") == 1);
}

// Guards against a second run: a host of the previous holder does not answer the new holder, but
// its task runs until the lease expires.
TEST_CASE("a task that may run on an unresponsive host of the previous holder waits for its lease")
{
    Cluster cluster(2);
    cluster.startHolder(1);
    cluster.submit(oneTaskJob("j"));
    REQUIRE(cluster.waitUntilRunning("j"));
    const std::string unresponsiveHost = cluster.hostOf("j");
    onLoop(cluster.loop, [&] {
        cluster.mayAct[1] = false;
        cluster.hosts.host(unresponsiveHost).unresponsive = true;
        return true;
    });
    cluster.startHolder(2);
    int maxActive = 0;
    REQUIRE(eventually(cluster.loop, [&] {
        maxActive = std::max(maxActive, cluster.hosts.activeRuns(taskOf("j")));
        return cluster.hosts.host(unresponsiveHost == "h0" ? "h1" : "h0").starts.size() == 1;
    }));
    CHECK(maxActive == 1);
}

// Guards against a second run of a task that is done: the recovery takes longer than a lease, and
// the holder starts the task again before it has read the host's report of the ended run.
TEST_CASE("an ended run that a reachable host reports is processed before its task may start")
{
    Cluster cluster(2);
    cluster.startHolder(1);
    cluster.submit(oneTaskJob("j"));
    REQUIRE(cluster.waitUntilRunning("j"));
    const std::string host = cluster.hostOf("j");
    onLoop(cluster.loop, [&] {
        cluster.mayAct[1] = false;
        cluster.hosts.endRun(host, taskOf("j"), RunEnd::Done);
        cluster.hosts.host(host).answerDelay = milliseconds(100);
        return true;
    });
    FleetHolder &next = cluster.startHolder(2, {}, std::chrono::seconds(60));
    REQUIRE(eventually(cluster.loop, [&] {
        const JobRuntime *const job = findJob(next.dispatcher().fleet, {"j"});
        return job != nullptr && stateOf(*job) == JobState::Completed;
    }));
    CHECK(cluster.startCount("j") == 1);
}

// Guards against a second run of tasks that are done: a host with many ended runs lists only the
// first ones in its report to a new holder. Review, case 3.
TEST_CASE("a new holder reads all ended runs of a host before their tasks may start")
{
    constexpr std::uint32_t tasks = 10;
    Cluster cluster(1);
    cluster.startHolder(1);
    JobSpec job = oneTaskJob("j");
    job.steps[0].tasks = tasks;
    job.steps[0].taskSize.milliCores = 100;
    cluster.submit(job);
    FakeHost &host = cluster.hosts.host("h0");
    REQUIRE(eventually(cluster.loop, [&] { return host.active.size() == tasks; }));
    cluster.runOnLoop([&] {
        cluster.mayAct[1] = false;
        host.maxEndsPerReport = 3;
        for (std::uint32_t n = 0; n < tasks; ++n) {
            cluster.hosts.endRun("h0", {.job = {"j"}, .index = n}, RunEnd::Done);
        }
    });
    FleetHolder &next = cluster.startHolder(2);
    REQUIRE(eventually(cluster.loop, [&] {
        const JobRuntime *const runtime = findJob(next.dispatcher().fleet, {"j"});
        return runtime != nullptr && stateOf(*runtime) == JobState::Completed && host.ended.empty();
    }));
    CHECK(onLoop(cluster.loop, [&] { return host.starts.size(); }) == tasks);
}

// The same for one holder: the store does not answer while more runs end than a report lists.
TEST_CASE("runs whose ends follow in a later report are not started again")
{
    constexpr std::uint32_t tasks = 10;
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    JobSpec job = oneTaskJob("j");
    job.steps[0].tasks = tasks;
    job.steps[0].taskSize.milliCores = 100;
    cluster.submit(job);
    FakeHost &host = cluster.hosts.host("h0");
    REQUIRE(eventually(cluster.loop, [&] { return host.active.size() == tasks; }));
    cluster.runOnLoop([&] {
        cluster.progressDelay = milliseconds(200);
        host.maxEndsPerReport = 3;
        for (std::uint32_t n = 0; n < tasks; ++n) {
            cluster.hosts.endRun("h0", {.job = {"j"}, .index = n}, RunEnd::Done);
        }
    });
    REQUIRE(eventually(cluster.loop, [&] {
        return stateOf(*findJob(holder.dispatcher().fleet, {"j"})) == JobState::Completed
               && host.ended.empty();
    }));
    CHECK(onLoop(cluster.loop, [&] { return host.starts.size(); }) == tasks);
}

// Guards against former holders that keep the connections which a host accepts. Review, case 2.
TEST_CASE("a holder that stops closes its connections to the hosts")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    cluster.submit(oneTaskJob("j"));
    REQUIRE(cluster.waitUntilRunning("j"));
    CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.closedClients(); }) == 0);
    cluster.runOnLoop([&] { holder.stop(); });
    CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.closedClients(); }) == 1);
}

// Guards against rows that are kept for ever for jobs that were cancelled before they were stored.
TEST_CASE("a tombstone is no job, and is removed after the retention time")
{
    Cluster cluster(1);
    cluster.endedJobRetention = milliseconds(300);
    bool historyLost = false;
    SUBCASE("found in the change feed")
    {
    }
    SUBCASE("found in the job table")
    {
        historyLost = true;
    }
    FleetHolder &holder = cluster.startHolder(1);
    REQUIRE(eventually(cluster.loop, [&] { return holder.countPendingJobs("q").has_value(); }));
    cluster.runOnLoop([&] { cluster.historyLost = historyLost; });
    const auto storedRows = [&cluster] {
        std::promise<std::size_t> n;
        cluster.platform.readTable(jobTable, [&n](const Result<RowSnapshot> &snapshot) {
            n.set_value(snapshot ? snapshot->rows.size() : 0);
        });
        return n.get_future().get();
    };
    cluster.platform.commit({.puts = {{jobRowKey({"j"}), encodeTombstone()}}},
                            [](const Result<CommitVersions> &) {});
    std::this_thread::sleep_for(milliseconds(150));
    CHECK(storedRows() == 1);
    CHECK(onLoop(cluster.loop, [&] { return holder.dispatcher().fleet.jobs.empty(); }));
    std::this_thread::sleep_for(milliseconds(600));
    CHECK(storedRows() == 0);
}

// Guards against running a job under an id that nobody submitted. MIXED.
TEST_CASE("a holder ignores a row with the key of another job")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    REQUIRE(eventually(cluster.loop, [&] { return holder.countPendingJobs("q").has_value(); }));
    cluster.platform.commit({.puts = {{jobRowKey({"other"}), encodeJob(oneTaskJob("j"))}}},
                            [](const Result<CommitVersions> &) {});
    cluster.platform.commit({.puts = {{jobRowKey({"k"}), encodeJob(oneTaskJob("k"))}}},
                            [](const Result<CommitVersions> &) {});
    REQUIRE(eventually(cluster.loop,
                       [&] { return findJob(holder.dispatcher().fleet, {"k"}) != nullptr; }));
    CHECK(onLoop(cluster.loop, [&] { return holder.dispatcher().fleet.jobs.size(); }) == 1);
}

// Guards against telling a caller that a job never runs while an earlier submission of it, which
// was admitted, may still be stored.
TEST_CASE("a job that was admitted once is not rejected when it is submitted again")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    REQUIRE(eventually(cluster.loop, [&] { return holder.countPendingJobs("q").has_value(); }));
    const auto backfillJob = [](const std::string &id, std::uint32_t tasks) {
        JobSpec job = oneTaskJob(id);
        job.steps[0].tasks = tasks;
        job.steps[0].backfill = true;
        job.steps[0].estimatedRunTime = std::chrono::seconds(10);
        return job;
    };
    const auto isAdmitted = [&](const JobSpec &job) {
        return onLoop(cluster.loop, [&] { return holder.offer(job).admitted; });
    };
    CHECK(isAdmitted(backfillJob("first", 1)));
    cluster.submit(backfillJob("large", 5000));
    REQUIRE(eventually(cluster.loop,
                       [&] { return holder.dispatcher().fleet.jobs.contains({"large"}); }));
    CHECK_FALSE(isAdmitted(backfillJob("second", 1)));
    CHECK(isAdmitted(backfillJob("first", 1)));
    // A daemon that may not act does not know the present load.
    cluster.runOnLoop([&] { cluster.mayAct[1] = false; });
    CHECK(isAdmitted(backfillJob("third", 1)));
}

// Guards against a cancelled job that continues to run: a daemon that cannot reach the holder
// stores the cancellation, and the holder does not read it.
TEST_CASE("a cancellation row in the store stops the job")
{
    Cluster cluster(1);
    cluster.startHolder(1);
    cluster.submit(oneTaskJob("j"));
    REQUIRE(cluster.waitUntilRunning("j"));
    cluster.storeCancellation("j");
    CHECK(eventually(cluster.loop, [&] { return cluster.hosts.activeRuns(taskOf("j")) == 0; }));
}

namespace {

/// Two daemons that compete for the shard; each can be cut off from the store.
struct CompetingDaemons
{
    EventLoop loop{{.threads = 1}};
    PlatformAdapter store;
    std::array<PlatformAdapter, 2> adapters;
    std::array<bool, 2> cutOff{};
    /// Whether the next write of the first daemon is held back until releaseWrite() is called.
    bool holdsNextWrite = false;
    std::function<void()> heldWrite;
    std::array<std::uint64_t, 2> epochs{};
    std::array<TimePoint, 2> previousStoppedAt{};
    /// Delay of the reads of the second daemon before the store executes them.
    Duration readDelay{0};
    int readsInProgress = 0;
    std::vector<std::unique_ptr<ShardOwnership>> daemons;

    CompetingDaemons()
    {
        store = PluginRegistry<PlatformPlugin>::instance().find("memory")->create(loop, {});
        for (std::size_t n = 0; n < adapters.size(); ++n) {
            connect(n);
            daemons.push_back(std::make_unique<ShardOwnership>(
                loop, adapters[n],
                OwnershipOptions{.daemon = {"d" + std::to_string(n)},
                                 .incarnation = n + 1,
                                 .peer = {"127.0.0.1", 1},
                                 .heartbeatEvery = milliseconds(40),
                                 .leaseDuration = milliseconds(200),
                                 .claimTimeout = milliseconds(300),
                                 .pollEvery = milliseconds(20),
                                 .retryDelay = milliseconds(20)},
                OwnershipCallbacks{
                    .onHeld =
                        [this, n](std::uint64_t epoch, const PreviousHolder &previous) {
                            epochs[n] = epoch;
                            previousStoppedAt[n] = previous.stoppedAt;
                        },
                    .onLost =
                        [](const std::string &) {
                        }}));
        }
    }

    ~CompetingDaemons()
    {
        loop.stop();
    }

    void connect(std::size_t n)
    {
        adapters[n] = store;
        adapters[n].commit = [this, n](Transaction transaction, CommitCallback callback) {
            if (cutOff[n]) {
                refuse(std::move(callback));
            } else if (n == 0 && std::exchange(holdsNextWrite, false)) {
                heldWrite = [this, transaction = std::move(transaction),
                             callback = std::move(callback)] {
                    store.commit(transaction, callback);
                };
            } else {
                store.commit(std::move(transaction), std::move(callback));
            }
        };
        adapters[n].readTable = [this, n](const std::string &table, SnapshotCallback callback) {
            if (cutOff[n]) {
                refuse(std::move(callback));
            } else if (n == 1 && readDelay > Duration(0)) {
                ++readsInProgress;
                loop.postAfter(readDelay, [this, table, callback = std::move(callback)] {
                    --readsInProgress;
                    store.readTable(table, callback);
                });
            } else {
                store.readTable(table, std::move(callback));
            }
        };
    }

    template<typename Callback>
    void refuse(Callback callback)
    {
        loop.post([callback = std::move(callback)] {
            callback(failure(ResultCode::PlatformUnavailable, "cut off"));
        });
    }

    void start(std::size_t n)
    {
        onLoop(loop, [this, n] {
            daemons[n]->start();
            return true;
        });
    }

    void setCutOff(bool first, bool second)
    {
        onLoop(loop, [this, first, second] {
            cutOff = {first, second};
            return true;
        });
    }

    void releaseWrite()
    {
        onLoop(loop, [this] {
            std::exchange(heldWrite, nullptr)();
            return true;
        });
    }

    bool mayAct(std::size_t n)
    {
        return onLoop(loop, [this, n] { return daemons[n]->mayAct(); });
    }
};

} // namespace

// Guards against two daemons that act for one shard at the same time.
TEST_CASE("a holder that cannot reach the store stops acting before another one claims the shard")
{
    CompetingDaemons fixture;
    fixture.start(0);
    REQUIRE(eventually(fixture.loop, [&] { return fixture.daemons[0]->mayAct(); }));
    fixture.start(1);
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(onLoop(fixture.loop, [&] { return fixture.epochs[1]; }) == 0);
    fixture.setCutOff(true, false);
    bool bothAct = false;
    REQUIRE(eventually(fixture.loop, [&] {
        bothAct = bothAct || (fixture.daemons[0]->mayAct() && fixture.daemons[1]->mayAct());
        return fixture.daemons[1]->mayAct();
    }));
    CHECK_FALSE(bothAct);
    CHECK(onLoop(fixture.loop, [&] { return fixture.epochs[1]; }) == 2);
}

// Guards against a takeover after every outage of the store: no daemon can reach the store during
// the outage, so the missing heartbeats do not show that the holder has failed.
TEST_CASE("the holder keeps its shard after an outage of the store that affects all daemons")
{
    CompetingDaemons fixture;
    fixture.start(0);
    REQUIRE(eventually(fixture.loop, [&] { return fixture.daemons[0]->mayAct(); }));
    fixture.start(1);
    std::this_thread::sleep_for(milliseconds(100));
    fixture.setCutOff(true, true);
    std::this_thread::sleep_for(milliseconds(600));
    CHECK_FALSE(fixture.mayAct(0));
    // The other daemon reads first.
    fixture.setCutOff(true, false);
    std::this_thread::sleep_for(milliseconds(60));
    fixture.setCutOff(false, false);
    CHECK(eventually(fixture.loop, [&] { return fixture.daemons[0]->mayAct(); }));
    CHECK(onLoop(fixture.loop, [&] { return fixture.epochs[1]; }) == 0);
    CHECK(onLoop(fixture.loop, [&] { return fixture.epochs[0]; }) == 1);
}

// Guards against a holder that gives up its shard because a heartbeat that it sent in an earlier
// epoch fails.
TEST_CASE("a late heartbeat of an earlier epoch does not end the current one")
{
    CompetingDaemons fixture;
    fixture.start(0);
    REQUIRE(eventually(fixture.loop, [&] { return fixture.daemons[0]->mayAct(); }));
    onLoop(fixture.loop, [&] { return fixture.holdsNextWrite = true; });
    REQUIRE(eventually(fixture.loop, [&] { return fixture.heldWrite != nullptr; }));
    onLoop(fixture.loop, [&] {
        fixture.daemons[0]->stepDown("a host has seen a newer holder");
        return true;
    });
    REQUIRE(eventually(fixture.loop, [&] { return fixture.daemons[0]->mayAct(); }));
    REQUIRE(onLoop(fixture.loop, [&] { return fixture.epochs[0]; }) == 2);
    fixture.releaseWrite();
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(fixture.mayAct(0));
    CHECK(onLoop(fixture.loop, [&] { return fixture.epochs[0]; }) == 2);
}

// Guards against waiting for the claim timeout although the holder has released the shard.
TEST_CASE("a released shard is claimed immediately")
{
    CompetingDaemons fixture;
    fixture.start(0);
    REQUIRE(eventually(fixture.loop, [&] { return fixture.daemons[0]->mayAct(); }));
    fixture.start(1);
    onLoop(fixture.loop, [&] {
        fixture.daemons[0]->release([] {});
        return true;
    });
    CHECK(eventually(fixture.loop, [&] { return fixture.daemons[1]->mayAct(); }));
    CHECK_FALSE(fixture.mayAct(0));
}

// Guards against a task that is executed twice: a host restarts, which the holder does not notice,
// and a run ends there; a repeated acknowledgement from before the restart makes the host delete
// the record of that run. Found by the soak test with faults, seed 17.
TEST_CASE("runs that end after a host's restart are not acknowledged by numbers from before it")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    const auto isCompleted = [&](const std::string &id) {
        return eventually(cluster.loop, [&] {
            const JobRuntime *const job = findJob(holder.dispatcher().fleet, {id});
            return job != nullptr && stateOf(*job) == JobState::Completed;
        });
    };
    for (const std::string id : {"first", "second"}) {
        cluster.submit(oneTaskJob(id));
        REQUIRE(cluster.waitUntilRunning(id));
        onLoop(cluster.loop, [&] {
            cluster.hosts.endRun("h0", taskOf(id), RunEnd::Done);
            return true;
        });
        REQUIRE(isCompleted(id));
    }
    REQUIRE(eventually(cluster.loop, [&] { return cluster.hosts.host("h0").ended.empty(); }));
    cluster.submit(oneTaskJob("late"));
    REQUIRE(cluster.waitUntilRunning("late"));
    onLoop(cluster.loop, [&] {
        FakeHost &host = cluster.hosts.host("h0");
        host.bootedAt = milliseconds(2);
        host.lastEndNumber = 0;
        cluster.hosts.endRun("h0", taskOf("late"), RunEnd::Done);
        return true;
    });
    CHECK(isCompleted("late"));
    CHECK(cluster.startCount("late") == 1);
}

// Guards against a holder that gives up its shard because a host refuses a token that this holder
// itself has replaced by a higher one: the host becomes unreachable, is removed from the holder's
// state, and comes back under the same id.
TEST_CASE("a host that was removed and comes back does not make the holder step down")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    const auto holderHasHost = [&] {
        return holder.dispatcher().fleet.hosts.contains({"h0"});
    };
    onLoop(cluster.loop, [&] {
        cluster.hosts.host("h0").losesStartAnswers = true;
        return true;
    });
    const auto token = [&] {
        return onLoop(cluster.loop, [&] { return cluster.hosts.host("h0").token; });
    };
    cluster.submit(oneTaskJob("first"));
    REQUIRE(cluster.waitUntilRunning("first"));
    const std::uint64_t before = token();
    cluster.submit(oneTaskJob("second"));
    REQUIRE(eventually(cluster.loop, [&] { return cluster.hosts.host("h0").token > before; }));
    onLoop(cluster.loop, [&] {
        cluster.hosts.host("h0").unresponsive = true;
        cluster.unlisted.insert("h0");
        return true;
    });
    REQUIRE(eventually(cluster.loop, [&] { return !holderHasHost(); }));
    onLoop(cluster.loop, [&] {
        cluster.hosts.host("h0").unresponsive = false;
        cluster.unlisted.clear();
        return true;
    });
    REQUIRE(eventually(cluster.loop, [&] {
        const auto it = holder.dispatcher().fleet.hosts.find({"h0"});
        return !cluster.mayAct[1]
               || (it != holder.dispatcher().fleet.hosts.end() && it->second.reported);
    }));
    CHECK(onLoop(cluster.loop, [&] { return cluster.mayAct[1]; }));
}

// Guards against tasks that run for a job that callers see as cancelled: a late write of an earlier
// holder has stored the outcome.
TEST_CASE("an outcome that an earlier holder stored late ends the job")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    const JobSpec job = cluster.runTwoTasks("j");
    const TaskKey other{.job = {"j"}, .index = 1};
    JobProgress late = emptyProgress(job);
    late.outcome = JobState::Cancelled;
    cluster.storeProgress("j", late);
    onLoop(cluster.loop, [&] {
        cluster.hosts.endRun("h0", taskOf("j"), RunEnd::Done);
        return true;
    });
    REQUIRE(eventually(cluster.loop, [&] {
        return stateOf(*findJob(holder.dispatcher().fleet, {"j"})) == JobState::Cancelled;
    }));
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.activeRuns(other); }) == 0);
    CHECK(onLoop(cluster.loop, [&] { return holder.dispatcher().fleet.liveJobs.size(); }) == 0);
}

// Guards against a job that callers see as running, and that keeps running, although all its tasks
// are done: a late write of an earlier holder stores that one task is done, and a host reports to
// this holder that the other one is.
TEST_CASE("a job completes if an earlier holder stored late that one of its tasks is done")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    const JobSpec job = cluster.runTwoTasks("j");
    JobProgress late = emptyProgress(job);
    late.steps[0].done[1] = true;
    cluster.storeProgress("j", late);
    onLoop(cluster.loop, [&] {
        cluster.hosts.endRun("h0", taskOf("j"), RunEnd::Done);
        return true;
    });
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(cluster.stateOf(holder, "j") == JobState::Completed);
}

// Guards against a task that is executed twice: while the holder writes the progress of an ended
// run, its host restarts and another run ends there; the acknowledgement of the earlier run reaches
// the restarted host, which deletes the record of the later one.
TEST_CASE("ended runs are acknowledged only right after a report that shows no restart")
{
    Cluster cluster(1);
    // With this delay no renewal shows the restart before the write is answered.
    cluster.renewalRetryDelay = testTimeout;
    cluster.progressDelay = milliseconds(300);
    FleetHolder &holder = cluster.startHolder(1);
    cluster.restartDuringWrite(holder);
    CHECK(eventually(cluster.loop, [&] {
        return stateOf(*findJob(holder.dispatcher().fleet, {"late"})) == JobState::Completed
               || cluster.hosts.host("h0").starts.size() > 2;
    }));
    CHECK(cluster.startCount("late") == 1);
}

// Guards against a second run while the first one is active: a restarted host executes a start
// order before the holder learns of the restart.
TEST_CASE("a run that a restarted host reports is not declared lost")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    cluster.submit(oneTaskJob("former"));
    cluster.submit(oneTaskJob("started"));
    REQUIRE(cluster.waitUntilRunning("former"));
    REQUIRE(cluster.waitUntilRunning("started"));
    onLoop(cluster.loop, [&] {
        FakeHost &host = cluster.hosts.host("h0");
        host.bootedAt = milliseconds(2);
        host.active.erase(taskOf("former"));
        return true;
    });
    REQUIRE(eventually(cluster.loop, [&] {
        return holder.dispatcher().fleet.hosts.at({"h0"}).bootedAt == milliseconds(2)
               && cluster.hosts.activeRuns(taskOf("former")) == 1;
    }));
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(cluster.startCount("former") == 2);
    CHECK(cluster.startCount("started") == 1);
    CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.activeRuns(taskOf("started")); }) == 1);
}

// Guards against a second run: calls that the holder makes before it notices the restart of a host
// contain times on the clock of the former incarnation, so that the new one grants the longest
// lease that it may. Review, case 6.
TEST_CASE("a restarted host gets no lease on the clock of its former incarnation")
{
    Cluster cluster(2);
    cluster.maxHostLease = milliseconds(4000);
    cluster.startHolder(1);
    cluster.runOneTask();
    cluster.restartIdleHosts();
    // Starts on the hosts that have restarted.
    for (const std::string id : {"a", "b", "c", "d"}) {
        cluster.submit(oneTaskJob(id));
        REQUIRE(cluster.waitUntilRunning(id));
    }
    for (const std::string id : {"h0", "h1"}) {
        CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.remainingLease(id); }) <= lease);
    }
}

// The same if the holder that takes over counts the lease from the stop of one that did not know of
// the restart.
TEST_CASE("the task of a host that restarted before a takeover waits for its lease")
{
    Cluster cluster(2);
    cluster.maxHostLease = milliseconds(4000);
    FleetHolder &holder = cluster.startHolder(1);
    REQUIRE(eventually(cluster.loop, [&] {
        const auto &hosts = holder.dispatcher().fleet.hosts;
        return hosts.size() == 2 && hosts.at({"h0"}).reachable && hosts.at({"h1"}).reachable;
    }));
    cluster.restartIdleHosts();
    const std::string host = cluster.runOneTask();
    cluster.silenceHost(host, false);
    cluster.stopHolderAtOnce(1);
    cluster.startHolder(2);
    CHECK(cluster.activeRunsUntilStartedElsewhere(host) == 1);
}

// Guards against a task that waits while a renewal that the former incarnation received gets no
// answer.
TEST_CASE("a start that finds a host restarted makes the holder ask the host at once")
{
    Cluster cluster(1);
    cluster.startHolder(1);
    cluster.runOneTask();
    cluster.runOnLoop([&] {
        cluster.hosts.endRun("h0", taskOf("j"), RunEnd::Done);
        cluster.hosts.host("h0").answerDelay = std::chrono::seconds(3);
    });
    // Until a renewal waits for its answer.
    std::this_thread::sleep_for(milliseconds(100));
    cluster.runOnLoop([&] { cluster.hosts.host("h0").answerDelay = Duration(0); });
    cluster.restartIdleHosts();
    const TimePoint submittedAt = bootClockNow();
    cluster.submit(oneTaskJob("next"));
    REQUIRE(cluster.waitUntilRunning("next"));
    CHECK(bootClockNow() - submittedAt < std::chrono::seconds(1));
}

// Guards against a second run: a host that has executed an order for its former incarnation, which
// arrived late, has the longest lease that hosts grant.
TEST_CASE("a run of a late order on a restarted host is not lost before the longest lease ends")
{
    Cluster cluster(2);
    FleetHolder &holder = cluster.startHolder(1);
    const std::string id = cluster.runOneTask();
    cluster.runOnLoop([&] {
        FakeHost &host = cluster.hosts.host(id);
        const std::map<TaskKey, std::uint64_t> active = host.active;
        cluster.hosts.restart(id);
        host.active = active;
        host.leaseUntil = cluster.maxHostLease;
    });
    REQUIRE(eventually(cluster.loop, [&] {
        return holder.dispatcher().fleet.hosts.at({id}).bootedAt == cluster.hosts.host(id).bootedAt;
    }));
    cluster.silenceHost(id, false);
    SUBCASE("no change of the holder")
    {
    }
    SUBCASE("planned stop")
    {
        cluster.stopHolderAsPlanned(1);
        cluster.startHolder(2);
    }
    CHECK(cluster.activeRunsUntilStartedElsewhere(id) == 1);
}

// Guards against a growing number of unacknowledged ended runs on a busy host: every report
// contains another ended run, and the acknowledgement of the durable ones waits until that one is
// written.
TEST_CASE("durable ended runs are acknowledged although more runs end during each write")
{
    constexpr std::uint32_t tasks = 30;
    Cluster cluster(1);
    cluster.renewalRetryDelay = milliseconds(200);
    cluster.progressDelay = milliseconds(200);
    cluster.startHolder(1);
    JobSpec job = oneTaskJob("j");
    job.steps[0].tasks = tasks;
    job.steps[0].taskSize.milliCores = 100;
    cluster.submit(job);
    REQUIRE(
        eventually(cluster.loop, [&] { return cluster.hosts.host("h0").active.size() == tasks; }));
    for (std::uint32_t n = 0; n < tasks; ++n) {
        onLoop(cluster.loop, [&cluster, n] {
            cluster.hosts.endRun("h0", {.job = {"j"}, .index = n}, RunEnd::Done);
            return true;
        });
        std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.host("h0").ended.size(); }) <= tasks / 2);
}

// Guards against a task that is executed twice: while the holder writes the progress of an ended
// run, its host restarts and another run ends there; when the write is answered, the later run
// counts as durable as well.
TEST_CASE("a write sent before a host's restart does not mark runs that end after it as durable")
{
    Cluster cluster(1);
    cluster.progressDelay = milliseconds(300);
    FleetHolder &holder = cluster.startHolder(1);
    cluster.restartDuringWrite(holder);
    REQUIRE(eventually(cluster.loop, [&] { return cluster.hosts.host("h0").ended.empty(); }));
    CHECK(onLoop(cluster.loop,
                 [&] { return cluster.storedProgress.contains(progressRowKey({"late"})); }));
}

// Guards against an ended job that runs again under the next holder: its progress row is deleted,
// but the store refuses to delete the job row.
TEST_CASE("an ended job whose row could not be deleted does not run again")
{
    Cluster cluster(1);
    cluster.endedJobRetention = milliseconds(50);
    cluster.completeWithFailedRemoval("j", cluster.startHolder(1));
    onLoop(cluster.loop, [&] {
        cluster.mayAct[1] = false;
        return true;
    });
    cluster.startHolder(2);
    CHECK(cluster.startsAfterNextJob("j") == 1);
}

// Guards against an ended job that runs again under the same holder: the store refuses to delete
// the job row, and the holder reads all rows because the store has dropped the history of changes.
TEST_CASE("an ended job whose row could not be deleted does not run again if history is lost")
{
    Cluster cluster(1);
    cluster.endedJobRetention = milliseconds(50);
    cluster.completeWithFailedRemoval("j", cluster.startHolder(1));
    onLoop(cluster.loop, [&] { return cluster.historyLost = true; });
    std::this_thread::sleep_for(2 * cluster.readJobsEvery);
    onLoop(cluster.loop, [&] { return std::exchange(cluster.historyLost, false); });
    CHECK(cluster.startsAfterNextJob("j") == 1);
}

// Guards against tasks of cancelled jobs that start after a takeover: the cancellation is stored
// after the new holder has read the jobs.
TEST_CASE("a cancellation that is stored during a takeover is read before tasks start")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.takeOver("j");
    std::this_thread::sleep_for(takeoverAnswerDelay / 3);
    bool historyLost = false;
    SUBCASE("from the change feed")
    {
    }
    SUBCASE("from the job table if the history of changes is lost")
    {
        historyLost = true;
    }
    cluster.runOnLoop([&] { cluster.historyLost = historyLost; });
    cluster.storeCancellation("j");
    std::this_thread::sleep_for(2 * takeoverAnswerDelay);
    CHECK(cluster.startCount("j") == 0);
    CHECK(cluster.stateOf(holder, "j") == JobState::Cancelled);
}

// Guards against a shard that starts no tasks after a takeover because the changes of the job table
// cannot be read.
TEST_CASE("a takeover does not wait longer than catchUpTimeout for changes that cannot be read")
{
    Cluster cluster(1);
    cluster.catchUpTimeout = milliseconds(300);
    cluster.takeOver("j");
    cluster.runOnLoop([&] { cluster.refusedChanges = std::numeric_limits<int>::max(); });
    CHECK(cluster.waitUntilRunning("j"));
}

// Guards against tasks of cancelled jobs that start after a takeover during which the holder cannot
// reach the store, while other daemons store cancellations there.
TEST_CASE("a takeover waits for changes again after the holder could not act")
{
    Cluster cluster(1);
    cluster.catchUpTimeout = milliseconds(600);
    FleetHolder &holder = cluster.takeOver("j");
    cluster.runOnLoop([&] { cluster.refusedChanges = std::numeric_limits<int>::max(); });
    std::this_thread::sleep_for(takeoverAnswerDelay + cluster.catchUpTimeout / 4);
    cluster.runOnLoop([&] { cluster.mayAct[2] = false; });
    cluster.storeCancellation("j");
    std::this_thread::sleep_for(2 * cluster.catchUpTimeout);
    cluster.runOnLoop([&] {
        cluster.mayAct[2] = true;
        cluster.refusedChanges = 0;
    });
    std::this_thread::sleep_for(cluster.catchUpTimeout);
    CHECK(cluster.startCount("j") == 0);
    CHECK(cluster.stateOf(holder, "j") == JobState::Cancelled);
}

// Guards against tasks of cancelled jobs that start after a takeover during which the store does
// not answer the holder at all, while other daemons store cancellations there. The timeout of a
// call to the store is longer than catchUpTimeout.
TEST_CASE("a takeover waits for changes again after reads that got no answer")
{
    Cluster cluster(1);
    cluster.catchUpTimeout = milliseconds(600);
    FleetHolder &holder = cluster.takeOver("j");
    cluster.runOnLoop([&] { cluster.changesTimeout = 3 * cluster.catchUpTimeout / 2; });
    std::this_thread::sleep_for(takeoverAnswerDelay + cluster.catchUpTimeout / 4);
    cluster.runOnLoop([&] { cluster.mayAct[2] = false; });
    cluster.storeCancellation("j");
    std::this_thread::sleep_for(cluster.catchUpTimeout);
    cluster.runOnLoop([&] {
        cluster.mayAct[2] = true;
        cluster.changesTimeout.reset();
    });
    std::this_thread::sleep_for(2 * cluster.catchUpTimeout);
    CHECK(cluster.startCount("j") == 0);
    CHECK(cluster.stateOf(holder, "j") == JobState::Cancelled);
}

// Guards against cancellations that are read only after a whole period, or never, because a read
// fails.
TEST_CASE("a failed read of changed jobs is retried after a short delay")
{
    Cluster cluster(1);
    cluster.readJobsEvery = std::chrono::seconds(2);
    FleetHolder &holder = cluster.startHolder(1);
    REQUIRE(eventually(cluster.loop, [&] { return holder.countPendingJobs("q").has_value(); }));
    cluster.submit(oneTaskJob("j"));
    onLoop(cluster.loop, [&] {
        holder.addStoredJob(oneTaskJob("j"));
        return true;
    });
    REQUIRE(cluster.waitUntilRunning("j"));
    bool historyLost = false;
    SUBCASE("the read of the change feed fails")
    {
    }
    SUBCASE("the history is lost, and the read of the job table fails")
    {
        historyLost = true;
    }
    onLoop(cluster.loop, [&] {
        cluster.historyLost = historyLost;
        (historyLost ? cluster.refusedJobTables : cluster.refusedChanges) = 1;
        return true;
    });
    cluster.storeCancellation("j");
    const TimePoint storedAt = bootClockNow();
    CHECK(eventually(cluster.loop, [&] { return cluster.hosts.activeRuns(taskOf("j")) == 0; }));
    CHECK(bootClockNow() - storedAt < cluster.readJobsEvery + milliseconds(1000));
}

// Guards against an ended job that runs again after a takeover: the previous holder deletes the
// job's rows while the new one is reading them.
TEST_CASE("a job that is removed during a takeover does not run again")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    cluster.submit(oneTaskJob("j"));
    REQUIRE(cluster.waitUntilRunning("j"));
    onLoop(cluster.loop, [&] {
        cluster.hosts.endRun("h0", taskOf("j"), RunEnd::Done);
        return true;
    });
    REQUIRE(eventually(cluster.loop, [&] {
        return stateOf(*findJob(holder.dispatcher().fleet, {"j"})) == JobState::Completed;
    }));
    REQUIRE(cluster.stateOf(holder, "j") == JobState::Completed);
    onLoop(cluster.loop, [&] {
        cluster.mayAct[1] = false;
        cluster.removedBetweenReads = {"j"};
        return true;
    });
    cluster.startHolder(2);
    CHECK(cluster.startsAfterNextJob("j") == 1);
    CHECK(cluster.removedBetweenReads.empty());
}

// Guards against a count of pending jobs by a daemon that another one may have replaced. MIXED.
TEST_CASE("a daemon that may not act as the holder gives no count of pending jobs")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.startHolder(1);
    REQUIRE(eventually(cluster.loop, [&] { return holder.countPendingJobs("q").has_value(); }));
    cluster.runOnLoop([&] { cluster.mayAct[1] = false; });
    // The next holder's daemon stores it and cannot tell this one.
    cluster.submit(oneTaskJob("j"));
    CHECK(cluster.pendingCount(holder) == -1);
    cluster.runOnLoop([&] { cluster.mayAct[1] = true; });
    CHECK(eventually(cluster.loop, [&] {
        return findJob(holder.dispatcher().fleet, {"j"}) != nullptr
               && holder.countPendingJobs("q").has_value();
    }));
}

// Guards against a count that leaves out jobs whose announcements were lost while the changes of
// the job table cannot be read. MIXED.
TEST_CASE("pending jobs are not counted while the changes of the job table cannot be read")
{
    Cluster cluster(0);
    cluster.maxCountAge = milliseconds(300);
    FleetHolder &holder = cluster.startHolder(1);
    REQUIRE(eventually(cluster.loop, [&] { return holder.countPendingJobs("q").has_value(); }));
    cluster.runOnLoop([&] { cluster.changesTimeout = milliseconds(20); });
    cluster.submit(oneTaskJob("j"));
    REQUIRE(eventually(cluster.loop, [&] { return !holder.countPendingJobs("q").has_value(); }));
    cluster.runOnLoop([&] { cluster.changesTimeout.reset(); });
    CHECK(eventually(cluster.loop,
                     [&] { return holder.countPendingJobs("q") == Result<std::size_t>(1); }));
}

// Guards against a holder that counts before it has read all changes. MIXED.
TEST_CASE("changes that come in parts are read to the end before jobs are counted")
{
    Cluster cluster(0);
    cluster.maxCountAge = milliseconds(300);
    FleetHolder &holder = cluster.startHolder(1);
    REQUIRE(eventually(cluster.loop, [&] { return holder.countPendingJobs("q").has_value(); }));
    cluster.runOnLoop([&] { cluster.cutsChanges = true; });
    cluster.submit(oneTaskJob("first"));
    cluster.submit(oneTaskJob("second"));
    REQUIRE(eventually(cluster.loop, [&] { return !holder.countPendingJobs("q").has_value(); }));
    cluster.runOnLoop([&] { cluster.cutsChanges = false; });
    CHECK(eventually(cluster.loop,
                     [&] { return holder.countPendingJobs("q") == Result<std::size_t>(2); }));
}

// Guards against a new holder that leaves jobs out: those that were announced before it had read
// the tables, and those of which the previous holder had only ordered starts. MIXED.
TEST_CASE("a new holder counts the pending jobs that the previous one left")
{
    Cluster cluster(1);
    cluster.startHolder(1);
    cluster.submit(oneTaskJob("runs"));
    REQUIRE(cluster.waitUntilRunning("runs"));
    cluster.runOnLoop([&] {
        cluster.mayAct[1] = false;
        cluster.hosts.host("h0").unresponsive = true;
        // The new holder reads the tables in a second attempt, after the announcement.
        cluster.refusedJobTables = 1;
    });
    cluster.submit(oneTaskJob("stored"));
    FleetHolder &holder = cluster.startHolder(2);
    cluster.runOnLoop([&] { holder.addStoredJob(oneTaskJob("announced")); });
    std::optional<std::size_t> first;
    REQUIRE(eventually(cluster.loop, [&] {
        if (const auto n = holder.countPendingJobs("q")) {
            first = *n;
        }
        return first.has_value();
    }));
    // The job that runs is counted until its host reports it.
    CHECK(first == 3);
    cluster.runOnLoop([&] { cluster.hosts.host("h0").unresponsive = false; });
    CHECK(eventually(cluster.loop,
                     [&] { return holder.countPendingJobs("q") == Result<std::size_t>(0); }));
}

// Guards against a wait for the lease of a host that starts anew with each change of the holder, so
// that tasks of hosts that are gone stay away while daemons are stopped in turn. Issue 30.
TEST_CASE("the task of a host that is gone waits for one lease although the holder changes twice")
{
    Cluster cluster(2);
    cluster.hostLease = milliseconds(2000);
    cluster.startHolder(1);
    const std::string gone = cluster.runOneTask();
    const TimePoint goneAt = bootClockNow();
    cluster.silenceHost(gone, true);
    std::this_thread::sleep_for(milliseconds(900));
    cluster.stopHolderAsPlanned(1);
    cluster.startHolder(2);
    std::this_thread::sleep_for(milliseconds(900));
    cluster.stopHolderAsPlanned(2);
    cluster.startHolder(3);
    REQUIRE(cluster.waitUntilRunning("j"));
    // The lease as the holder counts it is 2.2 s.
    CHECK(bootClockNow() - goneAt < milliseconds(3200));
    CHECK(cluster.startCount("j") == 2);
}

// Guards against a restart that comes after tasks that never ran, and late, because the holder
// changed while the task was down. Issue 30.
TEST_CASE("after a planned stop the next holder knows how long a long-running task has been down")
{
    Cluster cluster(1);
    cluster.startHolder(1);
    JobSpec job = oneTaskJob("j");
    job.steps[0].longRunning = true;
    cluster.submit(job);
    REQUIRE(cluster.waitUntilRunning("j"));
    cluster.silenceHost("h0", true);
    const TimePoint goneAt = bootClockNow();
    const auto taskOfHolder = [&cluster](int epoch) {
        return findTask(cluster.holders[epoch]->dispatcher().fleet, taskOf("j"));
    };
    REQUIRE(eventually(cluster.loop, [&] { return taskOfHolder(1)->phase == TaskPhase::Waiting; }));
    std::this_thread::sleep_for(milliseconds(300));
    cluster.stopHolderAsPlanned(1);
    cluster.startHolder(2);
    REQUIRE(eventually(cluster.loop, [&] {
        const TaskRuntime *const task = taskOfHolder(2);
        return task != nullptr && task->phase == TaskPhase::Waiting && task->run == 1;
    }));
    cluster.runOnLoop([&] { CHECK(taskOfHolder(2)->downSince < goneAt + milliseconds(100)); });
}

// The same for a host that was lost with the holder, so that no record names its runs. Review,
// case 7.
TEST_CASE("after a loss of power the tasks of a host that was lost with the holder are restarts")
{
    Cluster cluster(2);
    cluster.startHolder(1);
    JobSpec job = oneTaskJob("j");
    job.steps[0].longRunning = true;
    job.steps[0].tasks = 2;
    job.steps[0].maxTasksPerHost = 1;
    cluster.submit(job);
    REQUIRE(cluster.waitUntilRunning("j"));
    const TaskKey second{.job = {"j"}, .index = 1};
    REQUIRE(eventually(cluster.loop, [&] { return cluster.hosts.activeRuns(second) == 1; }));
    const std::string lost = cluster.hostOf("j");
    cluster.silenceHost(lost, true);
    cluster.stopHolderAtOnce(1);
    const TimePoint lostAt = bootClockNow();
    std::this_thread::sleep_for(milliseconds(100));
    cluster.startHolder(2, {}, milliseconds(100));
    int epoch = 2;
    SUBCASE("one holder recovers")
    {
    }
    SUBCASE("the next holder is stopped as planned")
    {
        std::this_thread::sleep_for(milliseconds(200));
        cluster.stopHolderAsPlanned(2);
        cluster.startHolder(++epoch);
    }
    const auto task = [&] {
        return findTask(cluster.holders[epoch]->dispatcher().fleet, taskOf("j"));
    };
    REQUIRE(eventually(cluster.loop, [&] { return task() != nullptr && task()->run > 0; }));
    cluster.runOnLoop([&] { CHECK(task()->downSince < lostAt + milliseconds(50)); });
}

// Guards against one silent host that holds up the tasks of all jobs under a new holder.
TEST_CASE("after a planned stop only the tasks of a silent host wait for its lease")
{
    Cluster cluster(2);
    cluster.hostLease = milliseconds(8000);
    cluster.startHolder(1);
    const std::string silent = cluster.runOneTask();
    cluster.silenceHost(silent, false);
    cluster.stopHolderAsPlanned(1);
    cluster.submit(oneTaskJob("waiting"));
    const TimePoint startedAt = bootClockNow();
    cluster.startHolder(2);
    REQUIRE(cluster.waitUntilRunning("waiting"));
    CHECK(bootClockNow() - startedAt < cluster.hostLease / 2);
    CHECK(cluster.startCount("j") == 1);
}

// The same if the holder loses power after it has noticed that the host is silent.
TEST_CASE("after a loss of power only the tasks of a host known to be silent wait for its lease")
{
    Cluster cluster(2);
    cluster.hostLease = milliseconds(8000);
    cluster.startHolder(1);
    const std::string silent = cluster.runOneTask();
    cluster.silenceHost(silent, false);
    REQUIRE(cluster.waitUntilRecorded(silent, true));
    cluster.stopHolderAtOnce(1);
    cluster.submit(oneTaskJob("waiting"));
    const TimePoint startedAt = bootClockNow();
    cluster.startHolder(2);
    REQUIRE(cluster.waitUntilRunning("waiting"));
    CHECK(bootClockNow() - startedAt < cluster.hostLease / 2);
    CHECK(cluster.startCount("j") == 1);
}

// Guards against a second run: the next holder knows the lease of a silent host, on which the task
// runs until the lease expires.
TEST_CASE("a task on a silent host that a holder handed over starts elsewhere after its lease")
{
    Cluster cluster(2);
    cluster.startHolder(1);
    const std::string silent = cluster.runOneTask();
    cluster.silenceHost(silent, false);
    SUBCASE("planned stop")
    {
        cluster.stopHolderAsPlanned(1);
    }
    SUBCASE("loss of power")
    {
        REQUIRE(cluster.waitUntilRecorded(silent, true));
        cluster.stopHolderAtOnce(1);
    }
    cluster.startHolder(2);
    CHECK(cluster.activeRunsUntilStartedElsewhere(silent) == 1);
}

// Guards against a second run: a host was silent for a while and its lease is extended again, and
// the next holder counts the lease from before.
TEST_CASE("the lease of a host that answers again is extended once the store no longer lists it")
{
    Cluster cluster(2);
    cluster.hostLease = milliseconds(1500);
    cluster.startHolder(1);
    const std::string host = cluster.runOneTask();
    cluster.silenceHost(host, false);
    REQUIRE(cluster.waitUntilRecorded(host, true));
    const milliseconds leaseUntil = onLoop(cluster.loop, [&] {
        cluster.losesRosterWrites = true;
        cluster.hosts.host(host).unresponsive = false;
        return cluster.hosts.host(host).leaseUntil;
    });
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.host(host).leaseUntil; }) == leaseUntil);
    cluster.runOnLoop([&] { cluster.losesRosterWrites = false; });
    REQUIRE(
        eventually(cluster.loop, [&] { return cluster.hosts.host(host).leaseUntil > leaseUntil; }));
    CHECK_FALSE(cluster.storedLeases().hosts.contains({host}));
    CHECK(cluster.startCount("j") == 1);
    cluster.silenceHost(host, false);
    cluster.stopHolderAtOnce(1);
    cluster.startHolder(2);
    CHECK(cluster.activeRunsUntilStartedElsewhere(host) == 1);
}

// Guards against a remaining lease that is counted from the claim, seconds after a loss of power,
// instead of from the record.
TEST_CASE("after a loss of power the lease of a host known to be silent counts from the record")
{
    Cluster cluster(2);
    cluster.hostLease = milliseconds(2000);
    cluster.heartbeatSeenAt = bootClockNow();
    cluster.startHolder(1);
    const std::string gone = cluster.runOneTask();
    const TimePoint goneAt = bootClockNow();
    cluster.silenceHost(gone, true);
    REQUIRE(cluster.waitUntilRecorded(gone, true));
    std::this_thread::sleep_until(goneAt + milliseconds(1200));
    cluster.stopHolderAtOnce(1);
    std::this_thread::sleep_until(goneAt + milliseconds(2200));
    cluster.startHolder(2);
    REQUIRE(cluster.waitUntilRunning("j"));
    CHECK(bootClockNow() - goneAt < milliseconds(2900));
}

// Guards against a host that nobody knows to be silent and that holds up tasks of which the record
// says where they ran.
TEST_CASE("the task of a recorded host waits for its lease only, whatever other hosts do")
{
    Cluster cluster(3);
    cluster.hostLease = milliseconds(2000);
    cluster.startHolder(1);
    const std::string gone = cluster.runOneTask();
    JobSpec other = oneTaskJob("other");
    other.steps[0].taskSize.milliCores = 4000;
    cluster.submit(other);
    REQUIRE(cluster.waitUntilRunning("other"));
    const std::string silent = cluster.hostOf("other");
    REQUIRE(silent != gone);
    const TimePoint goneAt = bootClockNow();
    cluster.silenceHost(gone, true);
    REQUIRE(cluster.waitUntilRecorded(gone, true));
    std::this_thread::sleep_until(goneAt + milliseconds(1500));
    cluster.stopHolderAtOnce(1);
    cluster.silenceHost(silent, false);
    cluster.startHolder(2);
    REQUIRE(cluster.waitUntilRunning("j"));
    CHECK(bootClockNow() - goneAt < milliseconds(3200));
    CHECK(cluster.startCount("other") == 1);
}

// Guards against a second run: the task of a recorded host runs elsewhere, the holder loses power,
// and the next one concludes from the record that the task runs nowhere.
TEST_CASE("a recorded task starts elsewhere only once the record without it is stored")
{
    Cluster cluster(2);
    cluster.startHolder(1);
    const std::string gone = cluster.runOneTask();
    cluster.silenceHost(gone, true);
    REQUIRE(cluster.waitUntilRecorded(gone, true));
    cluster.runOnLoop([&] { cluster.losesRosterWrites = true; });
    std::this_thread::sleep_for(3 * lease);
    CHECK(cluster.startCount("j") == 1);
    cluster.runOnLoop([&] { cluster.losesRosterWrites = false; });
    REQUIRE(cluster.waitUntilRunning("j"));
    CHECK(cluster.startCount("j") == 2);
}

// Guards against a task that runs again although it is done: the holder stops while the progress of
// the job is not durable, and the next one takes the task for not started.
TEST_CASE("a holder hands over no runs while progress is not durable")
{
    Cluster cluster(2);
    cluster.startHolder(1);
    const std::string host = cluster.runOneTask();
    cluster.runOnLoop([&] {
        cluster.rejectedProgress = {"j"};
        cluster.hosts.endRun(host, taskOf("j"), RunEnd::Done);
    });
    REQUIRE(eventually(cluster.loop, [&] { return cluster.rejectedWrites > 0; }));
    cluster.stopHolderAsPlanned(1);
    const internal::LeaseRecord record = cluster.storedLeases();
    CHECK(record.stopped);
    REQUIRE(record.hosts.contains({host}));
    CHECK_FALSE(record.hosts.at({host}).runs);
}

// Guards against leases that are counted from too early a time: a holder that another one has
// replaced makes a new record, whose remaining times start when it is made.
TEST_CASE("a holder that may not act writes no lease record")
{
    Cluster cluster(2);
    cluster.hostLease = milliseconds(8000);
    cluster.startHolder(1);
    const std::string silent = cluster.runOneTask();
    cluster.silenceHost(silent, false);
    REQUIRE(cluster.waitUntilRecorded(silent, true));
    cluster.runOnLoop([&] { cluster.mayAct[1] = false; });
    std::this_thread::sleep_for(milliseconds(100));
    const milliseconds remaining = cluster.storedLeases().hosts.at({silent}).remaining;
    std::this_thread::sleep_for(milliseconds(1500));
    CHECK(cluster.storedLeases().hosts.at({silent}).remaining == remaining);
}

// Guards against a record of an older holder that is taken for that of the previous one.
TEST_CASE("a lease record of an earlier epoch than the previous one is not used")
{
    Cluster cluster(2);
    cluster.startHolder(1);
    const std::string silent = cluster.runOneTask();
    cluster.silenceHost(silent, false);
    std::this_thread::sleep_for(lease * 3 / 4);
    cluster.stopHolderAsPlanned(1);
    // The holder of epoch 2 extended the lease and left no record.
    cluster.runOnLoop([&] {
        const Duration now = bootClockNow().time_since_epoch();
        cluster.hosts.host(silent).leaseUntil =
            std::chrono::duration_cast<milliseconds>(now) + lease;
    });
    cluster.startHolder(3);
    CHECK(cluster.activeRunsUntilStartedElsewhere(silent) == 1);
}

// Guards against leases that are taken for expired too early: the read that finds the shard
// released takes long, and the holder acted until after it was sent.
TEST_CASE("a holder that released its shard counts as stopped when the release was read")
{
    CompetingDaemons fixture;
    fixture.start(0);
    REQUIRE(eventually(fixture.loop, [&] { return fixture.daemons[0]->mayAct(); }));
    onLoop(fixture.loop, [&] { return fixture.readDelay = milliseconds(100); });
    fixture.start(1);
    REQUIRE(eventually(fixture.loop, [&] { return fixture.readsInProgress > 0; }));
    const TimePoint releasedAt = onLoop(fixture.loop, [&] {
        fixture.daemons[0]->release([] {});
        return bootClockNow();
    });
    REQUIRE(eventually(fixture.loop, [&] { return fixture.daemons[1]->mayAct(); }));
    CHECK(onLoop(fixture.loop, [&] { return fixture.previousStoppedAt[1]; }) >= releasedAt);
}
