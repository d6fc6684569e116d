#include "scheduling/holder.h"
#include "scheduling/internal/holderdetail.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciadeal {

using internal::findPlacedTask;
using internal::latestLeaseEnd;

namespace {

// A permit counts as fresh for the start window divided by this. The other half of the window is
// left for the append and for sending the start to the worker.
constexpr int freshPermitDivisor = 2;
// Longest wait for an answer before a host without a fresh permit is skipped.
constexpr milliseconds maxAnswerWait{500};
// Maximum number of waiting tasks examined in one proposal; the next one continues after them.
constexpr std::size_t maxTasksScanned = 2'048;
// Number of tasks at the head of the queue that every proposal examines first.
constexpr std::size_t maxHeadTasksScanned = 256;
// Maximum number of urgent tasks for which one proposal starts evictions.
constexpr std::size_t maxPreemptions = 16;
// Maximum number of remembered sizes that do not fit; a longer list costs more than it saves.
constexpr std::size_t maxFailedSizes = 64;
// Detail texts come from workers and share the log entry with other changes.
constexpr std::size_t maxDetailBytes = 200;
// Estimated size up to which changes are added. A log entry has at most 64 KB; the remainder is
// left for changes of the caller.
constexpr std::size_t maxProposalBytes = 56 * 1024;
// After the failure domain has returned to service, the rate of placements is limited until the
// limit reaches this value, which is above the peak of 790 starts per second.
constexpr double unlimitedPlacementsPerSecond = 1'000;

/// Host that may get placements, including the effect of the placements of this proposal.
struct EligibleHost
{
    const HostState *host = nullptr;
    WorkerView *view = nullptr;
    /// Placed batch work that can be evicted, not counting placements of this proposal.
    Resources evictable;
    HostLoad load;
    Resources available;
    std::size_t rack = 0;
    bool hasFreshPermit = false;
    bool onProbation = false;
    bool hasTrialTask = false;
    /// Urgent task for which batch tasks are being evicted from the host, if any.
    const TaskId *reservedFor = nullptr;
    double interferenceForBatch = 0;
    double interferenceForLatencyCritical = 0;
};

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

/// Estimates the interference with latency-critical work from the load of the host and the share of
/// the host that the other class occupies. Uses the reported usage where it exceeds the declared
/// sizes.
void estimateInterference(EligibleHost &target)
{
    const std::int64_t cores = target.host->capacity.milliCores;
    const std::int64_t committed = cores - target.available.milliCores;
    const double load =
        std::min(1.0, std::max(ratio(committed, cores), ratio(target.load.usedMilliCores, cores)));
    target.interferenceForLatencyCritical =
        load * std::min(1.0, ratio(target.load.batch.milliCores, cores));
    target.interferenceForBatch =
        load * std::min(1.0, ratio(target.load.latencyCritical.milliCores, cores));
}

class ProposalBuilder
{
public:
    ProposalBuilder(Holder &holder, TimePoint now)
        : m_holder(holder)
        , m_now(now)
    {
    }

    Proposal build()
    {
        releaseEndedRuns();
        releaseAbsentRuns();
        releaseLapsedRuns();
        releaseExpiredStarts();
        if (m_holder.domainInService) {
            updateRefillAllowance();
            collectEligibleHosts();
            placeWaitingTasks();
        }
        return std::move(m_proposal);
    }

private:
    bool isFull() const
    {
        return m_proposal.changes.size() >= m_holder.options.maxChangesPerEntry
               || m_bytes >= maxProposalBytes;
    }

    void addChange(Change change, std::size_t textSize)
    {
        // 56 bytes are the fixed part of an encoded change: union type, offsets and table, and the
        // lengths and padding of its strings.
        m_bytes += 56 + textSize;
        m_proposal.changes.push_back(std::move(change));
    }

    void addRelease(const TaskRun &run, ReleaseReason reason, std::string checkpoint,
                    std::string detail)
    {
        if (findPlacedTask(m_holder.state, run) == nullptr || !m_released.insert(run).second) {
            return;
        }
        detail.resize(std::min(detail.size(), maxDetailBytes));
        const std::size_t size = run.task.value.size() + checkpoint.size() + detail.size();
        addChange(TaskReleased{run.task, run.incarnation, reason, std::move(checkpoint),
                               std::move(detail)},
                  size);
    }

    void releaseEndedRuns()
    {
        for (const auto &[run, result] : m_holder.ended) {
            if (isFull()) {
                return;
            }
            const EndedRun &ended = result.second;
            ReleaseReason reason = ReleaseReason::HostLost;
            if (ended.outcome == RunOutcome::Finished) {
                reason = ReleaseReason::Finished;
            } else if (ended.outcome == RunOutcome::Failed) {
                reason = ReleaseReason::Failed;
            } else if (ended.outcome == RunOutcome::Stopped) {
                const auto stop = m_holder.stoppingRuns.find(run);
                reason =
                    stop == m_holder.stoppingRuns.end() ? ReleaseReason::Evicted : stop->second;
            }
            addRelease(run, reason, ended.checkpoint, ended.detail);
        }
    }

    void releaseAbsentRuns()
    {
        for (const auto &[run, reason] : m_holder.absentRuns) {
            if (isFull()) {
                return;
            }
            addRelease(run, reason, {}, {});
        }
    }

    void releaseLapsedRuns()
    {
        for (const auto &[id, view] : m_holder.workers) {
            const auto leaseEnd = latestLeaseEnd(view);
            if (!view.confirmedOff && !(leaseEnd && m_now > *leaseEnd)) {
                continue;
            }
            const auto host = m_holder.state.hosts.find(id);
            if (host == m_holder.state.hosts.end()) {
                continue;
            }
            for (const TaskId &task : host->second.tasks) {
                if (isFull()) {
                    return;
                }
                const TaskRun run{task, m_holder.state.tasks.at(task).incarnation};
                const auto pending = m_holder.pendingStarts.find(run);
                if (pending == m_holder.pendingStarts.end() || pending->second.sent) {
                    addRelease(run, ReleaseReason::HostLost, {},
                               view.confirmedOff ? "host confirmed off" : "lease lapsed");
                }
            }
        }
    }

    /// Releases starts that were never sent and can no longer be sent. Whether a start that was
    /// sent took effect is known as soon as the worker answers; see onReport().
    void releaseExpiredStarts()
    {
        for (auto &[run, pending] : m_holder.pendingStarts) {
            if (isFull()) {
                return;
            }
            pending.withdrawn =
                pending.withdrawn || !internal::isWithinStartWindow(m_holder, pending, m_now);
            if (!pending.sent && pending.withdrawn) {
                addRelease(run, ReleaseReason::StartExpired, {}, {});
            }
        }
    }

    void updateRefillAllowance()
    {
        if (!m_holder.domainInServiceSince) {
            return;
        }
        const std::chrono::duration<double> elapsed = m_now - *m_holder.domainInServiceSince;
        const double initialRate = m_holder.options.refillPerSecond;
        if (initialRate * (1 + elapsed.count()) >= unlimitedPlacementsPerSecond) {
            m_holder.domainInServiceSince.reset();
            return;
        }
        // The rate is initialRate in the first second and grows by initialRate every second.
        const double wholeSeconds = std::floor(elapsed.count());
        const double allowed = initialRate
                               * (wholeSeconds * (wholeSeconds + 1) / 2
                                  + (elapsed.count() - wholeSeconds) * (wholeSeconds + 1));
        m_refillAllowance =
            std::max(0.0, allowed - static_cast<double>(m_holder.placementsSinceReturn));
    }

    bool isEligible(const HostState &host, WorkerView &view) const
    {
        if (!host.acceptsTasks || !view.epochAcknowledged || view.confirmedOff
            || view.unansweredOrders >= m_holder.options.unreachableAfter) {
            return false;
        }
        const auto leaseEnd = latestLeaseEnd(view);
        if (!host.tasks.empty() && leaseEnd && m_now > *leaseEnd) {
            // The leases have lapsed and the tasks are being released; the worker has to answer
            // before it gets new ones.
            return false;
        }
        return isPermitFresh(view)
               || (view.unansweredOrders == 0
                   && (!view.orderInFlight || m_now - *view.lastOrderAt < maxAnswerWait));
    }

    bool isPermitFresh(const WorkerView &view) const
    {
        return view.permit != 0 && view.permitReceivedAt
               && m_now - *view.permitReceivedAt
                      < m_holder.options.startWindow / freshPermitDivisor;
    }

    void endCompletedTrial(WorkerView &view) const
    {
        if (view.trialRun && view.running.contains(*view.trialRun)
            && m_now - view.trialStartedAt >= m_holder.options.trialPeriod) {
            view.trialRun.reset();
            view.failedTasks.clear();
        }
    }

    void collectEligibleHosts()
    {
        // Drops preemptions for tasks that no longer wait, and those on hosts that were removed or
        // do not answer. On a host that does not answer, an eviction is certain only after the
        // lease has lapsed, which takes longer than an urgent task may wait.
        std::erase_if(m_holder.preemptions, [this](const auto &item) {
            const auto view = m_holder.workers.find(item.second.host);
            return !m_holder.waitingSince.contains(item.first) || view == m_holder.workers.end()
                   || view->second.unansweredOrders > 0;
        });
        std::map<HostId, const TaskId *> reserved;
        for (const auto &[task, preemption] : m_holder.preemptions) {
            reserved[preemption.host] = &task;
        }
        m_eligibleHosts.reserve(m_holder.state.hosts.size());
        for (const auto &[id, host] : m_holder.state.hosts) {
            addDistinctCapacity(host.capacity);
            const auto worker = m_holder.workers.find(id);
            if (worker == m_holder.workers.end()) {
                continue;
            }
            WorkerView &view = worker->second;
            endCompletedTrial(view);
            const bool onProbation = isOnProbation(m_holder, id);
            if (!isEligible(host, view)) {
                continue;
            }
            const HostLoad &load = m_holder.loadByHost[id];
            EligibleHost target{
                .host = &host,
                .view = &view,
                .evictable = load.batch,
                .load = load,
                .available = host.capacity - host.committed,
                .rack = m_rackIndex.try_emplace(host.rack, m_rackIndex.size()).first->second,
                .hasFreshPermit = isPermitFresh(view),
                .onProbation = onProbation,
                .hasTrialTask = onProbation && view.trialRun.has_value()};
            if (const auto task = reserved.find(id); task != reserved.end()) {
                target.reservedFor = task->second;
            }
            estimateInterference(target);
            m_eligibleHosts.push_back(target);
        }
    }

    /// Collects the distinct host capacities; hosts come in few sizes.
    void addDistinctCapacity(const Resources &capacity)
    {
        if (std::find(m_capacities.begin(), m_capacities.end(), capacity) == m_capacities.end()) {
            m_capacities.push_back(capacity);
        }
    }

    void placeWaitingTasks()
    {
        const auto &queue = m_holder.state.queue;
        std::size_t scanned = 0;
        auto it = queue.begin();
        while (it != queue.end() && scanned < maxHeadTasksScanned && canPlaceMore()) {
            tryPlace(it->second);
            ++it;
            ++scanned;
        }
        if (m_holder.scanPosition && it != queue.end()) {
            const auto position = queue.lower_bound(*m_holder.scanPosition);
            if (position != queue.end() && it->first < position->first) {
                it = position;
            }
        }
        while (it != queue.end() && scanned < maxTasksScanned && canPlaceMore()) {
            tryPlace(it->second);
            ++it;
            ++scanned;
        }
        m_holder.scanPosition.reset();
        if (it != queue.end()) {
            m_holder.scanPosition = it->first;
        }
    }

    bool canPlaceMore() const
    {
        return !isFull() && m_refillAllowance >= 1;
    }

    void tryPlace(const TaskId &id)
    {
        const Task &task = m_holder.state.tasks.at(id);
        const Resources &size = task.spec.size;
        if (isLargerThanEveryHost(size)) {
            addRejection(task);
            return;
        }
        if (exceedsQuota(task)) {
            return;
        }
        // A size that did not fit for another task may fit for this one if a host is reserved for
        // it.
        if (m_holder.preemptions.contains(id) || !isKnownNotToFit(m_failedSizes, size)) {
            if (const auto chosen = chooseHost(task)) {
                placeOnHost(task, m_eligibleHosts[*chosen]);
                return;
            }
            addFailedSize(m_failedSizes, size);
        }
        if (task.spec.taskClass == TaskClass::Urgent) {
            startPreemptionFor(task);
        }
    }

    bool isLargerThanEveryHost(const Resources &size) const
    {
        return !m_capacities.empty()
               && std::none_of(m_capacities.begin(), m_capacities.end(),
                               [&size](const Resources &capacity) { return fits(size, capacity); });
    }

    void addRejection(const Task &task)
    {
        Resources largest;
        for (const Resources &capacity : m_capacities) {
            largest.milliCores = std::max(largest.milliCores, capacity.milliCores);
            largest.memoryMiB = std::max(largest.memoryMiB, capacity.memoryMiB);
            largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
        }
        const Resources &size = task.spec.size;
        const auto formatAmount = [](const char *name, std::int64_t needed,
                                     std::int64_t largestAmount) {
            return std::string(name) + " " + std::to_string(needed) + " (largest "
                   + std::to_string(largestAmount) + ")";
        };
        const std::string reason =
            "no host is large enough: needs "
            + formatAmount("millicores", size.milliCores, largest.milliCores) + ", "
            + formatAmount("MiB", size.memoryMiB, largest.memoryMiB) + ", "
            + formatAmount("accelerators", size.accelerators, largest.accelerators);
        addChange(TaskRejected{task.spec.id, reason}, task.spec.id.value.size() + reason.size());
    }

    bool exceedsQuota(const Task &task)
    {
        const auto quota = m_holder.options.quotas.find(task.spec.team);
        if (quota == m_holder.options.quotas.end()) {
            return false;
        }
        return !fits(committedTo(task.spec.team) + task.spec.size, quota->second);
    }

    /// Returns the resources committed to the team, including the placements of this proposal.
    Resources &committedTo(const TeamId &team)
    {
        const auto [it, added] = m_committedByTeam.try_emplace(team);
        if (added) {
            const auto known = m_holder.state.committedByTeam.find(team);
            it->second =
                known == m_holder.state.committedByTeam.end() ? Resources{} : known->second;
        }
        return it->second;
    }

    /// Returns whether one of @p failed is at most as large as @p size. Free capacity only shrinks
    /// within a proposal, so if a size does not fit, a larger one does not fit either.
    static bool isKnownNotToFit(const std::vector<Resources> &failed, const Resources &size)
    {
        return std::any_of(failed.begin(), failed.end(),
                           [&size](const Resources &known) { return fits(known, size); });
    }

    static void addFailedSize(std::vector<Resources> &failed, const Resources &size)
    {
        // Drops the larger sizes, because the smaller one rules out all that they rule out.
        std::erase_if(failed, [&size](const Resources &known) { return fits(size, known); });
        if (failed.size() < maxFailedSizes) {
            failed.push_back(size);
        }
    }

    /// Returns the number of placed tasks of the job by rack index, including the placements of
    /// this proposal.
    std::vector<std::uint32_t> &placementsByRack(const JobId &job)
    {
        const auto [it, added] = m_placementsByJobAndRack.try_emplace(job);
        if (added) {
            it->second.assign(m_rackIndex.size(), 0);
            const auto known = m_holder.placementsByJobAndRack.find(job);
            if (known != m_holder.placementsByJobAndRack.end()) {
                for (const auto &[rack, count] : known->second) {
                    const auto index = m_rackIndex.find(rack);
                    if (index != m_rackIndex.end()) {
                        it->second[index->second] = count;
                    }
                }
            }
        }
        return it->second;
    }

    std::optional<std::size_t> chooseHost(const Task &task)
    {
        // Hosts where this task failed are used only if no other host fits, and so are hosts on
        // probation, except for batch tasks, which serve as trial tasks.
        for (const bool lastResort : {false, true}) {
            collectCandidates(task, lastResort);
            if (const auto index = m_holder.options.placement.choose(m_candidates, task)) {
                return m_candidateIndices[*index];
            }
        }
        return std::nullopt;
    }

    void collectCandidates(const Task &task, bool lastResort)
    {
        m_candidates.clear();
        m_candidateIndices.clear();
        const bool batch = task.spec.taskClass == TaskClass::Batch;
        const auto &racks = placementsByRack(task.spec.job);
        for (std::size_t n = 0; n < m_eligibleHosts.size(); ++n) {
            const EligibleHost &target = m_eligibleHosts[n];
            if (!fits(task.spec.size, target.available) || target.hasTrialTask
                || (target.reservedFor != nullptr && *target.reservedFor != task.spec.id)) {
                continue;
            }
            const bool avoided = (target.onProbation && !batch)
                                 || (!target.view->failedTasks.empty()
                                     && target.view->failedTasks.contains(task.spec.id));
            if (avoided != lastResort) {
                continue;
            }
            m_candidates.push_back({.host = target.host,
                                    .available = target.available,
                                    .sameJobInRack = racks[target.rack],
                                    .interference = batch ? target.interferenceForBatch
                                                          : target.interferenceForLatencyCritical});
            m_candidateIndices.push_back(n);
        }
    }

    /// Places the task. If the host has no fresh permit, only requests one, and reserves the
    /// capacity for the rest of this proposal.
    void placeOnHost(const Task &task, EligibleHost &target)
    {
        target.available = target.available - task.spec.size;
        target.hasTrialTask = target.onProbation;
        Resources &load = task.spec.taskClass == TaskClass::Batch ? target.load.batch
                                                                  : target.load.latencyCritical;
        load = load + task.spec.size;
        estimateInterference(target);
        ++placementsByRack(task.spec.job)[target.rack];
        Resources &team = committedTo(task.spec.team);
        team = team + task.spec.size;
        m_refillAllowance -= 1;
        if (!target.hasFreshPermit) {
            target.view->needsPermit = true;
            return;
        }
        addChange(TaskPlaced{task.spec.id, task.incarnation + 1, target.host->id},
                  task.spec.id.value.size() + target.host->id.value.size());
        m_proposal.containsStart = true;
        m_proposal.permits.try_emplace(target.host->id, target.view->permit,
                                       *target.view->permitReceivedAt);
    }

    /// Returns whether evictions for @p task are still in progress.
    bool isPreemptionInProgress(const TaskId &task)
    {
        const auto known = m_holder.preemptions.find(task);
        if (known == m_holder.preemptions.end()) {
            return false;
        }
        const auto &victims = known->second.victims;
        if (std::any_of(victims.begin(), victims.end(), [this](const TaskRun &run) {
                return findPlacedTask(m_holder.state, run) != nullptr;
            })) {
            return true;
        }
        m_holder.preemptions.erase(known);
        return false;
    }

    void startPreemptionFor(const Task &task)
    {
        if (isPreemptionInProgress(task.spec.id) || m_preemptions >= maxPreemptions
            || isKnownNotToFit(m_failedPreemptions, task.spec.size)) {
            return;
        }
        // On the host with the smallest shortage the fewest batch tasks have to be evicted.
        EligibleHost *best = nullptr;
        double lowestShortage = 0;
        for (EligibleHost &target : m_eligibleHosts) {
            const Resources lacking = task.spec.size - target.available;
            if (target.reservedFor != nullptr || target.onProbation
                || target.view->unansweredOrders > 0
                || !fits(task.spec.size, target.available + target.evictable)) {
                continue;
            }
            const double shortage =
                std::max(0.0, ratio(lacking.milliCores, target.host->capacity.milliCores))
                + std::max(0.0, ratio(lacking.memoryMiB, target.host->capacity.memoryMiB))
                + std::max(0.0, ratio(lacking.accelerators, target.host->capacity.accelerators));
            if (best == nullptr || shortage < lowestShortage) {
                best = &target;
                lowestShortage = shortage;
            }
        }
        if (best != nullptr) {
            evictBatchTasksFor(task, *best);
        } else {
            addFailedSize(m_failedPreemptions, task.spec.size);
        }
    }

    /// Evicts batch tasks from the host until @p task fits: first those that are being stopped
    /// already, then the most recently accepted ones.
    void evictBatchTasksFor(const Task &task, EligibleHost &target)
    {
        std::vector<const Task *> batch;
        for (const TaskId &id : target.host->tasks) {
            const Task &placed = m_holder.state.tasks.at(id);
            if (placed.spec.taskClass == TaskClass::Batch) {
                batch.push_back(&placed);
            }
        }
        std::sort(batch.begin(), batch.end(), [this](const Task *a, const Task *b) {
            const bool aStops = m_holder.stoppingRuns.contains({a->spec.id, a->incarnation});
            const bool bStops = m_holder.stoppingRuns.contains({b->spec.id, b->incarnation});
            return aStops != bStops ? aStops : a->acceptanceNumber > b->acceptanceNumber;
        });
        Preemption preemption{.host = target.host->id, .victims = {}};
        Resources available = target.available;
        for (const Task *const victim : batch) {
            const Resources lacking = task.spec.size - available;
            if (fits(lacking, {})) {
                break;
            }
            const Resources &gain = victim->spec.size;
            if ((lacking.milliCores <= 0 || gain.milliCores == 0)
                && (lacking.memoryMiB <= 0 || gain.memoryMiB == 0)
                && (lacking.accelerators <= 0 || gain.accelerators == 0)) {
                continue;
            }
            available = available + gain;
            preemption.victims.insert({victim->spec.id, victim->incarnation});
        }
        if (!fits(task.spec.size, available)) {
            return;
        }
        for (const TaskRun &victim : preemption.victims) {
            m_holder.stoppingRuns.emplace(victim, ReleaseReason::Evicted);
        }
        const auto stored =
            m_holder.preemptions.insert_or_assign(task.spec.id, std::move(preemption)).first;
        target.reservedFor = &stored->first;
        ++m_preemptions;
    }

    Holder &m_holder;
    TimePoint m_now;
    Proposal m_proposal;
    std::size_t m_bytes = 0;
    std::set<TaskRun> m_released;
    std::vector<EligibleHost> m_eligibleHosts;
    std::unordered_map<RackId, std::size_t> m_rackIndex;
    std::vector<Resources> m_capacities;
    std::unordered_map<TeamId, Resources> m_committedByTeam;
    std::unordered_map<JobId, std::vector<std::uint32_t>> m_placementsByJobAndRack;
    std::vector<Resources> m_failedSizes;
    std::vector<Resources> m_failedPreemptions;
    std::vector<HostCandidate> m_candidates;
    std::vector<std::size_t> m_candidateIndices;
    /// Number of placements that may still be added; in effect unlimited, except for some time
    /// after the failure domain has returned to service.
    double m_refillAllowance = 1e18;
    std::size_t m_preemptions = 0;
};

} // namespace

Proposal proposeChanges(Holder &holder, TimePoint now)
{
    if (!holder.platformReachable) {
        return {};
    }
    return ProposalBuilder(holder, now).build();
}

} // namespace acaciadeal
