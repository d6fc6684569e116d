#include "deployment.h"

#include <atomic>
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

/// A minion in a zone without the holder crashes behind a short cut and starts again under the id
/// that it had. Soon after, the zone is cut off.
int restartBeforeCut(const Case &test)
{
    constexpr milliseconds shortCut{250};
    constexpr milliseconds untilCut{2600};
    constexpr milliseconds untilOrder{2200};
    constexpr milliseconds cut{6400};
    constexpr int shortMilliCores = 100;
    constexpr int longMilliCores = 1800;
    Deployment &deployment = test.deployment;
    const std::string zone = deployment.daemons().front().zone;
    const Daemon *const holder = deployment.holder();
    if (holder->zone == zone) {
        return exitCouldNotRun;
    }
    const Daemon &frontend = deployment.daemons().back();
    test.record.note("holder in " + holder->zone + "; zone " + zone + " will be disturbed");
    std::atomic<bool> submitting = true;
    std::atomic<int> next = 1;
    std::thread flow([&] {
        while (submitting) {
            deployment.submit(frontend, jobId(next++), spreadStep(shortMilliCores, 600),
                              {{"work_ms", 600}, {"cpu", shortMilliCores}});
            sleepFor(milliseconds(40));
        }
    });
    sleepFor(milliseconds(4000));
    const auto forZone = [&](const std::function<void(Minion &)> &action) {
        for (const auto &minion : deployment.minions()) {
            if (test.trouble && minion->options().zone == zone) {
                action(*minion);
            }
        }
    };
    Minion &reborn = *deployment.minions().front();
    if (test.trouble) {
        reborn.setCut(true);
        reborn.restart();
        sleepFor(shortCut);
        reborn.setCut(false);
    }
    sleepFor(untilCut / 2);
    submitting = false;
    flow.join();
    sleepFor(untilOrder - untilCut / 2);
    const int longJob = next;
    for (int n = 0; n < 3; ++n) {
        deployment.submit(frontend, jobId(longJob + n), spreadStep(longMilliCores, 4000),
                          {{"work_ms", 4000}, {"cpu", longMilliCores}});
    }
    sleepFor(untilCut - untilOrder);
    forZone([](Minion &minion) { minion.setCut(true); });
    sleepFor(cut);
    forZone([](Minion &minion) { minion.setCut(false); });
    sleepFor(milliseconds(3000));
    for (int n = 0; n < 3; ++n) {
        deployment.request(frontend, "GET", jobId(longJob + n));
    }
    return test.record.starts() < 100 ? exitCouldNotRun : exitHeld;
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
