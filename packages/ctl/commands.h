#ifndef ACACIADEAL_CTL_COMMANDS_H
#define ACACIADEAL_CTL_COMMANDS_H

#include "ctl/commandline.h"

#include <functional>
#include <iosfwd>

namespace acaciadeal {

/// Exit codes of acaciadealctl, listed in docs/acaciadealctl.md.
enum class ExitCode : int {
    Success = 0,
    Refused = 1,
    Usage = 2,
    FaultsFound = 3,
    Unreachable = 4,
    OutcomeUnknown = 5,
    WaitExpired = 6,
};

/// Functions and streams that a command uses; tests replace them.
struct CtlEnvironment
{
    /// Sends one request to the daemon. Errors: those of HttpOutcome.
    std::function<Result<HttpResponse>(const HttpRequest &)> sendRequest;
    /// Waits between two polls; returns false when the time limit has passed.
    std::function<bool()> waitForNextPoll;
    /// Returns a new, unique request id.
    std::function<std::string()> newRequestId;
    std::ostream &out;
    std::ostream &err;
};

/// Runs one command and returns its exit code. Thread-safe for separate environments.
ExitCode runCommand(const CommandLine &line, const CtlEnvironment &environment);

} // namespace acaciadeal

#endif
