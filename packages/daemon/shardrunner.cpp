#include "daemon/shardrunner.h"

#include "daemon/holderwatch.h"
#include "logging/log.h"
#include "scheduling/workermessage.h"
#include "state/codec.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <utility>

namespace acaciadeal {
namespace {

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

std::string makeUniqueId(const DaemonId &daemon)
{
    static std::random_device device;
    static std::mt19937_64 engine(device());
    return daemon.value + "-" + std::to_string(engine());
}

/// Task counts of one class, for the metrics.
struct ClassTaskCounts
{
    int queued = 0;
    int running = 0;
    int late = 0;
    Duration longestWait{0};
};

} // namespace

struct ShardRunner::Impl : std::enable_shared_from_this<ShardRunner::Impl>
{
    Impl(DaemonContext &daemonContext, PlatformWatch &platformWatch, ShardId shardId,
         const ShardRunnerOptions &runnerOptions)
        : context(daemonContext)
        , watch(platformWatch)
        , shard(std::move(shardId))
        , options(runnerOptions)
    {
    }

    // Ownership.
    void observeOwner();
    void claim(const OwnerView &view);
    void onClaimed(const Result<Ownership> &result, TimePoint startedAt);
    void recover();
    void onRecovered(Result<ShardState> state);
    void onOwnershipLost(const std::string &reason);
    void writeAliveRow();
    void onAliveRowWritten(const Result<CommitVersions> &result, TimePoint startedAt);

    // Appends.
    void tick();
    void appendNext(TimePoint now);
    bool appendExternalChanges();
    void append(std::vector<Change> changes, Proposal proposal, ExtraRowOperations extras);
    void onAppended(const Result<void> &result, const LogEntry &entry, const Proposal &proposal,
                    TimePoint startedAt);
    void applyAppended(const LogEntry &entry, const Proposal &proposal);
    void snapshotIfDue();
    std::vector<Change> hostChanges() const;
    void consumeInbox(std::vector<Change> &changes, ExtraRowOperations &extras);
    void readInbox();
    std::vector<Change> proposeMoveChanges(ExtraRowOperations &extras) const;
    std::vector<ShardId> moveTargets() const;

    // Workers.
    void sendOrders(TimePoint now);
    void send(const HostId &host, const WorkerOrders &orders);
    void handleUnansweredOrders(const HostId &host);
    void countOrders(const std::string &outcome) const;
    void applyPlatformView(TimePoint now);
    void logChanges(const LogEntry &entry) const;
    MetricLabels classLabels(TaskClass taskClass) const;
    void publishMetrics(TimePoint now);
    void publishHostMetrics() const;

    /// Returns whether this daemon still holds the shard in @p epoch.
    bool holds(std::uint64_t epoch) const
    {
        return phase == ShardPhase::Holding && ownership.epoch == epoch;
    }

    DaemonContext &context;
    PlatformWatch &watch;
    ShardId shard;
    ShardRunnerOptions options;

    ShardPhase phase = ShardPhase::Watching;
    /// Detects a holder that no longer updates the alive row.
    HolderWatch holderWatch;
    Ownership ownership;
    std::optional<Holder> holder;
    /// Start time of the last successful claim or write of the alive row.
    TimePoint confirmedAt;
    bool aliveWriteInFlight = false;

    bool appendInFlight = false;
    /// Whether appendNext() tries changes from outside before decisions of the holder.
    bool externalFirst = false;
    TimePoint nextAppendAt;
    bool inboxReadInFlight = false;
    std::vector<Row> inbox;
    std::set<TaskId> cancelRequests;
    std::uint64_t bytesSinceSnapshot = 0;
    std::uint64_t snapshotSequence = 0;
    bool snapshotInFlight = false;
    TimePoint nextMetricsAt;

    bool releasing = false;
    /// Continues release() once the append in flight has ended.
    std::function<void()> finishRelease;
};

void ShardRunner::Impl::observeOwner()
{
    const PlatformView &view = watch.view();
    const auto it = view.owners.find(shard);
    if (it == view.owners.end() || !view.lastRowRead || !view.reachable) {
        resetHolderWatch(holderWatch);
        return;
    }
    const OwnerView &row = it->second;
    const bool holderTimedOut =
        observeAliveRow(holderWatch, row.aliveVersion, *view.lastRowRead, options.claimAfter);
    const bool isOwned = phase == ShardPhase::Recovering || phase == ShardPhase::Holding;
    if (isOwned && row.owner && row.owner->epoch > ownership.epoch) {
        onOwnershipLost("another daemon claimed the shard");
    }
    if (phase != ShardPhase::Watching || releasing) {
        return;
    }
    // A released shard of another failure domain is claimed only after the same delay as one whose
    // holder stopped updating the alive row, so that the daemons of that domain can claim it first.
    const bool ownDomain = shard.value == context.settings.failureDomain.value;
    const bool isFree = !row.owner || row.owner->released;
    if ((ownDomain && isFree) || holderTimedOut) {
        claim(row);
    }
}

void ShardRunner::Impl::claim(const OwnerView &view)
{
    phase = ShardPhase::Claiming;
    claimShard(
        context.control, context.platform, shard, view.owner.value_or(OwnerRow{}),
        view.ownerVersion, context.settings.daemon, makeUniqueId(context.settings.daemon),
        options.holder.autonomy, [self = shared_from_this()] { return !self->releasing; },
        [self = shared_from_this(), startedAt = currentTime()](const Result<Ownership> &result) {
            self->onClaimed(result, startedAt);
        });
}

void ShardRunner::Impl::onClaimed(const Result<Ownership> &result, TimePoint startedAt)
{
    if (!result) {
        phase = ShardPhase::Watching;
        resetHolderWatch(holderWatch);
        return;
    }
    ownership = *result;
    confirmedAt = startedAt;
    phase = ShardPhase::Recovering;
    logEvent(EventId::ShardClaimed,
             {{"shard", shard.value}, {"epoch", std::to_string(ownership.epoch)}});
    recover();
}

void ShardRunner::Impl::recover()
{
    recoverShard(context.platform, shard, options.store,
                 [self = shared_from_this(), epoch = ownership.epoch](Result<ShardState> state) {
                     if (self->phase == ShardPhase::Recovering && self->ownership.epoch == epoch) {
                         self->onRecovered(std::move(state));
                     }
                 });
}

void ShardRunner::Impl::onRecovered(Result<ShardState> state)
{
    if (!state) {
        const bool unreachable = state.error().code == ResultCode::PlatformUnavailable;
        if (!unreachable) {
            logEvent(EventId::LogEntryRefused,
                     {{"shard", shard.value},
                      {"code", std::to_string(static_cast<int>(state.error().code))},
                      {"where", state.error().where},
                      {"message", state.error().message}});
        }
        context.control.postAfter(
            options.platformRetryDelay, [self = shared_from_this(), epoch = ownership.epoch] {
                if (self->phase == ShardPhase::Recovering && self->ownership.epoch == epoch) {
                    self->recover();
                }
            });
        return;
    }
    logEvent(EventId::ShardRecovered, {{"shard", shard.value},
                                       {"sequence", std::to_string(state->lastSequence)},
                                       {"tasks", std::to_string(state->tasks.size())}});
    snapshotSequence = state->lastSequence;
    bytesSinceSnapshot = 0;
    appendInFlight = false;
    const TimePoint now = currentTime();
    nextAppendAt = now;
    options.holder.predecessorAutonomy = ownership.predecessorAutonomy;
    holder = makeHolder(options.holder, std::move(*state), ownership.epoch, now);
    holder->ownershipConfirmedAt = confirmedAt;
    phase = ShardPhase::Holding;
    applyPlatformView(now);
}

void ShardRunner::Impl::onOwnershipLost(const std::string &reason)
{
    logEvent(
        EventId::ShardLost,
        {{"shard", shard.value}, {"epoch", std::to_string(ownership.epoch)}, {"reason", reason}});
    phase = ShardPhase::Watching;
    holder.reset();
    resetHolderWatch(holderWatch);
    appendInFlight = false;
    snapshotInFlight = false;
    inbox.clear();
    cancelRequests.clear();
    if (finishRelease) {
        std::exchange(finishRelease, nullptr)();
    }
}

void ShardRunner::Impl::writeAliveRow()
{
    const bool isOwned = phase == ShardPhase::Recovering || phase == ShardPhase::Holding;
    if (!isOwned || aliveWriteInFlight) {
        return;
    }
    aliveWriteInFlight = true;
    context.platform.commit({.checks = {{ownerKey(shard), ownership.ownerVersion}},
                             .puts = {{aliveKey(shard), makeUniqueId(context.settings.daemon)}}},
                            [self = shared_from_this(), startedAt = currentTime(),
                             epoch = ownership.epoch](const Result<CommitVersions> &result) {
                                self->aliveWriteInFlight = false;
                                if (self->ownership.epoch == epoch) {
                                    self->onAliveRowWritten(result, startedAt);
                                }
                            });
}

void ShardRunner::Impl::onAliveRowWritten(const Result<CommitVersions> &result, TimePoint startedAt)
{
    const bool isOwned = phase == ShardPhase::Recovering || phase == ShardPhase::Holding;
    if (!isOwned) {
        return;
    }
    if (!result && result.error().code == ResultCode::CheckFailed) {
        onOwnershipLost("the owner row has changed since the claim");
        return;
    }
    if (result) {
        confirmedAt = startedAt;
        if (holder) {
            holder->ownershipConfirmedAt = confirmedAt;
        }
    }
}

void ShardRunner::Impl::tick()
{
    if (phase != ShardPhase::Holding) {
        return;
    }
    const TimePoint now = currentTime();
    holder->platformReachable = now - confirmedAt < options.platformUnreachableAfter;
    if (!appendInFlight && !releasing && now >= nextAppendAt) {
        appendNext(now);
    }
    if (phase == ShardPhase::Holding && !releasing) {
        sendOrders(now);
    }
    if (phase == ShardPhase::Holding && now >= nextMetricsAt) {
        nextMetricsAt = now + std::chrono::seconds(1);
        publishMetrics(now);
    }
}

void ShardRunner::Impl::appendNext(TimePoint now)
{
    // Alternate between the holder's decisions and changes from outside (host list, inbox,
    // cancellations, moves), so that neither can starve the other.
    externalFirst = !externalFirst;
    if (externalFirst && appendExternalChanges()) {
        return;
    }
    Proposal proposal = proposeChanges(*holder, now);
    if (!proposal.changes.empty()) {
        std::vector<Change> changes = proposal.changes;
        append(std::move(changes), std::move(proposal), {});
        return;
    }
    if (!externalFirst) {
        appendExternalChanges();
    }
}

bool ShardRunner::Impl::appendExternalChanges()
{
    std::vector<Change> changes = hostChanges();
    ExtraRowOperations extras;
    consumeInbox(changes, extras);
    for (const TaskId &task : cancelRequests) {
        if (const Change change = TaskCancelled{task}; check(holder->state, change)) {
            changes.push_back(change);
        }
    }
    cancelRequests.clear();
    if (changes.empty() && !holder->domainInService) {
        changes = proposeMoveChanges(extras);
    }
    if (changes.empty()) {
        return false;
    }
    append(std::move(changes), {}, std::move(extras));
    return true;
}

void ShardRunner::Impl::append(std::vector<Change> changes, Proposal proposal,
                               ExtraRowOperations extras)
{
    const LogEntry entry{.shard = shard,
                         .epoch = ownership.epoch,
                         .sequence = holder->state.lastSequence + 1,
                         .transactionId = makeUniqueId(context.settings.daemon),
                         .changes = std::move(changes)};
    if (proposal.containsStart) {
        const FailureDomainId domain{shard.value};
        const auto it = watch.view().domains.find(domain);
        const std::uint64_t version = it == watch.view().domains.end() ? 0 : it->second.version;
        extras.checks.push_back({domainKey(domain), version});
    }
    appendInFlight = true;
    appendEntry(
        context.control, context.platform, ownership, entry, std::move(extras),
        [self = shared_from_this(), epoch = ownership.epoch] { return self->holds(epoch); },
        [self = shared_from_this(), entry, proposal = std::move(proposal),
         startedAt = currentTime()](const Result<void> &result) {
            if (self->holds(entry.epoch)) {
                self->onAppended(result, entry, proposal, startedAt);
            }
        });
}

void ShardRunner::Impl::onAppended(const Result<void> &result, const LogEntry &entry,
                                   const Proposal &proposal, TimePoint startedAt)
{
    appendInFlight = false;
    const TimePoint now = currentTime();
    if (result) {
        context.metrics.observe("log_commit_seconds", {{"shard", shard.value}}, now - startedAt);
        applyAppended(entry, proposal);
        return;
    }
    const Error &error = result.error();
    if (error.code != ResultCode::CheckFailed) {
        nextAppendAt = now + options.platformRetryDelay;
        return;
    }
    if (error.where == ownerKey(shard) || error.where == logKey(shard, entry.sequence)) {
        onOwnershipLost("an append failed because of a concurrent change of row " + error.where);
        return;
    }
    // The row of the failure domain or an inbox row changed after it was read.
    inbox.clear();
    nextAppendAt = now + options.tickPeriod;
    watch.readRows();
}

void ShardRunner::Impl::applyAppended(const LogEntry &entry, const Proposal &proposal)
{
    const TimePoint now = currentTime();
    const auto applied = applyProposal(*holder, proposal, entry, now);
    if (!applied) {
        logEvent(EventId::LogEntryRefused,
                 {{"shard", shard.value}, {"message", applied.error().message}});
        onOwnershipLost("an appended log entry could not be applied to the state");
        return;
    }
    logChanges(entry);
    bytesSinceSnapshot += encodeLogEntry(entry).size();
    snapshotIfDue();
    if (releasing && finishRelease) {
        std::exchange(finishRelease, nullptr)();
    }
}

void ShardRunner::Impl::snapshotIfDue()
{
    const std::uint64_t entries = holder->state.lastSequence - snapshotSequence;
    if (snapshotInFlight
        || (entries < options.snapshotAfterEntries
            && bytesSinceSnapshot < options.snapshotAfterBytes)) {
        return;
    }
    snapshotInFlight = true;
    const std::uint64_t covered = holder->state.lastSequence;
    storeSnapshot(
        context.platform, ownership, holder->state, snapshotSequence + 1, options.store,
        [self = shared_from_this(), covered, epoch = ownership.epoch](const Result<void> &result) {
            if (!self->holds(epoch)) {
                return;
            }
            self->snapshotInFlight = false;
            if (result) {
                self->snapshotSequence = covered;
                self->bytesSinceSnapshot = 0;
            }
        });
}

std::vector<Change> ShardRunner::Impl::hostChanges() const
{
    std::vector<Change> changes;
    const PlatformView &view = watch.view();
    if (!view.hostsRead) {
        return changes;
    }
    std::set<HostId> listed;
    for (const HostRecord &record : view.hosts) {
        if (record.failureDomain.value != shard.value || !record.service.empty()) {
            continue;
        }
        listed.insert(record.host);
        const auto row = view.hostRows.find(record.host);
        const bool accepts =
            record.condition == HostCondition::Live
            && (row == view.hostRows.end() || (!row->second.drained && !row->second.confirmedOff));
        const auto known = holder->state.hosts.find(record.host);
        HostUpdated update{.host = record.host,
                           .rack = record.rack,
                           .capacity = record.capacity,
                           .acceptsTasks = accepts};
        // A host whose new capacity is below what is committed on it accepts no further tasks. Its
        // capacity is updated once enough tasks have ended.
        if (known != holder->state.hosts.end() && !check(holder->state, update)) {
            update.capacity = known->second.capacity;
            update.acceptsTasks = false;
        }
        if (known == holder->state.hosts.end() || known->second.rack != update.rack
            || known->second.acceptsTasks != update.acceptsTasks
            || known->second.capacity != update.capacity) {
            changes.emplace_back(std::move(update));
        }
    }
    for (const auto &[id, host] : holder->state.hosts) {
        if (!listed.contains(id) && host.tasks.empty()) {
            changes.emplace_back(HostRemoved{id});
        } else if (!listed.contains(id) && host.acceptsTasks) {
            changes.emplace_back(HostUpdated{
                .host = id, .rack = host.rack, .capacity = host.capacity, .acceptsTasks = false});
        }
    }
    if (changes.size() > options.holder.maxChangesPerEntry) {
        changes.resize(options.holder.maxChangesPerEntry);
    }
    return changes;
}

void ShardRunner::Impl::consumeInbox(std::vector<Change> &changes, ExtraRowOperations &extras)
{
    std::size_t bytes = 0;
    std::size_t consumed = 0;
    for (const Row &row : inbox) {
        if (consumed > 0 && bytes + row.value.size() > options.inboxBytesPerEntry) {
            break;
        }
        ++consumed;
        auto job = decodeTasks(row.value);
        if (!job) {
            logEvent(EventId::LogEntryRefused,
                     {{"row", row.key}, {"message", job.error().message}});
            continue;
        }
        bytes += row.value.size();
        extras.checks.push_back({row.key, row.version});
        extras.deletes.push_back(row.key);
        if (const auto valid = check(holder->state, *job); !valid) {
            // Keep the row under another key, so that an operator can inspect the rejected job.
            extras.puts.push_back({rejectedKey(shard, job->job), row.value});
            logEvent(EventId::LogEntryRefused, {{"row", row.key},
                                                {"where", valid.error().where},
                                                {"message", valid.error().message}});
            continue;
        }
        changes.emplace_back(std::move(*job));
    }
    inbox.erase(inbox.begin(), inbox.begin() + static_cast<std::ptrdiff_t>(consumed));
}

void ShardRunner::Impl::readInbox()
{
    if (phase != ShardPhase::Holding || inboxReadInFlight || appendInFlight || !inbox.empty()) {
        return;
    }
    constexpr std::size_t maxInboxRows = 50;
    inboxReadInFlight = true;
    context.platform.read(
        {.prefix = inboxPrefix(shard), .limit = maxInboxRows},
        [self = shared_from_this(), epoch = ownership.epoch,
         sequence = holder->state.lastSequence](const Result<std::vector<Row>> &rows) {
            self->inboxReadInFlight = false;
            // Ignore rows read before or during an append, which may have consumed them.
            if (rows && self->holds(epoch) && !self->appendInFlight
                && self->holder->state.lastSequence == sequence) {
                self->inbox = *rows;
            }
        });
}

std::vector<Change> ShardRunner::Impl::proposeMoveChanges(ExtraRowOperations &extras) const
{
    constexpr std::size_t maxMovesPerEntry = 50;
    std::vector<Change> changes = proposeMoves(*holder, moveTargets(), maxMovesPerEntry);
    for (const Change &change : changes) {
        const auto &move = std::get<TaskMoved>(change);
        const Task task = movedTask(holder->state.tasks.at(move.task));
        // The move count makes the inbox row of each transfer unique.
        const JobId transfer{task.spec.job.value + "~" + move.task.value + "~"
                             + std::to_string(task.moves)};
        const std::string key = inboxKey(move.toShard, transfer);
        extras.checks.push_back({key, 0});
        extras.puts.push_back({key, encodeTasks(task.spec.job, {task})});
    }
    return changes;
}

std::vector<ShardId> ShardRunner::Impl::moveTargets() const
{
    std::vector<ShardId> targets;
    for (const auto &[domain, view] : watch.view().domains) {
        if (view.row.in && domain.value != shard.value) {
            targets.push_back({domain.value});
        }
    }
    return targets;
}

void ShardRunner::Impl::sendOrders(TimePoint now)
{
    for (auto &[host, orders] : dueOrders(*holder, now)) {
        send(host, orders);
    }
}

void ShardRunner::Impl::send(const HostId &host, const WorkerOrders &orders)
{
    const auto &hosts = watch.view().hosts;
    const auto record = std::find_if(hosts.begin(), hosts.end(),
                                     [&host](const HostRecord &item) { return item.host == host; });
    if (record == hosts.end()) {
        handleUnansweredOrders(host);
        return;
    }
    context.controlClient.send(
        record->endpoint, {.method = "POST", .target = "/v1/control", .body = encodeOrders(orders)},
        {.timeout = options.workerTimeout},
        [self = shared_from_this(), host, epoch = ownership.epoch](const HttpOutcome &outcome) {
            if (!self->holds(epoch)) {
                return;
            }
            constexpr unsigned statusOk = 200;
            if (outcome.response && outcome.response->status == statusOk) {
                if (const auto report = decodeReport(outcome.response->body)) {
                    self->countOrders("answered");
                    onReport(*self->holder, host, *report, currentTime());
                    return;
                }
            }
            self->handleUnansweredOrders(host);
        });
}

void ShardRunner::Impl::handleUnansweredOrders(const HostId &host)
{
    countOrders("unanswered");
    onOrdersUnanswered(*holder, host, currentTime());
}

void ShardRunner::Impl::countOrders(const std::string &outcome) const
{
    context.metrics.count("worker_orders_total", {{"shard", shard.value}, {"outcome", outcome}});
}

void ShardRunner::Impl::applyPlatformView(TimePoint now)
{
    if (phase != ShardPhase::Holding) {
        return;
    }
    const PlatformView &view = watch.view();
    const auto domain = view.domains.find({shard.value});
    if (domain != view.domains.end() && domain->second.row.in != holder->domainInService) {
        setDomainInService(*holder, domain->second.row.in, now);
        logEvent(EventId::DomainChanged, {{"failure_domain", shard.value},
                                          {"state", domain->second.row.in ? "in" : "out"},
                                          {"reason", domain->second.row.reason}});
    }
    for (const auto &[host, row] : view.hostRows) {
        const auto worker = holder->workers.find(host);
        const bool isNewlyConfirmed =
            worker != holder->workers.end() && row.confirmedOff && !worker->second.confirmedOff;
        if (isNewlyConfirmed) {
            confirmHostOff(*holder, host);
            logEvent(EventId::OperatorConfirmedHostOff, {{"host", host.value}});
        }
    }
}

void ShardRunner::Impl::logChanges(const LogEntry &entry) const
{
    for (const Change &change : entry.changes) {
        if (const auto *release = std::get_if<TaskReleased>(&change);
            release != nullptr && release->reason == ReleaseReason::Evicted) {
            context.metrics.count(
                "task_evictions_total",
                classLabels(holder->state.tasks.at(release->task).spec.taskClass));
            logEvent(EventId::TaskEvicted, {{"task", release->task.value},
                                            {"incarnation", std::to_string(release->incarnation)},
                                            {"detail", release->detail}});
        } else if (const auto *rejection = std::get_if<TaskRejected>(&change)) {
            logEvent(EventId::TaskImpossible,
                     {{"task", rejection->task.value}, {"reason", rejection->reason}});
        }
    }
}

MetricLabels ShardRunner::Impl::classLabels(TaskClass taskClass) const
{
    static constexpr std::array names = {"urgent", "latency-critical", "batch"};
    return {{"shard", shard.value}, {"class", names.at(static_cast<std::size_t>(taskClass))}};
}

void ShardRunner::Impl::publishMetrics(TimePoint now)
{
    publishHostMetrics();
    std::map<TaskClass, ClassTaskCounts> counts{
        {TaskClass::Urgent, {}}, {TaskClass::LatencyCritical, {}}, {TaskClass::Batch, {}}};
    const auto countsOf = [&](const TaskId &task) -> ClassTaskCounts & {
        return counts[holder->state.tasks.at(task).spec.taskClass];
    };
    for (const auto &[key, task] : holder->state.queue) {
        ++counts[key.taskClass].queued;
    }
    for (const auto &[task, since] : holder->waitingSince) {
        if (holder->state.tasks.contains(task)) {
            Duration &longestWait = countsOf(task).longestWait;
            longestWait = std::max(longestWait, now - since);
        }
    }
    for (const auto &[host, worker] : holder->workers) {
        for (const auto &[run, usage] : worker.running) {
            if (holder->state.tasks.contains(run.task)) {
                ++countsOf(run.task).running;
            }
        }
    }
    for (const TaskId &task : lateTasks(*holder, now)) {
        ++countsOf(task).late;
        if (holder->tasksReportedLate.insert(task).second) {
            logEvent(EventId::TaskLate, {{"task", task.value}});
        }
    }
    for (const auto &[taskClass, count] : counts) {
        const MetricLabels labels = classLabels(taskClass);
        context.metrics.set("queue_length", labels, count.queued);
        context.metrics.set("queue_oldest_seconds", labels,
                            std::chrono::duration<double>(count.longestWait).count());
        context.metrics.set("tasks_running", labels, count.running);
        context.metrics.set("task_late", labels, count.late);
    }
}

void ShardRunner::Impl::publishHostMetrics() const
{
    int unreachable = 0;
    int probation = 0;
    for (const auto &[host, worker] : holder->workers) {
        unreachable += worker.unansweredOrders >= options.holder.unreachableAfter ? 1 : 0;
        probation += isOnProbation(*holder, host) ? 1 : 0;
    }
    const MetricLabels labels{{"shard", shard.value}};
    context.metrics.set("hosts_unreachable", labels, unreachable);
    context.metrics.set("hosts_on_probation", labels, probation);
}

ShardRunner::ShardRunner(DaemonContext &context, PlatformWatch &watch, ShardId shard,
                         const ShardRunnerOptions &options)
    : m_impl(std::make_shared<Impl>(context, watch, std::move(shard), options))
{
}

ShardRunner::~ShardRunner() = default;

void ShardRunner::start()
{
    EventLoop &control = m_impl->context.control;
    control.postEvery(m_impl->options.tickPeriod, [impl = m_impl] { impl->tick(); });
    control.postEvery(m_impl->options.aliveWritePeriod, [impl = m_impl] { impl->writeAliveRow(); });
    control.postEvery(m_impl->options.inboxPollPeriod, [impl = m_impl] { impl->readInbox(); });
}

void ShardRunner::applySettings(const std::function<void(HolderOptions &)> &change)
{
    change(m_impl->options.holder);
    if (m_impl->holder) {
        // The owner row states the autonomy of this epoch, so a changed value takes effect only
        // with the next claim.
        const milliseconds autonomy = m_impl->holder->options.autonomy;
        change(m_impl->holder->options);
        m_impl->holder->options.autonomy = autonomy;
    }
}

void ShardRunner::onPlatformView(TimePoint now)
{
    m_impl->observeOwner();
    m_impl->applyPlatformView(now);
}

void ShardRunner::release(std::function<void()> done)
{
    Impl &impl = *m_impl;
    impl.releasing = true;
    if (impl.phase != ShardPhase::Holding) {
        done();
        return;
    }
    auto writeReleasedRow = [self = m_impl, done = std::move(done)] {
        if (self->phase != ShardPhase::Holding) {
            done();
            return;
        }
        const OwnerRow row{.epoch = self->ownership.epoch,
                           .holder = self->context.settings.daemon,
                           .claimId = makeUniqueId(self->context.settings.daemon),
                           .released = true,
                           .autonomy = self->holder->options.autonomy};
        self->phase = ShardPhase::Watching;
        // The result is ignored: if the row was not marked as released, the shard is claimed after
        // the usual time without an update of the alive row.
        self->context.platform.commit(
            {.checks = {{ownerKey(self->shard), self->ownership.ownerVersion}},
             .puts = {{ownerKey(self->shard), encode(row)}}},
            [self, done](const Result<CommitVersions> &) {
                logEvent(EventId::ShardReleased, {{"shard", self->shard.value}});
                done();
            });
    };
    if (impl.appendInFlight) {
        impl.finishRelease = std::move(writeReleasedRow);
    } else {
        writeReleasedRow();
    }
}

const ShardId &ShardRunner::shard() const
{
    return m_impl->shard;
}

ShardPhase ShardRunner::phase() const
{
    return m_impl->phase;
}

const Holder *ShardRunner::holder() const
{
    return m_impl->phase == ShardPhase::Holding ? &*m_impl->holder : nullptr;
}

Result<void> ShardRunner::cancel(const TaskId &task)
{
    const Holder *const current = holder();
    if (current == nullptr) {
        return failure(ResultCode::NotHolder, "this daemon does not hold the shard",
                       m_impl->shard.value);
    }
    const auto it = current->state.tasks.find(task);
    if (it == current->state.tasks.end()) {
        return failure(ResultCode::TaskNotFound, "no task with this id exists in the shard",
                       task.value);
    }
    if (it->second.state == TaskState::Finished || it->second.state == TaskState::Failed
        || it->second.state == TaskState::Cancelled || it->second.state == TaskState::Impossible
        || it->second.state == TaskState::Moved) {
        return failure(ResultCode::TaskTerminal, "the task has already ended", task.value);
    }
    m_impl->cancelRequests.insert(task);
    return {};
}

} // namespace acaciadeal
