#include "fleet/holder.h"

#include "fleet/internal/holderlog.h"
#include "fleet/internal/hostlink.h"
#include "fleet/internal/progresswriter.h"
#include "fleet/internal/roster.h"
#include "fleet/jobrows.h"
#include "logging/log.h"
#include "runtime/bootclock.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace acaciadeal {
namespace {

using internal::HostLink;

/// Factor by which a lease may last longer on the holder's clock: hosts' clocks may be 2% slow; 3%
/// allows for rounding as well.
constexpr double hostClockDriftFactor = 1.03;
/// Added to the lease on the holder's side before a host's runs are declared lost.
constexpr Duration leaseExpiryMargin = milliseconds(150);
/// Size of the range of run numbers that each epoch uses.
constexpr std::uint64_t runsPerEpoch = 100'000;
constexpr Duration readRetryDelay = milliseconds(200);
/// After this many failed renewals in a row, the stored lease record says that the lease of the
/// host is not extended. A single lost answer does not cost a write to the store.
constexpr int failuresBeforeRecord = 2;
/// Shortest time between two writes of the lease record outside the period of the host list. Bounds
/// the load while many hosts go at once.
constexpr Duration minLeaseRecordPeriod = milliseconds(200);
/// Added to that for each run in the record.
constexpr Duration leaseRecordPeriodPerRun = std::chrono::microseconds(100);
/// Longest time for which a holder that stops waits for the write of its lease record.
constexpr Duration lastWriteTimeout = milliseconds(500);
/// Wait of a renewal to a host on which nothing runs; hosts accept at most 2 s.
constexpr milliseconds idleRenewalWait{1900};
/// If the last report of a host is at most this old, runs that ended on it since then belong to the
/// incarnation that sent the report: no host restarts and ends a run within this time. Twice the
/// time in which ended runs become durable.
constexpr Duration maxReportAge = milliseconds(150);
constexpr std::size_t maxJobsPerCleanup = 20;
/// Shortest time between two log lines with the count of pending jobs of one queue.
constexpr Duration countLogPeriod = std::chrono::seconds(1);
constexpr const char *modelTable = "model";
constexpr const char *modelKey = "model/main";

Duration maxLeaseDuration(milliseconds lease)
{
    return std::chrono::duration_cast<Duration>(lease * hostClockDriftFactor) + leaseExpiryMargin;
}

/// Converts a remaining time that another daemon measured; their clocks may differ.
Duration remainingHere(milliseconds remaining)
{
    return std::chrono::duration_cast<Duration>(remaining * hostClockDriftFactor);
}

/// Returns whether the host reported ended runs that are durable and not acknowledged yet. Returns
/// false for a host that failed to answer, because it may have restarted.
bool hasUnacknowledgedEnds(const HostLink &link, const FleetHost &host)
{
    return link.failures == 0 && host.lastDurableEnd > link.acknowledgedEnd;
}

/// Submissions of a job, as offered by the daemons that received them.
struct Offer
{
    TimePoint firstAt;
    /// Whether the job was admitted, so that a daemon may have sent a write of it.
    bool admitted = false;
};

/// A host that has announced that it leaves, or left the host list, likely will not answer again.
int failuresBeforeRecordOf(const FleetHost &host)
{
    return host.leaving || !host.listed ? 1 : failuresBeforeRecord;
}

/// A host that may hold a lease of an earlier holder.
struct InheritedHost
{
    TimePoint leaseEnd;
    /// Runs that may be on it; unset if they are not known.
    std::optional<internal::HostRuns> runs;
};

/// A task that waited for a restart under an earlier holder.
struct InheritedWait
{
    std::uint64_t lastRun = 0;
    TimePoint since;
    TimePoint downSince;
};

/// A removal of ended jobs in progress. The progress rows are deleted last: a job row without a
/// progress row would run again under the next holder.
struct JobRemoval
{
    std::size_t partitionsInFlight = 0;
    Transaction progressRows;
};

void logRemovalFailure(const Result<CommitVersions> &result)
{
    if (!result) {
        logEvent(EventId::WriteOutcomeUnknown,
                 {{"what", "removal of ended jobs"}, {"reason", result.error().message}});
    }
}

} // namespace

struct FleetHolder::Impl
{
    Impl(FleetHolderEnvironment holderEnvironment, const FleetHolderOptions &holderOptions)
        : env(std::move(holderEnvironment))
        , options(holderOptions)
        , writer({.loop = env.loop,
                  .platform = env.platform,
                  .fleet = dispatcher.fleet,
                  .mayAct = env.mayAct,
                  .onDurable = [this] { onDurable(); },
                  .onStoredProgress =
                      [this](const JobId &id, const JobProgress &stored) {
                          mergeProgress(dispatcher, id, stored, bootClockNow());
                          scheduleFollowUps();
                      }},
                 {.flushDelay = options.flushDelay, .shortFlushDelay = options.shortFlushDelay})
        , roster(env.platform, env.loop)
    {
        dispatcher.fleet.runNumberBase = (options.epoch - 1) * runsPerEpoch;
    }

    using TablesCallback =
        std::function<void(const Result<RowSnapshot> &jobs, const Result<RowSnapshot> &progress)>;

    void readTables(TablesCallback done);
    void readState();
    void onTables(const Result<RowSnapshot> &jobs, const Result<RowSnapshot> &progress,
                  TimePoint sentAt);
    void addStoredJobs(const RowSnapshot &jobs, const RowSnapshot &progress, TimePoint now);
    void listHosts();
    void onHosts(const Result<std::vector<HostRecord>> &hosts);
    void updateHost(const HostRecord &record);
    void removeUnlistedHosts(TimePoint now);
    bool isListed(const HostId &id) const;
    void onRosterRead();
    void inheritRuns(TimePoint now);
    void openLinks();
    bool isUnknown(const HostId &id) const;
    std::optional<LostHosts> lostHosts() const;
    internal::LeaseRecord leaseRecord(bool stopped, TimePoint now) const;
    std::map<HostId, Endpoint> rosterHosts() const;
    void writeRoster();
    bool isLeaseRecordDue(TimePoint now) const;
    bool hasWaitingRecordedTask() const;
    void addWaitingRestarts(internal::LeaseRecord &record, TimePoint now) const;
    void writeLastLeases(std::function<void()> done);
    void tryFinishRecovery(TimePoint now);
    bool ensureJobChangesRead(TimePoint moment, TimePoint now);

    void sendRenewal(HostLink &link, milliseconds wait, TimePoint now);
    void onReport(const HostId &id, std::uint64_t sequence, std::uint64_t token, TimePoint sentAt,
                  const Result<HostReport> &report);
    static void noteCompleteness(HostLink &link, const HostReport &report);
    void onRenewalFailed(HostLink &link, FleetHost &host, const Error &error, TimePoint now);
    void onHostRestarted(HostLink &link, FleetHost &host, const HostReport &report,
                         TimePoint now) const;
    void startNextRenewal(HostLink &link, TimePoint now);
    void onDurable();

    void schedulePlan();
    void planNow();
    void sendStart(const StartRun &order, TimePoint now);
    void sendStop(const StopRun &order);
    void sendPace(const PaceRun &order);
    void scheduleFollowUps();

    void tick();
    void reportStatus();
    void reportWaits();
    void readModel();
    void storeModel();
    void readJobChanges();
    void readJobChangesAfter(Duration delay);
    void onJobChanges(const Result<RowChanges> &changes, TimePoint sentAt);
    void onJobTables(const Result<RowSnapshot> &jobs, const Result<RowSnapshot> &progress,
                     TimePoint sentAt);
    void onJobChangesRead(std::uint64_t version, TimePoint sentAt);
    void onJobChangesReadFailed(const Error &error);
    void applyJobRow(const std::string &key, const std::string &value);
    void cleanUp(TimePoint now);
    void removeJobs(const std::vector<JobId> &jobs, const std::shared_ptr<JobRemoval> &removal);

    internal::HolderView view() const;
    Result<void> checkKnowsAllJobs() const;
    void logCount(const std::string &queue, const Result<std::size_t> &pending);
    HostCall callFor(const HostLink &link) const;
    template<typename Function>
    auto guarded(Function function);

    FleetHolderEnvironment env;
    FleetHolderOptions options;
    Dispatcher dispatcher;
    internal::ProgressWriter writer;
    internal::Roster roster;
    std::map<HostId, HostLink> links;
    /// Initial token counter of a new link; above those of removed links, because a host that comes
    /// back under the same id refuses tokens below the highest that it has seen.
    std::uint64_t minTokenCounter = 0;
    /// Jobs that were announced by addStoredJob() before the tables were loaded.
    std::vector<JobSpec> jobsBeforeLoad;
    /// Jobs that were offered, with the time of the first offer.
    std::map<JobId, Offer> offers;
    /// When this holder first read the tombstone in a job's row.
    std::map<JobId, TimePoint> tombstoneSeenAt;
    /// Version of the job table up to which changes have been read.
    std::uint64_t jobsVersion = 0;
    /// When the last successful read of the job table or of its changes was sent; everything stored
    /// before is known.
    TimePoint jobChangesReadAt;
    bool readingJobChanges = false;
    /// Whether the last read of changed jobs failed.
    bool jobChangesReadFailed = false;
    /// Number of the newest timer for the next read; older timers do nothing when they fire.
    std::uint64_t jobChangesTimer = 0;
    /// Hosts of the roster that the previous holder stored. The runs of each are moved to the
    /// dispatcher once both tables have been read.
    std::map<HostId, InheritedHost> inheritedHosts;
    /// Tasks that waited for a restart under the previous holder; moved at the same time.
    std::map<TaskKey, InheritedWait> inheritedWaits;
    /// Whether that has been done.
    bool runsInherited = false;
    /// When hosts that have not reported to this holder may have been lost; unset if the previous
    /// one left no host with unknown runs.
    std::optional<TimePoint> recoveringSince;
    /// Number of such hosts that have been removed.
    std::size_t unknownHostsRemoved = 0;
    TimePoint startedAt = bootClockNow();
    /// Hosts of the platform's last host list, as stored in the roster.
    std::map<HostId, Endpoint> listedHosts;
    /// Whether a host has to be added to the stored lease record, or removed from it.
    bool leaseRecordOld = false;
    TimePoint leaseRecordCheckedAt;
    /// During recovery: since when the runs on all hosts are known; unset while they are not.
    std::optional<TimePoint> allHostsKnownAt;
    /// When the start orders without an answer were sent, by their numbers.
    std::map<std::uint64_t, TimePoint> unansweredOrders;
    std::uint64_t lastOrder = 0;
    /// When counts of pending jobs were last logged, by queue.
    std::map<std::string, TimePoint> countsLoggedAt;
    /// Whether the job and progress tables have been read.
    bool loaded = false;
    /// Whether recovery has finished, so that tasks that no host reported are known not to run.
    bool recoveryFinished = false;
    bool planScheduled = false;
    internal::RoundTimes rounds{.processorTime = std::clock()};
    bool hostListOld = false;
    bool finishing = false;
    std::weak_ptr<FleetHolder> self;
};

/// Wraps a callback so that it does nothing once the holder is destroyed or stopped.
template<typename Function>
auto FleetHolder::Impl::guarded(Function function)
{
    return [weak = self, function = std::move(function)](auto &&...arguments) mutable {
        const auto alive = weak.lock();
        if (alive && alive->m_impl) {
            function(std::forward<decltype(arguments)>(arguments)...);
        }
    };
}

internal::HolderView FleetHolder::Impl::view() const
{
    return {.mayAct = env.mayAct(),
            .jobsReadAt =
                jobChangesReadAt == TimePoint() ? std::nullopt : std::optional(jobChangesReadAt),
            .unansweredOrders = unansweredOrders.size(),
            .oldestOrderAt = unansweredOrders.empty()
                                 ? std::nullopt
                                 : std::optional(unansweredOrders.begin()->second)};
}

/// Logs the count of a queue at most once per countLogPeriod: hundreds of daemons may ask in a
/// second.
void FleetHolder::Impl::logCount(const std::string &queue, const Result<std::size_t> &pending)
{
    const TimePoint now = bootClockNow();
    const auto [it, added] = countsLoggedAt.try_emplace(queue, now);
    if (added || now - it->second >= countLogPeriod) {
        it->second = now;
        internal::logPendingJobs(dispatcher.fleet, view(), queue, pending, now);
    }
}

/// Checks that the jobs in memory are those of the shard, so that they may be counted.
Result<void> FleetHolder::Impl::checkKnowsAllJobs() const
{
    if (!loaded) {
        return failure(ResultCode::PlatformUnavailable, "the holder is still recovering the shard");
    }
    if (!env.mayAct()) {
        return failure(ResultCode::PlatformUnavailable,
                       "the daemon cannot confirm that it still holds the shard");
    }
    // Announcements of stored jobs may be lost, so only a read of the job table shows all of them.
    if (bootClockNow() - jobChangesReadAt > options.maxCountAge) {
        return failure(ResultCode::PlatformUnavailable,
                       "the holder has not been able to read the job table lately");
    }
    return {};
}

HostCall FleetHolder::Impl::callFor(const HostLink &link) const
{
    const auto host = dispatcher.fleet.hosts.find(link.id);
    return {.endpoint = link.endpoint,
            .host = link.id,
            .token = internal::fencingToken(options.epoch, link),
            .bootedAt = host == dispatcher.fleet.hosts.end() ? std::nullopt : host->second.bootedAt,
            .timeout = options.hostTimeout};
}

/// Reads the progress table first. Progress rows are removed last, so a job whose row is still
/// there in the second read cannot have lost its progress before the first one and be mistaken for
/// a new job.
void FleetHolder::Impl::readTables(TablesCallback done)
{
    env.platform.readTable(
        progressTable, guarded([this, done = std::move(done)](const Result<RowSnapshot> &progress) {
            env.platform.readTable(jobTable,
                                   guarded([progress, done](const Result<RowSnapshot> &jobs) {
                                       done(jobs, progress);
                                   }));
        }));
}

void FleetHolder::Impl::readState()
{
    readTables([this, sentAt = bootClockNow()](const Result<RowSnapshot> &jobs,
                                               const Result<RowSnapshot> &progress) {
        onTables(jobs, progress, sentAt);
    });
}

void FleetHolder::Impl::onTables(const Result<RowSnapshot> &jobs,
                                 const Result<RowSnapshot> &progress, TimePoint sentAt)
{
    if (!jobs || !progress) {
        env.loop.postAfter(readRetryDelay, guarded([this] { readState(); }));
        return;
    }
    const TimePoint now = bootClockNow();
    addStoredJobs(*jobs, *progress, now);
    jobChangesReadAt = sentAt;
    loaded = true;
    for (JobSpec &job : jobsBeforeLoad) {
        JobProgress empty = emptyProgress(job);
        addJob(dispatcher, std::move(job), std::move(empty), 0, false, now);
    }
    jobsBeforeLoad.clear();
    logEvent(EventId::ShardRecovered, {{"epoch", std::to_string(options.epoch)},
                                       {"jobs", std::to_string(dispatcher.fleet.jobs.size())},
                                       {"live", std::to_string(dispatcher.fleet.liveJobs.size())}});
    inheritRuns(now);
    readJobChangesAfter(options.readJobsEvery);
    for (auto &[id, link] : links) {
        if (link.clock && !link.renewing) {
            sendRenewal(link, milliseconds(0), now);
        }
    }
    scheduleFollowUps();
}

/// Adds the stored jobs that are not known yet. The change feed of the job table continues from the
/// version of these rows.
void FleetHolder::Impl::addStoredJobs(const RowSnapshot &jobs, const RowSnapshot &progress,
                                      TimePoint now)
{
    std::vector<Error> ignored;
    for (StoredJob &job : joinJobRows(jobs.rows, progress.rows, ignored)) {
        const JobId id = job.spec.id;
        addJob(dispatcher, std::move(job.spec), std::move(job.progress), job.progressVersion,
               options.epoch > 1 && !recoveryFinished, now);
        if (job.cancelled) {
            cancelJob(dispatcher, id, now);
        }
    }
    for (const Error &error : ignored) {
        logEvent(EventId::RowIgnored, {{"row", error.where}, {"reason", error.message}});
    }
    for (const JobId &id : tombstones(jobs.rows)) {
        tombstoneSeenAt.try_emplace(id, now);
    }
    jobsVersion = std::max(jobsVersion, jobs.version);
}

void FleetHolder::Impl::listHosts()
{
    env.platform.listHosts(
        guarded([this, sentAt = bootClockNow()](const Result<std::vector<HostRecord>> &hosts) {
            if (hosts && roster.isRead()) {
                dispatcher.fleet.hostListReadAt = sentAt;
            }
            onHosts(hosts);
            env.loop.postAfter(options.listHostsEvery, guarded([this] { listHosts(); }));
        }));
}

void FleetHolder::Impl::onHosts(const Result<std::vector<HostRecord>> &hosts)
{
    if (!hosts || !roster.isRead()) {
        return;
    }
    for (auto &[id, host] : dispatcher.fleet.hosts) {
        host.listed = false;
    }
    listedHosts.clear();
    for (const HostRecord &record : *hosts) {
        updateHost(record);
        listedHosts[record.host] = record.endpoint;
    }
    removeUnlistedHosts(bootClockNow());
    writeRoster();
    openLinks();
    schedulePlan();
}

/// Stores the hosts that may hold a lease, and those whose leases are not extended.
void FleetHolder::Impl::writeRoster()
{
    // The next holder counts on records that were made while their holder might act.
    const TimePoint now = bootClockNow();
    if (finishing || !roster.isRead() || roster.isWriting() || !env.mayAct()) {
        return;
    }
    std::map<HostId, Endpoint> hosts = rosterHosts();
    if (hosts == roster.durableHosts() && !isLeaseRecordDue(now)) {
        return;
    }
    leaseRecordOld = false;
    leaseRecordCheckedAt = now;
    roster.write(hosts, leaseRecord(false, now), guarded([this] {
                     dispatcher.fleet.recordedTasks = roster.recordedTasks();
                     openLinks();
                     const TimePoint now = bootClockNow();
                     for (auto &[id, link] : links) {
                         const FleetHost *const host = findHost(dispatcher.fleet, id);
                         // The host has answered while its lease could not be extended.
                         if (host != nullptr && !host->reachable && link.failures == 0 && link.clock
                             && !link.renewing) {
                             sendRenewal(link, milliseconds(0), now);
                         }
                     }
                     schedulePlan();
                 }));
    dispatcher.fleet.recordedTasks = roster.recordedTasks();
}

bool FleetHolder::Impl::isLeaseRecordDue(TimePoint now) const
{
    const auto runs = static_cast<std::int64_t>(dispatcher.fleet.recordedTasks.size());
    return now - leaseRecordCheckedAt >= minLeaseRecordPeriod + runs * leaseRecordPeriodPerRun;
}

/// Returns whether a task in the lease record has no run any more and waits for another record.
bool FleetHolder::Impl::hasWaitingRecordedTask() const
{
    const auto &tasks = dispatcher.fleet.recordedTasks;
    return std::any_of(tasks.begin(), tasks.end(), [this](const TaskKey &key) {
        const TaskRuntime *const task = findTask(dispatcher.fleet, key);
        return task != nullptr && task->phase == TaskPhase::Waiting;
    });
}

std::map<HostId, Endpoint> FleetHolder::Impl::rosterHosts() const
{
    std::map<HostId, Endpoint> hosts = listedHosts;
    for (const auto &[id, link] : links) {
        hosts.emplace(id, link.endpoint);
    }
    return hosts;
}

/// Returns whether the host may have runs of an earlier holder that this one does not know.
bool FleetHolder::Impl::isUnknown(const HostId &id) const
{
    const auto it = inheritedHosts.find(id);
    if (recoveryFinished || it == inheritedHosts.end() || it->second.runs) {
        return false;
    }
    const auto host = dispatcher.fleet.hosts.find(id);
    return host == dispatcher.fleet.hosts.end() || !host->second.reported;
}

/// Returns the hosts of earlier holders that have not reported to this one; nullopt if there are
/// none or recovery has finished.
std::optional<LostHosts> FleetHolder::Impl::lostHosts() const
{
    const auto unknown = static_cast<std::size_t>(
        std::count_if(inheritedHosts.begin(), inheritedHosts.end(),
                      [this](const auto &entry) { return isUnknown(entry.first); }));
    const std::size_t count = unknown + unknownHostsRemoved;
    return recoveryFinished || !recoveringSince || count == 0
               ? std::nullopt
               : std::optional(LostHosts{.count = count, .since = *recoveringSince});
}

/// Returns what is known of the leases; if @p stopped, of all leases, otherwise of those that this
/// holder does not extend.
internal::LeaseRecord FleetHolder::Impl::leaseRecord(bool stopped, TimePoint now) const
{
    internal::LeaseRecord record{.epoch = options.epoch,
                                 .stopped = stopped,
                                 .sinceHeartbeat =
                                     std::chrono::ceil<milliseconds>(env.sinceHeartbeat())};
    if (!runsInherited) {
        return record;
    }
    const bool progressDurable = dispatcher.fleet.dirty.empty();
    for (const auto &[id, link] : links) {
        const auto host = dispatcher.fleet.hosts.find(id);
        if (host == dispatcher.fleet.hosts.end()
            || (!stopped && link.failures < failuresBeforeRecordOf(host->second))) {
            continue;
        }
        internal::HostLease &lease = record.hosts[id];
        lease.remaining =
            std::chrono::ceil<milliseconds>(std::max(link.leaseEnd - now, TimePoint::duration(0)));
        // The next holder starts tasks that are not listed, so the ends that this one has read have
        // to be durable.
        const bool endsDurable =
            stopped ? progressDurable : host->second.lastDurableEnd == host->second.lastSeenEnd;
        if (!isUnknown(id) && endsDurable) {
            lease.runs = host->second.runs;
        }
    }
    return record;
}

/// Adds the long-running tasks that wait for a restart and run nowhere.
void FleetHolder::Impl::addWaitingRestarts(internal::LeaseRecord &record, TimePoint now) const
{
    for (const JobRuntime *const job : dispatcher.fleet.liveJobs) {
        for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
            const std::vector<TaskRuntime> &tasks = job->steps[step].tasks;
            for (std::uint32_t n = 0; n < tasks.size() && job->spec.steps[step].longRunning; ++n) {
                const TaskRuntime &task = tasks[n];
                if (task.phase == TaskPhase::Waiting && task.run > 0
                    && (!job->inRecovery || task.accountedFor)) {
                    record.waiting[{.job = job->spec.id, .step = step, .index = n}] = {
                        .lastRun = task.run,
                        .waited = std::chrono::floor<milliseconds>(now - task.phaseSince),
                        .down = std::chrono::floor<milliseconds>(now - task.downSince)};
                }
            }
        }
    }
}

/// Stores for the next holder which runs may be on which hosts and until when, so that it need not
/// wait for hosts that are gone.
void FleetHolder::Impl::writeLastLeases(std::function<void()> done)
{
    const TimePoint now = bootClockNow();
    if (!runsInherited || !env.mayAct() || self.expired()) {
        done();
        return;
    }
    const auto doneOnce = [done = std::move(done), called = std::make_shared<bool>(false)] {
        if (!std::exchange(*called, true)) {
            done();
        }
    };
    internal::LeaseRecord record = leaseRecord(true, now);
    if (dispatcher.fleet.dirty.empty()) {
        addWaitingRestarts(record, now);
    }
    if (const auto lost = lostHosts()) {
        record.recovering = std::chrono::floor<milliseconds>(now - lost->since);
    }
    logEvent(EventId::LeasesHandedOver,
             {{"epoch", std::to_string(options.epoch)},
              {"hosts", std::to_string(record.hosts.size())},
              {"waiting_restarts", std::to_string(record.waiting.size())},
              {"unreachable", std::to_string(std::count_if(
                                  links.begin(), links.end(),
                                  [](const auto &entry) { return entry.second.failures > 0; }))},
              {"progress_durable", dispatcher.fleet.dirty.empty() ? "yes" : "no"}});
    roster.writeLast(rosterHosts(), std::move(record), doneOnce);
    env.loop.postAfter(lastWriteTimeout, doneOnce);
}

void FleetHolder::Impl::updateHost(const HostRecord &record)
{
    FleetHost &host = dispatcher.fleet.hosts[record.host];
    host.id = record.host;
    host.failureDomain = record.failureDomain;
    host.service = record.service;
    host.labels = {record.labels.begin(), record.labels.end()};
    host.rack = record.rack;
    host.capacity = record.capacity;
    host.leaving = record.condition == HostCondition::Leaving;
    host.listed = true;
    const auto it = links.find(record.host);
    if (it != links.end()) {
        it->second.endpoint = record.endpoint;
    }
}

void FleetHolder::Impl::removeUnlistedHosts(TimePoint now)
{
    for (auto it = links.begin(); it != links.end();) {
        const FleetHost *const host = findHost(dispatcher.fleet, it->first);
        const bool gone = host == nullptr
                          || (!host->listed && !host->reachable && it->second.failures > 0
                              && now >= it->second.leaseEnd);
        if (!gone || !loaded) {
            ++it;
            continue;
        }
        declareRunsLost(dispatcher, it->first,
                        "the host is not in the host list any more and its lease has expired", now);
        minTokenCounter = std::max(minTokenCounter, it->second.tokenCounter + 1);
        unknownHostsRemoved += isUnknown(it->first) ? 1 : 0;
        dispatcher.fleet.hosts.erase(it->first);
        inheritedHosts.erase(it->first);
        it = links.erase(it);
    }
}

bool FleetHolder::Impl::isListed(const HostId &id) const
{
    const auto it = dispatcher.fleet.hosts.find(id);
    return it != dispatcher.fleet.hosts.end() && it->second.listed;
}

/// Determines until when the hosts of the stored roster may hold leases of the previous holder.
void FleetHolder::Impl::onRosterRead()
{
    const TimePoint now = bootClockNow();
    const internal::LeaseRecord &record = roster.inheritedLeases();
    const bool usable = record.epoch + 1 == options.epoch;
    const TimePoint stoppedAt = options.previous.stoppedAt;
    const TimePoint recordMadeBy =
        std::min(stoppedAt, options.previous.heartbeatSeenAt.value_or(stoppedAt)
                                + remainingHere(record.sinceHeartbeat));
    std::size_t unknown = 0;
    for (const auto &[id, endpoint] : roster.inheritedHosts()) {
        TimePoint leaseEnd = stoppedAt + maxLeaseDuration(options.lease);
        std::optional<internal::HostRuns> runs;
        const auto lease = record.hosts.find(id);
        if (usable && lease != record.hosts.end()) {
            const TimePoint recordedEnd = recordMadeBy + remainingHere(lease->second.remaining);
            // A host that executed a call for its former incarnation may have a longer lease.
            const bool extended = lease->second.remaining > maxLeaseDuration(options.lease);
            leaseEnd = extended ? recordedEnd : std::min(leaseEnd, recordedEnd);
            runs = lease->second.runs;
        } else if (usable && record.stopped) {
            leaseEnd = now;
            runs.emplace();
        }
        unknown += runs ? 0 : 1;
        inheritedHosts[id] = {.leaseEnd = leaseEnd, .runs = std::move(runs)};
    }
    if (!usable || !record.stopped) {
        recoveringSince = std::min(stoppedAt, options.previous.heartbeatSeenAt.value_or(stoppedAt));
    } else if (record.recovering) {
        recoveringSince = recordMadeBy - *record.recovering;
    }
    if (usable && record.stopped) {
        for (const auto &[key, task] : record.waiting) {
            inheritedWaits[key] = {.lastRun = task.lastRun,
                                   .since = recordMadeBy - task.waited,
                                   .downSince = recordMadeBy - task.down};
        }
    }
    if (options.epoch > 1) {
        logEvent(EventId::LeasesInherited,
                 {{"epoch", std::to_string(options.epoch)},
                  {"record_epoch", std::to_string(record.epoch)},
                  {"planned_stop", usable && record.stopped ? "yes" : "no"},
                  {"hosts", std::to_string(inheritedHosts.size())},
                  {"hosts_with_unknown_runs", std::to_string(unknown)},
                  {"waiting_restarts", std::to_string(inheritedWaits.size())}});
    }
    inheritRuns(now);
    openLinks();
}

/// Takes over the runs in the previous holder's lease record, once the jobs are known as well and
/// before any report is applied.
void FleetHolder::Impl::inheritRuns(TimePoint now)
{
    if (runsInherited || !loaded || !roster.isRead()) {
        return;
    }
    runsInherited = true;
    for (const auto &[key, task] : inheritedWaits) {
        inheritWait(dispatcher, key, task.lastRun, task.since, task.downSince);
    }
    inheritedWaits.clear();
    for (auto &[id, inherited] : inheritedHosts) {
        dispatcher.fleet.hosts[id].id = id;
        if (inherited.runs) {
            // The host answered when the previous holder last extended its lease.
            const TimePoint lastPresentAt =
                std::min(inherited.leaseEnd - maxLeaseDuration(options.lease), now);
            for (const auto &[task, run] : *inherited.runs) {
                inheritRun(dispatcher, id, task, run, lastPresentAt, now);
            }
            inherited.runs->clear();
        }
    }
}

/// Opens links, and so grants leases, only to hosts in the stored roster, where a later holder
/// finds them.
void FleetHolder::Impl::openLinks()
{
    const TimePoint now = bootClockNow();
    for (const auto &[id, endpoint] : roster.durableHosts()) {
        const auto inherited = inheritedHosts.find(id);
        if (links.contains(id) || (inherited == inheritedHosts.end() && !isListed(id))) {
            continue;
        }
        dispatcher.fleet.hosts[id].id = id;
        HostLink &link = links[id];
        link.id = id;
        link.endpoint = endpoint;
        link.tokenCounter = minTokenCounter;
        link.leaseEnd = inherited == inheritedHosts.end() ? now : inherited->second.leaseEnd;
        sendRenewal(link, milliseconds(0), now);
    }
}

void FleetHolder::Impl::tryFinishRecovery(TimePoint now)
{
    if (recoveryFinished || !runsInherited) {
        return;
    }
    // A host may be left out without a report only if it does not answer and its lease has expired.
    // A host that answers keeps its lease, and the ended runs that it lists have to be processed
    // before their tasks may start again.
    const auto awaited =
        std::find_if(inheritedHosts.begin(), inheritedHosts.end(), [this, now](const auto &entry) {
            const auto link = links.find(entry.first);
            return isUnknown(entry.first) && link != links.end()
                   && (link->second.failures == 0 || now < link->second.leaseEnd);
        });
    // While this holder may not act, other daemons store cancellations instead of sending them, so
    // the wait for the latest changes starts again.
    if (awaited != inheritedHosts.end() || !env.mayAct()) {
        allHostsKnownAt.reset();
    } else if (!allHostsKnownAt) {
        allHostsKnownAt = now;
    }
    if (options.epoch > 1 && !(allHostsKnownAt && ensureJobChangesRead(*allHostsKnownAt, now))) {
        return;
    }
    const std::optional<LostHosts> lost = lostHosts();
    endRecovery(dispatcher, lost);
    recoveryFinished = true;
    if (options.epoch > 1) {
        logEvent(
            EventId::RecoveryFinished,
            {{"epoch", std::to_string(options.epoch)},
             {"lost_hosts", std::to_string(lost ? lost->count : 0)},
             {"waited_ms",
              std::to_string(std::chrono::duration_cast<milliseconds>(now - startedAt).count())}});
    }
    schedulePlan();
}

/// Returns whether the job changes stored before @p moment have been read, or the time to wait for
/// them is over. Otherwise starts a read, unless one is in progress or scheduled for a retry.
bool FleetHolder::Impl::ensureJobChangesRead(TimePoint moment, TimePoint now)
{
    if (jobChangesReadAt >= moment) {
        return true;
    }
    if (now - moment >= options.catchUpTimeout) {
        logEvent(EventId::PlatformUnreachable,
                 {{"reason",
                   "job changes not read in time; tasks start without the latest cancellations"}});
        return true;
    }
    if (!readingJobChanges && !jobChangesReadFailed) {
        readJobChanges();
    }
    return false;
}

void FleetHolder::Impl::sendRenewal(HostLink &link, milliseconds wait, TimePoint now)
{
    if (!env.mayAct() || finishing) {
        link.nextRenewalAt = now + options.renewalRetryDelay;
        return;
    }
    RenewalCall renewal{.wait = wait};
    const FleetHost *const host = findHost(dispatcher.fleet, link.id);
    // Each ended run is acknowledged only once: a host that has restarted numbers its ended runs
    // from 1 again, so a repeated acknowledgement could make it delete runs that ended after the
    // restart and that the holder has not read.
    if (host != nullptr && hasUnacknowledgedEnds(link, *host)) {
        if (link.clock && now - link.clock->readAt <= maxReportAge) {
            renewal.acknowledged = host->lastDurableEnd;
        } else {
            // The host may have restarted since its last report; acknowledge after the next one.
            renewal.wait = milliseconds(0);
        }
    }
    // The lease of a host that does not answer is not extended; otherwise its runs could never be
    // declared lost.
    if (link.failures == 0 && roster.mayExtendLease(link.id)) {
        renewal.leaseUntil = internal::leaseUntil(link, options.lease, now);
    }
    if (renewal.leaseUntil) {
        link.leaseEnd = std::max(link.leaseEnd, now + maxLeaseDuration(options.lease));
    }
    link.renewing = true;
    link.renewedAt = now;
    const std::uint64_t sequence = ++link.sequence;
    const HostCall call = callFor(link);
    env.hosts.renewLease(
        call, renewal,
        guarded([this, id = link.id, sequence, token = call.token,
                 acknowledged = renewal.acknowledged, now](const Result<HostReport> &report) {
            const auto it = links.find(id);
            if (report && it != links.end() && sequence == it->second.sequence) {
                it->second.acknowledgedEnd = std::max(it->second.acknowledgedEnd, acknowledged);
            }
            onReport(id, sequence, token, now, report);
        }));
}

void FleetHolder::Impl::onReport(const HostId &id, std::uint64_t sequence, std::uint64_t token,
                                 TimePoint sentAt, const Result<HostReport> &report)
{
    const auto it = links.find(id);
    FleetHost *const host = findHost(dispatcher.fleet, id);
    if (it == links.end() || host == nullptr || sequence != it->second.sequence) {
        return;
    }
    HostLink &link = it->second;
    const TimePoint now = bootClockNow();
    link.renewing = false;
    if (!report) {
        onRenewalFailed(link, *host, report.error(), now);
        return;
    }
    const bool wasUnreachable = std::exchange(link.failures, 0) > 0;
    const bool mayExtendLease = roster.mayExtendLease(id);
    if (!host->reachable && wasUnreachable) {
        logEvent(EventId::HostReachable, {{"host", id.value}});
    }
    // Nothing starts on the host before its lease may be extended.
    host->reachable = mayExtendLease;
    leaseRecordOld = leaseRecordOld || !mayExtendLease;
    if (report->bootedAt && host->bootedAt && *report->bootedAt != *host->bootedAt) {
        onHostRestarted(link, *host, *report, now);
    }
    host->bootedAt = report->bootedAt;
    // A renewal grants no lease if the host's clock is not known or the host did not answer the one
    // before. Another renewal, with a lease, then follows immediately.
    const bool leaseNotGranted = !link.clock || wasUnreachable;
    link.clock = internal::HostClock{.reading = report->hostClock, .readAt = now};
    if (loaded) {
        const bool hasNewestToken = token == internal::fencingToken(options.epoch, link);
        applyReport(dispatcher, id, *report, sentAt, hasNewestToken, now);
        link.hasUnansweredOrder = link.hasUnansweredOrder && !(hasNewestToken && report->complete);
        noteCompleteness(link, *report);
    }
    if (!mayExtendLease) {
        // The next renewal follows the write that removes the host from the lease record.
        link.nextRenewalAt = now + options.renewalRetryDelay;
        scheduleFollowUps();
        return;
    }
    if (leaseNotGranted || !loaded) {
        if (leaseNotGranted) {
            sendRenewal(link, milliseconds(0), now);
        }
        scheduleFollowUps();
        return;
    }
    scheduleFollowUps();
    startNextRenewal(link, now);
}

void FleetHolder::Impl::noteCompleteness(HostLink &link, const HostReport &report)
{
    const bool changed = link.hasMoreEnds == report.complete;
    link.hasMoreEnds = !report.complete;
    if (changed) {
        logEvent(
            EventId::HostReportIncomplete,
            {{"host", link.id.value},
             {"complete", report.complete ? "yes" : "no"},
             {"active", std::to_string(report.active.size())},
             {"ended", std::to_string(report.ended.size())},
             {"last_end", std::to_string(report.ended.empty() ? 0 : report.ended.back().number)}});
    }
}

void FleetHolder::Impl::onRenewalFailed(HostLink &link, FleetHost &host, const Error &error,
                                        TimePoint now)
{
    if (error.code == ResultCode::StaleEpoch) {
        env.onFenced("host " + link.id.value + " has seen the token of a newer holder");
        return;
    }
    link.nextRenewalAt = now + options.renewalRetryDelay;
    if (error.code == ResultCode::NotHandedOver) {
        // Not sent because earlier renewals wait at the host, which says nothing about the host.
        return;
    }
    ++link.failures;
    leaseRecordOld = leaseRecordOld || link.failures <= failuresBeforeRecord;
    if (error.code == ResultCode::HostReplaced && now < link.leaseEnd) {
        // Nothing runs on a host that is gone, so that its lease need not be waited for. Its runs
        // are declared lost in the next tick.
        link.leaseEnd = now;
    }
    if (std::exchange(host.reachable, false) || link.failures == 1) {
        logEvent(EventId::HostUnreachable, {{"host", link.id.value}, {"reason", error.message}});
    }
}

/// Resets what is known about a host that has restarted. Its runs are updated by the next report
/// only, because the host may have executed a start order after the restart already.
void FleetHolder::Impl::onHostRestarted(HostLink &link, FleetHost &host, const HostReport &report,
                                        TimePoint now) const
{
    // Calls for the former incarnation are not executed by this one. If one was nevertheless, its
    // lease on the clock of the former incarnation was shortened to the longest that hosts grant.
    const std::size_t runs = report.active.size() + report.ended.size();
    if (runs > 0) {
        link.leaseEnd = std::max(link.leaseEnd, now + maxLeaseDuration(options.maxHostLease));
    }
    env.metrics.count("fleet_host_restarts_total", {});
    logEvent(EventId::HostRestarted,
             {{"host", link.id.value},
              {"former_boot_ms", std::to_string(host.bootedAt->count())},
              {"boot_ms", std::to_string(report.bootedAt->count())},
              {"lost_runs", std::to_string(host.runs.size())},
              {"runs_of_former_calls", std::to_string(runs)},
              {"lease_ms",
               std::to_string(std::chrono::ceil<milliseconds>(link.leaseEnd - now).count())}});
    host.lastSeenEnd = 0;
    host.lastDurableEnd = 0;
    link.acknowledgedEnd = 0;
    host.reported = false;
    // Orders that were sent before the restart and arrive late must not take effect.
    ++link.tokenCounter;
    link.clock.reset();
}

void FleetHolder::Impl::startNextRenewal(HostLink &link, TimePoint now)
{
    const FleetHost *const host = findHost(dispatcher.fleet, link.id);
    if (host == nullptr || link.renewing) {
        return;
    }
    if (link.hasUnansweredOrder && !link.hasMoreEnds) {
        sendRenewal(link, milliseconds(0), now);
        return;
    }
    if (host->lastSeenEnd > host->lastDurableEnd && !hasUnacknowledgedEnds(link, *host)) {
        // The ended runs are still being written; the host would answer immediately and report
        // them again, and none beyond them.
        link.nextRenewalAt = now + options.renewalRetryDelay;
        return;
    }
    const bool sharedHost = host->servingMilliCores > 0 && host->backfillMilliCores > 0;
    const milliseconds waitWhileRunning =
        sharedHost ? options.sharedRenewalWait : options.renewalWait;
    sendRenewal(link, host->runs.empty() ? idleRenewalWait : waitWhileRunning, now);
}

void FleetHolder::Impl::onDurable()
{
    const TimePoint now = bootClockNow();
    for (auto &[id, link] : links) {
        const FleetHost *const host = findHost(dispatcher.fleet, id);
        if (host != nullptr && link.clock && host->reachable && !link.renewing) {
            startNextRenewal(link, now);
        }
    }
}

void FleetHolder::Impl::scheduleFollowUps()
{
    internal::logDispatchEvents(dispatcher, env.metrics);
    writer.scheduleFlush();
    tryFinishRecovery(bootClockNow());
    schedulePlan();
}

void FleetHolder::Impl::schedulePlan()
{
    // Before start() no callback can be bound to this holder, and after stop() nothing may be
    // planned.
    if (self.expired() || std::exchange(planScheduled, true)) {
        return;
    }
    env.loop.postAfter(options.planDelay, guarded([this, due = bootClockNow() + options.planDelay] {
                           planScheduled = false;
                           rounds.maxStartDelay =
                               std::max(rounds.maxStartDelay, bootClockNow() - due);
                           planNow();
                       }));
}

void FleetHolder::Impl::planNow()
{
    if (!loaded || finishing || !env.mayAct()) {
        return;
    }
    const TimePoint now = bootClockNow();
    if (const bool old = isHostListOld(dispatcher, now); old != std::exchange(hostListOld, old)) {
        logEvent(old ? EventId::PlatformUnreachable : EventId::PlatformReachable,
                 {{"reason", old ? "the host list is too old to start tasks"
                                 : "the host list is up to date again"}});
    }
    const Orders orders = plan(dispatcher, now);
    const Duration took = bootClockNow() - now;
    env.metrics.observe("fleet_round_seconds", {}, took);
    ++rounds.rounds;
    rounds.total += took;
    rounds.longestRound = std::max(rounds.longestRound, took);
    for (const StopRun &order : orders.stops) {
        sendStop(order);
    }
    for (const StartRun &order : orders.starts) {
        sendStart(order, now);
    }
    for (const PaceRun &order : orders.paces) {
        sendPace(order);
    }
}

void FleetHolder::Impl::sendStart(const StartRun &order, TimePoint now)
{
    const auto it = links.find(order.host);
    const auto leaseUntil =
        it == links.end() ? std::nullopt : internal::leaseUntil(it->second, options.lease, now);
    if (!leaseUntil) {
        applyStartOutcome(dispatcher, order, StartOutcome::Unhealthy, now);
        return;
    }
    HostLink &link = it->second;
    link.leaseEnd = std::max(link.leaseEnd, now + maxLeaseDuration(options.lease));
    env.metrics.count("fleet_starts_total", {});
    env.metrics.observe("fleet_start_wait_seconds", {}, order.waited);
    const FleetHost *const host = findHost(dispatcher.fleet, order.host);
    const bool avoided = host != nullptr && now < host->avoidUntil;
    logEvent(EventId::TaskOrdered,
             {{"job", order.task.job.value},
              {"task", describe(order.task)},
              {"run", std::to_string(order.run)},
              {"host", order.host.value},
              {"waited_ms",
               std::to_string(std::chrono::duration_cast<milliseconds>(order.waited).count())},
              {"host_avoided", avoided ? "yes" : "no"},
              {"resumed", order.checkpoint.empty() ? "no" : "yes"}});
    HostCall call = callFor(link);
    call.timeout = std::min(options.startTimeout, options.hostTimeout);
    unansweredOrders[++lastOrder] = now;
    env.hosts.startRun(call, order, *leaseUntil,
                       guarded([this, order, now, orderNumber = lastOrder](
                                   StartOutcome outcome, const std::string &detail) {
                           unansweredOrders.erase(orderNumber);
                           const TimePoint answeredAt = bootClockNow();
                           env.metrics.count("fleet_start_outcomes_total",
                                             {{"outcome", std::string(startOutcomeName(outcome))}});
                           env.metrics.observe("fleet_start_answer_seconds", {}, answeredAt - now);
                           if (outcome != StartOutcome::Started) {
                               logEvent(EventId::TaskNotStarted,
                                        {{"job", order.task.job.value},
                                         {"task", describe(order.task)},
                                         {"run", std::to_string(order.run)},
                                         {"host", order.host.value},
                                         {"outcome", std::string(startOutcomeName(outcome))},
                                         {"detail", detail}});
                           }
                           applyStartOutcome(dispatcher, order, outcome, answeredAt);
                           const auto found = links.find(order.host);
                           if (outcome == StartOutcome::Fenced && found != links.end()) {
                               // The host has seen a higher token. If it is this holder's own, only
                               // the order is void; the answer to a renewal shows whether it is
                               // that of a newer holder.
                               sendRenewal(found->second, milliseconds(0), answeredAt);
                           }
                           if (outcome == StartOutcome::HostRestarted && found != links.end()
                               && found->second.renewedAt <= now) {
                               // The renewal in progress waits for the former incarnation.
                               sendRenewal(found->second, milliseconds(0), answeredAt);
                           }
                           if (outcome == StartOutcome::Unknown && found != links.end()) {
                               ++found->second.tokenCounter;
                               found->second.hasUnansweredOrder = true;
                               sendRenewal(found->second, milliseconds(0), answeredAt);
                           }
                           if (outcome != StartOutcome::Started) {
                               schedulePlan();
                           }
                       }));
}

void FleetHolder::Impl::sendStop(const StopRun &order)
{
    const auto it = links.find(order.host);
    if (it == links.end()) {
        return;
    }
    env.hosts.stopRun(callFor(it->second), order, [](const Result<void> &) {
        // Errors are ignored: the order is repeated until the host reports the run as ended.
    });
}

void FleetHolder::Impl::sendPace(const PaceRun &order)
{
    const auto it = links.find(order.host);
    if (it == links.end()) {
        return;
    }
    logEvent(EventId::TaskPaced, {{"job", order.task.job.value},
                                  {"task", describe(order.task)},
                                  {"host", order.host.value},
                                  {"percent", std::to_string(order.percent)}});
    env.hosts.paceRun(callFor(it->second), order,
                      guarded([this, order](const Result<void> &result) {
                          TaskRuntime *const task = findTask(dispatcher.fleet, order.task);
                          if (!result && task != nullptr && task->run == order.run) {
                              task->pace = unknownPace;
                          }
                      }));
}

void FleetHolder::Impl::tick()
{
    const TimePoint now = bootClockNow();
    if (env.mayAct() && !finishing) {
        for (auto &[id, link] : links) {
            FleetHost *const host = findHost(dispatcher.fleet, id);
            if (host == nullptr) {
                continue;
            }
            if (!host->reachable && link.failures > 0 && now >= link.leaseEnd && runsInherited) {
                declareRunsLost(dispatcher, id,
                                "the host does not answer and its lease has expired", now);
            }
            if (!link.renewing && now >= link.nextRenewalAt) {
                sendRenewal(link, milliseconds(0), now);
            }
        }
        if (isLeaseRecordDue(now) && (leaseRecordOld || hasWaitingRecordedTask())) {
            writeRoster();
        }
        cleanUp(now);
        scheduleFollowUps();
    }
    tryFinishRecovery(now);
    env.loop.postAfter(options.tickEvery, guarded([this] { tick(); }));
}

void FleetHolder::Impl::reportStatus()
{
    internal::logStatus(dispatcher.fleet, view(), rounds, bootClockNow());
    env.loop.postAfter(options.statusEvery, guarded([this] { reportStatus(); }));
}

void FleetHolder::Impl::reportWaits()
{
    if (loaded && env.mayAct()) {
        internal::logWaits(dispatcher, env.metrics, bootClockNow());
    }
    env.loop.postAfter(options.reportWaitsEvery, guarded([this] { reportWaits(); }));
}

/// Reads the interference model that the previous holder stored. Nothing waits for it: without it
/// the model is learned again.
void FleetHolder::Impl::readModel()
{
    env.platform.readTable(
        modelTable, guarded([this](const Result<RowSnapshot> &snapshot) {
            Result<void> decoded;
            if (!snapshot) {
                decoded = tl::unexpected<Error>(snapshot.error());
            } else if (!snapshot->rows.empty()) {
                decoded = decodeModel(snapshot->rows.front().value, dispatcher.fleet.interference);
            }
            if (!decoded) {
                logEvent(EventId::RowIgnored,
                         {{"row", modelKey}, {"reason", decoded.error().message}});
            }
        }));
}

void FleetHolder::Impl::storeModel()
{
    if (env.mayAct() && !finishing && !dispatcher.fleet.interference.imageIds.empty()) {
        // No version check: if a late write of an earlier holder replaces the row, its model is as
        // good as a newer one.
        env.platform.commit({.puts = {{modelKey, encodeModel(dispatcher.fleet.interference)}}},
                            [](const Result<CommitVersions> &) {
                                // Errors are ignored: the next write follows within seconds.
                            });
    }
    env.loop.postAfter(options.storeModelEvery, guarded([this] { storeModel(); }));
}

void FleetHolder::Impl::readJobChanges()
{
    readingJobChanges = true;
    ++jobChangesTimer;
    env.platform.changes(
        jobTable, jobsVersion, Duration(0),
        guarded([this, sentAt = bootClockNow()](const Result<RowChanges> &changes) {
            onJobChanges(changes, sentAt);
        }));
}

void FleetHolder::Impl::readJobChangesAfter(Duration delay)
{
    readingJobChanges = false;
    env.loop.postAfter(delay, guarded([this, timer = ++jobChangesTimer] {
                           if (timer == jobChangesTimer) {
                               readJobChanges();
                           }
                       }));
}

void FleetHolder::Impl::onJobChanges(const Result<RowChanges> &changes, TimePoint sentAt)
{
    if (!changes && changes.error().code == ResultCode::HistoryLost) {
        // Reads both tables: the job table may still contain jobs that have ended and that this
        // holder has already removed from memory.
        readTables(
            [this, sentAt](const Result<RowSnapshot> &jobs, const Result<RowSnapshot> &progress) {
                onJobTables(jobs, progress, sentAt);
            });
        return;
    }
    if (!changes) {
        onJobChangesReadFailed(changes.error());
        return;
    }
    for (const RowChange &change : changes->rows) {
        if (!change.deleted) {
            applyJobRow(change.key, change.value);
        }
    }
    if (!changes->complete) {
        if (changes->version
            > std::exchange(jobsVersion, std::max(jobsVersion, changes->version))) {
            readJobChanges();
        } else {
            readJobChangesAfter(readRetryDelay);
        }
        return;
    }
    onJobChangesRead(changes->version, sentAt);
}

void FleetHolder::Impl::onJobTables(const Result<RowSnapshot> &jobs,
                                    const Result<RowSnapshot> &progress, TimePoint sentAt)
{
    if (!jobs || !progress) {
        onJobChangesReadFailed(jobs ? progress.error() : jobs.error());
        return;
    }
    addStoredJobs(*jobs, *progress, bootClockNow());
    onJobChangesRead(jobs->version, sentAt);
}

void FleetHolder::Impl::onJobChangesRead(std::uint64_t version, TimePoint sentAt)
{
    jobsVersion = std::max(jobsVersion, version);
    jobChangesReadAt = sentAt;
    if (std::exchange(jobChangesReadFailed, false)) {
        logEvent(EventId::PlatformReachable,
                 {{"reason", "new jobs and cancellations can be read again"}});
    }
    readJobChangesAfter(options.readJobsEvery);
    scheduleFollowUps();
}

void FleetHolder::Impl::onJobChangesReadFailed(const Error &error)
{
    if (!std::exchange(jobChangesReadFailed, true)) {
        logEvent(EventId::PlatformUnreachable,
                 {{"reason", "new jobs and cancellations cannot be read: " + error.message}});
    }
    readJobChangesAfter(readRetryDelay);
}

void FleetHolder::Impl::applyJobRow(const std::string &key, const std::string &value)
{
    const TimePoint now = bootClockNow();
    auto job = decodeJobRow(key, value);
    if (job) {
        JobProgress empty = emptyProgress(*job);
        addJob(dispatcher, std::move(*job), std::move(empty), 0, false, now);
        return;
    }
    if (isTombstone(value)) {
        tombstoneSeenAt.try_emplace({key.substr(jobRowKey({}).size())}, now);
        return;
    }
    // The value of a cancellation row is the job's id.
    if (key == cancelRowKey({value})) {
        cancelJob(dispatcher, {value}, now);
        return;
    }
    logEvent(EventId::RowIgnored, {{"row", key}, {"reason", job.error().message}});
}

void FleetHolder::Impl::cleanUp(TimePoint now)
{
    std::erase_if(offers, [&](const auto &entry) {
        return now - entry.second.firstAt >= options.rejectedJobRetention;
    });
    std::vector<JobId> &ended = dispatcher.fleet.ended;
    std::vector<JobId> old;
    for (const JobId &id : ended) {
        const JobRuntime *const job = findJob(dispatcher.fleet, id);
        const bool isRemovable = job != nullptr && now - job->endedAt >= options.endedJobRetention
                                 && !dispatcher.fleet.stoppingJobs.contains(id)
                                 && !dispatcher.fleet.dirty.contains(id);
        if (!isRemovable || old.size() >= maxJobsPerCleanup) {
            break;
        }
        old.push_back(id);
    }
    ended.erase(ended.begin(), ended.begin() + static_cast<std::ptrdiff_t>(old.size()));
    std::erase_if(tombstoneSeenAt, [&](const auto &entry) {
        const bool isRemovable =
            now - entry.second >= options.endedJobRetention && old.size() < maxJobsPerCleanup;
        if (isRemovable) {
            old.push_back(entry.first);
        }
        return isRemovable;
    });
    if (old.empty()) {
        return;
    }
    std::map<std::string, std::vector<JobId>> byPartition;
    for (const JobId &id : old) {
        byPartition[env.platform.partitionOf ? env.platform.partitionOf(jobRowKey(id))
                                             : std::string()]
            .push_back(id);
        dispatcher.fleet.jobs.erase(id);
    }
    const auto removal =
        std::make_shared<JobRemoval>(JobRemoval{.partitionsInFlight = byPartition.size()});
    for (const auto &[partition, jobs] : byPartition) {
        removeJobs(jobs, removal);
    }
}

void FleetHolder::Impl::removeJobs(const std::vector<JobId> &jobs,
                                   const std::shared_ptr<JobRemoval> &removal)
{
    Transaction transaction;
    for (const JobId &id : jobs) {
        transaction.deletes.push_back(jobRowKey(id));
        transaction.deletes.push_back(cancelRowKey(id));
    }
    env.platform.commit(std::move(transaction),
                        guarded([this, jobs, removal](const Result<CommitVersions> &result) {
                            logRemovalFailure(result);
                            std::vector<std::string> &progressKeys = removal->progressRows.deletes;
                            if (result) {
                                std::transform(jobs.begin(), jobs.end(),
                                               std::back_inserter(progressKeys), &progressRowKey);
                            }
                            if (--removal->partitionsInFlight == 0 && !progressKeys.empty()) {
                                env.platform.commit(removal->progressRows, &logRemovalFailure);
                            }
                        }));
}

FleetHolder::FleetHolder(FleetHolderEnvironment environment, FleetHolderOptions options)
    : m_impl(std::make_unique<Impl>(std::move(environment), options))
{
}

FleetHolder::~FleetHolder() = default;

void FleetHolder::start()
{
    m_impl->self = weak_from_this();
    m_impl->roster.read(m_impl->guarded([impl = m_impl.get()] { impl->onRosterRead(); }));
    m_impl->readState();
    m_impl->listHosts();
    m_impl->tick();
    m_impl->reportStatus();
    m_impl->reportWaits();
    m_impl->readModel();
    m_impl->env.loop.postAfter(m_impl->options.storeModelEvery,
                               m_impl->guarded([impl = m_impl.get()] { impl->storeModel(); }));
}

void FleetHolder::stop()
{
    m_impl->finishing = true;
    m_impl->self.reset();
    m_impl->roster.stop();
    m_impl->writer.stop();
    // The hosts' connections are needed by the next holder.
    m_impl->env.hosts.close();
}

void FleetHolder::finish(std::function<void()> done)
{
    m_impl->finishing = true;
    m_impl->writer.finish([impl = m_impl.get(), done = std::move(done)]() mutable {
        impl->writeLastLeases(std::move(done));
    });
}

AdmissionDecision FleetHolder::offer(const JobSpec &job)
{
    Impl &impl = *m_impl;
    // A former holder does not know the present load.
    if (!impl.loaded || impl.finishing || !impl.env.mayAct()) {
        return {};
    }
    const TimePoint now = bootClockNow();
    Offer &offer = impl.offers.try_emplace(job.id, Offer{.firstAt = now}).first->second;
    AdmissionDecision decision = decideAdmission(impl.dispatcher.fleet, job, offer.firstAt, now);
    // The write of a job that was admitted may still be in progress. A rejection would tell the
    // caller that the job never runs.
    decision.admitted = decision.admitted || offer.admitted;
    offer.admitted = decision.admitted;
    if (decision.cores > 0) {
        logEvent(EventId::JobOffered,
                 {{"job", job.id.value},
                  {"admitted", decision.admitted ? "yes" : "no"},
                  {"backlog_core_seconds",
                   std::to_string(static_cast<int>(decision.backlogCoreSeconds))},
                  {"cores", std::to_string(static_cast<int>(decision.cores))},
                  {"retry_after_ms", std::to_string(decision.retryAfter.count())}});
    }
    if (decision.admitted && !decision.stored) {
        impl.dispatcher.fleet.pendingJobWork[job.id] = backfillWork(job);
        impl.env.loop.postAfter(impl.options.offerValidity, impl.guarded([&impl, id = job.id] {
            impl.dispatcher.fleet.pendingJobWork.erase(id);
        }));
    }
    return decision;
}

void FleetHolder::addStoredJob(JobSpec job)
{
    if (!m_impl->loaded) {
        m_impl->jobsBeforeLoad.push_back(std::move(job));
        return;
    }
    JobProgress empty = emptyProgress(job);
    addJob(m_impl->dispatcher, std::move(job), std::move(empty), 0, false, bootClockNow());
    m_impl->schedulePlan();
}

void FleetHolder::setEvacuated(std::set<FailureDomainId> domains)
{
    m_impl->dispatcher.fleet.evacuated = std::move(domains);
    m_impl->schedulePlan();
}

void FleetHolder::queryState(const JobId &job, JobStateCallback callback)
{
    Impl &impl = *m_impl;
    if (!impl.loaded || impl.finishing) {
        callback(
            failure(ResultCode::PlatformUnavailable, "the holder is still recovering the shard"));
        return;
    }
    const JobRuntime *const runtime = findJob(impl.dispatcher.fleet, job);
    if (runtime == nullptr) {
        callback(failure(ResultCode::JobNotFound, "the holder does not know the job", job.value));
        return;
    }
    const JobState state = stateOf(*runtime);
    if (!isTerminal(state)) {
        callback(state);
        return;
    }
    impl.writer.whenDurable(job, [state, callback = std::move(callback)](bool durable) {
        if (durable) {
            callback(state);
        } else {
            callback(failure(ResultCode::PlatformUnavailable,
                             "the outcome of the job is not durable yet"));
        }
    });
}

void FleetHolder::cancel(const JobId &job, JobStateCallback callback)
{
    Impl &impl = *m_impl;
    const bool known =
        impl.loaded && !impl.finishing && cancelJob(impl.dispatcher, job, bootClockNow());
    if (known) {
        impl.scheduleFollowUps();
    }
    queryState(job, std::move(callback));
}

Result<std::size_t> FleetHolder::countPendingJobs(const std::string &queue)
{
    Impl &impl = *m_impl;
    Result<std::size_t> n = pendingJobs(impl.dispatcher, queue);
    if (const auto known = impl.checkKnowsAllJobs(); !known) {
        n = tl::unexpected<Error>(known.error());
    }
    impl.logCount(queue, n);
    return n;
}

Result<std::map<std::string, std::size_t>> FleetHolder::countPendingJobsByQueue() const
{
    if (const auto known = m_impl->checkKnowsAllJobs(); !known) {
        return tl::unexpected<Error>(known.error());
    }
    return pendingJobsByQueue(m_impl->dispatcher);
}

const Dispatcher &FleetHolder::dispatcher() const
{
    return m_impl->dispatcher;
}

} // namespace acaciadeal
