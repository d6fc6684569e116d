#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <thread>

using namespace review;
using nlohmann::json;

namespace {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

struct Case
{
    Record &record;
    Deployment &deployment;
    /// Whether the disruption is made.
    bool trouble = true;
};

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// A step with at most one task on each minion.
json spreadStep(int milliCores, int estimatedMs)
{
    return json::array({{{"count", 6},
                         {"cpu", milliCores},
                         {"requested_memory_mb", 100},
                         {"estimated_ms", estimatedMs},
                         {"anti_affinity", 1}}});
}

/// The minions of a zone without the holder lose power while they are idle and are soon back under
/// the ids that they had. Jobs come, and then the zone is cut off.
int restartBeforeCut(const Case &test)
{
    constexpr milliseconds powerLoss{800};
    constexpr milliseconds untilJobs{100};
    constexpr milliseconds untilCut{1200};
    constexpr milliseconds cut{6400};
    constexpr int jobs = 3;
    constexpr int milliCores = 1800;
    constexpr int workMs = 4000;
    Deployment &deployment = test.deployment;
    const std::string zone = deployment.daemons().front().zone;
    const Daemon *const holder = deployment.holder();
    if (holder->zone == zone) {
        return exitCouldNotRun;
    }
    // The daemon of the zone that is cut off is asked nothing.
    const Daemon &frontend = deployment.daemons().back();
    test.record.note("holder in " + holder->zone + "; zone " + zone + " will be disturbed");
    const auto forZone = [&](const std::function<void(Minion &)> &action) {
        for (const auto &minion : deployment.minions()) {
            if (test.trouble && minion->options().zone == zone) {
                action(*minion);
            }
        }
    };
    sleepFor(milliseconds(2000));
    forZone([](Minion &minion) { minion.losePower(); });
    sleepFor(powerLoss);
    forZone([](Minion &minion) { minion.restart(); });
    sleepFor(untilJobs);
    for (int n = 1; n <= jobs; ++n) {
        deployment.submit(frontend, jobId(n), spreadStep(milliCores, workMs),
                          {{"work_ms", workMs}});
    }
    sleepFor(untilCut - untilJobs);
    forZone([](Minion &minion) { minion.setCut(true); });
    sleepFor(cut);
    forZone([](Minion &minion) { minion.setCut(false); });
    sleepFor(milliseconds(4000));
    for (int n = 1; n <= jobs; ++n) {
        deployment.request(frontend, "GET", jobId(n));
    }
    return test.record.starts() < jobs ? exitCouldNotRun : exitHeld;
}

int run(const std::string &name, const std::string &folder)
{
    const std::map<std::string, int (*)(const Case &)> cases{
        {"restart-before-cut", &restartBeforeCut}};
    const auto it = cases.find(name);
    if (it == cases.end()) {
        std::cerr << "unknown case " << name << "\n";
        return exitCouldNotRun;
    }
    const char *const trouble = std::getenv("TROUBLE");
    std::string temporary = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (mkdtemp(temporary.data()) == nullptr) {
        return exitCouldNotRun;
    }
    // Never destroyed: the threads that serve connections use both until the process ends.
    Record &record = *new Record(folder + "/record.txt");
    Deployment &deployment = *new Deployment(record, {.folder = temporary});
    int result = exitCouldNotRun;
    if (deployment.start()) {
        result = it->second({.record = record,
                             .deployment = deployment,
                             .trouble = trouble == nullptr || std::string(trouble) != "0"});
    }
    deployment.stop();
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::filesystem::copy(temporary, folder + "/logs",
                              std::filesystem::copy_options::recursive
                                  | std::filesystem::copy_options::overwrite_existing);
    }
    std::filesystem::remove_all(temporary);
    return result == exitHeld && record.isBroken() ? exitBroken : result;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "Usage: review-2 CASE FOLDER\n";
        return exitCouldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::quick_exit(run(argv[1], argv[2]));
}
