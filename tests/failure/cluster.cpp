#include "failure/cluster.h"

#include "store/codec.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

namespace acaciadeal::failure_tests {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr unsigned statusOk = 200;
constexpr auto pollPeriod = 50ms;
/// Longer than any wait that a test causes: a shard claim by another failure domain takes 36 s, the
/// expiry of a lease 15 s.
constexpr auto hangTimeout = 240s;

json jsonOrThrow(const Answer &answer, const std::string &what)
{
    if (answer.status != statusOk) {
        throw std::runtime_error(what + ": status " + std::to_string(answer.status) + " "
                                 + answer.body);
    }
    return answer.json();
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

json shardStatus(const json &status, const std::string &shard)
{
    const json shards = status.value("shards", json::array());
    for (const json &item : shards) {
        if (item.value("shard", "") == shard) {
            return item;
        }
    }
    return json::object();
}

} // namespace

nlohmann::json Answer::json() const
{
    auto document = nlohmann::json::parse(body, nullptr, false);
    return document.is_discarded() ? nlohmann::json::object() : document;
}

int Answer::code() const
{
    const auto document = json();
    return status == statusOk || !document.is_object() ? 0 : document.value("code", 0);
}

Caller::Caller()
    : m_loop({.threads = 2})
    , m_client(m_loop, {})
{
}

Answer Caller::call(const std::string &endpoint, HttpRequest request, Duration timeout)
{
    const auto parsed = parseEndpoint(endpoint);
    if (!parsed) {
        throw std::runtime_error("invalid endpoint: " + endpoint);
    }
    std::promise<HttpOutcome> promise;
    auto future = promise.get_future();
    // A new connection for each call, so that a lost connection affects one call only.
    m_client.send(*parsed, std::move(request), {.timeout = timeout, .freshConnection = true},
                  [&promise](HttpOutcome outcome) { promise.set_value(std::move(outcome)); });
    HttpOutcome outcome = future.get();
    Answer answer{.handedOver = outcome.handedOver};
    if (outcome.response) {
        answer.status = outcome.response->status;
        answer.headers = std::move(outcome.response->headers);
        answer.body = std::move(outcome.response->body);
    }
    return answer;
}

Answer Caller::get(const std::string &endpoint, const std::string &target)
{
    return call(endpoint, {.method = "GET", .target = target});
}

Answer Caller::post(const std::string &endpoint, const std::string &target, const json &body)
{
    return call(endpoint, {.method = "POST",
                           .target = target,
                           .headers = {{"content-type", "application/json"}},
                           .body = body.dump()});
}

void waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + hangTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            throw std::runtime_error("timed out while waiting until " + what);
        }
        std::this_thread::sleep_for(pollPeriod);
    }
}

std::string ClusterOptions::defaultDaemonBinary()
{
    return ACACIADEAL_DAEMON;
}

std::string taskName(const std::string &job, int number)
{
    return job + "-t" + std::to_string(number);
}

Cluster::Cluster(const ClusterOptions &options)
    : m_options(options)
{
    auto deployment = standins::readDeployment(std::string(ACACIADEAL_DEPLOYMENTS_DIR) + "/"
                                               + options.deployment + ".json");
    if (!deployment) {
        throw std::runtime_error(deployment.error().message);
    }
    m_deployment = std::move(*deployment);
    startStandins();
    if (options.daemonBinary.empty()) {
        return;
    }
    for (const FailureDomainId &domain : m_deployment.failureDomains) {
        for (int n = 1; n <= options.daemonsPerDomain; ++n) {
            auto daemon = std::make_unique<Daemon>();
            daemon->name = domain.value + "-d" + std::to_string(n);
            daemon->failureDomain = domain.value;
            daemon->settingsFile = m_folder.file(daemon->name + ".json");
            m_daemons.push_back(std::move(daemon));
        }
    }
    for (const auto &daemon : m_daemons) {
        writeSettings(*daemon);
        startDaemon(*daemon);
    }
    waitReady();
}

Cluster::~Cluster()
{
    // Ends the processes before the folder with their logs is deleted.
    for (const auto &daemon : m_daemons) {
        daemon->process.reset();
    }
}

void Cluster::startStandins()
{
    const std::string file =
        std::string(ACACIADEAL_DEPLOYMENTS_DIR) + "/" + m_options.deployment + ".json";
    m_platform = std::make_unique<Process>(std::vector<std::string>{ACACIADEAL_STANDIN_PLATFORM},
                                           m_folder.file("platform.log"));
    m_workers = std::make_unique<Process>(
        std::vector<std::string>{ACACIADEAL_STANDIN_WORKERS, "--deployment", file},
        m_folder.file("workers.log"));
    waitUntil("the stand-ins listen", [&] {
        if (m_platform->status() || m_workers->status()) {
            throw std::runtime_error("a stand-in exited during startup: " + m_platform->log()
                                     + m_workers->log());
        }
        m_platformEndpoint = listeningEndpoint(m_platform->log());
        m_workersEndpoint = listeningEndpoint(m_workers->log());
        return !m_platformEndpoint.empty() && !m_workersEndpoint.empty();
    });
    const Answer hosts = m_caller.get(m_workersEndpoint, "/control/hosts");
    callPlatform("/control/hosts", jsonOrThrow(hosts, "host list"));
    m_deployment.hosts = decodeHosts(hosts.body).value();
}

void Cluster::writeSettings(const Daemon &daemon)
{
    json seeds = json::array();
    for (const auto &other : m_daemons) {
        if (other.get() != &daemon) {
            seeds.push_back(other->peerPort.endpoint());
        }
    }
    // Each daemon connects to its own listening socket of the platform, so that a single daemon can
    // be disconnected from it.
    const json settings{
        {"daemon", daemon.name},
        {"deployment", "failure-test"},
        {"region", m_deployment.region},
        {"failure_domain", daemon.failureDomain},
        {"failure_domains", failureDomains()},
        {"http_listen", daemon.httpPort.endpoint()},
        {"peer_listen", daemon.peerPort.endpoint()},
        {"seeds", seeds},
        {"platform",
         {{"adapter", "http"},
          {"endpoint", callPlatform("/control/door", {{"name", daemon.name}}).at("endpoint")},
          {"timeout_ms", m_options.platformTimeout.count()}}},
        {"tokens",
         {{"system-token", "system"}, {"wire-token", "wire"}, {"boiler-token", "boiler"}}}};
    std::ofstream(daemon.settingsFile) << settings.dump(2) << '\n';
}

void Cluster::startDaemon(Daemon &daemon)
{
    daemon.process = std::make_unique<Process>(
        std::vector<std::string>{m_options.daemonBinary, "--settings", daemon.settingsFile},
        m_folder.file(daemon.name + ".log"));
}

void Cluster::waitReady()
{
    waitUntil("every shard is held and every daemon answers", [&] {
        for (const auto &daemon : m_daemons) {
            if (daemon->process->status()) {
                throw std::runtime_error(daemon->name
                                         + " exited during startup: " + daemon->process->log());
            }
            if (status(*daemon).value("members", 0) < static_cast<int>(m_daemons.size())) {
                return false;
            }
        }
        for (const std::string &domain : failureDomains()) {
            if (holderOf(domain) == nullptr) {
                return false;
            }
        }
        return true;
    });
    for (const auto &daemon : m_daemons) {
        waitUntil(daemon->name + " serves requests", [&] {
            const json request{{"id", "ready-" + daemon->name},
                               {"tenant", "wire"},
                               {"class", "normal"},
                               {"service", m_deployment.hosts.back().service.value},
                               {"repeatable", true},
                               {"timeout_ms", 2'000},
                               {"body", "ready"}};
            return m_caller.post(daemon->endpoint(), "/v1/requests", request).status == statusOk;
        });
    }
}

Caller &Cluster::caller()
{
    return m_caller;
}

const std::vector<std::unique_ptr<Daemon>> &Cluster::daemons() const
{
    return m_daemons;
}

Daemon &Cluster::daemon(const std::string &name)
{
    for (const auto &daemon : m_daemons) {
        if (daemon->name == name) {
            return *daemon;
        }
    }
    throw std::runtime_error("no daemon named " + name);
}

std::vector<std::string> Cluster::failureDomains() const
{
    std::vector<std::string> names;
    for (const FailureDomainId &domain : m_deployment.failureDomains) {
        names.push_back(domain.value);
    }
    return names;
}

const std::vector<HostRecord> &Cluster::hosts() const
{
    return m_deployment.hosts;
}

json Cluster::callPlatform(const std::string &path, const json &body)
{
    return jsonOrThrow(m_caller.post(m_platformEndpoint, path, body), path);
}

json Cluster::callPlatform(const std::string &path)
{
    return jsonOrThrow(m_caller.get(m_platformEndpoint, path), path);
}

void Cluster::changeHosts(const std::vector<std::string> &names, const json &faults)
{
    json body = faults;
    body["hosts"] = names;
    jsonOrThrow(m_caller.post(m_workersEndpoint, "/control/host", body), "/control/host");
}

Records Cluster::records()
{
    return parseRecords(
        jsonOrThrow(m_caller.get(m_workersEndpoint, "/control/records"), "records").dump());
}

std::int64_t Cluster::lastWriteAt(const std::string &key)
{
    std::int64_t at = 0;
    const json history = callPlatform("/control/history?prefix=" + key);
    for (const json &write : history.at("writes")) {
        if (write.at("key") == key) {
            at = write.at("at_us").get<std::int64_t>();
        }
    }
    return at;
}

json Cluster::status(const Daemon &daemon)
{
    const Answer answer = m_caller.call(daemon.endpoint(), {.target = "/v1/status"}, 2s);
    return answer.status == statusOk ? answer.json() : json::object();
}

Daemon *Cluster::holderOf(const std::string &shard)
{
    Daemon *holder = nullptr;
    std::uint64_t epoch = 0;
    for (const auto &daemon : m_daemons) {
        if (!daemon->process || daemon->process->status()) {
            continue;
        }
        const json item = shardStatus(status(*daemon), shard);
        if (item.value("held", false) && item.value("epoch", std::uint64_t{0}) > epoch) {
            holder = daemon.get();
            epoch = item.at("epoch").get<std::uint64_t>();
        }
    }
    return holder;
}

std::uint64_t Cluster::epochOf(const Daemon &daemon, const std::string &shard)
{
    return shardStatus(status(daemon), shard).value("epoch", std::uint64_t{0});
}

int Cluster::tasksInState(const std::string &shard, const std::string &state)
{
    const Daemon *const holder = holderOf(shard);
    if (holder == nullptr) {
        return 0;
    }
    const json tasks = shardStatus(status(*holder), shard).value("tasks", json::object());
    int count = 0;
    for (const auto &[name, number] : tasks.items()) {
        count += lowerCase(name) == state ? number.get<int>() : 0;
    }
    return count;
}

Answer Cluster::submitJob(const Daemon &daemon, const std::string &job, int tasks,
                          const json &payload, const std::string &failureDomain)
{
    json list = json::array();
    for (int n = 1; n <= tasks; ++n) {
        list.push_back({{"task", taskName(job, n)},
                        {"class", "batch"},
                        {"milli_cores", 1'000},
                        {"memory_mib", 1'000},
                        {"accelerators", 0},
                        {"expected_run_ms", payload.value("run_ms", 0)},
                        {"deadline_ms", 0},
                        {"payload", payload.dump()}});
    }
    json body{{"job", job}, {"team", "wire"}, {"tasks", list}};
    if (!failureDomain.empty()) {
        body["failure_domain"] = failureDomain;
    }
    return m_caller.post(daemon.endpoint(), "/v1/jobs", body);
}

void Cluster::waitFinished(const std::string &job, int tasks)
{
    waitUntil("every task of " + job + " finished", [&] {
        const Records now = records();
        for (int n = 1; n <= tasks; ++n) {
            if (runsWithOutcome(now, taskName(job, n), "finished") == 0) {
                return false;
            }
        }
        return true;
    });
}

} // namespace acaciadeal::failure_tests
