#include "scheduling/holder.h"
#include "scheduling/internal/holderdetail.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciadeal {

using internal::lapseBound;
using internal::placedTask;

namespace {

// A permit has to outlast the append and the way to the worker, so half of the window is left.
constexpr int permitShare = 2;
// Longest wait for an answer before a host without a fresh permit is passed over.
constexpr milliseconds answerTime{500};
// Most waiting tasks looked at in one proposal; the next one goes on behind them.
constexpr std::size_t scanLimit = 2'048;
// Tasks at the head of the queue that every proposal looks at first.
constexpr std::size_t headLimit = 256;
// Most evictions for urgent tasks that one proposal begins with.
constexpr std::size_t preemptionLimit = 16;
// Sizes that are known not to fit; a longer list costs more than it saves.
constexpr std::size_t failedSizeLimit = 64;
// Details come from workers and share the entry with other changes.
constexpr std::size_t detailLimit = 200;
// An entry has at most 64 KB; the rest is for changes of the caller.
constexpr std::size_t byteBudget = 56 * 1024;
// Placements per second from which the rate after a return is no longer limited: above the peak of
// 790 starts a second.
constexpr double unlimitedRate = 1'000;

/// Host that may take starts, as the placements of this proposal leave it.
struct Slot
{
    const HostState *host = nullptr;
    WorkerView *view = nullptr;
    /// Placed batch work that can be evicted, without placements of this proposal.
    Resources evictable;
    HostLoad load;
    Resources available;
    std::size_t rack = 0;
    bool fresh = false;
    bool probation = false;
    bool trialTaken = false;
    /// Task for which room is being made on the host, if any.
    const TaskId *reservedFor = nullptr;
    double batchHarm = 0;
    double latencyHarm = 0;
};

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

/// Estimates the harm to latency-critical work from the load of the host and from what the other
/// class has of it. Reported usage counts where it exceeds the declared sizes.
void estimateHarm(Slot &slot)
{
    const std::int64_t cores = slot.host->capacity.milliCores;
    const std::int64_t committed = cores - slot.available.milliCores;
    const double load =
        std::min(1.0, std::max(ratio(committed, cores), ratio(slot.load.usedMilliCores, cores)));
    slot.latencyHarm = load * std::min(1.0, ratio(slot.load.batch.milliCores, cores));
    slot.batchHarm = load * std::min(1.0, ratio(slot.load.latencyCritical.milliCores, cores));
}

class Proposer
{
public:
    Proposer(Holder &holder, TimePoint now)
        : m_holder(holder)
        , m_now(now)
    {
    }

    Proposal run()
    {
        recordResults();
        recordAbsent();
        recordLapses();
        recordExpiredStarts();
        if (m_holder.domainIn) {
            beginRefill();
            buildSlots();
            placeWaiting();
        }
        return std::move(m_proposal);
    }

private:
    bool isFull() const
    {
        return m_proposal.changes.size() >= m_holder.options.maxChangesPerEntry
               || m_bytes >= byteBudget;
    }

    void add(Change change, std::size_t textSize)
    {
        // Fixed part of a change: union type, offsets and table, lengths and padding of strings.
        m_bytes += 56 + textSize;
        m_proposal.changes.push_back(std::move(change));
    }

    void release(const TaskRun &run, ReleaseReason reason, std::string checkpoint,
                 std::string detail)
    {
        if (placedTask(m_holder.state, run) == nullptr || !m_released.insert(run).second) {
            return;
        }
        detail.resize(std::min(detail.size(), detailLimit));
        const std::size_t size = run.task.value.size() + checkpoint.size() + detail.size();
        add(TaskReleased{run.task, run.incarnation, reason, std::move(checkpoint),
                         std::move(detail)},
            size);
    }

    void recordResults()
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
                const auto stop = m_holder.stopping.find(run);
                reason = stop == m_holder.stopping.end() ? ReleaseReason::Evicted : stop->second;
            }
            release(run, reason, ended.checkpoint, ended.detail);
        }
    }

    void recordAbsent()
    {
        for (const auto &[run, reason] : m_holder.absent) {
            if (isFull()) {
                return;
            }
            release(run, reason, {}, {});
        }
    }

    void recordLapses()
    {
        for (const auto &[id, view] : m_holder.workers) {
            const auto bound = lapseBound(view);
            if (!view.confirmedOff && !(bound && m_now > *bound)) {
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
                    release(run, ReleaseReason::HostLost, {},
                            view.confirmedOff ? "host confirmed off" : "lease lapsed");
                }
            }
        }
    }

    /// Expires starts that were never sent. A start that was sent is absent or running as soon as
    /// the worker answers; see onReport().
    void recordExpiredStarts()
    {
        for (auto &[run, pending] : m_holder.pendingStarts) {
            if (isFull()) {
                return;
            }
            pending.withdrawn =
                pending.withdrawn || !internal::withinWindow(m_holder, pending, m_now);
            if (!pending.sent && pending.withdrawn) {
                release(run, ReleaseReason::StartExpired, {}, {});
            }
        }
    }

    void beginRefill()
    {
        if (!m_holder.domainInSince) {
            return;
        }
        const std::chrono::duration<double> elapsed = m_now - *m_holder.domainInSince;
        const double first = m_holder.options.refillPerSecond;
        if (first * (1 + elapsed.count()) >= unlimitedRate) {
            m_holder.domainInSince.reset();
            return;
        }
        // The rate is `first` in the first second and grows by `first` every second.
        const double whole = std::floor(elapsed.count());
        const double allowed =
            first * (whole * (whole + 1) / 2 + (elapsed.count() - whole) * (whole + 1));
        m_refill = std::max(0.0, allowed - static_cast<double>(m_holder.refilled));
    }

    bool isEligible(const HostState &host, WorkerView &view) const
    {
        if (!host.acceptsTasks || !view.epochAcknowledged || view.confirmedOff
            || view.unanswered >= m_holder.options.unreachableAfter) {
            return false;
        }
        const auto bound = lapseBound(view);
        if (!host.tasks.empty() && bound && m_now > *bound) {
            return false; // Its tasks are being released; the worker has to answer first.
        }
        return isFresh(view)
               || (view.unanswered == 0
                   && (!view.orderInFlight || m_now - *view.lastOrderAt < answerTime));
    }

    bool isFresh(const WorkerView &view) const
    {
        return view.permit != 0 && view.permitReceivedAt
               && m_now - *view.permitReceivedAt < m_holder.options.startWindow / permitShare;
    }

    void endOutlastedTrial(WorkerView &view) const
    {
        if (view.trial && view.running.contains(*view.trial)
            && m_now - view.trialStartedAt >= m_holder.options.trialPeriod) {
            view.trial.reset();
            view.failedTasks.clear();
        }
    }

    void buildSlots()
    {
        // Evictions on a host that does not answer may take a lease to be proved, which is longer
        // than an urgent task may wait.
        std::erase_if(m_holder.preemptions, [this](const auto &item) {
            const auto view = m_holder.workers.find(item.second.host);
            return !m_holder.waitingSince.contains(item.first) || view == m_holder.workers.end()
                   || view->second.unanswered > 0;
        });
        std::map<HostId, const TaskId *> reserved;
        for (const auto &[task, preemption] : m_holder.preemptions) {
            reserved[preemption.host] = &task;
        }
        m_slots.reserve(m_holder.state.hosts.size());
        for (const auto &[id, host] : m_holder.state.hosts) {
            addCapacity(host.capacity);
            const auto worker = m_holder.workers.find(id);
            if (worker == m_holder.workers.end()) {
                continue;
            }
            WorkerView &view = worker->second;
            endOutlastedTrial(view);
            const bool probation = isOnProbation(m_holder, id);
            if (!isEligible(host, view)) {
                continue;
            }
            const HostLoad &load = m_holder.loads[id];
            Slot slot{.host = &host,
                      .view = &view,
                      .evictable = load.batch,
                      .load = load,
                      .available = host.capacity - host.committed,
                      .rack = m_rackIndex.try_emplace(host.rack, m_rackIndex.size()).first->second,
                      .fresh = isFresh(view),
                      .probation = probation,
                      .trialTaken = probation && view.trial.has_value()};
            if (const auto task = reserved.find(id); task != reserved.end()) {
                slot.reservedFor = task->second;
            }
            estimateHarm(slot);
            m_slots.push_back(slot);
        }
    }

    /// Keeps the distinct capacities; hosts come in few sizes.
    void addCapacity(const Resources &capacity)
    {
        if (std::find(m_capacities.begin(), m_capacities.end(), capacity) == m_capacities.end()) {
            m_capacities.push_back(capacity);
        }
    }

    void placeWaiting()
    {
        const auto &queue = m_holder.state.queue;
        std::size_t looked = 0;
        auto it = queue.begin();
        while (it != queue.end() && looked < headLimit && canGoOn()) {
            placeOne(it->second);
            ++it;
            ++looked;
        }
        if (m_holder.scanPosition && it != queue.end()) {
            const auto position = queue.lower_bound(*m_holder.scanPosition);
            if (position != queue.end() && it->first < position->first) {
                it = position;
            }
        }
        while (it != queue.end() && looked < scanLimit && canGoOn()) {
            placeOne(it->second);
            ++it;
            ++looked;
        }
        m_holder.scanPosition.reset();
        if (it != queue.end()) {
            m_holder.scanPosition = it->first;
        }
    }

    bool canGoOn() const
    {
        return !isFull() && m_refill >= 1;
    }

    void placeOne(const TaskId &id)
    {
        const Task &task = m_holder.state.tasks.at(id);
        const Resources &size = task.spec.size;
        if (isTooLarge(size)) {
            reject(task);
            return;
        }
        if (isBeyondQuota(task)) {
            return;
        }
        // A host may be reserved for this very task, so its size says nothing then.
        if (m_holder.preemptions.contains(id) || !covers(m_failedSizes, size)) {
            if (const auto chosen = choose(task)) {
                place(task, m_slots[*chosen]);
                return;
            }
            noteFailure(m_failedSizes, size);
        }
        if (task.spec.taskClass == TaskClass::Urgent) {
            preempt(task);
        }
    }

    bool isTooLarge(const Resources &size) const
    {
        return !m_capacities.empty()
               && std::none_of(m_capacities.begin(), m_capacities.end(),
                               [&size](const Resources &capacity) { return fits(size, capacity); });
    }

    void reject(const Task &task)
    {
        Resources largest;
        for (const Resources &capacity : m_capacities) {
            largest.milliCores = std::max(largest.milliCores, capacity.milliCores);
            largest.memoryMiB = std::max(largest.memoryMiB, capacity.memoryMiB);
            largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
        }
        const Resources &size = task.spec.size;
        const auto part = [](const char *name, std::int64_t needed, std::int64_t most) {
            return std::string(name) + " " + std::to_string(needed) + " (largest "
                   + std::to_string(most) + ")";
        };
        const std::string reason = "no host is large enough: needs "
                                   + part("millicores", size.milliCores, largest.milliCores) + ", "
                                   + part("MiB", size.memoryMiB, largest.memoryMiB) + ", "
                                   + part("accelerators", size.accelerators, largest.accelerators);
        add(TaskRejected{task.spec.id, reason}, task.spec.id.value.size() + reason.size());
    }

    bool isBeyondQuota(const Task &task)
    {
        const auto quota = m_holder.options.quotas.find(task.spec.team);
        if (quota == m_holder.options.quotas.end()) {
            return false;
        }
        return !fits(committedTo(task.spec.team) + task.spec.size, quota->second);
    }

    /// Amounts of the team, including the placements of this proposal.
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

    /// Returns whether one of @p failed is at most as large as @p size. Room only shrinks within a
    /// proposal, so a larger task fails as well.
    static bool covers(const std::vector<Resources> &failed, const Resources &size)
    {
        return std::any_of(failed.begin(), failed.end(),
                           [&size](const Resources &known) { return fits(known, size); });
    }

    static void noteFailure(std::vector<Resources> &failed, const Resources &size)
    {
        // The smaller size covers everything that a larger one covers.
        std::erase_if(failed, [&size](const Resources &known) { return fits(size, known); });
        if (failed.size() < failedSizeLimit) {
            failed.push_back(size);
        }
    }

    /// Placed tasks of the job by rack index, including the placements of this proposal.
    std::vector<std::uint32_t> &racksOf(const JobId &job)
    {
        const auto [it, added] = m_racksOfJob.try_emplace(job);
        if (added) {
            it->second.assign(m_rackIndex.size(), 0);
            const auto known = m_holder.racksOfJob.find(job);
            if (known != m_holder.racksOfJob.end()) {
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

    std::optional<std::size_t> choose(const Task &task)
    {
        // Hosts on probation, and hosts where this task failed, are the last resort of tasks that
        // are no fit for a trial.
        for (const bool lastResort : {false, true}) {
            collectCandidates(task, lastResort);
            if (const auto index = m_holder.options.placement.choose(m_candidates, task)) {
                return m_candidateSlots[*index];
            }
        }
        return std::nullopt;
    }

    void collectCandidates(const Task &task, bool lastResort)
    {
        m_candidates.clear();
        m_candidateSlots.clear();
        const bool batch = task.spec.taskClass == TaskClass::Batch;
        const auto &racks = racksOf(task.spec.job);
        for (std::size_t n = 0; n < m_slots.size(); ++n) {
            const Slot &slot = m_slots[n];
            if (!fits(task.spec.size, slot.available) || slot.trialTaken
                || (slot.reservedFor != nullptr && *slot.reservedFor != task.spec.id)) {
                continue;
            }
            const bool avoided = (slot.probation && !batch)
                                 || (!slot.view->failedTasks.empty()
                                     && slot.view->failedTasks.contains(task.spec.id));
            if (avoided != lastResort) {
                continue;
            }
            m_candidates.push_back({.host = slot.host,
                                    .available = slot.available,
                                    .sameJobInRack = racks[slot.rack],
                                    .interference = batch ? slot.batchHarm : slot.latencyHarm});
            m_candidateSlots.push_back(n);
        }
    }

    /// Places the task, or asks for a permit and keeps the room until the next proposal.
    void place(const Task &task, Slot &slot)
    {
        slot.available = slot.available - task.spec.size;
        slot.trialTaken = slot.probation;
        Resources &load =
            task.spec.taskClass == TaskClass::Batch ? slot.load.batch : slot.load.latencyCritical;
        load = load + task.spec.size;
        estimateHarm(slot);
        ++racksOf(task.spec.job)[slot.rack];
        Resources &team = committedTo(task.spec.team);
        team = team + task.spec.size;
        m_refill -= 1;
        if (!slot.fresh) {
            slot.view->permitWanted = true;
            return;
        }
        add(TaskPlaced{task.spec.id, task.incarnation + 1, slot.host->id},
            task.spec.id.value.size() + slot.host->id.value.size());
        m_proposal.containsStart = true;
        m_proposal.permits.try_emplace(slot.host->id, slot.view->permit,
                                       *slot.view->permitReceivedAt);
    }

    /// Returns whether evictions for @p task are still under way.
    bool isMakingRoom(const TaskId &task)
    {
        const auto known = m_holder.preemptions.find(task);
        if (known == m_holder.preemptions.end()) {
            return false;
        }
        const auto &victims = known->second.victims;
        if (std::any_of(victims.begin(), victims.end(), [this](const TaskRun &run) {
                return placedTask(m_holder.state, run) != nullptr;
            })) {
            return true;
        }
        m_holder.preemptions.erase(known);
        return false;
    }

    void preempt(const Task &task)
    {
        if (isMakingRoom(task.spec.id) || m_preemptions >= preemptionLimit
            || covers(m_failedPreemptions, task.spec.size)) {
            return;
        }
        // The host that lacks the least loses the fewest batch tasks.
        Slot *best = nullptr;
        double lowest = 0;
        for (Slot &slot : m_slots) {
            const Resources lacking = task.spec.size - slot.available;
            if (slot.reservedFor != nullptr || slot.probation || slot.view->unanswered > 0
                || !fits(task.spec.size, slot.available + slot.evictable)) {
                continue;
            }
            const double shortage =
                std::max(0.0, ratio(lacking.milliCores, slot.host->capacity.milliCores))
                + std::max(0.0, ratio(lacking.memoryMiB, slot.host->capacity.memoryMiB))
                + std::max(0.0, ratio(lacking.accelerators, slot.host->capacity.accelerators));
            if (best == nullptr || shortage < lowest) {
                best = &slot;
                lowest = shortage;
            }
        }
        if (best != nullptr) {
            evictFor(task, *best);
        } else {
            noteFailure(m_failedPreemptions, task.spec.size);
        }
    }

    /// Stops batch tasks of the host, the youngest first, until @p task fits.
    void evictFor(const Task &task, Slot &slot)
    {
        std::vector<const Task *> batch;
        for (const TaskId &id : slot.host->tasks) {
            const Task &placed = m_holder.state.tasks.at(id);
            if (placed.spec.taskClass == TaskClass::Batch) {
                batch.push_back(&placed);
            }
        }
        std::sort(batch.begin(), batch.end(), [this](const Task *a, const Task *b) {
            const bool aStops = m_holder.stopping.contains({a->spec.id, a->incarnation});
            const bool bStops = m_holder.stopping.contains({b->spec.id, b->incarnation});
            return aStops != bStops ? aStops : a->acceptanceNumber > b->acceptanceNumber;
        });
        Preemption preemption{.host = slot.host->id, .victims = {}};
        Resources available = slot.available;
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
            m_holder.stopping.emplace(victim, ReleaseReason::Evicted);
        }
        const auto stored =
            m_holder.preemptions.insert_or_assign(task.spec.id, std::move(preemption)).first;
        slot.reservedFor = &stored->first;
        ++m_preemptions;
    }

    Holder &m_holder;
    TimePoint m_now;
    Proposal m_proposal;
    std::size_t m_bytes = 0;
    std::set<TaskRun> m_released;
    std::vector<Slot> m_slots;
    std::unordered_map<RackId, std::size_t> m_rackIndex;
    std::vector<Resources> m_capacities;
    std::unordered_map<TeamId, Resources> m_committedByTeam;
    std::unordered_map<JobId, std::vector<std::uint32_t>> m_racksOfJob;
    std::vector<Resources> m_failedSizes;
    std::vector<Resources> m_failedPreemptions;
    std::vector<HostCandidate> m_candidates;
    std::vector<std::size_t> m_candidateSlots;
    double m_refill = 1e18;
    std::size_t m_preemptions = 0;
};

} // namespace

Proposal propose(Holder &holder, TimePoint now)
{
    if (!holder.platformReachable) {
        return {};
    }
    return Proposer(holder, now).run();
}

} // namespace acaciadeal
