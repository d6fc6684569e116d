#include "ctl/commandline.h"

#include <charconv>
#include <getopt.h>

namespace acaciadeal {
namespace {

enum Option {
    Help = 'h',
    Json = 1000,
    Address,
    Token,
    Wait,
    Apply,
    Reason,
    IfVersion,
    RequestIdOption,
    Team,
    State,
    Timeout,
};

constexpr option options[] = {
    {"help", no_argument, nullptr, Help},
    {"json", no_argument, nullptr, Json},
    {"address", required_argument, nullptr, Address},
    {"token", required_argument, nullptr, Token},
    {"wait", no_argument, nullptr, Wait},
    {"apply", no_argument, nullptr, Apply},
    {"reason", required_argument, nullptr, Reason},
    {"if-version", required_argument, nullptr, IfVersion},
    {"request-id", required_argument, nullptr, RequestIdOption},
    {"team", required_argument, nullptr, Team},
    {"state", required_argument, nullptr, State},
    {"timeout", required_argument, nullptr, Timeout},
    {nullptr, 0, nullptr, 0},
};

template<typename Number>
Result<Number> parseNumber(const std::string &text, const std::string &name)
{
    Number value{};
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return failure(ResultCode::UsageError, "expected a number, not \"" + text + "\"", name);
    }
    return value;
}

Result<void> applyOption(CommandLine &line, int option, const std::string &value)
{
    switch (option) {
    case Help:
        line.help = true;
        return {};
    case Json:
        line.json = true;
        return {};
    case Wait:
        line.wait = true;
        return {};
    case Apply:
        line.apply = true;
        return {};
    case Token:
        line.token = value;
        return {};
    case Reason:
        line.reason = value;
        return {};
    case RequestIdOption:
        line.requestId = value;
        return {};
    case Team:
        line.team = value;
        return {};
    case State:
        line.state = value;
        return {};
    case Address: {
        const auto endpoint = parseEndpoint(value);
        if (!endpoint) {
            return failure(ResultCode::UsageError, "expected HOST:PORT, not \"" + value + "\"",
                           "--address");
        }
        line.address = *endpoint;
        return {};
    }
    case IfVersion: {
        const auto number = parseNumber<std::uint64_t>(value, "--if-version");
        if (!number) {
            return tl::unexpected<Error>(number.error());
        }
        line.ifVersion = *number;
        return {};
    }
    case Timeout: {
        const auto number = parseNumber<std::uint32_t>(value, "--timeout");
        if (!number) {
            return tl::unexpected<Error>(number.error());
        }
        line.timeout = std::chrono::seconds(*number);
        return {};
    }
    default:
        return failure(ResultCode::UsageError, "unknown option, or missing option value");
    }
}

} // namespace

Result<CommandLine> parseCommandLine(std::vector<std::string> arguments)
{
    std::string program = "acaciadealctl";
    std::vector<char *> argv{program.data()};
    for (std::string &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int argc = static_cast<int>(argv.size()) - 1;
    CommandLine line;
    // Zero makes getopt_long() of glibc discard the state of an earlier parse.
    optind = 0;
    opterr = 0;
    for (int option = 0; (option = getopt_long(argc, argv.data(), "h", options, nullptr)) != -1;) {
        auto applied = applyOption(line, option, optarg == nullptr ? "" : optarg);
        if (!applied) {
            Error error = applied.error();
            if (error.where.empty() && optind > 0 && optind <= argc) {
                error.where = argv[static_cast<std::size_t>(optind) - 1];
            }
            return tl::unexpected<Error>(std::move(error));
        }
    }
    for (int n = optind; n < argc; ++n) {
        line.positionalArguments.emplace_back(argv[static_cast<std::size_t>(n)]);
    }
    return line;
}

std::string usageText()
{
    return R"(Usage: acaciadealctl [OPTION...] COMMAND

Commands:
  settings get [PATH]           show the whole tree or one value with its version
  settings put PATH VALUE       change a value; VALUE is JSON, or @FILE; needs --if-version
  settings diff FILE            compare a file of path to value with the settings in force
  settings validate FILE        check such a file without changing anything
  settings history [PATH]       show the remembered changes
  domain show NAME              show a failure domain
  domain out NAME               take a failure domain out (--reason, --wait, --if-version)
  domain in NAME                bring it back (--reason, --wait, --if-version)
  host drain NAME               give a host no new starts and move its tasks away
  host undrain NAME             use the host again
  host confirm-off NAME         confirm that a host is powered off
  tasks list                    list tasks (--team, --state)
  tasks explain ID              say why a task waits or what it does
  tasks cancel ID               cancel a task
  tasks late                    list the tasks beyond their deadline
  status                        show the state of the daemon
  fleet status                  show the holder, the hosts and the load
  fleet late                    list the jobs beyond their objective
  fleet job ID                  say what each task of a job does or why it waits
  fleet host ID                 show what a host runs
  request get ID                fetch the answer of a request
  job submit FILE               submit a job
  alerts check FILE             check a file of alert rules
  alerts import FILE            translate an old rule list (--apply, --team)

Options:
  --address HOST:PORT   daemon to ask, by IP number (default 127.0.0.1:7200)
  --token TOKEN         operator token (default: environment variable ACACIADEAL_TOKEN)
  --json                print answers as JSON
  --if-version N        version that the change expects
  --request-id ID       id of the change; a repetition under the same id is safe
  --reason TEXT         reason of a failure domain's change
  --team TEAM           team of the listed tasks or imported rules
  --state STATE         state of the listed tasks
  --apply               write imported rules to the settings
  --wait                wait until the change has taken effect everywhere
  --timeout SECONDS     longest time to wait (default 300)
  -h, --help            show this text
)";
}

} // namespace acaciadeal
