#include "fleet/fakehosts.h"
#include "fleet/holder.h"
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
constexpr Duration patience = std::chrono::seconds(10);
/// Time that a host takes for its first answer in takeOver().
constexpr Duration takeoverAnswer = milliseconds(300);

/// Runs @p function on the loop's thread and returns its result.
template<typename Function>
auto onLoop(EventLoop &loop, Function function)
{
    auto promise = std::make_shared<std::promise<decltype(function())>>();
    loop.post([promise, function] { promise->set_value(function()); });
    return promise->get_future().get();
}

/// Polls @p condition on the loop's thread.
template<typename Condition>
bool eventually(EventLoop &loop, Condition condition)
{
    const TimePoint deadline = bootClockNow() + patience;
    while (bootClockNow() < deadline) {
        if (onLoop(loop, condition)) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

JobSpec oneTask(const std::string &id)
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
    /// Time that an answer to a write of progress takes.
    Duration progressDelay{0};
    /// Progress rows of which a delayed write was answered.
    std::set<std::string> storedProgress;
    /// Whether the store refuses to remove jobs.
    bool keepsJobRows = false;
    /// Number of next reads of changed jobs that the store refuses.
    int refusedChanges = 0;
    /// Number of next reads of all jobs that the store refuses.
    int refusedJobTables = 0;
    /// Time after which reads of changed jobs fail; unset if they do not.
    std::optional<Duration> changesTimeout;
    /// Whether the store has forgotten its history.
    bool historyLost = false;
    Duration readJobsEvery = milliseconds(50);
    Duration catchUpTimeout = patience;
    /// Job whose rows are removed once the next read of a table has been carried out.
    JobId removedBetweenReads;
    Duration hostRetry = milliseconds(20);
    Duration keepEnded = std::chrono::seconds(150);

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
        platform.partOf = [](const std::string &key) {
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
                    callback(failure(code, "the feed has no answer"));
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
            if (removesJobs && keepsJobRows) {
                loop.post([callback = std::move(callback)] {
                    callback(failure(ResultCode::PlatformUnavailable, "status 503"));
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
                    noteProgress(result);
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

    /// Starts a holder; the one before it has provably stopped.
    FleetHolder &hold(int epoch, const std::set<FailureDomainId> &evacuated = {},
                      Duration stoppedAgo = Duration(0))
    {
        mayAct[epoch] = true;
        return *onLoop(loop, [this, epoch, evacuated, stoppedAgo] {
            auto holder = std::make_shared<FleetHolder>(
                FleetHolderEnvironment{.loop = loop,
                                       .platform = platform,
                                       .hosts = hosts.port(),
                                       .metrics = metrics,
                                       .mayAct = [this, epoch] { return mayAct[epoch]; },
                                       .onFenced =
                                           [this, epoch](const std::string &) {
                                               mayAct[epoch] = false;
                                           }},
                FleetHolderOptions{.epoch = static_cast<std::uint64_t>(epoch),
                                   .previousStoppedAt = bootClockNow() - stoppedAgo,
                                   .lease = lease,
                                   .renewalWait = milliseconds(50),
                                   .hostTimeout = milliseconds(40),
                                   .hostRetry = hostRetry,
                                   .flushDelay = milliseconds(10),
                                   .listHostsEvery = milliseconds(50),
                                   .readJobsEvery = readJobsEvery,
                                   .catchUpTimeout = catchUpTimeout,
                                   .tickEvery = milliseconds(10),
                                   .keepEnded = keepEnded});
            holders[epoch] = holder;
            if (!evacuated.empty()) {
                holder->setEvacuated(evacuated);
            }
            holder->start();
            return holder;
        });
    }

    /// Stores a job as the front does; holders find the row.
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

    /// Stores a cancellation as a front does that cannot reach the holder.
    void storeCancellation(const std::string &id)
    {
        std::promise<bool> stored;
        platform.commit({.puts = {{cancelRowKey({id}), id}}},
                        [&stored](const Result<CommitVersions> &result) {
                            stored.set_value(result.has_value());
                        });
        REQUIRE(stored.get_future().get());
    }

    template<typename Function>
    void change(Function function)
    {
        onLoop(loop, [function] {
            function();
            return true;
        });
    }

    /// Starts a second holder after the first one has stopped. It has read the job @p id and waits
    /// for the answer of h0, on which another task runs.
    FleetHolder &takeOver(const std::string &id)
    {
        hold(1);
        submit(oneTask("first"));
        REQUIRE(runs("first"));
        change([this] {
            mayAct[1] = false;
            hosts.host("h0").answerDelay = takeoverAnswer;
        });
        submit(oneTask(id));
        readJobsEvery = patience;
        FleetHolder &holder = hold(2);
        REQUIRE(eventually(loop, [&] { return holder.dispatcher().fleet.jobs.contains({id}); }));
        REQUIRE(startsOf(id) == 0);
        return holder;
    }

    /// Submits a job of two tasks, and waits until both run on h0.
    JobSpec runTwoTasks(const std::string &id)
    {
        JobSpec job = oneTask(id);
        job.steps[0].tasks = 2;
        submit(job);
        REQUIRE(eventually(loop, [this, &id] {
            const auto &active = hosts.host("h0").active;
            return active.contains(taskOf(id)) && active.contains({.job = {id}, .index = 1});
        }));
        return job;
    }

    /// Stores progress as a late write of an earlier holder does.
    void storeProgress(const std::string &id, const JobProgress &progress)
    {
        std::promise<bool> stored;
        platform.commit({.puts = {{progressRowKey({id}), encodeProgress(progress)}}},
                        [&stored](const Result<CommitVersions> &result) {
                            stored.set_value(result.has_value());
                        });
        REQUIRE(stored.get_future().get());
    }

    void noteProgress(const Result<CommitVersions> &result)
    {
        for (const auto &[key, version] : result.value_or(CommitVersions())) {
            storedProgress.insert(key);
        }
    }

    bool runs(const std::string &id)
    {
        return eventually(loop, [this, &id] { return hosts.activeRuns(taskOf(id)) == 1; });
    }

    /// Returns the host on which the task is active.
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

    JobState stateOf(FleetHolder &holder, const std::string &id)
    {
        std::promise<JobState> state;
        loop.post([&] {
            holder.state({id}, [&state](const Result<JobState> &result) {
                state.set_value(result.value_or(JobState::Queued));
            });
        });
        return state.get_future().get();
    }

    /// Ends job "early" on h0, and restarts h0 while the write of this end is on its way; the first
    /// end of its new life is that of job "late".
    void restartDuringWrite(FleetHolder &holder)
    {
        submit(oneTask("early"));
        submit(oneTask("late"));
        REQUIRE(runs("early"));
        REQUIRE(runs("late"));
        onLoop(loop, [&] {
            hosts.end("h0", taskOf("early"), RunEnd::Done);
            return true;
        });
        REQUIRE(eventually(loop, [&] {
            return acaciadeal::stateOf(*findJob(holder.dispatcher().fleet, {"early"}))
                   == JobState::Completed;
        }));
        // Longer than the delay after which the write of the end is sent.
        std::this_thread::sleep_for(milliseconds(50));
        onLoop(loop, [&] {
            FakeHost &host = hosts.host("h0");
            host.bornAt = milliseconds(2);
            host.ends = 0;
            host.ended.clear();
            hosts.end("h0", taskOf("late"), RunEnd::Done);
            return true;
        });
    }

    /// Runs a job that the holder then forgets, while the store keeps its rows.
    /// Precondition: the holder forgets ended jobs soon.
    void removeInPart(const std::string &id, FleetHolder &holder)
    {
        onLoop(loop, [this] { return keepsJobRows = true; });
        submit(oneTask(id));
        REQUIRE(runs(id));
        onLoop(loop, [&] {
            hosts.end("h0", taskOf(id), RunEnd::Done);
            return true;
        });
        REQUIRE(eventually(loop, [&] { return holder.dispatcher().fleet.jobs.empty(); }));
        std::this_thread::sleep_for(milliseconds(50));
    }

    std::size_t startsOf(const std::string &id)
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

    /// Returns how often @p id has been started 0.2 s after a job that is stored now began to run.
    std::size_t startsAfterNextJob(const std::string &id)
    {
        submit(oneTask("next"));
        REQUIRE(runs("next"));
        std::this_thread::sleep_for(milliseconds(200));
        return startsOf(id);
    }
};

} // namespace

// Guards against a completion that is shown before it is durable.
TEST_CASE("a job runs, and its completion is durable when it is shown")
{
    Cluster cluster(2);
    FleetHolder &holder = cluster.hold(1);
    cluster.submit(oneTask("j"));
    REQUIRE(cluster.runs("j"));
    const std::string host = cluster.hostOf("j");
    onLoop(cluster.loop, [&] {
        cluster.hosts.end(host, taskOf("j"), RunEnd::Done);
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
    const auto progress = decodeProgress(oneTask("j"), stored[0].value);
    REQUIRE(progress);
    CHECK(progress->outcome == JobState::Completed);
    CHECK(cluster.startsOf("j") == 1);
}

// Guards against tasks of a silent host that wait for ever, and against a second run while the
// first one's lease lasts.
TEST_CASE("the task of a silent host starts elsewhere once its lease has lapsed")
{
    Cluster cluster(2);
    cluster.hold(1);
    cluster.submit(oneTask("j"));
    REQUIRE(cluster.runs("j"));
    const std::string silent = cluster.hostOf("j");
    onLoop(cluster.loop, [&] {
        cluster.hosts.host(silent).silent = true;
        return true;
    });
    int most = 0;
    REQUIRE(eventually(cluster.loop, [&] {
        most = std::max(most, cluster.hosts.activeRuns(taskOf("j")));
        return std::any_of(cluster.hosts.host(silent == "h0" ? "h1" : "h0").starts.begin(),
                           cluster.hosts.host(silent == "h0" ? "h1" : "h0").starts.end(),
                           [](const auto &entry) { return entry.first == taskOf("j"); });
    }));
    CHECK(most == 1);
}

// Guards against a second run after a start whose answer was lost.
TEST_CASE("a start that was carried out without an answer is adopted")
{
    Cluster cluster(1);
    cluster.hold(1);
    onLoop(cluster.loop, [&] {
        cluster.hosts.host("h0").losesStartAnswers = true;
        return true;
    });
    cluster.submit(oneTask("j"));
    REQUIRE(cluster.runs("j"));
    std::this_thread::sleep_for(lease);
    CHECK(cluster.startsOf("j") == 1);
    CHECK(cluster.runs("j"));
}

// Guards against tasks that run twice or start anew when another daemon takes over, and against
// a holder that learned of evacuations before its start and then never decides.
TEST_CASE("a new holder adopts what runs, and decides")
{
    Cluster cluster(2);
    cluster.hold(1);
    cluster.submit(oneTask("old"));
    REQUIRE(cluster.runs("old"));
    onLoop(cluster.loop, [&] {
        cluster.mayAct[1] = false;
        return true;
    });
    FleetHolder &next = cluster.hold(2, {{"elsewhere"}});
    cluster.submit(oneTask("new"));
    REQUIRE(cluster.runs("new"));
    CHECK(cluster.startsOf("old") == 1);
    REQUIRE(eventually(cluster.loop, [&] {
        const auto *const task = findTask(next.dispatcher().fleet, taskOf("old"));
        return task != nullptr && task->phase == TaskPhase::Running;
    }));
    CHECK(cluster.startsOf("old") == 1);
}

// Guards against a second run: the earlier holder's host does not answer the new one, but its task
// runs on until its lease lapses.
TEST_CASE("a task that may run on a silent host of the earlier holder waits for its lease")
{
    Cluster cluster(2);
    cluster.hold(1);
    cluster.submit(oneTask("j"));
    REQUIRE(cluster.runs("j"));
    const std::string silent = cluster.hostOf("j");
    onLoop(cluster.loop, [&] {
        cluster.mayAct[1] = false;
        cluster.hosts.host(silent).silent = true;
        return true;
    });
    cluster.hold(2);
    int most = 0;
    REQUIRE(eventually(cluster.loop, [&] {
        most = std::max(most, cluster.hosts.activeRuns(taskOf("j")));
        return cluster.hosts.host(silent == "h0" ? "h1" : "h0").starts.size() == 1;
    }));
    CHECK(most == 1);
}

// Guards against a second run of a task that is done: the recovery took longer than a lease, and
// the host's unacknowledged end was not looked at before the task started again.
TEST_CASE("an end that a reachable host still lists is taken in before its task may start")
{
    Cluster cluster(2);
    cluster.hold(1);
    cluster.submit(oneTask("j"));
    REQUIRE(cluster.runs("j"));
    const std::string host = cluster.hostOf("j");
    onLoop(cluster.loop, [&] {
        cluster.mayAct[1] = false;
        cluster.hosts.end(host, taskOf("j"), RunEnd::Done);
        cluster.hosts.host(host).answerDelay = milliseconds(100);
        return true;
    });
    FleetHolder &next = cluster.hold(2, {}, std::chrono::seconds(60));
    REQUIRE(eventually(cluster.loop, [&] {
        const JobRuntime *const job = findJob(next.dispatcher().fleet, {"j"});
        return job != nullptr && stateOf(*job) == JobState::Completed;
    }));
    CHECK(cluster.startsOf("j") == 1);
}

// Guards against a cancelled job that runs on, and against a cancellation that is lost because it
// was written by a daemon that could not reach the holder.
TEST_CASE("a cancellation that is stored stops the job")
{
    Cluster cluster(1);
    cluster.hold(1);
    cluster.submit(oneTask("j"));
    REQUIRE(cluster.runs("j"));
    cluster.storeCancellation("j");
    CHECK(eventually(cluster.loop, [&] { return cluster.hosts.activeRuns(taskOf("j")) == 0; }));
}

namespace {

/// Two daemons that compete for the shard, each of which can lose the store.
struct Rivals
{
    EventLoop loop{{.threads = 1}};
    PlatformAdapter store;
    std::array<PlatformAdapter, 2> adapters;
    std::array<bool, 2> cutOff{};
    /// Whether the next write of the first daemon reaches the store only with releaseWrite().
    bool holdsNextWrite = false;
    std::function<void()> heldWrite;
    std::array<std::uint64_t, 2> epochs{};
    std::vector<std::unique_ptr<ShardOwnership>> daemons;

    Rivals()
    {
        store = PluginRegistry<PlatformPlugin>::instance().find("memory")->create(loop, {});
        for (std::size_t n = 0; n < adapters.size(); ++n) {
            connect(n);
            daemons.push_back(std::make_unique<ShardOwnership>(
                loop, adapters[n],
                OwnershipOptions{.daemon = {"d" + std::to_string(n)},
                                 .incarnation = n + 1,
                                 .peer = {"127.0.0.1", 1},
                                 .renewEvery = milliseconds(40),
                                 .validFor = milliseconds(200),
                                 .claimAfter = milliseconds(300),
                                 .pollEvery = milliseconds(20),
                                 .retryDelay = milliseconds(20)},
                OwnershipCallbacks{
                    .onHeld = [this, n](std::uint64_t epoch, TimePoint) { epochs[n] = epoch; },
                    .onLost =
                        [](const std::string &) {
                        }}));
        }
    }

    ~Rivals()
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
TEST_CASE("a holder that cannot reach the store stops acting before another one claims")
{
    Rivals rivals;
    rivals.start(0);
    REQUIRE(eventually(rivals.loop, [&] { return rivals.daemons[0]->mayAct(); }));
    rivals.start(1);
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(onLoop(rivals.loop, [&] { return rivals.epochs[1]; }) == 0);
    rivals.setCutOff(true, false);
    bool both = false;
    REQUIRE(eventually(rivals.loop, [&] {
        both = both || (rivals.daemons[0]->mayAct() && rivals.daemons[1]->mayAct());
        return rivals.daemons[1]->mayAct();
    }));
    CHECK_FALSE(both);
    CHECK(onLoop(rivals.loop, [&] { return rivals.epochs[1]; }) == 2);
}

// Guards against a takeover at the end of each outage of the store, when the holder was as silent
// as everybody else.
TEST_CASE("an outage of the store for all does not cost the holder its shard")
{
    Rivals rivals;
    rivals.start(0);
    REQUIRE(eventually(rivals.loop, [&] { return rivals.daemons[0]->mayAct(); }));
    rivals.start(1);
    std::this_thread::sleep_for(milliseconds(100));
    rivals.setCutOff(true, true);
    std::this_thread::sleep_for(milliseconds(600));
    CHECK_FALSE(rivals.mayAct(0));
    // The other daemon reads first.
    rivals.setCutOff(true, false);
    std::this_thread::sleep_for(milliseconds(60));
    rivals.setCutOff(false, false);
    CHECK(eventually(rivals.loop, [&] { return rivals.daemons[0]->mayAct(); }));
    CHECK(onLoop(rivals.loop, [&] { return rivals.epochs[1]; }) == 0);
    CHECK(onLoop(rivals.loop, [&] { return rivals.epochs[0]; }) == 1);
}

// Guards against a holder that gives up its shard by the outcome of a renewal of an earlier epoch.
TEST_CASE("a late renewal of an earlier epoch does not depose the holder")
{
    Rivals rivals;
    rivals.start(0);
    REQUIRE(eventually(rivals.loop, [&] { return rivals.daemons[0]->mayAct(); }));
    onLoop(rivals.loop, [&] { return rivals.holdsNextWrite = true; });
    REQUIRE(eventually(rivals.loop, [&] { return rivals.heldWrite != nullptr; }));
    onLoop(rivals.loop, [&] {
        rivals.daemons[0]->depose("a host has seen a newer holder");
        return true;
    });
    REQUIRE(eventually(rivals.loop, [&] { return rivals.daemons[0]->mayAct(); }));
    REQUIRE(onLoop(rivals.loop, [&] { return rivals.epochs[0]; }) == 2);
    rivals.releaseWrite();
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(rivals.mayAct(0));
    CHECK(onLoop(rivals.loop, [&] { return rivals.epochs[0]; }) == 2);
}

// Guards against a wait for the silence of a holder that said it was leaving.
TEST_CASE("a released shard is claimed at once")
{
    Rivals rivals;
    rivals.start(0);
    REQUIRE(eventually(rivals.loop, [&] { return rivals.daemons[0]->mayAct(); }));
    rivals.start(1);
    onLoop(rivals.loop, [&] {
        rivals.daemons[0]->release([] {});
        return true;
    });
    CHECK(eventually(rivals.loop, [&] { return rivals.daemons[1]->mayAct(); }));
    CHECK_FALSE(rivals.mayAct(0));
}

// Guards against work that is done twice: a host restarts unnoticed, ends a task, and a repeated
// acknowledgement of its former life makes it forget that end. Found by the fault soak, seed 17.
TEST_CASE("an end of a new life is not acknowledged by a number of the life before")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.hold(1);
    const auto isCompleted = [&](const std::string &id) {
        return eventually(cluster.loop, [&] {
            const JobRuntime *const job = findJob(holder.dispatcher().fleet, {id});
            return job != nullptr && stateOf(*job) == JobState::Completed;
        });
    };
    for (const std::string id : {"first", "second"}) {
        cluster.submit(oneTask(id));
        REQUIRE(cluster.runs(id));
        onLoop(cluster.loop, [&] {
            cluster.hosts.end("h0", taskOf(id), RunEnd::Done);
            return true;
        });
        REQUIRE(isCompleted(id));
    }
    REQUIRE(eventually(cluster.loop, [&] { return cluster.hosts.host("h0").ended.empty(); }));
    cluster.submit(oneTask("late"));
    REQUIRE(cluster.runs("late"));
    onLoop(cluster.loop, [&] {
        FakeHost &host = cluster.hosts.host("h0");
        host.bornAt = milliseconds(2);
        host.ends = 0;
        cluster.hosts.end("h0", taskOf("late"), RunEnd::Done);
        return true;
    });
    CHECK(isCompleted("late"));
    CHECK(cluster.startsOf("late") == 1);
}

// Guards against a holder that gives up its shard because a host refuses a token that this holder
// had itself replaced: the host was away, was forgotten, and came back under its id.
TEST_CASE("a host that was forgotten and comes back does not depose its holder")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.hold(1);
    const auto knows = [&] {
        return holder.dispatcher().fleet.hosts.contains({"h0"});
    };
    onLoop(cluster.loop, [&] {
        cluster.hosts.host("h0").losesStartAnswers = true;
        return true;
    });
    const auto token = [&] {
        return onLoop(cluster.loop, [&] { return cluster.hosts.host("h0").token; });
    };
    cluster.submit(oneTask("first"));
    REQUIRE(cluster.runs("first"));
    const std::uint64_t before = token();
    cluster.submit(oneTask("second"));
    REQUIRE(eventually(cluster.loop, [&] { return cluster.hosts.host("h0").token > before; }));
    onLoop(cluster.loop, [&] {
        cluster.hosts.host("h0").silent = true;
        cluster.unlisted.insert("h0");
        return true;
    });
    REQUIRE(eventually(cluster.loop, [&] { return !knows(); }));
    onLoop(cluster.loop, [&] {
        cluster.hosts.host("h0").silent = false;
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

// Guards against work on a job that callers see as cancelled: the outcome reached this holder by a
// late write of an earlier one.
TEST_CASE("an outcome that an earlier holder stored late ends the job")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.hold(1);
    const JobSpec job = cluster.runTwoTasks("j");
    const TaskKey other{.job = {"j"}, .index = 1};
    JobProgress late = emptyProgress(job);
    late.outcome = JobState::Cancelled;
    cluster.storeProgress("j", late);
    onLoop(cluster.loop, [&] {
        cluster.hosts.end("h0", taskOf("j"), RunEnd::Done);
        return true;
    });
    REQUIRE(eventually(cluster.loop, [&] {
        return stateOf(*findJob(holder.dispatcher().fleet, {"j"})) == JobState::Cancelled;
    }));
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.activeRuns(other); }) == 0);
    CHECK(onLoop(cluster.loop, [&] { return holder.dispatcher().fleet.live.size(); }) == 0);
}

// Guards against a job that is shown in progress, and runs on, although all its tasks are done: an
// earlier holder stored the one end, and this holder saw the other.
TEST_CASE("a job whose last end was stored late by an earlier holder completes")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.hold(1);
    const JobSpec job = cluster.runTwoTasks("j");
    JobProgress late = emptyProgress(job);
    late.steps[0].done[1] = true;
    cluster.storeProgress("j", late);
    onLoop(cluster.loop, [&] {
        cluster.hosts.end("h0", taskOf("j"), RunEnd::Done);
        return true;
    });
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(cluster.stateOf(holder, "j") == JobState::Completed);
}

// Guards against work that is done twice: a host restarts and ends a task while the write of an
// earlier end is on its way, and the acknowledgement of that end reaches its new life.
TEST_CASE("an end is acknowledged only to a host that has just shown its life")
{
    Cluster cluster(1);
    // No renewal shows the restart before the write is answered.
    cluster.hostRetry = patience;
    cluster.progressDelay = milliseconds(300);
    FleetHolder &holder = cluster.hold(1);
    cluster.restartDuringWrite(holder);
    CHECK(eventually(cluster.loop, [&] {
        return stateOf(*findJob(holder.dispatcher().fleet, {"late"})) == JobState::Completed
               || cluster.hosts.host("h0").starts.size() > 2;
    }));
    CHECK(cluster.startsOf("late") == 1);
}

// Guards against a second run while the first one works: the new life of a host carried out a start
// before the holder learned of that life.
TEST_CASE("a run that a host's new life lists is not given up")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.hold(1);
    cluster.submit(oneTask("former"));
    cluster.submit(oneTask("started"));
    REQUIRE(cluster.runs("former"));
    REQUIRE(cluster.runs("started"));
    onLoop(cluster.loop, [&] {
        FakeHost &host = cluster.hosts.host("h0");
        host.bornAt = milliseconds(2);
        host.active.erase(taskOf("former"));
        return true;
    });
    REQUIRE(eventually(cluster.loop, [&] {
        return holder.dispatcher().fleet.hosts.at({"h0"}).bornAt == milliseconds(2)
               && cluster.hosts.activeRuns(taskOf("former")) == 1;
    }));
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(cluster.startsOf("former") == 2);
    CHECK(cluster.startsOf("started") == 1);
    CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.activeRuns(taskOf("started")); }) == 1);
}

// Guards against ends that pile up on a busy host: each answer that shows its life lists a further
// end, and the acknowledgement of the durable ones waits for the write of that end.
TEST_CASE("ends are acknowledged while further ones arrive during each write")
{
    constexpr std::uint32_t tasks = 30;
    Cluster cluster(1);
    cluster.hostRetry = milliseconds(200);
    cluster.progressDelay = milliseconds(200);
    cluster.hold(1);
    JobSpec job = oneTask("j");
    job.steps[0].tasks = tasks;
    job.steps[0].taskSize.milliCores = 100;
    cluster.submit(job);
    REQUIRE(
        eventually(cluster.loop, [&] { return cluster.hosts.host("h0").active.size() == tasks; }));
    for (std::uint32_t n = 0; n < tasks; ++n) {
        onLoop(cluster.loop, [&cluster, n] {
            cluster.hosts.end("h0", {.job = {"j"}, .index = n}, RunEnd::Done);
            return true;
        });
        std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK(onLoop(cluster.loop, [&] { return cluster.hosts.host("h0").ended.size(); }) <= tasks / 2);
}

// Guards against work that is done twice: a host restarts and ends a task while the write of an
// earlier end is on its way, and its answer makes the new end pass for durable.
TEST_CASE("a write that began in a host's former life makes no end of the new one durable")
{
    Cluster cluster(1);
    cluster.progressDelay = milliseconds(300);
    FleetHolder &holder = cluster.hold(1);
    cluster.restartDuringWrite(holder);
    REQUIRE(eventually(cluster.loop, [&] { return cluster.hosts.host("h0").ended.empty(); }));
    CHECK(onLoop(cluster.loop,
                 [&] { return cluster.storedProgress.contains(progressRowKey({"late"})); }));
}

// Guards against an ended job that runs again under the next holder: its progress was removed, and
// the store refused to remove the job itself.
TEST_CASE("a job that is removed in part does not run again")
{
    Cluster cluster(1);
    cluster.keepEnded = milliseconds(50);
    cluster.removeInPart("j", cluster.hold(1));
    onLoop(cluster.loop, [&] {
        cluster.mayAct[1] = false;
        return true;
    });
    cluster.hold(2);
    CHECK(cluster.startsAfterNextJob("j") == 1);
}

// Guards against an ended job that runs again under the same holder: the store kept the job's row,
// and the holder reads all rows because the history of changes was dropped.
TEST_CASE("a job that is removed in part does not run again when history is lost")
{
    Cluster cluster(1);
    cluster.keepEnded = milliseconds(50);
    cluster.removeInPart("j", cluster.hold(1));
    onLoop(cluster.loop, [&] { return cluster.historyLost = true; });
    std::this_thread::sleep_for(2 * cluster.readJobsEvery);
    onLoop(cluster.loop, [&] { return std::exchange(cluster.historyLost, false); });
    CHECK(cluster.startsAfterNextJob("j") == 1);
}

// Guards against tasks of cancelled jobs that start after a takeover: a front stored the
// cancellation when the new holder had read the jobs.
TEST_CASE("a cancellation that is stored during a takeover is taken in before tasks start")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.takeOver("j");
    std::this_thread::sleep_for(takeoverAnswer / 3);
    bool historyLost = false;
    SUBCASE("by the changes")
    {
    }
    SUBCASE("by the jobs if the changes are forgotten")
    {
        historyLost = true;
    }
    cluster.change([&] { cluster.historyLost = historyLost; });
    cluster.storeCancellation("j");
    std::this_thread::sleep_for(2 * takeoverAnswer);
    CHECK(cluster.startsOf("j") == 0);
    CHECK(cluster.stateOf(holder, "j") == JobState::Cancelled);
}

// Guards against a shard that stands still after a takeover because the changes cannot be read.
TEST_CASE("a takeover does not wait for changes that cannot be read")
{
    Cluster cluster(1);
    cluster.catchUpTimeout = milliseconds(300);
    cluster.takeOver("j");
    cluster.change([&] { cluster.refusedChanges = std::numeric_limits<int>::max(); });
    CHECK(cluster.runs("j"));
}

// Guards against tasks of cancelled jobs that start after a takeover during which the store was
// away for the holder.
TEST_CASE("a takeover waits for changes while the holder may not act")
{
    Cluster cluster(1);
    cluster.catchUpTimeout = milliseconds(600);
    FleetHolder &holder = cluster.takeOver("j");
    cluster.change([&] { cluster.refusedChanges = std::numeric_limits<int>::max(); });
    std::this_thread::sleep_for(takeoverAnswer + cluster.catchUpTimeout / 4);
    cluster.change([&] { cluster.mayAct[2] = false; });
    cluster.storeCancellation("j");
    std::this_thread::sleep_for(2 * cluster.catchUpTimeout);
    cluster.change([&] {
        cluster.mayAct[2] = true;
        cluster.refusedChanges = 0;
    });
    std::this_thread::sleep_for(cluster.catchUpTimeout);
    CHECK(cluster.startsOf("j") == 0);
    CHECK(cluster.stateOf(holder, "j") == JobState::Cancelled);
}

// Guards against the same where the store does not answer at all: its timeout is longer than the
// wait of the takeover.
TEST_CASE("a takeover waits for changes after reads without an answer")
{
    Cluster cluster(1);
    cluster.catchUpTimeout = milliseconds(600);
    FleetHolder &holder = cluster.takeOver("j");
    cluster.change([&] { cluster.changesTimeout = 3 * cluster.catchUpTimeout / 2; });
    std::this_thread::sleep_for(takeoverAnswer + cluster.catchUpTimeout / 4);
    cluster.change([&] { cluster.mayAct[2] = false; });
    cluster.storeCancellation("j");
    std::this_thread::sleep_for(cluster.catchUpTimeout);
    cluster.change([&] {
        cluster.mayAct[2] = true;
        cluster.changesTimeout.reset();
    });
    std::this_thread::sleep_for(2 * cluster.catchUpTimeout);
    CHECK(cluster.startsOf("j") == 0);
    CHECK(cluster.stateOf(holder, "j") == JobState::Cancelled);
}

// Guards against cancellations that wait a whole period, or for ever, after a failed read.
TEST_CASE("a failed read of changed jobs is repeated soon")
{
    Cluster cluster(1);
    cluster.readJobsEvery = std::chrono::seconds(2);
    FleetHolder &holder = cluster.hold(1);
    REQUIRE(eventually(cluster.loop, [&] { return holder.pending("q").has_value(); }));
    cluster.submit(oneTask("j"));
    onLoop(cluster.loop, [&] {
        holder.addStored(oneTask("j"));
        return true;
    });
    REQUIRE(cluster.runs("j"));
    bool historyLost = false;
    SUBCASE("the changes are refused")
    {
    }
    SUBCASE("the history is lost, and the jobs are refused")
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

// Guards against an ended job that runs again after a takeover: the earlier holder removed its rows
// while they were read.
TEST_CASE("a job that is removed during a takeover does not run again")
{
    Cluster cluster(1);
    FleetHolder &holder = cluster.hold(1);
    cluster.submit(oneTask("j"));
    REQUIRE(cluster.runs("j"));
    onLoop(cluster.loop, [&] {
        cluster.hosts.end("h0", taskOf("j"), RunEnd::Done);
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
    cluster.hold(2);
    CHECK(cluster.startsAfterNextJob("j") == 1);
    CHECK(cluster.removedBetweenReads.empty());
}
