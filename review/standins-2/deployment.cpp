#include "deployment.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

using nlohmann::json;

constexpr milliseconds heartbeatPeriod{1500};
/// An entry is removed after three heartbeat intervals of silence; the last heartbeat was up to one
/// interval before the loss of power.
constexpr milliseconds entryTimeout = 2 * heartbeatPeriod;
constexpr milliseconds startTimeout{15000};
constexpr int submitAttempts = 5;

} // namespace

std::string jobId(int n)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(n));
    return id;
}

Deployment::Deployment(Record &record, const DeploymentOptions &options)
    : m_record(record)
    , m_options(options)
{
    m_store.put("op", "config",
                {{"version", 7},
                 {"routes",
                  {{{"name", "q"},
                    {"service", "svc"},
                    {"priority", 0},
                    {"max_attempts", 4},
                    {"slowdown_factor", 4.0},
                    {"target_latency_ms", 2500},
                    {"host", "jobs.example"},
                    {"path_prefix", "/q/"}}}},
                 {"services", {{{"name", "svc"}, {"admission_check", false}}}},
                 {"limits", {{"max_body_bytes", 262144}}}});
    for (const std::string &zone : options.zones) {
        for (int n = 0; n < options.minionsPerZone; ++n) {
            m_minions.push_back(std::make_unique<Minion>(
                record, MinionOptions{.id = "i-" + zone + "-" + std::to_string(n),
                                      .service = "svc",
                                      .zone = zone,
                                      .maxHold = options.maxHold}));
        }
        m_daemons.push_back({.name = "frontend-" + zone + "-1", .zone = zone});
    }
    for (Daemon &daemon : m_daemons) {
        writeSettings(daemon);
    }
    std::thread([this] {
        for (;;) {
            heartbeat();
            std::this_thread::sleep_for(heartbeatPeriod);
        }
    }).detach();
}

void Deployment::stop()
{
    for (Daemon &daemon : m_daemons) {
        signalDaemon(daemon, SIGKILL);
    }
}

void Deployment::heartbeat()
{
    for (const auto &minion : m_minions) {
        const auto powerlessSince = minion->powerlessSince();
        if (!powerlessSince) {
            m_store.put("servers", minion->options().id, minion->entry());
        } else if (std::chrono::steady_clock::now() - *powerlessSince >= entryTimeout) {
            m_store.erase("servers", minion->options().id);
        }
    }
}

/// Writes what the deploy file's template gives on one machine.
void Deployment::writeSettings(Daemon &daemon)
{
    const auto local = [](std::uint16_t port) {
        return "127.0.0.1:" + std::to_string(port);
    };
    daemon.httpPort = freePort();
    daemon.readyPort = freePort();
    daemon.settingsFile = m_options.folder + "/" + daemon.name + ".json";
    daemon.logFile = m_options.folder + "/" + daemon.name + ".log";
    std::ofstream(daemon.settingsFile) << json{
        {"daemon", daemon.name},
        {"deployment", "users"},
        {"region", "r"},
        {"failure_domain", daemon.zone},
        {"failure_domains", m_options.zones},
        {"http_listen", local(daemon.httpPort)},
        {"peer_listen", local(freePort())},
        {"platform",
         {{"adapter", "table-store"}, {"endpoint", local(m_store.port())}, {"timeout_ms", 1200}}},
        {"fleet",
         {{"adapter", "users-platform"},
          {"max_lease_ms", m_options.maxHold.count()},
          {"core_share", 0.25},
          {"link_mbps", 1000.0},
          {"ready_listen", local(daemon.readyPort)},
          {"metrics_listen",
           local(freePort())}}}}.dump(2);
}

void Deployment::startDaemon(Daemon &daemon)
{
    daemon.pid = fork();
    if (daemon.pid == 0) {
        const int log = ::open(daemon.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl(m_options.program.c_str(), m_options.program.c_str(), "--settings",
              daemon.settingsFile.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
}

void Deployment::signalDaemon(Daemon &daemon, int signal)
{
    if (daemon.pid <= 0) {
        return;
    }
    kill(daemon.pid, signal);
    if (signal == SIGKILL) {
        waitpid(daemon.pid, nullptr, 0);
        daemon.pid = 0;
    }
}

bool Deployment::start()
{
    // The first daemon comes last and finds a holder.
    for (auto it = m_daemons.rbegin(); it != m_daemons.rend(); ++it) {
        startDaemon(*it);
        std::this_thread::sleep_for(milliseconds(140));
    }
    const TimePoint until = std::chrono::steady_clock::now() + startTimeout;
    const auto isReady = [](const Daemon &daemon) {
        const auto response = call({.port = daemon.readyPort, .path = "/acaciadeal/readiness"});
        return response && response->status == 200;
    };
    for (const Daemon &daemon : m_daemons) {
        while (!isReady(daemon)) {
            if (std::chrono::steady_clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    while (holder() == nullptr) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

Daemon *Deployment::holder()
{
    const json owner = json::parse(m_store.value("owner", "owner", "main"), nullptr, false);
    for (Daemon &daemon : m_daemons) {
        if (owner.is_object() && owner.value("daemon", "") == daemon.name) {
            return &daemon;
        }
    }
    return nullptr;
}

std::optional<Response> Deployment::request(const Daemon &daemon, const std::string &method,
                                            const std::string &id, const std::string &body)
{
    auto response = call({.port = daemon.httpPort,
                          .method = method,
                          .path = "/q/" + id,
                          .headers = {{"Host", "jobs.example"},
                                      {"Content-Type", "application/json"},
                                      {"X-Acaciadeal-Deadline-Ms", "3000"}},
                          .body = body});
    m_record.note(method + " /q/" + id + " at " + daemon.name + " -> "
                  + (response ? std::to_string(response->status) + " " + response->body
                              : std::string("no answer")));
    return response;
}

void Deployment::submit(const Daemon &daemon, const std::string &id, const json &steps,
                        const json &spec)
{
    for (int n = 0; n < submitAttempts; ++n) {
        const auto response =
            request(daemon, "POST", id, json{{"spec", spec.dump()}, {"steps", steps}}.dump());
        if (response && response->status == 200) {
            return;
        }
        std::this_thread::sleep_for(milliseconds(300));
    }
}

Store &Deployment::store()
{
    return m_store;
}

std::vector<std::unique_ptr<Minion>> &Deployment::minions()
{
    return m_minions;
}

std::vector<Daemon> &Deployment::daemons()
{
    return m_daemons;
}

} // namespace review
