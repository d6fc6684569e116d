#include "failure/process.h"
#include "http/httpclient.h"
#include "runtime/eventloop.h"
#include "soak/hoststandin.h"
#include "soak/invariantchecker.h"
#include "soak/proxy.h"
#include "soak/tablestandin.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <getopt.h>
#include <iostream>
#include <set>
#include <sys/wait.h>
#include <utility>
#include <vector>

using namespace acaciadeal;
using namespace acaciadeal::soak;
using failure_tests::Process;
using failure_tests::ReservedPort;
using nlohmann::json;

namespace {

constexpr const char *usage =
    "Usage: fleet_soak [--seed N] [--seconds N] [--daemons N] [--hosts N] [--logs FOLDER]\n"
    "                  [--replacements] [--restarts] [--binary FILE]\n"
    "  Runs daemons as processes against stand-ins for the table store and the hosts, injects\n"
    "  faults for the given seconds, and checks the scheduler's guarantees as callers and hosts\n"
    "  observe them. Exit status 1 if a guarantee was violated.\n"
    "  With --replacements, the daemons are stopped in turn while the hosts are replaced, instead\n"
    "  of the random faults. With --restarts, the hosts restart under their ids and are cut off\n"
    "  soon after, instead of these. --binary selects another daemon.\n";

struct SoakOptions
{
    std::uint64_t seed = 1;
    int seconds = 20;
    int daemons = 4;
    int hosts = 8;
    std::string logFolder;
    bool replacements = false;
    bool restarts = false;
    std::string binary = ACACIADEAL_DAEMON;
};

/// Time within which a daemon must exit after SIGTERM; the platform kills it afterwards.
constexpr Duration shutdownGracePeriod = std::chrono::seconds(6);
/// Time after the last fault within which accepted jobs must end, as required by users.
constexpr Duration finishTimeout = std::chrono::seconds(14);
constexpr Duration submitPeriod = milliseconds(120);
constexpr Duration pollPeriod = milliseconds(600);
constexpr Duration callTimeout = milliseconds(3000);
constexpr Duration askPeriod = milliseconds(500);
/// Daemons are asked for the states of this many of the latest jobs: those of about 48 s, as states
/// of jobs that ended over 120 s ago may be gone.
constexpr std::uint64_t maxAskedJobAge = 400;
/// Time for which all hosts reject starts: longer than the 5 s after which a job that waits has to
/// be counted.
constexpr int minRejectionMs = 5500;
constexpr int rejectionSpreadMs = 2500;
constexpr int minRejectionGapMs = 3000;
constexpr int rejectionGapSpreadMs = 9000;
/// With up to six connections of each holder, as many as leave some of a host's connections free.
constexpr int maxPowerLosses = 3;
constexpr int oddRowDepth = 2000;
constexpr int maxAttempts = 4;
/// Attempts to submit a job, as many as the users' callers make.
constexpr int maxSubmitAttempts = 5;
/// Time for daemons to start and find the hosts before callers send jobs.
constexpr Duration startupTime = std::chrono::seconds(3);
constexpr int rollingRestartGapMs = 1500;
/// Of --replacements: gap between the stops of two daemons, time within which all hosts are
/// replaced once, time between a host's announcement and its end, and time until its successor
/// comes.
constexpr int minStopGapMs = 1700;
constexpr int stopGapSpreadMs = 600;
constexpr int replacementRoundMs = 12000;
constexpr int minLeaveMs = 3000;
constexpr int leaveSpreadMs = 3000;
constexpr Duration successorDelay = milliseconds(400);
constexpr int minPowerLossGapMs = 8000;
constexpr int powerLossGapSpreadMs = 8000;
/// Of --restarts: gap between the restarts of two groups of hosts, time for which a host is away,
/// time from its return until it is cut off, length of the cut, up to longer than a lease, and
/// number of jobs that come when the hosts are back.
constexpr int minRestartGapMs = 2000;
constexpr int restartGapSpreadMs = 4000;
constexpr int minAwayMs = 200;
constexpr int awaySpreadMs = 800;
constexpr int minCutDelayMs = 100;
constexpr int cutDelaySpreadMs = 2000;
constexpr int minCutMs = 5000;
constexpr int cutSpreadMs = 5000;
constexpr int jobsAtReturn = 3;
/// Tasks of --restarts run for up to about as long as the longest lease that hosts grant.
constexpr int maxLongRunMs = 10'000;
/// Longest lease that hosts grant: longer than the one that holders ask for, as in some of the
/// users' deployments.
constexpr milliseconds maxHostLease{10'000};
constexpr int longRunningMilliCores = 300;
constexpr int longRunningTasks = 4;
constexpr Duration watchPeriod = milliseconds(50);
/// Time for which long-running jobs are watched after the last planned stop: the longest time for
/// which users let a task stay away.
constexpr Duration watchAfterStops = std::chrono::seconds(9);
/// Longest time for a process to load its libraries while a few dozen others run on the machine.
constexpr Duration processLoadTime = milliseconds(500);

struct Daemon
{
    std::string name;
    ReservedPort httpPort;
    ReservedPort peerPort;
    ReservedPort readyPort;
    ReservedPort metricsPort;
    std::unique_ptr<Proxy> storeLink;
    std::unique_ptr<Process> process;
    std::string settingsFile;
    std::string logFile;
    bool paused = false;
    TimePoint startedAt;
    /// When SIGTERM was sent to the current process.
    std::optional<TimePoint> stoppingSince;
    /// Since when neither the process nor its link to the store has been disturbed; in the future
    /// while a disturbance lasts.
    TimePoint calmSince;
    Endpoint endpoint() const
    {
        return *parseEndpoint(httpPort.endpoint());
    }
};

class Soak
{
public:
    explicit Soak(const SoakOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_store(m_loop, m_random)
        , m_client(m_loop, {})
    {
    }

    /// Returns whether no guarantee was violated and at least one job completed.
    bool run();

private:
    using Clock = std::chrono::steady_clock;

    int randomBelow(int n)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(n));
    }
    Duration randomDuration(int fromMs, int toMs)
    {
        return milliseconds(fromMs + randomBelow(toMs - fromMs));
    }
    void runAfter(Duration delay, std::function<void()> task)
    {
        m_loop.postAfter(delay, std::move(task));
    }

    void createHostsAndDaemons();
    void startDaemon(Daemon &daemon);
    void superviseDaemons();
    void checkRefusedConnections();
    void stopDaemon(Daemon &daemon);
    void addHost();
    void registerHost(std::size_t n);
    void writeConfig();

    void submitNextJob();
    void submitNewJob();
    void submitLongRunningJobs();
    void submitJob(const std::string &id, int attempt);
    void pollJob(const std::string &id);
    void cancelJob(const std::string &id);
    /// Asks every daemon for the number of pending jobs and for the state of some jobs.
    void askDaemons();
    void askPendingCount(const Daemon &daemon, std::function<void(std::size_t)> callback);
    void askState(const Daemon &daemon);
    void askUnknownState(const Daemon &daemon);
    /// Returns the state in an answer; empty if there was none, "unknown" if there is no such job.
    std::string stateIn(const HttpOutcome &outcome);
    void finish(const std::function<void()> &finished);
    std::string jobId(int n) const;
    /// Returns a request about the job @p id, or about the queue if it is empty.
    HttpRequest jobRequest(const std::string &method, const std::string &id) const;
    /// Reports a violation if a connection was lost after the request was sent, while no fault but
    /// planned restarts had been injected.
    void checkConnectionLoss(const Daemon &daemon, const std::string &id,
                             const HttpOutcome &outcome);

    void injectNextFault();
    void injectNextScarcity();
    void losePowerOfHolder();
    void rejectStarts();
    void addOddHostRow();
    void injectDaemonFault();
    void injectHostFault();
    void injectStoreFault();
    void stopDaemonsInTurn(std::size_t n);
    /// The planned work of --replacements, with losses of power on some seeds.
    void replaceHostsDuringStops();
    void stopNextDaemon();
    void replaceNextHost();
    void losePowerAtTimes();
    /// The faults of --restarts, with losses of power of the holder on some seeds.
    void restartHosts();
    void restartNextHosts();
    void crashHost(std::size_t n, bool silent);
    void returnHost(std::size_t n);
    void cutOff(std::size_t n);
    void watchLongRunningTasks();
    void endFaults();
    void logEvent(const std::string &text);

    SoakOptions m_options;
    std::mt19937_64 m_random;
    /// Generator of the faults of injectNextScarcity(), so that they do not change the other ones.
    std::mt19937_64 m_scarcityRandom{m_options.seed};
    /// Generators of the daemons' questions and of the times of rejectStarts(), for the same
    /// reason.
    std::mt19937_64 m_questionRandom{m_options.seed};
    std::mt19937_64 m_rejectionRandom{m_options.seed};
    /// Generator of the times of --replacements.
    std::mt19937_64 m_replacementRandom{m_options.seed};
    std::size_t m_nextStopped = 0;
    std::size_t m_nextReplaced = 0;
    /// Hosts that are away or cut off, or will be.
    std::set<std::size_t> m_restarting;
    std::vector<std::string> m_longRunningJobs;
    /// Since when there has been room for two long-running tasks; unset while there is none.
    std::optional<TimePoint> m_roomSince;
    /// Time of the last disruption that was not planned.
    TimePoint m_disturbedAt;
    int m_powerLosses = 0;
    /// Number of refused connections that were reported already, by host.
    std::vector<std::size_t> m_refusedConnections;
    EventLoop m_loop{{.threads = 1}};
    failure_tests::TemporaryFolder m_folder;
    InvariantChecker m_checker;
    TableStandin m_store;
    HttpClient m_client;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<HostStandin>> m_hosts;
    std::vector<std::unique_ptr<Proxy>> m_hostLinks;
    TimePoint m_startedAt = Clock::now();
    /// Whether the daemons have only had planned restarts so far, so that no request may lose its
    /// connection.
    bool m_onlyPlannedRestarts = true;
    bool m_submitting = true;
    bool m_finished = false;
    int m_jobs = 0;
    /// Number of counts of pending jobs that daemons gave.
    int m_pendingCounts = 0;
    std::uint64_t m_configVersion = 1;
};

void Soak::logEvent(const std::string &text)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - m_startedAt).count();
    std::cout << ms << " ms: " << text << std::endl;
}

void Soak::createHostsAndDaemons()
{
    writeConfig();
    for (int n = 0; n < m_options.hosts; ++n) {
        addHost();
    }
    for (int n = 0; n < m_options.daemons; ++n) {
        auto daemon = std::make_unique<Daemon>();
        daemon->name = "d" + std::to_string(n);
        daemon->storeLink = std::make_unique<Proxy>(m_loop, m_store.addCaller());
        daemon->settingsFile = m_folder.file(daemon->name + ".json");
        daemon->logFile = m_options.logFolder.empty()
                              ? m_folder.file(daemon->name + ".log")
                              : m_options.logFolder + "/" + daemon->name + ".log";
        std::ofstream(daemon->settingsFile) << json{
            {"daemon", daemon->name},
            {"deployment", "soak"},
            {"region", "r"},
            {"failure_domain", n % 2 == 0 ? "a" : "b"},
            {"failure_domains", {"a", "b"}},
            {"http_listen", daemon->httpPort.endpoint()},
            {"peer_listen", daemon->peerPort.endpoint()},
            {"platform",
             {{"adapter", "table-store"},
              {"endpoint", toString(daemon->storeLink->endpoint())},
              {"timeout_ms", 1200}}},
            {"fleet",
             {{"adapter", "users-platform"},
              {"max_lease_ms", maxHostLease.count()},
              {"ready_listen", daemon->readyPort.endpoint()},
              {"metrics_listen",
               daemon->metricsPort.endpoint()}}}}.dump();
        startDaemon(*daemon);
        m_daemons.push_back(std::move(daemon));
    }
}

void Soak::writeConfig()
{
    m_store.put("op", "config",
                {{"version", m_configVersion},
                 {"routes",
                  {{{"name", "q"},
                    {"service", "svc"},
                    {"priority", 0},
                    {"max_attempts", maxAttempts},
                    {"slowdown_factor", 2.0},
                    {"target_latency_ms", 500},
                    {"host", "jobs.example"},
                    {"path_prefix", "/q/"}}}}});
    m_configVersion += 1 + m_random() % 5;
}

void Soak::addHost()
{
    const std::size_t n = m_hosts.size();
    m_hosts.push_back(
        std::make_unique<HostStandin>(m_loop, m_random, m_checker,
                                      HostOptions{.id = "h" + std::to_string(n),
                                                  .service = "svc",
                                                  .failureDomain = n % 2 == 0 ? "a" : "b",
                                                  .maxAttempts = maxAttempts,
                                                  .maxLease = maxHostLease,
                                                  .clockRate = n % 3 == 0 ? 0.98 : 1.0}));
    m_hostLinks.push_back(std::make_unique<Proxy>(m_loop, m_hosts.back()->endpoint()));
    registerHost(n);
}

void Soak::registerHost(std::size_t n)
{
    if (m_hosts[n]->presence() != HostStandin::Presence::Gone) {
        m_store.put("servers", m_hosts[n]->id(), m_hosts[n]->hostRow(m_hostLinks[n]->endpoint()));
    }
}

void Soak::startDaemon(Daemon &daemon)
{
    daemon.paused = false;
    daemon.startedAt = Clock::now();
    daemon.calmSince = std::max(daemon.calmSince, daemon.startedAt);
    daemon.stoppingSince.reset();
    daemon.process = std::make_unique<Process>(
        std::vector<std::string>{m_options.binary, "--settings", daemon.settingsFile},
        daemon.logFile);
}

void Soak::stopDaemon(Daemon &daemon)
{
    if (!daemon.process->status() && !daemon.paused && !daemon.stoppingSince) {
        daemon.process->signal(SIGTERM);
        daemon.stoppingSince = Clock::now();
    }
}

/// Reports a violation if a host refused connections because all of them were in use.
void Soak::checkRefusedConnections()
{
    m_refusedConnections.resize(m_hosts.size(), 0);
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        const std::size_t refused = m_hosts[n]->refusedConnections();
        if (refused > std::exchange(m_refusedConnections[n], refused)) {
            logEvent("refused connections: " + std::to_string(refused) + "; "
                     + std::to_string(m_hosts[n]->openConnections()) + " in use, "
                     + std::to_string(m_hosts[n]->heldOrders()) + " orders held, "
                     + std::to_string(m_hosts[n]->abandonedRequests()) + " requests abandoned");
            m_checker.reportViolation(
                "CONNECTIONS", m_hosts[n]->id() + " refused connections because all were in use");
        }
    }
}

/// Restarts daemons that have ended, and checks that each ended as expected and in time.
void Soak::superviseDaemons()
{
    if (m_finished) {
        return;
    }
    for (const auto &daemon : m_daemons) {
        const auto status = daemon->process->status();
        const bool stopping = daemon->stoppingSince.has_value();
        if (stopping && !daemon->paused && !status
            && Clock::now() - *daemon->stoppingSince > shutdownGracePeriod) {
            m_checker.reportViolation("STOP", daemon->name + " has not exited 6 s after SIGTERM");
            daemon->process->kill();
        }
        if (!status) {
            continue;
        }
        const bool killed = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
        const bool exitedOnRequest = WIFEXITED(*status) && WEXITSTATUS(*status) == 0 && stopping;
        // Before main() runs, SIGTERM has its default effect and kills the process, which has done
        // no work by then.
        const bool killedBeforeMain =
            WIFSIGNALED(*status) && WTERMSIG(*status) == SIGTERM && stopping
            && *daemon->stoppingSince - daemon->startedAt < processLoadTime;
        if (!killed && !exitedOnRequest && !killedBeforeMain) {
            m_checker.reportViolation("EXIT", daemon->name + " exited unexpectedly, wait status "
                                                  + std::to_string(*status));
        }
        startDaemon(*daemon);
    }
    checkRefusedConnections();
    runAfter(milliseconds(50), [this] { superviseDaemons(); });
}

std::string Soak::jobId(int n) const
{
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(m_options.seed),
                  static_cast<unsigned>(n));
    return id;
}

HttpRequest Soak::jobRequest(const std::string &method, const std::string &id) const
{
    return {.method = method,
            .target = "/q/" + id,
            .headers = {{"host", "jobs.example"}, {"x-acaciadeal-deadline-ms", "3000"}}};
}

void Soak::submitNextJob()
{
    if (!m_submitting) {
        return;
    }
    submitNewJob();
    runAfter(m_options.restarts ? 2 * submitPeriod : submitPeriod, [this] { submitNextJob(); });
}

void Soak::submitNewJob()
{
    const std::string id = jobId(++m_jobs);
    JobRecord job{.payload = "payload of " + id};
    const int steps = m_options.restarts ? 1 : 1 + randomBelow(2);
    for (int n = 0; n < steps; ++n) {
        job.steps.push_back(
            {.tasks = 1 + randomBelow(5),
             .milliCores = m_options.restarts ? 100 + randomBelow(300) : 500 + randomBelow(2000),
             .runMs = 100 + randomBelow(m_options.restarts ? maxLongRunMs : 900)});
    }
    m_checker.jobs[id] = std::move(job);
    submitJob(id, 1);
    if (randomBelow(12) == 0) {
        runAfter(randomDuration(300, 2500), [this, id] { cancelJob(id); });
    }
}

void Soak::submitLongRunningJobs()
{
    for (int n = 0; n < m_options.hosts / 2; ++n) {
        const std::string id = jobId(++m_jobs);
        m_longRunningJobs.push_back(id);
        m_checker.jobs[id] = {.payload = "payload of " + id,
                              .steps = {{.tasks = longRunningTasks,
                                         .milliCores = longRunningMilliCores,
                                         .longRunning = true}}};
        submitJob(id, 1);
    }
}

void Soak::submitJob(const std::string &id, int attempt)
{
    JobRecord &job = m_checker.jobs[id];
    json steps = json::array();
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        json step = {{"count", job.steps[n].tasks},
                     {"cpu", job.steps[n].milliCores},
                     {"requested_memory_mb", 100},
                     {"estimated_ms", job.steps[n].runMs}};
        if (n > 0) {
            step["after"] = {n - 1};
        }
        if (job.steps[n].longRunning) {
            step["long_running"] = true;
        }
        steps.push_back(std::move(step));
    }
    HttpRequest call = jobRequest("POST", id);
    call.body = json{{"spec", job.payload}, {"steps", steps}}.dump();
    Daemon &daemon = *m_daemons[static_cast<std::size_t>(randomBelow(m_options.daemons))];
    m_client.send(daemon.endpoint(), std::move(call), {.timeout = callTimeout},
                  [this, id, attempt, &daemon](const HttpOutcome &outcome) {
                      JobRecord &record = m_checker.jobs[id];
                      const unsigned status = outcome.response ? outcome.response->status : 0;
                      if (status == 200) {
                          record.accepted = true;
                          record.acceptedAt = Clock::now();
                          pollJob(id);
                          return;
                      }
                      const bool refused = status == 429 || status == 503
                                           || (!outcome.response && !outcome.handedOver);
                      record.possiblyAccepted = record.possiblyAccepted || !refused;
                      checkConnectionLoss(daemon, id, outcome);
                      if (attempt < maxSubmitAttempts) {
                          runAfter(milliseconds(300),
                                   [this, id, attempt] { submitJob(id, attempt + 1); });
                      }
                  });
}

void Soak::checkConnectionLoss(const Daemon &daemon, const std::string &id,
                               const HttpOutcome &outcome)
{
    const bool connectionLost = !outcome.response && outcome.handedOver
                                && outcome.response.error().code != ResultCode::TimedOut;
    if (connectionLost && m_onlyPlannedRestarts) {
        m_checker.reportViolation("LOST", "the connection to " + daemon.name
                                              + " ended without an answer for " + id + ": "
                                              + outcome.response.error().message);
    }
}

void Soak::pollJob(const std::string &id)
{
    Daemon &daemon = *m_daemons[static_cast<std::size_t>(randomBelow(m_options.daemons))];
    m_client.send(daemon.endpoint(), jobRequest("GET", id), {.timeout = callTimeout},
                  [this, id, &daemon](const HttpOutcome &outcome) {
                      checkConnectionLoss(daemon, id, outcome);
                      const std::string state = stateIn(outcome);
                      m_checker.onState(id, state, Clock::now());
                      const bool ended =
                          state == "completed" || state == "failed" || state == "cancelled";
                      if (!ended && !m_finished) {
                          runAfter(pollPeriod, [this, id] { pollJob(id); });
                      }
                  });
}

void Soak::cancelJob(const std::string &id)
{
    m_checker.jobs[id].cancelled = true;
    Daemon &daemon = *m_daemons[static_cast<std::size_t>(randomBelow(m_options.daemons))];
    m_client.send(daemon.endpoint(), jobRequest("DELETE", id), {.timeout = callTimeout},
                  [this, id](const HttpOutcome &outcome) {
                      const unsigned status = outcome.response ? outcome.response->status : 0;
                      if (status == 410) {
                          m_checker.jobs[id].deniedAfterCancel = true;
                      }
                      // Without status 200 or 410 the cancellation may not have taken effect.
                      if (status != 200 && status != 410 && !m_finished) {
                          runAfter(milliseconds(400), [this, id] { cancelJob(id); });
                      }
                  });
}

std::string Soak::stateIn(const HttpOutcome &outcome)
{
    const unsigned status = outcome.response ? outcome.response->status : 0;
    if (status != 200) {
        return status == 410 ? "unknown" : "";
    }
    const json answer = json::parse(outcome.response->body, nullptr, false);
    const bool hasState =
        answer.is_object() && answer.contains("state") && answer["state"].is_string();
    const std::string state = hasState ? answer["state"].get<std::string>() : "";
    return state.empty() ? "unreadable: " + outcome.response->body : state;
}

void Soak::askPendingCount(const Daemon &daemon, std::function<void(std::size_t)> callback)
{
    m_client.send(
        daemon.endpoint(), jobRequest("GET", ""), {.timeout = callTimeout},
        [this, name = daemon.name, callback = std::move(callback)](const HttpOutcome &outcome) {
            if (!outcome.response || outcome.response->status != 200) {
                return;
            }
            const json answer = json::parse(outcome.response->body, nullptr, false);
            if (answer.is_object() && answer.contains("pending")
                && answer["pending"].is_number_unsigned()) {
                ++m_pendingCounts;
                callback(answer["pending"]);
            } else {
                m_checker.reportViolation(
                    "MIXED", name + " gave an unreadable count: " + outcome.response->body);
            }
        });
}

void Soak::askState(const Daemon &daemon)
{
    if (m_jobs == 0) {
        return;
    }
    const auto age = static_cast<int>(m_questionRandom() % maxAskedJobAge);
    const std::string id = jobId(std::max(m_jobs - age, 1));
    m_client.send(daemon.endpoint(), jobRequest("GET", id), {.timeout = callTimeout},
                  [this, id](const HttpOutcome &outcome) {
                      m_checker.onState(id, stateIn(outcome), Clock::now());
                  });
}

void Soak::askUnknownState(const Daemon &daemon)
{
    char id[17];
    std::snprintf(id, sizeof id, "ffffffff%08x", static_cast<unsigned>(m_questionRandom()));
    m_client.send(daemon.endpoint(), jobRequest("GET", id), {.timeout = callTimeout},
                  [this, name = daemon.name, id = std::string(id)](const HttpOutcome &outcome) {
                      if (outcome.response && outcome.response->status == 200) {
                          m_checker.onUnknownJobShown(name, id);
                      }
                  });
}

void Soak::askDaemons()
{
    if (m_finished) {
        return;
    }
    for (const auto &daemon : m_daemons) {
        const TimePoint askedAt = Clock::now();
        askPendingCount(*daemon, [this, &daemon = *daemon, askedAt](std::size_t count) {
            const bool inTouch = !daemon.paused && !daemon.stoppingSince
                                 && askedAt - daemon.calmSince >= contactTimeout;
            if (inTouch) {
                m_checker.onPendingCount(daemon.name, count, askedAt);
            }
        });
        askState(*daemon);
        if (m_questionRandom() % 4 == 0) {
            askUnknownState(*daemon);
        }
    }
    runAfter(askPeriod, [this] { askDaemons(); });
}

void Soak::injectDaemonFault()
{
    Daemon &daemon = *m_daemons[static_cast<std::size_t>(randomBelow(m_options.daemons))];
    switch (randomBelow(4)) {
    case 0:
        logEvent("kill " + daemon.name);
        daemon.process->kill();
        break;
    case 1:
        logEvent("stop " + daemon.name);
        stopDaemon(daemon);
        break;
    case 2:
        if (!daemon.paused && !daemon.stoppingSince) {
            logEvent("pause " + daemon.name);
            daemon.paused = true;
            daemon.process->signal(SIGSTOP);
            runAfter(randomDuration(500, 6000), [this, &daemon, process = daemon.process.get()] {
                if (daemon.process.get() == process && daemon.paused) {
                    logEvent("resume " + daemon.name);
                    daemon.process->signal(SIGCONT);
                    daemon.paused = false;
                    daemon.calmSince = std::max(daemon.calmSince, Clock::now());
                }
            });
        }
        break;
    default:
        if (randomBelow(4) == 0) {
            logEvent("kill all daemons");
            for (const auto &each : m_daemons) {
                each->process->kill();
            }
        }
    }
}

void Soak::injectHostFault()
{
    const auto n = static_cast<std::size_t>(randomBelow(m_options.hosts));
    HostStandin &host = *m_hosts[n];
    Proxy &link = *m_hostLinks[n];
    const Duration faultDuration = randomDuration(500, 6000);
    switch (randomBelow(7)) {
    case 0:
        logEvent("crash " + host.id());
        host.crash();
        m_store.erase("servers", host.id());
        runAfter(randomDuration(200, 3000), [this, n] { registerHost(n); });
        break;
    case 1:
        logEvent("hold back traffic of " + host.id());
        link.setFault({.holdsToServer = true, .holdsToClient = true});
        runAfter(faultDuration, [&link] { link.setFault({}); });
        break;
    case 2:
        logEvent("hold back answers of " + host.id());
        link.setFault({.holdsToServer = randomBelow(2) == 0, .holdsToClient = true});
        runAfter(faultDuration, [&link] { link.setFault({}); });
        break;
    case 3:
        logEvent("blackhole open connections of " + host.id());
        link.blackholeOpenConnections();
        break;
    case 4:
        logEvent("delay orders at " + host.id());
        host.setDelayedOrderShare(0.4);
        runAfter(faultDuration, [&host] { host.setDelayedOrderShare(0); });
        break;
    case 5:
        logEvent("stall tasks on " + host.id());
        host.setStalled(true);
        runAfter(faultDuration, [&host] { host.setStalled(false); });
        break;
    default:
        logEvent("reset connections of " + host.id());
        link.setFault({.delay = milliseconds(60)});
        link.resetConnections();
        runAfter(faultDuration, [&link] { link.setFault({}); });
    }
}

void Soak::injectStoreFault()
{
    const bool all = randomBelow(3) == 0;
    const int targetDaemon = randomBelow(m_options.daemons);
    const Duration faultDuration = randomDuration(500, 6000);
    const int kind = randomBelow(8);
    const char *const faultNames[] = {"refuses",
                                      "loses answers of",
                                      "delays writes of",
                                      "is slow for",
                                      "is cut off from",
                                      "answers do not reach",
                                      "ignores open connections of",
                                      "drops its change history, ignoring target"};
    logEvent(std::string("store ") + faultNames[kind]
             + (all ? " all" : " d" + std::to_string(targetDaemon)));
    if (kind == 7) {
        m_store.dropHistory();
        return;
    }
    for (int n = 0; n < m_options.daemons; ++n) {
        if (!all && n != targetDaemon) {
            continue;
        }
        const auto caller = static_cast<std::size_t>(n);
        Proxy &link = *m_daemons[caller]->storeLink;
        TimePoint &calmSince = m_daemons[caller]->calmSince;
        calmSince = std::max(calmSince, Clock::now() + faultDuration);
        const StoreFault faults[] = {{.refusalStatus = randomBelow(2) == 0 ? 503U : 429U},
                                     {.lostAnswerShare = 0.4},
                                     {.delayedWriteShare = 0.3},
                                     {.delay = milliseconds(300)}};
        if (kind < 4) {
            m_store.setFault(caller, faults[kind]);
        } else if (kind == 6) {
            link.blackholeOpenConnections();
        } else {
            link.setFault({.holdsToServer = kind == 4, .holdsToClient = true});
        }
        runAfter(faultDuration, [this, caller, &link] {
            m_store.setFault(caller, {});
            link.setFault({});
        });
    }
}

/// Injects random faults one after another; their effects overlap.
void Soak::injectNextFault()
{
    if (!m_submitting) {
        return;
    }
    const int kind = randomBelow(10);
    if (kind < 4) {
        injectDaemonFault();
    } else if (kind < 7) {
        injectHostFault();
    } else if (kind < 9) {
        injectStoreFault();
    } else {
        logEvent("write a new configuration");
        writeConfig();
    }
    runAfter(randomDuration(100, 1400), [this] { injectNextFault(); });
}

/// Kills the holder in such a way that the hosts keep its connections.
void Soak::losePowerOfHolder()
{
    const std::string holder = m_store.holder();
    const auto it = std::find_if(m_daemons.begin(), m_daemons.end(),
                                 [&holder](const auto &daemon) { return daemon->name == holder; });
    if (it == m_daemons.end() || m_powerLosses >= maxPowerLosses) {
        return;
    }
    ++m_powerLosses;
    m_onlyPlannedRestarts = false;
    m_disturbedAt = Clock::now();
    logEvent("power loss of " + holder);
    for (const auto &link : m_hostLinks) {
        link->setHidesClosedClients(true);
    }
    (*it)->process->kill();
    runAfter(milliseconds(200), [this] {
        for (const auto &link : m_hostLinks) {
            link->setHidesClosedClients(false);
        }
    });
}

/// Writes a row that another writer left among those of the hosts.
void Soak::addOddHostRow()
{
    json row = m_hosts.front()->hostRow(m_hostLinks.front()->endpoint());
    switch (m_scarcityRandom() % 4) {
    case 0:
        row["address"] = "127.0.0.1:70000";
        break;
    case 1:
        row["capacity"]["cpu"] = 1e30;
        break;
    case 2:
        row.erase("zone");
        break;
    default:
        for (int n = 0; n < oddRowDepth; ++n) {
            row = json::array({std::move(row)});
        }
    }
    m_store.put("servers", "odd" + std::to_string(m_scarcityRandom() % 3), row);
}

/// Injects faults that use up what the daemons share or must not take for complete.
void Soak::injectNextScarcity()
{
    if (!m_submitting) {
        return;
    }
    const std::size_t host = m_scarcityRandom() % m_hosts.size();
    switch (m_scarcityRandom() % 3) {
    case 0:
        losePowerOfHolder();
        break;
    case 1:
        logEvent("fill the list of ends of " + m_hosts[host]->id());
        m_hosts[host]->fillEndList();
        break;
    default:
        logEvent("write an odd host row");
        addOddHostRow();
    }
    runAfter(milliseconds(1000 + m_scarcityRandom() % 3000), [this] { injectNextScarcity(); });
}

/// Makes all hosts reject starts for a while, so that every job that arrives meanwhile waits.
void Soak::rejectStarts()
{
    const auto gap = milliseconds(minRejectionGapMs + m_rejectionRandom() % rejectionGapSpreadMs);
    runAfter(gap, [this] {
        if (!m_submitting) {
            return;
        }
        const bool unhealthy = m_rejectionRandom() % 2 == 0;
        logEvent(std::string("all hosts reject starts, ") + (unhealthy ? "unhealthy" : "no room"));
        for (const auto &host : m_hosts) {
            host->setRejection(unhealthy ? HostStandin::Rejection::Unhealthy
                                         : HostStandin::Rejection::NoRoom);
        }
        runAfter(milliseconds(minRejectionMs + m_rejectionRandom() % rejectionSpreadMs), [this] {
            logEvent("all hosts accept starts again");
            for (const auto &host : m_hosts) {
                host->setRejection(HostStandin::Rejection::None);
            }
            rejectStarts();
        });
    });
}

void Soak::stopDaemonsInTurn(std::size_t n)
{
    if (n == m_daemons.size()) {
        runAfter(shutdownGracePeriod, [this] {
            m_onlyPlannedRestarts = false;
            injectNextFault();
            injectNextScarcity();
            rejectStarts();
        });
        return;
    }
    logEvent("stop " + m_daemons[n]->name);
    stopDaemon(*m_daemons[n]);
    runAfter(milliseconds(rollingRestartGapMs), [this, n] { stopDaemonsInTurn(n + 1); });
}

void Soak::replaceHostsDuringStops()
{
    submitLongRunningJobs();
    watchLongRunningTasks();
    stopNextDaemon();
    replaceNextHost();
    if (m_replacementRandom() % 2 == 0) {
        losePowerAtTimes();
    }
}

void Soak::stopNextDaemon()
{
    if (!m_submitting) {
        return;
    }
    Daemon &daemon = *m_daemons[m_nextStopped++ % m_daemons.size()];
    logEvent("stop " + daemon.name + (daemon.name == m_store.holder() ? ", the holder" : ""));
    stopDaemon(daemon);
    runAfter(milliseconds(minStopGapMs + m_replacementRandom() % stopGapSpreadMs),
             [this] { stopNextDaemon(); });
}

void Soak::replaceNextHost()
{
    if (!m_submitting) {
        return;
    }
    const std::size_t n = m_nextReplaced++;
    logEvent(m_hosts[n]->id() + " announces that it leaves");
    m_hosts[n]->announceLeave();
    registerHost(n);
    runAfter(successorDelay, [this] { addHost(); });
    runAfter(milliseconds(minLeaveMs + m_replacementRandom() % leaveSpreadMs), [this, n] {
        logEvent(m_hosts[n]->id() + " is gone");
        m_hosts[n]->leave();
        m_hostLinks[n]->close();
        m_store.erase("servers", m_hosts[n]->id());
    });
    const auto meanGapMs = static_cast<std::uint64_t>(replacementRoundMs / m_options.hosts);
    runAfter(milliseconds(meanGapMs / 2 + m_replacementRandom() % meanGapMs),
             [this] { replaceNextHost(); });
}

void Soak::losePowerAtTimes()
{
    runAfter(milliseconds(minPowerLossGapMs + m_replacementRandom() % powerLossGapSpreadMs),
             [this] {
                 if (m_submitting) {
                     losePowerOfHolder();
                     losePowerAtTimes();
                 }
             });
}

void Soak::restartHosts()
{
    m_onlyPlannedRestarts = false;
    restartNextHosts();
    if (m_replacementRandom() % 2 == 0) {
        losePowerAtTimes();
    }
}

/// Restarts most hosts of a failure domain, and submits jobs as they come back.
void Soak::restartNextHosts()
{
    if (!m_submitting) {
        return;
    }
    const int domain = randomBelow(2);
    const bool silent = randomBelow(4) != 0;
    const Duration away = randomDuration(minAwayMs, minAwayMs + awaySpreadMs);
    const Duration cutDelay = randomDuration(minCutDelayMs, minCutDelayMs + cutDelaySpreadMs);
    for (int n = domain; n < m_options.hosts; n += 2) {
        const auto host = static_cast<std::size_t>(n);
        if (randomBelow(4) != 0 && m_restarting.insert(host).second) {
            crashHost(host, silent);
            runAfter(away, [this, host] { returnHost(host); });
            runAfter(away + cutDelay, [this, host] { cutOff(host); });
        }
    }
    runAfter(away, [this] {
        for (int n = 0; n < jobsAtReturn && m_submitting; ++n) {
            submitNewJob();
        }
    });
    runAfter(randomDuration(minRestartGapMs, minRestartGapMs + restartGapSpreadMs),
             [this] { restartNextHosts(); });
}

void Soak::crashHost(std::size_t n, bool silent)
{
    logEvent(m_hosts[n]->id() + (silent ? " loses power" : " crashes"));
    if (silent) {
        m_hostLinks[n]->blackholeOpenConnections();
    }
    m_hosts[n]->crash(silent ? HostStandin::Connections::LeftOpen
                             : HostStandin::Connections::Reset);
    // New connections reach the host when it is back.
    m_hostLinks[n]->setFault({.holdsToServer = true, .holdsToClient = true});
}

void Soak::returnHost(std::size_t n)
{
    logEvent(m_hosts[n]->id() + " is back");
    m_hostLinks[n]->setFault({});
    registerHost(n);
}

void Soak::cutOff(std::size_t n)
{
    if (!m_submitting) {
        return;
    }
    logEvent(m_hosts[n]->id() + " is cut off");
    m_hostLinks[n]->setFault({.holdsToServer = true, .holdsToClient = true});
    runAfter(randomDuration(minCutMs, minCutMs + cutSpreadMs), [this, n] {
        logEvent(m_hosts[n]->id() + " is reachable again");
        m_hostLinks[n]->setFault({});
        m_restarting.erase(n);
    });
}

void Soak::watchLongRunningTasks()
{
    if (m_finished) {
        return;
    }
    const TimePoint now = Clock::now();
    int places = 0;
    for (const auto &host : m_hosts) {
        if (host->presence() == HostStandin::Presence::Ready) {
            places += host->freePlaces(longRunningMilliCores);
        }
    }
    if (places < 2) {
        m_roomSince.reset();
    } else {
        m_roomSince = m_roomSince.value_or(now);
        m_checker.checkLongRunningTasks(*m_roomSince, m_disturbedAt, now);
    }
    runAfter(watchPeriod, [this] { watchLongRunningTasks(); });
}

void Soak::endFaults()
{
    logEvent("end of fault injection");
    m_submitting = false;
    for (std::size_t n = 0; n < m_daemons.size(); ++n) {
        m_store.setFault(n, {});
        m_daemons[n]->storeLink->setFault({});
        if (m_daemons[n]->paused) {
            m_daemons[n]->process->signal(SIGCONT);
            m_daemons[n]->paused = false;
            m_daemons[n]->calmSince = std::max(m_daemons[n]->calmSince, Clock::now());
        }
    }
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        m_hosts[n]->setDelayedOrderShare(0);
        m_hosts[n]->setRejection(HostStandin::Rejection::None);
        m_hosts[n]->setStalled(false);
        m_hostLinks[n]->setFault({});
        registerHost(n);
    }
    runAfter(watchAfterStops, [this] {
        for (const std::string &id : m_longRunningJobs) {
            cancelJob(id);
        }
    });
}

/// Checks the final state, asks every daemon for its last count of pending jobs, and then ends the
/// daemons and calls @p finished.
void Soak::finish(const std::function<void()> &finished)
{
    m_finished = true;
    m_checker.checkFinalState();
    const auto counts = std::make_shared<std::map<std::string, std::size_t>>();
    for (const auto &daemon : m_daemons) {
        askPendingCount(*daemon, [counts, name = daemon->name](std::size_t count) {
            counts->emplace(name, count);
        });
    }
    runAfter(callTimeout, [this, counts, finished] {
        for (const auto &daemon : m_daemons) {
            const auto it = counts->find(daemon->name);
            m_checker.onFinalPendingCount(
                daemon->name, it == counts->end() ? std::nullopt : std::optional(it->second));
            daemon->process->kill();
        }
        finished();
    });
}

bool Soak::run()
{
    std::promise<void> finished;
    m_loop.post([this] {
        createHostsAndDaemons();
        superviseDaemons();
    });
    m_loop.postAfter(startupTime, [this] {
        submitNextJob();
        askDaemons();
        if (m_options.replacements) {
            replaceHostsDuringStops();
        } else if (m_options.restarts) {
            restartHosts();
        } else {
            stopDaemonsInTurn(0);
        }
    });
    const Duration rolling = m_options.replacements || m_options.restarts
                                 ? startupTime
                                 : startupTime
                                       + m_options.daemons * milliseconds(rollingRestartGapMs)
                                       + shutdownGracePeriod;
    m_loop.postAfter(rolling + std::chrono::seconds(m_options.seconds), [this, &finished] {
        endFaults();
        // The effects of the last faults may last as long as a lease; after that, every job must
        // end, with --restarts once its tasks, which run for longer, have had time to run.
        const Duration extraRunTime = milliseconds(m_options.restarts ? maxLongRunMs : 0);
        runAfter(shutdownGracePeriod + finishTimeout + extraRunTime,
                 [this, &finished] { finish([&finished] { finished.set_value(); }); });
    });
    finished.get_future().wait();
    m_loop.stop();
    int accepted = 0;
    int completed = 0;
    for (const auto &[id, job] : m_checker.jobs) {
        accepted += job.accepted ? 1 : 0;
        completed += job.completed ? 1 : 0;
    }
    std::cout << "seed " << m_options.seed << ": " << m_checker.jobs.size() << " jobs, " << accepted
              << " accepted, " << completed << " completed, " << m_checker.violations.size()
              << " violations" << std::endl;
    if (completed == 0) {
        std::cout << "no job completed\n";
    }
    if (m_pendingCounts == 0) {
        std::cout << "no daemon gave a count of pending jobs\n";
    }
    return m_checker.violations.empty() && completed > 0 && m_pendingCounts > 0;
}

} // namespace

int main(int argc, char **argv)
{
    SoakOptions options;
    const option longOptions[] = {{"seed", required_argument, nullptr, 's'},
                                  {"seconds", required_argument, nullptr, 't'},
                                  {"daemons", required_argument, nullptr, 'd'},
                                  {"hosts", required_argument, nullptr, 'h'},
                                  {"logs", required_argument, nullptr, 'l'},
                                  {"replacements", no_argument, nullptr, 'r'},
                                  {"restarts", no_argument, nullptr, 'e'},
                                  {"binary", required_argument, nullptr, 'b'},
                                  {nullptr, 0, nullptr, 0}};
    for (int c = 0; (c = getopt_long(argc, argv, "s:t:d:h:l:reb:", longOptions, nullptr)) != -1;) {
        switch (c) {
        case 's':
            options.seed = std::stoull(optarg);
            break;
        case 't':
            options.seconds = std::stoi(optarg);
            break;
        case 'd':
            options.daemons = std::stoi(optarg);
            break;
        case 'h':
            options.hosts = std::stoi(optarg);
            break;
        case 'l':
            options.logFolder = optarg;
            break;
        case 'r':
            options.replacements = true;
            break;
        case 'e':
            options.restarts = true;
            break;
        case 'b':
            options.binary = optarg;
            break;
        default:
            std::cerr << usage;
            return 2;
        }
    }
    std::signal(SIGPIPE, SIG_IGN);
    Soak soak(options);
    return soak.run() ? 0 : 1;
}
