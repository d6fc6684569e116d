#include "base/resultcode.h"
#include "failure/testhelpers.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <map>
#include <thread>

using namespace acaciadeal;
using namespace acaciadeal::failure_tests;
using nlohmann::json;

namespace {

/// Polls the settings version of every daemon in the background, and reports a decrease as a
/// violation.
class SettingsVersionMonitor
{
public:
    explicit SettingsVersionMonitor(Cluster &cluster)
        : m_thread([this, &cluster] {
            while (!m_stopping) {
                for (const auto &daemon : cluster.daemons()) {
                    const json status = cluster.status(*daemon);
                    if (status.contains("settings_version")) {
                        recordVersion(daemon->name,
                                      status.at("settings_version").get<std::uint64_t>());
                    }
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        })
    {
    }

    ~SettingsVersionMonitor()
    {
        stop();
    }

    SettingsVersionMonitor(const SettingsVersionMonitor &) = delete;
    SettingsVersionMonitor &operator=(const SettingsVersionMonitor &) = delete;

    /// Stops polling and returns the violations.
    Violations stop()
    {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_violations;
    }

private:
    void recordVersion(const std::string &daemon, std::uint64_t version)
    {
        std::uint64_t &newest = m_newest[daemon];
        if (version < newest) {
            m_violations.push_back("G10: " + daemon + " reverted from settings version "
                                   + std::to_string(newest) + " to " + std::to_string(version));
        }
        newest = version;
    }

    std::atomic<bool> m_stopping{false};
    std::map<std::string, std::uint64_t> m_newest;
    Violations m_violations;
    std::thread m_thread;
};

bool inForceEverywhere(Cluster &cluster, const std::string &path, const json &value)
{
    return std::all_of(cluster.daemons().begin(), cluster.daemons().end(), [&](const auto &daemon) {
        return settingInForce(cluster, *daemon, path) == value;
    });
}

/// Returns the number of rows in the settings log, which has one row per accepted change.
std::size_t acceptedChanges(Cluster &cluster)
{
    return cluster.callPlatform("/control/history?prefix=settings/log/").at("writes").size();
}

} // namespace

TEST_SUITE_BEGIN("settings");

// Guards against concurrent changes of which one silently overwrites the other.
TEST_CASE("G10: of two concurrent writes of the same path, one is accepted")
{
    Cluster cluster({});
    SettingsVersionMonitor monitor(cluster);
    const std::string path = "/system/drain_rate";
    for (std::uint64_t round = 0; round < 5; ++round) {
        const int base = static_cast<int>(10 * round) + 100;
        Answer a;
        Answer b;
        const std::string suffix = std::to_string(round);
        std::jthread other([&] {
            a = putSetting(cluster, *cluster.daemons().front(), path, std::to_string(base + 1),
                           round, "a" + suffix);
        });
        b = putSetting(cluster, *cluster.daemons().back(), path, std::to_string(base + 2), round,
                       "b" + suffix);
        other.join();
        CAPTURE(a.body);
        CAPTURE(b.body);
        REQUIRE((a.status == 200) != (b.status == 200));
        CHECK((a.status == 200 ? b : a).code() == static_cast<int>(ResultCode::VersionConflict));
        const int accepted = a.status == 200 ? base + 1 : base + 2;
        waitUntil("the accepted value is in force everywhere",
                  [&] { return inForceEverywhere(cluster, path, accepted); });
        CHECK(acceptedChanges(cluster) == round + 1);
    }
    CHECK(toText(monitor.stop()) == "");
}

// Guards against a version conflict between writes of different paths.
TEST_CASE("G10: concurrent writes of different paths are both accepted")
{
    Cluster cluster({});
    SettingsVersionMonitor monitor(cluster);
    for (std::uint64_t round = 0; round < 5; ++round) {
        const std::string suffix = std::to_string(round);
        Answer a;
        Answer b;
        std::jthread other([&] {
            a = putSetting(cluster, *cluster.daemons().front(), "/teams/wire/weight",
                           std::to_string(round + 1), round, "a" + suffix, "wire-token");
        });
        b = putSetting(cluster, *cluster.daemons().back(), "/teams/boiler/weight",
                       std::to_string(round + 11), round, "b" + suffix, "boiler-token");
        other.join();
        CAPTURE(a.body);
        CAPTURE(b.body);
        REQUIRE(a.status == 200);
        REQUIRE(b.status == 200);
        waitUntil("both values are in force everywhere", [&] {
            return inForceEverywhere(cluster, "/teams/wire/weight", round + 1)
                   && inForceEverywhere(cluster, "/teams/boiler/weight", round + 11);
        });
    }
    CHECK(acceptedChanges(cluster) == 10);
    // A team must not write to another team's subtree.
    const Answer denied = putSetting(cluster, *cluster.daemons().front(), "/teams/boiler/weight",
                                     "1", 5, "denied", "wire-token");
    CHECK(denied.code() == static_cast<int>(ResultCode::PermissionDenied));
    CHECK(toText(monitor.stop()) == "");
}

// Guards against a change being applied twice or not at all when the answer to its write is lost.
TEST_CASE("G10: the answer to a settings write is lost")
{
    Cluster cluster({});
    const Daemon &daemon = *cluster.daemons().front();
    cluster.callPlatform("/control/lose_answers", {{"count", 1}, {"prefix", "settings/"}});
    Answer answer;
    waitUntil("the write has a definite answer", [&] {
        answer = putSetting(cluster, daemon, "/system/drain_rate", "33", 0, "write-1");
        return answer.status == 200;
    });
    waitUntil("the value is in force everywhere",
              [&] { return inForceEverywhere(cluster, "/system/drain_rate", 33); });
    CHECK(acceptedChanges(cluster) == 1);
    CHECK(putSetting(cluster, daemon, "/system/drain_rate", "33", 0, "write-1").status == 200);
    CHECK(acceptedChanges(cluster) == 1);
}

// Guards against reverting to an old value after a restart or through a peer with older settings.
TEST_CASE("G10: an accepted change survives a restart, a disconnected daemon and a platform outage")
{
    Cluster cluster({.daemonsPerDomain = 2});
    const std::string path = "/system/drain_rate";
    Daemon &disconnected = *cluster.daemons().front();
    cluster.callPlatform("/control/cut", {{"clients", {disconnected.name}}});
    REQUIRE(putSetting(cluster, *cluster.daemons().back(), path, "41", 0, "w1").status == 200);
    // The daemon that is disconnected from the platform gets the change from its peers.
    waitUntil("the value is in force everywhere",
              [&] { return inForceEverywhere(cluster, path, 41); });
    cluster.callPlatform("/control/cut", {{"clients", json::array()}});
    REQUIRE(putSetting(cluster, disconnected, path, "42", 1, "w2").status == 200);
    waitUntil("the value is in force everywhere",
              [&] { return inForceEverywhere(cluster, path, 42); });
    cluster.callPlatform("/control/outage", {{"on", true}});
    disconnected.process->kill();
    cluster.startDaemon(disconnected);
    waitUntil("the restarted daemon has the settings without the platform",
              [&] { return settingInForce(cluster, disconnected, path) == 42; });
    CHECK(putSetting(cluster, disconnected, path, "43", 2, "w3").code()
          == static_cast<int>(ResultCode::PlatformUnavailable));
    cluster.callPlatform("/control/outage", {{"on", false}});
    waitUntil("the value is in force everywhere",
              [&] { return inForceEverywhere(cluster, path, 42); });
}

TEST_SUITE_END();
