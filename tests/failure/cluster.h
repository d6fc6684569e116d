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

/// Answer to an HTTP call; status 0 if no complete answer was received.
struct Answer
{
    unsigned status = 0;
    HttpHeaders headers;
    std::string body;
    /// Whether any part of the request may have been sent.
    bool handedOver = false;

    /// Returns the body as JSON, or an empty object.
    nlohmann::json json() const;
    /// Returns the result code of an error answer; 0 if it is not an error or has none.
    int code() const;
};

/// Blocking HTTP client. Thread-safe.
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

/// Polls @p condition until it is true. After several minutes, which only a hung test reaches,
/// throws std::runtime_error with @p what.
void waitUntil(const std::string &what, const std::function<bool()> &condition);

struct ClusterOptions
{
    int daemonsPerDomain = 1;
    /// If empty, only the stand-ins are started.
    std::string daemonBinary = defaultDaemonBinary();
    std::string deployment = "small";
    milliseconds platformTimeout{3'000};

    /// Returns the path of acaciadeald in the build folder; empty if it is not part of the build.
    static std::string defaultDaemonBinary();
};

/// Daemon of the cluster: its settings file and the last process that was started with it.
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

    /// Starts the daemon's process. Precondition: it is not running.
    void startDaemon(Daemon &daemon);

    /// Calls to the control routes of the stand-ins. Throw std::runtime_error unless the status is
    /// 200.
    nlohmann::json callPlatform(const std::string &path, const nlohmann::json &body);
    nlohmann::json callPlatform(const std::string &path);
    void changeHosts(const std::vector<std::string> &names, const nlohmann::json &faults);
    Records records();
    /// Returns the time of the latest recorded write of @p key, in microseconds; 0 if there is
    /// none.
    std::int64_t lastWriteAt(const std::string &key);

    /// Returns the answer to GET /v1/status; an empty object if the daemon does not answer.
    nlohmann::json status(const Daemon &daemon);
    /// Returns the running daemon that reports that it holds @p shard, with the highest epoch; null
    /// if there is none.
    Daemon *holderOf(const std::string &shard);
    /// Returns the epoch that @p daemon reports for @p shard, or 0.
    std::uint64_t epochOf(const Daemon &daemon, const std::string &shard);
    /// Returns the number of tasks of @p shard in @p state, as reported by its holder.
    int tasksInState(const std::string &shard, const std::string &state);

    /// Submits a job of @p tasks identical tasks, named as by taskName(), and returns the answer.
    /// The job is restricted to @p failureDomain unless that is empty.
    Answer submitJob(const Daemon &daemon, const std::string &job, int tasks,
                     const nlohmann::json &payload, const std::string &failureDomain = {});
    /// Waits until every task of the job has finished according to the workers' records.
    void waitFinished(const std::string &job, int tasks);

    /// Waits until every shard is held and every daemon serves requests.
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
