#include "deployment.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::review {

using nlohmann::json;

namespace {

const std::vector<std::string> zones{"tallinn-a", "maardu-b", "kunda-c"};
constexpr const char *clientHost = "nony24.example";
constexpr const char *pathPrefix = "/lohu930/";
/// How long a client waits for an answer: `deadline_ms` of the users' requests.
constexpr int clientDeadlineMs = 3000;
/// Time from the start of the machines to that of the traffic.
constexpr Duration leadTime = milliseconds(4000);
constexpr Duration readyPollPeriod = milliseconds(100);
/// A script takes 120 s at most.
constexpr Duration timeLimit = std::chrono::seconds(112);

} // namespace

std::string jobId(unsigned number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", 0x5c0e7a21U, number);
    return id;
}

Deployment::Deployment(DeploymentOptions options)
    : m_options(std::move(options))
    , m_record(m_options.recordFile)
    , m_store(m_loop, m_record)
    , m_client(m_loop, {})
{
}

Deployment::~Deployment()
{
    m_loop.stop();
}

Verdict Deployment::run(const std::function<void()> &scenario)
{
    auto finished = std::make_shared<std::promise<Verdict>>();
    auto result = finished->get_future();
    m_onFinished = [finished](Verdict verdict) {
        finished->set_value(verdict);
    };
    m_loop.post([this, scenario] {
        start();
        m_loop.postAfter(leadTime, [this, scenario] { awaitReady(scenario); });
    });
    Verdict verdict = Verdict::NotRun;
    if (result.wait_for(timeLimit) == std::future_status::ready) {
        verdict = result.get();
    } else {
        std::cout << "not run: the case did not end in time" << std::endl;
    }
    m_loop.stop();
    for (const auto &daemon : m_daemons) {
        daemon->process->kill();
    }
    return verdict;
}

void Deployment::finish(Verdict verdict, const std::string &reason)
{
    if (!m_onFinished) {
        return;
    }
    const char *const names[] = {"held", "BROKEN", "not run"};
    const std::string text = std::string(names[static_cast<std::size_t>(verdict)]) + ": " + reason;
    m_record.add("verdict: " + text);
    std::cout << text << std::endl;
    std::exchange(m_onFinished, nullptr)(verdict);
}

void Deployment::after(Duration delay, std::function<void()> task)
{
    m_loop.postAfter(delay, std::move(task));
}

bool Deployment::trouble() const
{
    return m_options.trouble;
}

std::int64_t Deployment::nowMs() const
{
    return m_record.nowMs();
}

Record &Deployment::record()
{
    return m_record;
}

Store &Deployment::store()
{
    return m_store;
}

std::vector<std::unique_ptr<Minion>> &Deployment::minions()
{
    return m_minions;
}

const std::vector<RunRecord> &Deployment::runs() const
{
    return m_runs;
}

std::optional<std::size_t> Deployment::holder() const
{
    return m_store.lastConditionalWriter("owner");
}

void Deployment::start()
{
    const json route = {{"name", "lohu930"},      {"service", "report-svc"},
                        {"priority", 0},          {"max_attempts", 4},
                        {"slowdown_factor", 2.0}, {"target_latency_ms", 250},
                        {"host", clientHost},     {"path_prefix", pathPrefix}};
    const json service = {{"name", "report-svc"}, {"admission_check", false}};
    m_store.put("op", "config",
                {{"version", 3},
                 {"routes", json::array({route})},
                 {"services", json::array({service})},
                 {"limits", {{"max_body_bytes", 262144}}}});
    for (std::size_t n = 0; n < m_options.minions; ++n) {
        m_minions.push_back(std::make_unique<Minion>(
            m_loop, m_record, m_runs, [this](const std::string &task) { return sizeOf(task); },
            MinionOptions{.id = "i-" + std::to_string(n),
                          .zone = zones[n % zones.size()],
                          .milliCores = m_options.milliCores}));
        m_store.put("servers", m_minions.back()->id(), m_minions.back()->entry());
    }
    for (std::size_t n = 0; n < m_options.daemons; ++n) {
        m_daemons.push_back(std::make_unique<Daemon>());
        createDaemon(n);
        startProcess(n);
    }
}

/// Writes the settings that deploy/daemon.json.in gives for a machine of the site.
void Deployment::createDaemon(std::size_t n)
{
    Daemon &daemon = *m_daemons[n];
    const std::string name = "frontend-" + zones[n % zones.size()] + "-" + std::to_string(n);
    daemon.settingsFile = m_folder.file(name + ".json");
    daemon.logFile = m_folder.file(name + ".log");
    std::ofstream(daemon.settingsFile) << json{
        {"daemon", name},
        {"deployment", "users"},
        {"region", "ee-north"},
        {"failure_domain", zones[n % zones.size()]},
        {"failure_domains", zones},
        {"http_listen", daemon.httpPort.endpoint()},
        {"peer_listen", daemon.peerPort.endpoint()},
        {"platform",
         {{"adapter", "table-store"},
          {"endpoint", toString(m_store.addCaller())},
          {"timeout_ms", 1200}}},
        {"fleet",
         {{"adapter", "users-platform"},
          {"max_lease_ms", 10000},
          {"core_share", 0.25},
          {"link_mbps", 1000.0},
          {"ready_listen", daemon.readyPort.endpoint()},
          {"metrics_listen",
           daemon.metricsPort.endpoint()}}}}.dump();
    m_record.add("daemon " + std::to_string(n) + " is " + name);
}

void Deployment::startProcess(std::size_t n)
{
    Daemon &daemon = *m_daemons[n];
    daemon.process = std::make_unique<failure_tests::Process>(
        std::vector<std::string>{m_options.daemon, "--settings", daemon.settingsFile},
        daemon.logFile);
    m_record.add("daemon " + std::to_string(n) + " starts");
}

void Deployment::awaitReady(const std::function<void()> &scenario)
{
    if (holder()) {
        m_record.add("daemon " + std::to_string(*holder()) + " holds the shard");
        scenario();
        return;
    }
    m_loop.postAfter(readyPollPeriod, [this, scenario] { awaitReady(scenario); });
}

void Deployment::freeze(std::size_t daemon, Duration duration)
{
    m_record.add("daemon " + std::to_string(daemon) + " is frozen");
    m_daemons[daemon]->process->signal(SIGSTOP);
    m_loop.postAfter(duration, [this, daemon] {
        m_record.add("daemon " + std::to_string(daemon) + " goes on");
        m_daemons[daemon]->process->signal(SIGCONT);
    });
}

void Deployment::killAndRestart(std::size_t daemon, Duration pause)
{
    m_record.add("daemon " + std::to_string(daemon) + " is killed");
    m_daemons[daemon]->process->kill();
    m_loop.postAfter(pause, [this, daemon] { startProcess(daemon); });
}

void Deployment::request(std::size_t daemon, const std::string &method, const std::string &id,
                         const std::string &body, const Answer &answer)
{
    HttpRequest call{.method = method,
                     .target = pathPrefix + id,
                     .headers = {{"host", clientHost},
                                 {"content-type", "application/json"},
                                 {"x-acaciadeal-deadline-ms", std::to_string(clientDeadlineMs)}},
                     .body = body};
    const std::string what = method + " " + call.target + " at daemon " + std::to_string(daemon);
    m_record.add("client sends " + what);
    m_client.send(
        *parseEndpoint(m_daemons[daemon]->httpPort.endpoint()), std::move(call),
        {.timeout = milliseconds(clientDeadlineMs)},
        [this, what, answer](const HttpOutcome &outcome) {
            const unsigned status = outcome.response ? outcome.response->status : 0;
            const std::string text = outcome.response ? outcome.response->body : "no answer";
            m_record.add("client gets " + std::to_string(status) + " " + text + " for " + what);
            answer(status, text);
        });
}

void Deployment::submit(std::size_t daemon, const std::string &id, const std::vector<Step> &steps,
                        const Answer &answer)
{
    json list = json::array();
    for (std::size_t n = 0; n < steps.size(); ++n) {
        json step = {{"count", steps[n].tasks},
                     {"cpu", steps[n].size.milliCores},
                     {"requested_memory_mb", steps[n].size.memoryMb},
                     {"estimated_ms", steps[n].size.runTime.count()}};
        if (n > 0) {
            step["after"] = {n - 1};
        }
        if (steps[n].lasting) {
            step["long_running"] = true;
        }
        if (steps[n].tasksPerServer > 0) {
            step["anti_affinity"] = steps[n].tasksPerServer;
        }
        list.push_back(std::move(step));
    }
    m_jobs[id] = steps;
    request(daemon, "POST", id, json{{"spec", "job " + id}, {"steps", list}}.dump(), answer);
}

/// The name of a task has the form ID.K.STEP.INDEX.
TaskSize Deployment::sizeOf(const std::string &task) const
{
    const auto first = task.find('.');
    const auto second = task.find('.', first + 1);
    const auto job = m_jobs.find(task.substr(0, first));
    const std::size_t step = std::stoul(task.substr(second + 1));
    return job == m_jobs.end() || step >= job->second.size() ? TaskSize{} : job->second[step].size;
}

} // namespace acaciadeal::review
