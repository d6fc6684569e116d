#ifndef ACACIADEAL_FAILURE_CLUSTER_H
#define ACACIADEAL_FAILURE_CLUSTER_H

#include "failure/process.h"
#include "failure/recordchecks.h"
#include "http/httpclient.h"
#include "runtime/eventloop.h"
#include "standins/deployment.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal::failure_tests {

/// Answer of an HTTP call; status 0 if there was no whole answer.
struct Answer
{
    unsigned status = 0;
    HttpHeaders headers;
    std::string body;
    /// Whether a byte of the request may have been sent.
    bool handedOver = false;

    /// Returns the body as JSON, or an empty object.
    nlohmann::json json() const;
    /// Returns the result code of an error answer, or 0.
    int code() const;
};

/// Blocking HTTP calls. Thread-safe.
class Caller
{
public:
    Caller();

    Answer call(const std::string &endpoint, HttpRequest request,
                Duration timeout = std::chrono::seconds(20));
    Answer get(const std::string &endpoint, const std::string &target);
    Answer post(const std::string &endpoint, const std::string &target, const nlohmann::json &body);

private:
    EventLoop m_loop;
    HttpClient m_client;
};

/// Polls @p condition until it is true. The limit of several minutes only ends a hung run; then
/// std::runtime_error with @p what is thrown.
void waitUntil(const std::string &what, const std::function<bool()> &condition);

struct ClusterOptions
{
    int daemonsPerDomain = 1;
    /// Empty starts only the stand-ins.
    std::string daemonBinary = defaultDaemonBinary();
    std::string deployment = "small";
    milliseconds platformTimeout{3'000};

    /// Path of acaciadeald in the build folder; empty if it is not part of the build.
    static std::string defaultDaemonBinary();
};

/// One entry host: a settings file and the process that was started with it last.
struct Daemon
{
    std::string name;
    std::string failureDomain;
    ReservedPort httpPort;
    ReservedPort peerPort;
    std::string settingsFile;
    std::unique_ptr<Process> process;

    std::string endpoint() const
    {
        return httpPort.endpoint();
    }
};

/// Platform, workers, service instances and daemons as real processes. All functions throw
/// std::runtime_error when a process cannot be started. Status functions are thread-safe; functions
/// that start or end processes are called from one thread.
class Cluster
{
public:
    /// Starts everything and waits until every shard is held and every daemon serves requests.
    explicit Cluster(const ClusterOptions &options);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    Caller &caller();
    /// Daemons in the order of their failure domains.
    const std::vector<std::unique_ptr<Daemon>> &daemons() const;
    Daemon &daemon(const std::string &name);
    std::vector<std::string> failureDomains() const;
    const std::vector<HostRecord> &hosts() const;

    /// Starts the daemon's program, which must not be running.
    void startDaemon(Daemon &daemon);

    /// Control routes of the stand-ins; every answer must be 200.
    nlohmann::json platform(const std::string &path, const nlohmann::json &body);
    nlohmann::json platform(const std::string &path);
    void changeHosts(const std::vector<std::string> &names, const nlohmann::json &faults);
    Records records();
    /// Time of the newest recorded write of @p key, in microseconds; 0 if there is none.
    std::int64_t lastWriteAt(const std::string &key);

    /// GET /v1/status; an empty object if the daemon does not answer.
    nlohmann::json status(const Daemon &daemon);
    /// Returns the running daemon that says it holds @p shard, or null.
    Daemon *holderOf(const std::string &shard);
    /// Epoch that @p daemon reports for @p shard, or 0.
    std::uint64_t epochOf(const Daemon &daemon, const std::string &shard);
    /// Number of tasks of @p shard in @p state as its holder reports it.
    int tasksInState(const std::string &shard, const std::string &state);

    /// Submits a job of @p tasks equal tasks named JOB-t1... and returns the answer. The job stays
    /// in @p failureDomain unless that is empty.
    Answer submitJob(const Daemon &daemon, const std::string &job, int tasks,
                     const nlohmann::json &payload, const std::string &failureDomain = {});
    /// Waits until the workers' records say that every task of the job finished.
    void waitFinished(const std::string &job, int tasks);

    void waitReady();

private:
    void startStandins();
    void writeSettings(const Daemon &daemon);

    ClusterOptions m_options;
    TemporaryFolder m_folder;
    Caller m_caller;
    standins::Deployment m_deployment;
    std::unique_ptr<Process> m_platform;
    std::unique_ptr<Process> m_workers;
    std::string m_platformEndpoint;
    std::string m_workersEndpoint;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

std::string taskName(const std::string &job, int number);

} // namespace acaciadeal::failure_tests

#endif
