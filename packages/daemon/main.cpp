#include "daemon/daemon.h"
#include "daemon/plugins.h"
#include "fleet/fleetdaemon.h"
#include "logging/log.h"

#include <csignal>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <string>

using namespace acaciadeal;

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

constexpr const char *usage = "Usage: acaciadeald --settings FILE [--check]\n"
                              "  -s, --settings FILE  settings file, JSON with comments\n"
                              "  -c, --check          check the settings file and exit\n"
                              "  -p, --list-plugins   list the built-in plug-ins and exit\n"
                              "  -h, --help           show this help\n"
                              "  -V, --version        show the version\n";

struct Options
{
    std::string settingsFile;
    bool checkOnly = false;
};

int printError(const Error &error)
{
    std::cerr << "acaciadeald: error " << static_cast<int>(error.code) << " "
              << resultCodeName(error.code) << ": " << error.message;
    if (!error.where.empty()) {
        std::cerr << " (" << error.where << ")";
    }
    std::cerr << "\n";
    return exitFailed;
}

void listPlugins()
{
    for (const PluginGroup &group : pluginGroups()) {
        std::cout << group.kind << ":";
        for (const std::string &name : group.names) {
            std::cout << " " << name;
        }
        std::cout << "\n";
    }
}

/// Re-reads the settings file and logs whether it is valid. Its values take effect at the next
/// start only; settings that may change while a daemon runs come from the platform.
void logSettingsReload(const std::string &file)
{
    const auto settings = readDaemonSettings(file);
    if (settings) {
        logEvent(EventId::SettingsReloaded, {{"file", file}});
    } else {
        logEvent(EventId::SettingsFileRejected,
                 {{"file", file}, {"reason", settings.error().message}});
    }
}

/// Runs a daemon until SIGTERM or SIGINT.
template<typename AnyDaemon>
int run(const DaemonSettings &settings, const std::string &file)
{
    // Block the signals before any thread is started: all threads inherit the mask, so that only
    // sigtimedwait() below receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    openLog({.daemon = settings.daemon.value});
    AnyDaemon daemon(settings);
    if (const auto started = daemon.start(); !started) {
        flushLog();
        return printError(started.error());
    }
    logEvent(EventId::DaemonStarted, {{"http", toString(settings.httpListen)},
                                      {"peer", toString(settings.peerListen)},
                                      {"failure_domain", settings.failureDomain.value}});
    const timespec flushPeriod{.tv_sec = 0, .tv_nsec = 100'000'000};
    int signal = -1;
    while (signal < 0 || signal == SIGHUP) {
        if (signal == SIGHUP) {
            logSettingsReload(file);
        }
        flushLog();
        signal = sigtimedwait(&signals, nullptr, &flushPeriod);
    }
    logEvent(EventId::DaemonStopping, {{"signal", std::to_string(signal)}});
    daemon.shutDown();
    logEvent(EventId::DaemonStopped);
    flushLog();
    // Skip the destructors: pending handlers of one event loop may own sockets of the other, so no
    // order of destruction is safe. No work is left, and the log has been flushed.
    std::quick_exit(exitOk);
}

} // namespace

int main(int argc, char **argv)
{
    const option longOptions[] = {
        {"settings", required_argument, nullptr, 's'}, {"check", no_argument, nullptr, 'c'},
        {"list-plugins", no_argument, nullptr, 'p'},   {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'V'},        {nullptr, 0, nullptr, 0}};
    Options options;
    for (int c = 0; (c = getopt_long(argc, argv, "s:cphV", longOptions, nullptr)) != -1;) {
        switch (c) {
        case 's':
            options.settingsFile = optarg;
            break;
        case 'c':
            options.checkOnly = true;
            break;
        case 'p':
            listPlugins();
            return exitOk;
        case 'h':
            std::cout << usage;
            return exitOk;
        case 'V':
            std::cout << "acaciadeald " ACACIADEAL_VERSION "\n";
            return exitOk;
        default:
            std::cerr << usage;
            return exitUsage;
        }
    }
    if (options.settingsFile.empty() || optind != argc) {
        std::cerr << usage;
        return exitUsage;
    }
    const auto settings = readDaemonSettings(options.settingsFile);
    if (!settings) {
        return printError(settings.error());
    }
    if (options.checkOnly) {
        return exitOk;
    }
    return settings->fleet ? run<FleetDaemon>(*settings, options.settingsFile)
                           : run<Daemon>(*settings, options.settingsFile);
}
