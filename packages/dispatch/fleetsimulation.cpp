#include "dispatch/fleetsimulation.h"

#include "dispatch/simulatedload.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <queue>
#include <sstream>
#include <utility>

namespace acaciadeal {
namespace {

using std::chrono::seconds;

const TimePoint simulationStart = TimePoint(std::chrono::hours(1));

/// Number of hosts at the start.
constexpr int hostCount = 48;
/// One host in three is large.
constexpr Resources smallHost{.milliCores = 16000, .memoryMiB = 64000};
constexpr Resources largeHost{.milliCores = 24000, .memoryMiB = 96000};

/// Number of long-running jobs at the start.
constexpr int initialJobs = 37;
/// During a burst, long-running jobs arrive this many times as often.
constexpr double burstFactor = 9.0;
constexpr Duration burstStart = seconds(1);
constexpr Duration burstEnd = seconds(10);
/// Arrival rates in jobs per second.
constexpr double urgentRate = 22.0;
constexpr double batchRate = 12.0;
constexpr double longRunningRate = 0.62;
/// Mean time from the submission of a long-running job to its cancellation.
constexpr Duration meanJobLifetime = seconds(70);

/// One-way network delay between the holder and a host: minimum, and mean of the additional random
/// delay.
constexpr Duration minNetworkDelay = milliseconds(1);
constexpr Duration meanExtraNetworkDelay = std::chrono::microseconds(400);
/// Time to write progress to the store: minimum, and mean of the additional random time.
constexpr Duration minWriteTime = milliseconds(6);
constexpr Duration meanExtraWriteTime = milliseconds(2);
/// Time for which run ends are collected before a write; the shorter one applies if a job has
/// ended.
constexpr Duration flushDelay = milliseconds(60);
constexpr Duration shortFlushDelay = milliseconds(4);
/// Delay from an event to the scheduling round that takes it into account.
constexpr Duration planDelay = milliseconds(5);
/// Time after which a host answers a renewal although no run has ended.
constexpr Duration renewalWait = milliseconds(450);
/// Delay before the next renewal with a host whose run ends are still being stored.
constexpr Duration renewalRetryDelay = milliseconds(200);
/// Mean time between pauses in which the holder gets no processor time, and their shortest and
/// longest length.
constexpr Duration meanPauseInterval = milliseconds(400);
constexpr Duration shortestPause = milliseconds(20);
constexpr Duration longestPause = milliseconds(50);
/// Time after which the outcome of an unanswered start order counts as unknown.
constexpr Duration startTimeout = milliseconds(200);
/// Time from when a host stops answering until its renewals time out, and until its lease has
/// expired.
constexpr Duration renewalTimeout = milliseconds(900);
constexpr Duration leaseExpiresAfter = milliseconds(6200);

/// Time from a planned stop of the holder until its successor has read the jobs and the runs.
constexpr Duration takeoverTime = milliseconds(500);
constexpr std::uint64_t runsPerHolder = 100000;

/// Time between samples of the hosts' true state.
constexpr Duration sampleInterval = milliseconds(500);

struct SimulatedRun
{
    std::uint64_t run = 0;
    Resources size;
    TimePoint startedAt;
    /// Run time if the run succeeds.
    Duration length{0};
};

/// The true state of a host, and the state of the holder's lease renewals with it.
struct SimulatedHost
{
    HostId id;
    Resources capacity;
    /// Resources used by runs. Backfill tasks count only with their memory, as they use processors
    /// that others leave idle.
    Resources used;
    std::map<TaskKey, SimulatedRun> runs;
    std::vector<ReportedRunEnd> ended;
    std::uint64_t endCount = 0;
    bool unresponsive = false;
    /// Whether a renewal is being sent, is held by the host or is being answered.
    bool renewing = false;
    TimePoint renewalSentAt;
    /// Whether the host holds the renewal until a run ends or renewalWait has passed.
    bool waitsForEnds = false;
    /// Number of answered renewals.
    std::uint64_t renewals = 0;
};

struct Event
{
    TimePoint at;
    /// Orders events with equal times.
    std::uint64_t number = 0;
    /// Whether the event happens at the holder and is therefore delayed while the holder pauses.
    bool atHolder = false;
    std::function<void()> run;
};

struct IsLater
{
    bool operator()(const Event &a, const Event &b) const
    {
        return std::pair(a.at, a.number) > std::pair(b.at, b.number);
    }
};

struct Simulation
{
    FleetSimulationOptions options;
    Random random;
    TimePoint now = simulationStart;
    std::priority_queue<Event, std::vector<Event>, IsLater> events;
    std::uint64_t eventCount = 0;
    Dispatcher dispatcher;
    /// Number of changes of the holder so far.
    std::uint64_t holder = 0;
    TimePoint holderPausedUntil;
    /// When the current holder begins to work.
    TimePoint takenOverAt = simulationStart;
    bool planScheduled = false;
    bool writing = false;
    std::optional<TimePoint> flushDue;
    std::map<HostId, SimulatedHost> hosts;
    std::map<JobId, SimulatedJob> jobs;
    /// Tasks that have failed once through a fault of their own; their later runs succeed.
    std::set<TaskKey> failedOnce;
    RestartWatch watch;
    int jobCount = 0;
    int hostNumber = 0;
    Duration urgentWait{0};
    int urgentStarts = 0;
    FleetSimulationResult result;
};

void post(Simulation &sim, Duration delay, std::function<void()> run)
{
    sim.events.push({sim.now + delay, ++sim.eventCount, false, std::move(run)});
}

void postToHolder(Simulation &sim, Duration delay, std::function<void()> run)
{
    sim.events.push({sim.now + delay, ++sim.eventCount, true, std::move(run)});
}

/// Posts what only the current holder does or learns; its successor does not.
void postToCurrentHolder(Simulation &sim, Duration delay, std::function<void()> run)
{
    postToHolder(sim, delay, [&sim, holder = sim.holder, run = std::move(run)] {
        if (holder == sim.holder) {
            run();
        }
    });
}

Duration drawNetworkDelay(Simulation &sim)
{
    return minNetworkDelay + exponential(sim.random, meanExtraNetworkDelay);
}

/// Returns the host, or nullptr if it does not exist or does not answer.
SimulatedHost *findRespondingHost(Simulation &sim, const HostId &id)
{
    const auto it = sim.hosts.find(id);
    return it == sim.hosts.end() || it->second.unresponsive ? nullptr : &it->second;
}

Resources committedSize(const StepSpec &step)
{
    return step.backfill ? Resources{.memoryMiB = step.taskSize.memoryMiB} : step.taskSize;
}

void sendRenewal(Simulation &sim, SimulatedHost &host, Duration wait);
void schedulePlan(Simulation &sim);
void scheduleFlush(Simulation &sim);

void startNextRenewal(Simulation &sim, SimulatedHost &host)
{
    const FleetHost *const known = findHost(sim.dispatcher.fleet, host.id);
    if (known == nullptr || host.renewing || host.unresponsive) {
        return;
    }
    if (known->lastSeenEnd == known->lastDurableEnd) {
        sendRenewal(sim, host, renewalWait);
        return;
    }
    // The host would answer at once with the same run ends, which are still being stored.
    postToCurrentHolder(sim, renewalRetryDelay, [&sim, id = host.id, renewals = host.renewals] {
        SimulatedHost *const later = findRespondingHost(sim, id);
        if (later != nullptr && !later->renewing && later->renewals == renewals) {
            sendRenewal(sim, *later, Duration(0));
        }
    });
}

void flush(Simulation &sim)
{
    FleetState &fleet = sim.dispatcher.fleet;
    const bool writes = !fleet.dirty.empty();
    fleet.dirty.clear();
    std::map<HostId, std::uint64_t> ends;
    for (const auto &[id, host] : fleet.hosts) {
        ends[id] = host.lastSeenEnd;
    }
    sim.writing = true;
    const Duration writeDuration =
        writes ? minWriteTime + exponential(sim.random, meanExtraWriteTime) : Duration(0);
    postToCurrentHolder(sim, writeDuration, [&sim, ends] {
        sim.writing = false;
        for (const auto &[id, number] : ends) {
            if (FleetHost *const host = findHost(sim.dispatcher.fleet, id)) {
                host->lastDurableEnd = std::max(host->lastDurableEnd, number);
            }
        }
        scheduleFlush(sim);
        for (auto &[id, host] : sim.hosts) {
            startNextRenewal(sim, host);
        }
    });
}

void scheduleFlush(Simulation &sim)
{
    FleetState &fleet = sim.dispatcher.fleet;
    const bool clean = fleet.dirty.empty()
                       && std::all_of(fleet.hosts.begin(), fleet.hosts.end(), [](const auto &it) {
                              return it.second.lastSeenEnd == it.second.lastDurableEnd;
                          });
    if (sim.writing || clean) {
        return;
    }
    const bool jobEnded =
        std::any_of(fleet.dirty.begin(), fleet.dirty.end(), [&fleet](const JobId &id) {
            const JobRuntime *const job = findJob(fleet, id);
            return job != nullptr && isTerminal(job->progress.outcome);
        });
    const Duration delay = jobEnded ? shortFlushDelay : flushDelay;
    const TimePoint due = sim.now + delay;
    if (sim.flushDue && *sim.flushDue <= due) {
        return;
    }
    sim.flushDue = due;
    postToCurrentHolder(sim, delay, [&sim, due] {
        if (sim.flushDue == due) {
            sim.flushDue.reset();
            flush(sim);
        }
    });
}

/// Counts the hosts that became avoided, and schedules the write and the scheduling round that a
/// change of the dispatcher's state requires.
void scheduleFollowUps(Simulation &sim)
{
    for (const DispatchEvent &event : std::exchange(sim.dispatcher.events, {})) {
        sim.result.hostsAvoided += event.kind == DispatchEvent::Kind::HostAvoided ? 1 : 0;
    }
    scheduleFlush(sim);
    schedulePlan(sim);
}

HostReport reportOf(const Simulation &sim, const SimulatedHost &host)
{
    HostReport report{.ended = host.ended};
    for (const auto &[key, run] : host.runs) {
        const StepSpec &step = sim.jobs.at(key.job).spec.steps[key.step];
        const double share = std::chrono::duration<double>(sim.now - run.startedAt) / run.length;
        report.active.push_back(
            {.task = key,
             .run = run.run,
             .percent = step.longRunning ? 100 : static_cast<int>(std::min(share, 0.99) * 100),
             .load = step.longRunning ? tailLatencyMs(step, sim.now - run.startedAt)
                                      : static_cast<double>(step.taskSize.milliCores)});
    }
    return report;
}

void answerRenewal(Simulation &sim, SimulatedHost &host)
{
    host.waitsForEnds = false;
    ++host.renewals;
    const auto apply = [&sim, id = host.id, report = reportOf(sim, host)] {
        SimulatedHost *const later = findRespondingHost(sim, id);
        if (later == nullptr) {
            return;
        }
        later->renewing = false;
        findHost(sim.dispatcher.fleet, id)->reachable = true;
        applyReport(sim.dispatcher, id, report, later->renewalSentAt, true, sim.now);
        scheduleFollowUps(sim);
        startNextRenewal(sim, *later);
    };
    postToCurrentHolder(sim, drawNetworkDelay(sim), apply);
}

void sendRenewal(Simulation &sim, SimulatedHost &host, Duration wait)
{
    host.renewing = true;
    host.renewalSentAt = sim.now;
    const std::uint64_t acknowledged = findHost(sim.dispatcher.fleet, host.id)->lastDurableEnd;
    const auto deliver = [&sim, id = host.id, wait, acknowledged, holder = sim.holder] {
        SimulatedHost *const later = findRespondingHost(sim, id);
        if (later == nullptr || holder != sim.holder) {
            return;
        }
        std::erase_if(later->ended, [acknowledged](const ReportedRunEnd &end) {
            return end.number <= acknowledged;
        });
        if (!later->ended.empty()) {
            answerRenewal(sim, *later);
            return;
        }
        later->waitsForEnds = true;
        post(sim, wait, [&sim, id, renewals = later->renewals] {
            SimulatedHost *const waiting = findRespondingHost(sim, id);
            if (waiting != nullptr && waiting->waitsForEnds && waiting->renewals == renewals) {
                answerRenewal(sim, *waiting);
            }
        });
    };
    post(sim, drawNetworkDelay(sim), deliver);
}

void endRun(Simulation &sim, const HostId &id, const TaskKey &task, std::uint64_t run, RunEnd end)
{
    SimulatedHost *const host = findRespondingHost(sim, id);
    if (host == nullptr) {
        return;
    }
    const auto it = host->runs.find(task);
    if (it == host->runs.end() || it->second.run != run) {
        return;
    }
    host->used = host->used - it->second.size;
    host->runs.erase(it);
    host->ended.push_back({.number = ++host->endCount, .task = task, .run = run, .end = end});
    recordRunEnd(sim.watch, task, false, sim.now);
    if (host->waitsForEnds) {
        answerRenewal(sim, *host);
    }
}

void beginRun(Simulation &sim, SimulatedHost &host, const StartRun &order)
{
    const SimulatedJob &job = sim.jobs.at(order.task.job);
    const StepSpec &step = job.spec.steps[order.task.step];
    const SimulatedRun run{.run = order.run,
                           .size = committedSize(step),
                           .startedAt = sim.now,
                           .length = drawRunTime(sim.random, job, order.task.step)};
    for (const auto &[id, other] : sim.hosts) {
        sim.result.doubleStarts += !other.unresponsive && other.runs.contains(order.task) ? 1 : 0;
    }
    host.runs.insert_or_assign(order.task, run);
    host.used = host.used + run.size;
    ++sim.result.starts;
    if (!fits(host.used, host.capacity)) {
        ++sim.result.overCommitments;
    }
    if (step.longRunning && !job.cancelled) {
        recordRunStart(sim.watch, order.task, step, sim.now);
    }
    const bool alwaysFails = sim.options.runsFail && job.firstTaskAlwaysFails
                             && order.task.step == 0 && order.task.index == 0;
    const bool fails = alwaysFails
                       || (sim.options.runsFail && chance(sim.random, failShareOf(job.kind))
                           && sim.failedOnce.insert(order.task).second);
    if (fails || !step.longRunning) {
        const Duration length = fails ? scaled(run.length, uniform(sim.random)) : run.length;
        post(sim, length, [&sim, id = host.id, task = order.task, number = run.run, fails] {
            endRun(sim, id, task, number, fails ? RunEnd::Failed : RunEnd::Done);
        });
    }
}

void sendStart(Simulation &sim, const StartRun &order)
{
    post(sim, drawNetworkDelay(sim), [&sim, order, holder = sim.holder] {
        SimulatedHost *const host = findRespondingHost(sim, order.host);
        const bool arrived = host != nullptr;
        if (arrived) {
            beginRun(sim, *host, order);
        }
        const auto learn = [&sim, order, arrived] {
            applyStartOutcome(sim.dispatcher, order,
                              arrived ? StartOutcome::Started : StartOutcome::Unknown, sim.now);
        };
        if (holder == sim.holder) {
            postToCurrentHolder(sim, arrived ? drawNetworkDelay(sim) : startTimeout, learn);
        }
    });
}

void planNow(Simulation &sim)
{
    const Orders orders = planAndRecord(sim.watch, sim.dispatcher, sim.now);
    for (const StopRun &order : orders.stops) {
        post(sim, drawNetworkDelay(sim),
             [&sim, order] { endRun(sim, order.host, order.task, order.run, RunEnd::Stopped); });
    }
    for (const StartRun &order : orders.starts) {
        if (sim.jobs.at(order.task.job).kind == JobKind::Urgent && order.task.step == 0
            && !sim.failedOnce.contains(order.task)) {
            sim.urgentWait += order.waited;
            ++sim.urgentStarts;
        }
        sendStart(sim, order);
    }
}

void schedulePlan(Simulation &sim)
{
    if (std::exchange(sim.planScheduled, true)) {
        return;
    }
    postToCurrentHolder(sim, planDelay, [&sim] {
        sim.planScheduled = false;
        planNow(sim);
    });
}

void submitJob(Simulation &sim, JobKind kind)
{
    SimulatedJob job = generateJob(sim.random, kind, ++sim.jobCount);
    const JobId id = job.spec.id;
    addJob(sim.dispatcher, job.spec, emptyProgress(job.spec), 0, false, sim.now);
    sim.jobs.emplace(id, std::move(job));
    scheduleFollowUps(sim);
    if (kind == JobKind::LongRunning) {
        postToHolder(sim, exponential(sim.random, meanJobLifetime), [&sim, id] {
            sim.jobs.at(id).cancelled = true;
            stopTrackingJob(sim.watch, id, sim.now);
            cancelJob(sim.dispatcher, id, sim.now);
            scheduleFollowUps(sim);
        });
    }
}

double rateOf(const Simulation &sim, JobKind kind)
{
    const Duration time = sim.now - simulationStart;
    switch (kind) {
    case JobKind::Urgent:
        return urgentRate;
    case JobKind::Batch:
        return batchRate * sim.options.batchShare;
    case JobKind::LongRunning:
        break;
    }
    return longRunningRate * (time >= burstStart && time < burstEnd ? burstFactor : 1.0);
}

void scheduleSubmissions(Simulation &sim, JobKind kind)
{
    // The rate changes within seconds, so the wait is drawn again after at most a tenth of a
    // second.
    const Duration maxWait = milliseconds(100);
    const double rate = rateOf(sim, kind);
    const Duration wait =
        rate > 0 ? exponential(sim.random, scaled(seconds(1), 1.0 / rate)) : 2 * maxWait;
    const bool submits = wait < maxWait;
    postToHolder(sim, std::min(wait, maxWait), [&sim, kind, submits] {
        if (submits) {
            submitJob(sim, kind);
        }
        scheduleSubmissions(sim, kind);
    });
}

void addHost(Simulation &sim, const Resources &capacity)
{
    const HostId id{"host" + std::to_string(++sim.hostNumber)};
    sim.dispatcher.fleet.hosts[id] = {.id = id,
                                      .service = simulatedService,
                                      .capacity = capacity,
                                      .listed = true,
                                      .reported = true,
                                      .reachable = true};
    SimulatedHost &host = sim.hosts[id];
    host.id = id;
    host.capacity = capacity;
    sim.watch.fleetChangedAt = sim.now;
    sendRenewal(sim, host, renewalWait);
    schedulePlan(sim);
}

void stopAnswering(Simulation &sim, SimulatedHost &host, Duration length)
{
    host.unresponsive = true;
    for (const auto &[task, run] : host.runs) {
        recordRunEnd(sim.watch, task, true, sim.now);
    }
    sim.watch.fleetChangedAt = sim.now;
    postToHolder(sim, renewalTimeout,
                 [&sim, id = host.id] { findHost(sim.dispatcher.fleet, id)->reachable = false; });
    postToHolder(sim, leaseExpiresAfter, [&sim, id = host.id] {
        declareRunsLost(sim.dispatcher, id, "the host does not answer and its lease has expired",
                        sim.now);
        sim.dispatcher.fleet.hosts.erase(id);
        scheduleFollowUps(sim);
    });
    postToHolder(sim, length, [&sim, capacity = host.capacity] { addHost(sim, capacity); });
}

void beginOutage(Simulation &sim, const Outage &outage)
{
    std::vector<SimulatedHost *> candidates;
    for (auto &[id, host] : sim.hosts) {
        if (!host.unresponsive) {
            candidates.push_back(&host);
        }
    }
    auto remaining = static_cast<std::size_t>(
        std::lround(outage.share * static_cast<double>(candidates.size())));
    for (; remaining > 0; --remaining) {
        const auto n =
            static_cast<std::size_t>(uniform(sim.random) * static_cast<double>(candidates.size()));
        stopAnswering(sim, *candidates[n], outage.length);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

/// Replaces the holder by one that takes over the jobs, the hosts and the runs that it ordered.
void replaceHolder(Simulation &sim)
{
    const Dispatcher previous = std::exchange(sim.dispatcher, {});
    ++sim.holder;
    sim.planScheduled = false;
    sim.writing = false;
    sim.flushDue.reset();
    sim.takenOverAt = sim.now + takeoverTime;
    sim.dispatcher.fleet.runNumberBase = sim.holder * runsPerHolder;
    for (const auto &[id, job] : previous.fleet.jobs) {
        addJob(sim.dispatcher, job->spec, job->progress, job->progressVersion, false, sim.now);
        if (sim.jobs.at(id).cancelled) {
            cancelJob(sim.dispatcher, id, sim.now);
        }
    }
    for (const auto &[id, host] : previous.fleet.hosts) {
        sim.dispatcher.fleet.hosts[id] = {
            .id = id, .service = host.service, .capacity = host.capacity, .listed = true};
        for (const auto &[task, run] : host.runs) {
            inheritRun(sim.dispatcher, id, task, run, sim.now);
        }
    }
    for (const auto &[task, wait] : waitingRestarts(previous, sim.now)) {
        inheritWait(sim.dispatcher, task, wait.run, sim.now - wait.waited);
    }
    for (auto &[id, host] : sim.hosts) {
        host.renewing = false;
        host.waitsForEnds = false;
        ++host.renewals;
    }
    postToCurrentHolder(sim, takeoverTime, [&sim] {
        for (auto &[id, host] : sim.hosts) {
            startNextRenewal(sim, host);
        }
    });
}

int truePlaces(const Simulation &sim, const TaskKey &task, const StepSpec &step)
{
    int n = 0;
    for (const auto &[id, host] : sim.hosts) {
        if (!host.unresponsive) {
            n += countFreePlaces(host.runs, host.capacity - host.used, task, step);
        }
    }
    return n;
}

void scheduleSamples(Simulation &sim)
{
    post(sim, sampleInterval, [&sim] {
        sampleDownTasks(
            sim.watch,
            [&sim](const TaskKey &task, const StepSpec &step) {
                return truePlaces(sim, task, step);
            },
            sim.now);
        scheduleSamples(sim);
    });
}

void scheduleHolderPauses(Simulation &sim)
{
    post(sim, exponential(sim.random, meanPauseInterval), [&sim] {
        sim.holderPausedUntil =
            sim.now + shortestPause + scaled(longestPause - shortestPause, uniform(sim.random));
        scheduleHolderPauses(sim);
    });
}

void runUntil(Simulation &sim, TimePoint end)
{
    while (!sim.events.empty() && sim.events.top().at <= end) {
        Event event = sim.events.top();
        sim.events.pop();
        sim.now = event.at;
        const TimePoint holderWorksAt = std::max(sim.holderPausedUntil, sim.takenOverAt);
        if (event.atHolder && sim.now < holderWorksAt) {
            event.at = holderWorksAt;
            sim.events.push(std::move(event));
            continue;
        }
        event.run();
    }
    sim.now = end;
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double toSeconds(TimePoint time)
{
    return toSeconds(time - simulationStart);
}

std::ostream &operator<<(std::ostream &out, const CountRange &range)
{
    return out << range.lowest << " to " << range.highest;
}

} // namespace

FleetSimulationResult simulateFleet(const FleetSimulationOptions &options)
{
    Simulation sim{.options = options, .random = Random(options.seed)};
    for (int n = 0; n < hostCount; ++n) {
        addHost(sim, n % 3 == 2 ? largeHost : smallHost);
    }
    for (int n = 0; n < initialJobs; ++n) {
        submitJob(sim, JobKind::LongRunning);
    }
    for (const JobKind kind : {JobKind::Urgent, JobKind::Batch, JobKind::LongRunning}) {
        scheduleSubmissions(sim, kind);
    }
    for (const Outage &outage : options.outages) {
        post(sim, outage.at, [&sim, &outage] { beginOutage(sim, outage); });
    }
    for (const Duration at : options.holderStops) {
        post(sim, at, [&sim] { replaceHolder(sim); });
    }
    scheduleHolderPauses(sim);
    scheduleSamples(sim);
    runUntil(sim, simulationStart + options.length);
    sim.result.meanUrgentWait = sim.urgentWait / std::max(sim.urgentStarts, 1);
    sim.result.lateRestarts = std::move(sim.watch.late);
    sim.result.longestDowntime = sim.watch.longestDowntime;
    return std::move(sim.result);
}

std::string describe(const LateRestart &late)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << describe(late.task) << ": ended "
        << toSeconds(late.endedAt) << " s, due " << toSeconds(late.dueAt) << " s, ";
    if (late.restartedAt) {
        out << "started again " << toSeconds(*late.restartedAt) << " s";
    } else {
        out << "not started again";
    }
    out << "; actual places " << late.truePlaces << ", known to the dispatcher " << late.knownPlaces
        << ", on hosts not avoided " << late.openPlaces << "; " << late.rounds << " rounds, "
        << late.roundsWithOneOpen << " with at least one place on hosts not avoided, "
        << late.roundsWithTwoOpen << " with at least two; " << late.placesTaken
        << " places taken by other jobs";
    return out.str();
}

std::string describe(const FleetSimulationResult &result)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << "late restarts " << result.lateRestarts.size()
        << ", longest downtime " << toSeconds(result.longestDowntime) << " s, mean urgent wait "
        << std::chrono::duration_cast<milliseconds>(result.meanUrgentWait).count()
        << " ms, hosts avoided " << result.hostsAvoided << ", starts " << result.starts;
    return out.str();
}

} // namespace acaciadeal
