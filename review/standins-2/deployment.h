#ifndef ACACIADEAL_REVIEW_DEPLOYMENT_H
#define ACACIADEAL_REVIEW_DEPLOYMENT_H

#include "minion.h"
#include "store.h"

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A daemon of the deploy file, as a process of its own.
struct Daemon
{
    std::string name;
    std::string zone;
    std::uint16_t httpPort = 0;
    std::uint16_t readyPort = 0;
    std::string settingsFile;
    std::string logFile;
    pid_t pid = 0;
};

struct DeploymentOptions
{
    /// Folder for settings files and logs.
    std::string folder;
    std::string program = "target/packages/daemon/acaciadeald";
    std::vector<std::string> zones{"z1", "z2", "z3"};
    int minionsPerZone = 2;
    milliseconds maxHold{10000};
};

/// A small deployment on loopback: the store, one daemon and some minions in each zone, and one
/// queue, "/q/" of the host "jobs.example".
class Deployment
{
public:
    Deployment(Record &record, const DeploymentOptions &options);

    /// Starts all daemons and waits until they are ready and one of them orders. Returns whether
    /// that succeeded.
    bool start();
    /// Kills all daemons.
    void stop();
    void startDaemon(Daemon &daemon);
    void signalDaemon(Daemon &daemon, int signal);
    /// Returns the daemon that the row of the shard's owner names; nullptr if there is none.
    Daemon *holder();
    /// Sends one request about a job, or about the queue if @p id is empty.
    std::optional<Response> request(const Daemon &daemon, const std::string &method,
                                    const std::string &id, const std::string &body = {});
    void submit(const Daemon &daemon, const std::string &id, const nlohmann::json &steps,
                const nlohmann::json &spec);

    Store &store();
    std::vector<std::unique_ptr<Minion>> &minions();
    std::vector<Daemon> &daemons();

private:
    void writeSettings(Daemon &daemon);
    void heartbeat();

    Record &m_record;
    DeploymentOptions m_options;
    Store m_store;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<Daemon> m_daemons;
};

/// Returns a job id of 16 hexadecimal digits.
std::string jobId(int n);

} // namespace review

#endif
