#ifndef ACACIADEAL_REVIEW_DEPLOYMENT_H
#define ACACIADEAL_REVIEW_DEPLOYMENT_H

#include "../../tests/failure/process.h"
#include "http/httpclient.h"
#include "minion.h"
#include "record.h"
#include "runtime/eventloop.h"
#include "store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal::review {

/// Result of a case; the value is the exit status of its script.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

struct DeploymentOptions
{
    /// The daemon's program.
    std::string daemon;
    std::string recordFile;
    /// Without it, the case does the same without its disruption.
    bool trouble = true;
    std::size_t daemons = 3;
    std::size_t minions = 3;
    int milliCores = 16000;
};

struct Step
{
    int tasks = 1;
    TaskSize size;
    bool lasting = false;
    /// Largest number of the step's tasks on one server; 0 for any number.
    int tasksPerServer = 0;
};

/// A small deployment: daemons as processes, and stand-ins for the store, the servers and clients.
/// All functions but the constructor and run() are used on the loop's single thread.
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts everything, calls @p scenario once the daemons have a holder and know the servers,
    /// and returns when finish() was called. Returns NotRun if that takes longer than a script may.
    Verdict run(const std::function<void()> &scenario);
    void finish(Verdict verdict, const std::string &reason);
    void after(Duration delay, std::function<void()> task);

    bool trouble() const;
    std::int64_t nowMs() const;
    Record &record();
    Store &store();
    std::vector<std::unique_ptr<Minion>> &minions();
    const std::vector<RunRecord> &runs() const;
    /// Returns the daemon that last claimed the shard or confirmed its claim.
    std::optional<std::size_t> holder() const;
    /// Stops the processes of a machine for @p duration, then lets them go on.
    void freeze(std::size_t daemon, Duration duration);
    /// Kills the process of a daemon and starts it again after @p pause.
    void killAndRestart(std::size_t daemon, Duration pause);

    using Answer = std::function<void(unsigned status, const std::string &body)>;
    /// Sends a request of a client to a daemon; status 0 stands for no answer.
    void request(std::size_t daemon, const std::string &method, const std::string &id,
                 const std::string &body, const Answer &answer);
    /// Submits a job of steps of which each one needs all earlier ones.
    void submit(std::size_t daemon, const std::string &id, const std::vector<Step> &steps,
                const Answer &answer);

private:
    struct Daemon
    {
        failure_tests::ReservedPort httpPort;
        failure_tests::ReservedPort peerPort;
        failure_tests::ReservedPort readyPort;
        failure_tests::ReservedPort metricsPort;
        std::string settingsFile;
        std::string logFile;
        std::unique_ptr<failure_tests::Process> process;
    };

    void start();
    void createDaemon(std::size_t n);
    void startProcess(std::size_t n);
    void awaitReady(const std::function<void()> &scenario);
    TaskSize sizeOf(const std::string &task) const;

    DeploymentOptions m_options;
    Record m_record;
    EventLoop m_loop{{.threads = 1}};
    failure_tests::TemporaryFolder m_folder;
    Store m_store;
    HttpClient m_client;
    std::vector<RunRecord> m_runs;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<std::string, std::vector<Step>> m_jobs;
    std::function<void(Verdict)> m_onFinished;
};

/// Returns the id of a job: 16 hexadecimal digits.
std::string jobId(unsigned number);

} // namespace acaciadeal::review

#endif
