#ifndef ACACIADEAL_CTL_COMMANDLINE_H
#define ACACIADEAL_CTL_COMMANDLINE_H

#include "base/error.h"
#include "http/httpmessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

/// Command line of acaciadealctl.
struct CommandLine
{
    /// Command and its arguments, such as {"settings", "get", "/system/drain_rate"}.
    std::vector<std::string> positionalArguments;
    bool help = false;
    bool json = false;
    bool wait = false;
    bool apply = false;
    Endpoint address{"127.0.0.1", 7200};
    std::string token;
    std::string reason;
    std::string requestId;
    std::string team;
    std::string state;
    std::optional<std::uint64_t> ifVersion;
    std::chrono::seconds timeout{300};
};

/// Parses the arguments without the program name. Errors: UsageError. Uses getopt_long() and is not
/// thread-safe.
Result<CommandLine> parseCommandLine(std::vector<std::string> arguments);

/// Returns the text of --help. Thread-safe.
std::string usageText();

} // namespace acaciadeal

#endif
