#include "cases.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <map>

using namespace acaciadeal::review;

namespace {

constexpr const char *usage = "Usage: reviewcase CASE DAEMON RECORD TROUBLE\n"
                              "  CASE: connections, ends, late-write or large-job\n"
                              "  TROUBLE: 0 to leave the disruption out\n";

int runCase(const Case &scenario, const std::string &daemon, const std::string &recordFile,
            bool trouble)
{
    DeploymentOptions options = scenario.options;
    options.daemon = daemon;
    options.recordFile = recordFile;
    options.trouble = trouble;
    Deployment deployment(options);
    return static_cast<int>(deployment.run([&] { scenario.start(deployment); }));
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, Case (*)()> cases{{"connections", &connectionsCase},
                                                  {"ends", &endsCase},
                                                  {"late-write", &lateWriteCase},
                                                  {"large-job", &largeJobCase}};
    const auto it = argc == 5 ? cases.find(argv[1]) : cases.end();
    if (it == cases.end()) {
        std::cerr << usage;
        return static_cast<int>(Verdict::NotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return runCase(it->second(), argv[2], argv[3], std::string(argv[4]) != "0");
    } catch (const std::exception &e) {
        std::cerr << "not run: " << e.what() << "\n";
        return static_cast<int>(Verdict::NotRun);
    }
}
