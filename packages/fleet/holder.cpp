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

/// Clocks of hosts may be 2% slow, so a lease lasts longer by ours; 3% with rounding.
constexpr double hostClockSlack = 1.03;
constexpr Duration lapseSlack = milliseconds(150);
/// Runs of one epoch are numbered within this range.
constexpr std::uint64_t runsPerEpoch = 100'000;
constexpr Duration readRetry = milliseconds(200);
/// Wait of renewals for hosts on which nothing runs; the hosts' limit is 2 s.
constexpr milliseconds idleRenewalWait{1900};
/// Age up to which an answer shows that a host is in the life that is known; twice the time in
/// which ends become durable. No host restarts and ends a task within it.
constexpr Duration freshAnswer = milliseconds(150);
constexpr std::size_t cleanupBatch = 20;
constexpr const char *modelTable = "model";
constexpr const char *modelKey = "model/main";

Duration lapseTime(milliseconds lease)
{
    return std::chrono::duration_cast<Duration>(lease * hostClockSlack) + lapseSlack;
}

/// Whether durable ends are to be acknowledged. A host that failed to answer may be in a new life.
bool owesAcknowledgement(const HostLink &link, const FleetHost &host)
{
    return link.failures == 0 && host.durableEnd > link.acknowledgedEnd;
}

/// Removal of ended jobs. The progress goes last: a job without it would run again under the next
/// holder.
struct Removal
{
    std::size_t partsInFlight = 0;
    Transaction progressRows;
};

void logRemoval(const Result<CommitVersions> &result)
{
    if (!result) {
        logEvent(EventId::WriteOutcomeUnknown,
                 {{"what", "removal of old jobs"}, {"reason", result.error().message}});
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
                          afterEvent();
                      }},
                 {.delay = options.flushDelay, .urgentDelay = options.urgentFlushDelay})
        , roster(env.platform, env.loop)
    {
        dispatcher.fleet.runBase = (options.epoch - 1) * runsPerEpoch;
    }

    using TablesCallback =
        std::function<void(const Result<RowSnapshot> &jobs, const Result<RowSnapshot> &progress)>;

    void readTables(TablesCallback done);
    void readState();
    void onTables(const Result<RowSnapshot> &jobs, const Result<RowSnapshot> &progress);
    void addStoredJobs(const RowSnapshot &jobs, const RowSnapshot &progress, TimePoint now);
    void listHosts();
    void onHosts(const Result<std::vector<HostRecord>> &hosts);
    void takeHost(const HostRecord &record);
    void dropUnlisted(TimePoint now);
    bool isListed(const HostId &id) const;
    void openLinks();
    void tryAccount(TimePoint now);
    bool hasCaughtUp(TimePoint moment, TimePoint now);

    void renew(HostLink &link, milliseconds wait, TimePoint now);
    void onReport(const HostId &id, std::uint64_t sequence, std::uint64_t token, TimePoint sentAt,
                  const Result<HostReport> &report);
    void onSilence(HostLink &link, FleetHost &host, const Error &error, TimePoint now);
    static void beginNewLife(HostLink &link, FleetHost &host);
    void renewNext(HostLink &link, TimePoint now);
    void onDurable();

    void planSoon();
    void planNow();
    void sendStart(const StartRun &order, TimePoint now);
    void sendStop(const StopRun &order);
    void sendPace(const PaceRun &order);
    void afterEvent();

    void tick();
    void reportStatus();
    void reportWaits();
    void readModel();
    void storeModel();
    void readNewJobs();
    void readNewJobsAfter(Duration delay);
    void onJobChanges(const Result<RowChanges> &changes, TimePoint sentAt);
    void onJobTables(const Result<RowSnapshot> &jobs, const Result<RowSnapshot> &progress,
                     TimePoint sentAt);
    void onNewJobsRead(std::uint64_t version, TimePoint sentAt);
    void onNewJobsUnread(const Error &error);
    void takeJobRow(const std::string &key, const std::string &value);
    void cleanUp(TimePoint now);
    void removeJobs(const std::vector<JobId> &jobs, const std::shared_ptr<Removal> &removal);

    HostCall callFor(const HostLink &link) const;
    template<typename Function>
    auto guarded(Function function);

    FleetHolderEnvironment env;
    FleetHolderOptions options;
    Dispatcher dispatcher;
    internal::ProgressWriter writer;
    internal::Roster roster;
    std::map<HostId, HostLink> links;
    /// First bump of a new link, above those of dropped ones: a host that comes back under its id
    /// remembers the highest token that it has seen.
    std::uint64_t bumpFloor = 0;
    std::vector<JobSpec> early;
    /// First arrival of jobs that were offered and are not stored.
    std::map<JobId, TimePoint> askedAt;
    std::uint64_t jobsVersion = 0;
    /// When the last successful read of changed jobs was sent: what was stored before is known.
    TimePoint newJobsReadAt;
    bool readingNewJobs = false;
    /// Whether the last read of changed jobs failed.
    bool newJobsUnread = false;
    /// Only the newest timer of the next read counts.
    std::uint64_t newJobsTimer = 0;
    /// During recovery: since when what runs on all hosts is known; unset while it is not.
    std::optional<TimePoint> allKnownAt;
    bool loaded = false;
    bool accounted = false;
    bool planScheduled = false;
    internal::RoundTimes rounds{.processorTime = std::clock()};
    bool hostListOld = false;
    bool finishing = false;
    std::weak_ptr<FleetHolder> self;
};

/// Wraps a callback so that it does nothing once the holder is gone or stopped.
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

HostCall FleetHolder::Impl::callFor(const HostLink &link) const
{
    return {.endpoint = link.endpoint,
            .host = link.id,
            .token = internal::tokenOf(options.epoch, link),
            .timeout = options.hostTimeout};
}

/// Reads the progress first. It is removed last, so a job whose row is read afterwards is not taken
/// for a new one because its progress was removed between the reads.
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
    readTables([this](const Result<RowSnapshot> &jobs, const Result<RowSnapshot> &progress) {
        onTables(jobs, progress);
    });
}

void FleetHolder::Impl::onTables(const Result<RowSnapshot> &jobs,
                                 const Result<RowSnapshot> &progress)
{
    if (!jobs || !progress) {
        env.loop.postAfter(readRetry, guarded([this] { readState(); }));
        return;
    }
    const TimePoint now = bootClockNow();
    addStoredJobs(*jobs, *progress, now);
    loaded = true;
    for (JobSpec &job : early) {
        JobProgress empty = emptyProgress(job);
        addJob(dispatcher, std::move(job), std::move(empty), 0, false, now);
    }
    early.clear();
    logEvent(EventId::ShardRecovered, {{"epoch", std::to_string(options.epoch)},
                                       {"jobs", std::to_string(dispatcher.fleet.jobs.size())},
                                       {"live", std::to_string(dispatcher.fleet.live.size())}});
    readNewJobsAfter(options.readJobsEvery);
    for (auto &[id, link] : links) {
        if (link.clock && !link.renewing) {
            renew(link, milliseconds(0), now);
        }
    }
    afterEvent();
}

/// Adds the jobs that are not known yet; the feed of jobs goes on from these rows.
void FleetHolder::Impl::addStoredJobs(const RowSnapshot &jobs, const RowSnapshot &progress,
                                      TimePoint now)
{
    std::vector<Error> ignored;
    for (StoredJob &job : joinJobRows(jobs.rows, progress.rows, ignored)) {
        const JobId id = job.spec.id;
        addJob(dispatcher, std::move(job.spec), std::move(job.progress), job.progressVersion,
               options.epoch > 1 && !accounted, now);
        if (job.cancelled) {
            cancelJob(dispatcher, id, now);
        }
    }
    for (const Error &error : ignored) {
        logEvent(EventId::RowIgnored, {{"row", error.where}, {"reason", error.message}});
    }
    jobsVersion = std::max(jobsVersion, jobs.version);
}

void FleetHolder::Impl::listHosts()
{
    env.platform.listHosts(
        guarded([this, sentAt = bootClockNow()](const Result<std::vector<HostRecord>> &hosts) {
            if (hosts && roster.isRead()) {
                dispatcher.fleet.hostsReadAt = sentAt;
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
    std::map<HostId, Endpoint> wanted;
    for (const HostRecord &record : *hosts) {
        takeHost(record);
        wanted[record.host] = record.endpoint;
    }
    dropUnlisted(bootClockNow());
    for (const auto &[id, link] : links) {
        wanted.emplace(id, link.endpoint);
    }
    for (const auto &[id, endpoint] : roster.inherited()) {
        if (!accounted) {
            wanted.emplace(id, endpoint);
        }
    }
    roster.write(wanted, guarded([this] { openLinks(); }));
    openLinks();
    planSoon();
}

void FleetHolder::Impl::takeHost(const HostRecord &record)
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

void FleetHolder::Impl::dropUnlisted(TimePoint now)
{
    for (auto it = links.begin(); it != links.end();) {
        const FleetHost *const host = findHost(dispatcher.fleet, it->first);
        const bool gone =
            host == nullptr || (!host->listed && !host->reachable && now >= it->second.leaseEnd);
        if (!gone || !accounted) {
            ++it;
            continue;
        }
        loseRuns(dispatcher, it->first, "the host left the list and its lease has lapsed", now);
        bumpFloor = std::max(bumpFloor, it->second.bump + 1);
        dispatcher.fleet.hosts.erase(it->first);
        it = links.erase(it);
    }
}

bool FleetHolder::Impl::isListed(const HostId &id) const
{
    const auto it = dispatcher.fleet.hosts.find(id);
    return it != dispatcher.fleet.hosts.end() && it->second.listed;
}

/// Renews leases only of hosts that a later holder would find in the roster.
void FleetHolder::Impl::openLinks()
{
    const TimePoint now = bootClockNow();
    for (const auto &[id, endpoint] : roster.durable()) {
        if (links.contains(id) || (accounted && !isListed(id))) {
            continue;
        }
        dispatcher.fleet.hosts[id].id = id;
        HostLink &link = links[id];
        link.id = id;
        link.endpoint = endpoint;
        link.bump = bumpFloor;
        link.leaseEnd =
            options.epoch > 1 ? options.previousStoppedAt + lapseTime(options.lease) : now;
        renew(link, milliseconds(0), now);
    }
}

void FleetHolder::Impl::tryAccount(TimePoint now)
{
    if (accounted || !loaded || !roster.isRead()) {
        return;
    }
    // A host that answers renewals keeps its lease, so only a silent one counts without a report:
    // the ends that others list have to be taken in before their tasks may start again.
    const auto &inherited = roster.inherited();
    const bool allKnown =
        std::all_of(inherited.begin(), inherited.end(), [this, now](const auto &entry) {
            const FleetHost *const host = findHost(dispatcher.fleet, entry.first);
            const auto link = links.find(entry.first);
            return link == links.end() || (host != nullptr && host->reported)
                   || (link->second.failures > 0 && now >= link->second.leaseEnd);
        });
    // While the holder may not act others store cancellations, so the wait begins anew.
    if (!allKnown || !env.mayAct()) {
        allKnownAt.reset();
    } else if (!allKnownAt) {
        allKnownAt = now;
    }
    if (options.epoch > 1 && !(allKnownAt && hasCaughtUp(*allKnownAt, now))) {
        return;
    }
    accounted = true;
    accountForAll(dispatcher);
    planSoon();
}

/// Returns whether cancellations that were stored before @p moment are taken in, and otherwise
/// makes sure that they are read.
bool FleetHolder::Impl::hasCaughtUp(TimePoint moment, TimePoint now)
{
    if (newJobsReadAt >= moment) {
        return true;
    }
    if (now - moment >= options.catchUpTimeout) {
        logEvent(EventId::PlatformUnreachable,
                 {{"reason", "tasks start without the newest cancellations"}});
        return true;
    }
    if (!readingNewJobs && !newJobsUnread) {
        readNewJobs();
    }
    return false;
}

void FleetHolder::Impl::renew(HostLink &link, milliseconds wait, TimePoint now)
{
    if (!env.mayAct() || finishing) {
        link.nextAt = now + options.hostRetry;
        return;
    }
    RenewalCall renewal{.wait = wait};
    const FleetHost *const host = findHost(dispatcher.fleet, link.id);
    // Each end is acknowledged once: a new life of the host counts its ends from 1, and would take
    // a repeated number for the acknowledgement of ends that nobody has read.
    if (host != nullptr && owesAcknowledgement(link, *host)) {
        if (link.clock && now - link.clock->readAt <= freshAnswer) {
            renewal.acknowledged = host->durableEnd;
        } else {
            // The host may have restarted since; the acknowledgement follows the answer.
            renewal.wait = milliseconds(0);
        }
    }
    // A silent host gets no further lease: its runs could never be given up otherwise.
    if (link.failures == 0) {
        renewal.leaseUntil = internal::leaseUntil(link, options.lease, now);
    }
    if (renewal.leaseUntil) {
        link.leaseEnd = std::max(link.leaseEnd, now + lapseTime(options.lease));
    }
    link.renewing = true;
    const std::uint64_t sequence = ++link.sequence;
    const HostCall call = callFor(link);
    env.hosts.renew(
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
        onSilence(link, *host, report.error(), now);
        return;
    }
    if (!std::exchange(host->reachable, true) && link.failures > 0) {
        logEvent(EventId::HostReachable, {{"host", id.value}});
    }
    const bool wasSilent = std::exchange(link.failures, 0) > 0;
    if (report->bornAt && host->bornAt && *report->bornAt != *host->bornAt) {
        beginNewLife(link, *host);
    }
    host->bornAt = report->bornAt;
    // The answer to a renewal without a lease is followed by one with a lease at once.
    const bool first = !link.clock || wasSilent;
    link.clock = internal::HostClock{.reading = report->hostClock, .readAt = now};
    if (loaded) {
        const bool fenced = token == internal::tokenOf(options.epoch, link);
        takeReport(dispatcher, id, *report, sentAt, fenced, now);
        link.uncertain = link.uncertain && !fenced;
    }
    if (first || !loaded) {
        if (first) {
            renew(link, milliseconds(0), now);
        }
        afterEvent();
        return;
    }
    afterEvent();
    renewNext(link, now);
}

void FleetHolder::Impl::onSilence(HostLink &link, FleetHost &host, const Error &error,
                                  TimePoint now)
{
    if (error.code == ResultCode::StaleEpoch) {
        env.onFenced("host " + link.id.value + " has seen a newer holder");
        return;
    }
    ++link.failures;
    if (std::exchange(host.reachable, false) || link.failures == 1) {
        logEvent(EventId::HostUnreachable, {{"host", link.id.value}, {"reason", error.message}});
    }
    link.nextAt = now + options.hostRetry;
}

/// Leaves the runs to the reports: the new life may have carried out a start already.
void FleetHolder::Impl::beginNewLife(HostLink &link, FleetHost &host)
{
    host.seenEnd = 0;
    host.durableEnd = 0;
    link.acknowledgedEnd = 0;
    host.reported = false;
    // Orders to the former life that are still on their way must not take effect in this one.
    ++link.bump;
    link.clock.reset();
}

void FleetHolder::Impl::renewNext(HostLink &link, TimePoint now)
{
    const FleetHost *const host = findHost(dispatcher.fleet, link.id);
    if (host == nullptr || link.renewing) {
        return;
    }
    if (link.uncertain) {
        renew(link, milliseconds(0), now);
        return;
    }
    if (host->seenEnd > host->durableEnd && !owesAcknowledgement(link, *host)) {
        // A renewal would return at once with the same ends; their write is on its way.
        link.nextAt = now + options.hostRetry;
        return;
    }
    const bool shared = host->servingMilliCores > 0 && host->backfillMilliCores > 0;
    const milliseconds busyWait = shared ? options.sharedRenewalWait : options.renewalWait;
    renew(link, host->runs.empty() ? idleRenewalWait : busyWait, now);
}

void FleetHolder::Impl::onDurable()
{
    const TimePoint now = bootClockNow();
    for (auto &[id, link] : links) {
        const FleetHost *const host = findHost(dispatcher.fleet, id);
        if (host != nullptr && host->reported && host->reachable && !link.renewing) {
            renewNext(link, now);
        }
    }
}

void FleetHolder::Impl::afterEvent()
{
    internal::logFindings(dispatcher, env.metrics);
    writer.flushSoon();
    tryAccount(bootClockNow());
    planSoon();
}

void FleetHolder::Impl::planSoon()
{
    // Before start() nothing could run the plan, and after stop() nothing should.
    if (self.expired() || std::exchange(planScheduled, true)) {
        return;
    }
    env.loop.postAfter(options.planDelay, guarded([this, due = bootClockNow() + options.planDelay] {
                           planScheduled = false;
                           rounds.latest = std::max(rounds.latest, bootClockNow() - due);
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
                 {{"reason", old ? "the host list is too old to start tasks" : "host list"}});
    }
    const Orders orders = plan(dispatcher, now);
    const Duration took = bootClockNow() - now;
    env.metrics.observe("fleet_round_seconds", {}, took);
    ++rounds.rounds;
    rounds.total += took;
    rounds.longest = std::max(rounds.longest, took);
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
        takeStartOutcome(dispatcher, order, StartOutcome::Unhealthy, now);
        return;
    }
    HostLink &link = it->second;
    link.leaseEnd = std::max(link.leaseEnd, now + lapseTime(options.lease));
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
    env.hosts.start(call, order, *leaseUntil,
                    guarded([this, order](StartOutcome outcome, const std::string &detail) {
                        const TimePoint answeredAt = bootClockNow();
                        if (outcome != StartOutcome::Started) {
                            logEvent(EventId::TaskNotStarted,
                                     {{"job", order.task.job.value},
                                      {"task", describe(order.task)},
                                      {"run", std::to_string(order.run)},
                                      {"host", order.host.value},
                                      {"outcome", std::string(startOutcomeName(outcome))},
                                      {"detail", detail}});
                        }
                        takeStartOutcome(dispatcher, order, outcome, answeredAt);
                        const auto found = links.find(order.host);
                        if (outcome == StartOutcome::Fenced && found != links.end()) {
                            // Our own newer token voids orders before it; only a foreign one is
                            // news.
                            renew(found->second, milliseconds(0), answeredAt);
                        }
                        if (outcome == StartOutcome::Unknown && found != links.end()) {
                            ++found->second.bump;
                            found->second.uncertain = true;
                            renew(found->second, milliseconds(0), answeredAt);
                        }
                        if (outcome != StartOutcome::Started) {
                            planSoon();
                        }
                    }));
}

void FleetHolder::Impl::sendStop(const StopRun &order)
{
    const auto it = links.find(order.host);
    if (it == links.end()) {
        return;
    }
    env.hosts.stop(callFor(it->second), order, [](const Result<void> &) {
        // The order is repeated until the host lists the run as ended.
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
    env.hosts.pace(callFor(it->second), order, guarded([this, order](const Result<void> &result) {
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
            if (!host->reachable && now >= link.leaseEnd && loaded) {
                loseRuns(dispatcher, id, "the host is silent and its lease has lapsed", now);
            }
            if (!link.renewing && now >= link.nextAt) {
                renew(link, milliseconds(0), now);
            }
        }
        cleanUp(now);
        afterEvent();
    }
    tryAccount(now);
    env.loop.postAfter(options.tickEvery, guarded([this] { tick(); }));
}

void FleetHolder::Impl::reportStatus()
{
    internal::logStatus(dispatcher.fleet, rounds, bootClockNow());
    env.loop.postAfter(options.statusEvery, guarded([this] { reportStatus(); }));
}

void FleetHolder::Impl::reportWaits()
{
    if (loaded && env.mayAct()) {
        internal::logWaits(dispatcher, env.metrics, bootClockNow());
    }
    env.loop.postAfter(options.reportWaitsEvery, guarded([this] { reportWaits(); }));
}

/// Without the model of the previous holder this one only learns again; nothing waits for it.
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
    if (env.mayAct() && !finishing && !dispatcher.fleet.interference.names.empty()) {
        // A late write of an earlier holder may replace the row; it is as good as a newer one.
        env.platform.commit({.puts = {{modelKey, encodeModel(dispatcher.fleet.interference)}}},
                            [](const Result<CommitVersions> &) {
                                // The next one follows in seconds.
                            });
    }
    env.loop.postAfter(options.storeModelEvery, guarded([this] { storeModel(); }));
}

void FleetHolder::Impl::readNewJobs()
{
    readingNewJobs = true;
    ++newJobsTimer;
    env.platform.changes(
        jobTable, jobsVersion, Duration(0),
        guarded([this, sentAt = bootClockNow()](const Result<RowChanges> &changes) {
            onJobChanges(changes, sentAt);
        }));
}

void FleetHolder::Impl::readNewJobsAfter(Duration delay)
{
    readingNewJobs = false;
    env.loop.postAfter(delay, guarded([this, timer = ++newJobsTimer] {
                           if (timer == newJobsTimer) {
                               readNewJobs();
                           }
                       }));
}

void FleetHolder::Impl::onJobChanges(const Result<RowChanges> &changes, TimePoint sentAt)
{
    if (!changes && changes.error().code == ResultCode::HistoryLost) {
        // Among the rows may be jobs that have ended and that this holder has forgotten.
        readTables(
            [this, sentAt](const Result<RowSnapshot> &jobs, const Result<RowSnapshot> &progress) {
                onJobTables(jobs, progress, sentAt);
            });
        return;
    }
    if (!changes) {
        onNewJobsUnread(changes.error());
        return;
    }
    for (const RowChange &change : changes->rows) {
        if (!change.deleted) {
            takeJobRow(change.key, change.value);
        }
    }
    onNewJobsRead(changes->version, sentAt);
}

void FleetHolder::Impl::onJobTables(const Result<RowSnapshot> &jobs,
                                    const Result<RowSnapshot> &progress, TimePoint sentAt)
{
    if (!jobs || !progress) {
        onNewJobsUnread(jobs ? progress.error() : jobs.error());
        return;
    }
    addStoredJobs(*jobs, *progress, bootClockNow());
    onNewJobsRead(jobs->version, sentAt);
}

void FleetHolder::Impl::onNewJobsRead(std::uint64_t version, TimePoint sentAt)
{
    jobsVersion = std::max(jobsVersion, version);
    newJobsReadAt = sentAt;
    if (std::exchange(newJobsUnread, false)) {
        logEvent(EventId::PlatformReachable, {{"reason", "new jobs and cancellations are read"}});
    }
    readNewJobsAfter(options.readJobsEvery);
    afterEvent();
}

void FleetHolder::Impl::onNewJobsUnread(const Error &error)
{
    if (!std::exchange(newJobsUnread, true)) {
        logEvent(EventId::PlatformUnreachable,
                 {{"reason", "new jobs and cancellations are not read: " + error.message}});
    }
    readNewJobsAfter(readRetry);
}

void FleetHolder::Impl::takeJobRow(const std::string &key, const std::string &value)
{
    const TimePoint now = bootClockNow();
    auto job = decodeJob(value);
    if (job) {
        JobProgress empty = emptyProgress(*job);
        addJob(dispatcher, std::move(*job), std::move(empty), 0, false, now);
        return;
    }
    // A cancellation carries the job's id as its value.
    if (key == cancelRowKey({value})) {
        cancelJob(dispatcher, {value}, now);
        return;
    }
    logEvent(EventId::RowIgnored, {{"row", key}, {"reason", job.error().message}});
}

void FleetHolder::Impl::cleanUp(TimePoint now)
{
    std::erase_if(
        askedAt, [&](const auto &entry) { return now - entry.second >= options.rememberRejected; });
    std::vector<JobId> &ended = dispatcher.fleet.ended;
    std::vector<JobId> old;
    for (const JobId &id : ended) {
        const JobRuntime *const job = findJob(dispatcher.fleet, id);
        const bool forget = job != nullptr && now - job->endedAt >= options.keepEnded
                            && !dispatcher.fleet.stopping.contains(id)
                            && !dispatcher.fleet.dirty.contains(id);
        if (!forget || old.size() >= cleanupBatch) {
            break;
        }
        old.push_back(id);
    }
    if (old.empty()) {
        return;
    }
    std::map<std::string, std::vector<JobId>> byPart;
    for (const JobId &id : old) {
        byPart[env.platform.partOf ? env.platform.partOf(jobRowKey(id)) : std::string()].push_back(
            id);
        dispatcher.fleet.jobs.erase(id);
    }
    ended.erase(ended.begin(), ended.begin() + static_cast<std::ptrdiff_t>(old.size()));
    const auto removal = std::make_shared<Removal>(Removal{.partsInFlight = byPart.size()});
    for (const auto &[part, jobs] : byPart) {
        removeJobs(jobs, removal);
    }
}

void FleetHolder::Impl::removeJobs(const std::vector<JobId> &jobs,
                                   const std::shared_ptr<Removal> &removal)
{
    Transaction transaction;
    for (const JobId &id : jobs) {
        transaction.deletes.push_back(jobRowKey(id));
        transaction.deletes.push_back(cancelRowKey(id));
    }
    env.platform.commit(std::move(transaction),
                        guarded([this, jobs, removal](const Result<CommitVersions> &result) {
                            logRemoval(result);
                            std::vector<std::string> &progressKeys = removal->progressRows.deletes;
                            if (result) {
                                std::transform(jobs.begin(), jobs.end(),
                                               std::back_inserter(progressKeys), &progressRowKey);
                            }
                            if (--removal->partsInFlight == 0 && !progressKeys.empty()) {
                                env.platform.commit(removal->progressRows, &logRemoval);
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
    m_impl->roster.read(m_impl->guarded([impl = m_impl.get()] { impl->openLinks(); }));
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
}

void FleetHolder::finish(std::function<void()> done)
{
    m_impl->finishing = true;
    m_impl->writer.finish(std::move(done));
}

AdmissionDecision FleetHolder::offer(const JobSpec &job)
{
    Impl &impl = *m_impl;
    if (!impl.loaded || impl.finishing) {
        return {};
    }
    const TimePoint now = bootClockNow();
    const TimePoint asked = impl.askedAt.try_emplace(job.id, now).first->second;
    const AdmissionDecision decision = judgeAdmission(impl.dispatcher.fleet, job, asked, now);
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
        impl.dispatcher.fleet.offered[job.id] = backfillWork(job);
        impl.env.loop.postAfter(impl.options.offerValidity, impl.guarded([&impl, id = job.id] {
            impl.dispatcher.fleet.offered.erase(id);
        }));
    }
    return decision;
}

void FleetHolder::addStored(JobSpec job)
{
    if (!m_impl->loaded) {
        m_impl->early.push_back(std::move(job));
        return;
    }
    JobProgress empty = emptyProgress(job);
    addJob(m_impl->dispatcher, std::move(job), std::move(empty), 0, false, bootClockNow());
    m_impl->planSoon();
}

void FleetHolder::setEvacuated(std::set<FailureDomainId> domains)
{
    m_impl->dispatcher.fleet.evacuated = std::move(domains);
    m_impl->planSoon();
}

void FleetHolder::state(const JobId &job, JobStateCallback callback)
{
    Impl &impl = *m_impl;
    if (!impl.loaded || impl.finishing) {
        callback(failure(ResultCode::PlatformUnavailable, "the shard is being recovered"));
        return;
    }
    const JobRuntime *const runtime = findJob(impl.dispatcher.fleet, job);
    if (runtime == nullptr) {
        callback(failure(ResultCode::JobNotFound, "not known to the holder", job.value));
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
            callback(failure(ResultCode::PlatformUnavailable, "the end is not durable yet"));
        }
    });
}

void FleetHolder::cancel(const JobId &job, JobStateCallback callback)
{
    Impl &impl = *m_impl;
    const bool known =
        impl.loaded && !impl.finishing && cancelJob(impl.dispatcher, job, bootClockNow());
    if (known) {
        impl.afterEvent();
    }
    state(job, std::move(callback));
}

std::optional<std::size_t> FleetHolder::pending(const std::string &queue) const
{
    if (!m_impl->loaded) {
        return std::nullopt;
    }
    return pendingJobs(m_impl->dispatcher, queue);
}

const Dispatcher &FleetHolder::dispatcher() const
{
    return m_impl->dispatcher;
}

} // namespace acaciadeal
