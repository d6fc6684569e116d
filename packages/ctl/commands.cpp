#include "ctl/commands.h"

#include "alerts/import.h"
#include "ctl/textformat.h"
#include "settings/jsontext.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <utility>

namespace acaciadeal {
namespace {

using nlohmann::json;

constexpr unsigned firstErrorStatus = 400;
/// Maximum number of times that a change is sent if its answer is lost. All attempts carry the same
/// request id.
constexpr int maxAttempts = 3;

Result<std::string> readFile(const std::string &path)
{
    const std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        return failure(ResultCode::FileUnreadable, "the file cannot be read", path);
    }
    return text.str();
}

std::string percentEncode(const std::string &text, bool keepSlash = false)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || std::string_view("-_.~").find(c) != std::string_view::npos
            || (keepSlash && c == '/')) {
            result += c;
        } else {
            result += '%';
            result += digits[byte >> 4];
            result += digits[byte & 0xf];
        }
    }
    return result;
}

ExitCode exitCodeOf(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return ExitCode::Success;
    case ResultCode::UsageError:
    case ResultCode::FileUnreadable:
        return ExitCode::Usage;
    case ResultCode::ConnectionFailed:
    case ResultCode::TimedOut:
    case ResultCode::IncompleteAnswer:
        return ExitCode::Unreachable;
    case ResultCode::OutcomeUnknown:
    case ResultCode::WriteOutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Refused;
    }
}

/// Returns the error in the body of @p response, or BackendFailed if the body contains none.
Error errorFromResponse(const HttpResponse &response)
{
    const json body = json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("code") && body["code"].is_number_unsigned()) {
        const auto text = [&body](const char *key) {
            return body.contains(key) && body[key].is_string() ? body[key].get<std::string>() : "";
        };
        return {static_cast<ResultCode>(body["code"].get<std::uint16_t>()), text("message"),
                text("where")};
    }
    return {ResultCode::BackendFailed, "HTTP status " + std::to_string(response.status), ""};
}

class Command
{
public:
    Command(const CommandLine &line, const CtlEnvironment &environment)
        : m_commandLine(line)
        , m_environment(environment)
    {
    }

    ExitCode run()
    {
        struct Subcommand
        {
            std::string_view group;
            std::string_view name;
            std::size_t minArguments;
            std::size_t maxArguments;
            ExitCode (Command::*function)();
        };
        static constexpr Subcommand subcommands[] = {
            {"settings", "get", 0, 1, &Command::settingsGet},
            {"settings", "put", 2, 2, &Command::settingsPut},
            {"settings", "diff", 1, 1, &Command::settingsDiff},
            {"settings", "validate", 1, 1, &Command::settingsValidate},
            {"settings", "history", 0, 1, &Command::settingsHistory},
            {"domain", "show", 1, 1, &Command::domainShow},
            {"domain", "out", 1, 1, &Command::domainChange},
            {"domain", "in", 1, 1, &Command::domainChange},
            {"host", "drain", 1, 1, &Command::hostAction},
            {"host", "undrain", 1, 1, &Command::hostAction},
            {"host", "confirm-off", 1, 1, &Command::hostAction},
            {"tasks", "list", 0, 0, &Command::tasksList},
            {"tasks", "explain", 1, 1, &Command::tasksExplain},
            {"tasks", "cancel", 1, 1, &Command::tasksCancel},
            {"tasks", "late", 0, 0, &Command::tasksLate},
            {"fleet", "status", 0, 0, &Command::fleetOverview},
            {"fleet", "late", 0, 0, &Command::fleetOverview},
            {"fleet", "job", 1, 1, &Command::fleetItem},
            {"fleet", "host", 1, 1, &Command::fleetItem},
            {"request", "get", 1, 1, &Command::requestGet},
            {"job", "submit", 1, 1, &Command::jobSubmit},
            {"alerts", "check", 1, 1, &Command::alertsCheck},
            {"alerts", "import", 1, 1, &Command::alertsImport},
        };
        const auto &positionalArguments = m_commandLine.positionalArguments;
        if (positionalArguments.size() == 1 && positionalArguments[0] == "status") {
            return fetchAndPrint({.target = "/v1/status"});
        }
        for (const Subcommand &subcommand : subcommands) {
            if (positionalArguments.size() < 2 || positionalArguments[0] != subcommand.group
                || positionalArguments[1] != subcommand.name) {
                continue;
            }
            const std::size_t count = positionalArguments.size() - 2;
            if (count < subcommand.minArguments || count > subcommand.maxArguments) {
                return printError({ResultCode::UsageError, "wrong number of arguments",
                                   positionalArguments[0] + " " + positionalArguments[1]});
            }
            return (this->*subcommand.function)();
        }
        Error error{ResultCode::UsageError, "no such command; see --help", ""};
        if (!positionalArguments.empty()) {
            error.where = positionalArguments[0];
        }
        return printError(error);
    }

private:
    const std::string &argument(std::size_t n) const
    {
        return m_commandLine.positionalArguments[n + 2];
    }
    bool hasArgument(std::size_t n) const
    {
        return m_commandLine.positionalArguments.size() > n + 2;
    }

    ExitCode printError(const Error &error) const
    {
        if (m_commandLine.json) {
            m_environment.err << json{{"code", static_cast<int>(error.code)},
                                      {"name", resultCodeName(error.code)},
                                      {"message", error.message},
                                      {"where", error.where}}
                                     .dump()
                              << "\n";
        } else {
            m_environment.err << "acaciadealctl: error " << static_cast<int>(error.code) << " "
                              << resultCodeName(error.code) << ": " << error.message;
            if (!error.where.empty()) {
                m_environment.err << " (" << error.where << ")";
            }
            m_environment.err << "\n";
        }
        return exitCodeOf(error.code);
    }

    void print(const std::string &jsonText) const
    {
        m_environment.out << (m_commandLine.json ? jsonText + "\n" : formatAsText(jsonText));
    }

    Result<std::string> fetchBody(HttpRequest request) const
    {
        if (!m_commandLine.token.empty()) {
            request.headers["authorization"] = "Bearer " + m_commandLine.token;
        }
        auto response = m_environment.sendRequest(request);
        if (!response) {
            return tl::unexpected<Error>(response.error());
        }
        if (response->status >= firstErrorStatus) {
            return tl::unexpected<Error>(errorFromResponse(*response));
        }
        return std::move(response->body);
    }

    /// Sends a change and repeats it with the same request id if its answer was lost.
    Result<std::string> sendChange(HttpRequest request) const
    {
        request.headers["x-request-id"] = m_commandLine.requestId.empty()
                                              ? m_environment.newRequestId()
                                              : m_commandLine.requestId;
        request.headers["content-type"] = "application/json";
        auto body = fetchBody(request);
        for (int n = 1; n < maxAttempts && !body && isAnswerLost(body.error().code); ++n) {
            body = fetchBody(request);
        }
        if (!body && isAnswerLost(body.error().code)) {
            // The change may have been made although its answer was lost.
            return failure(ResultCode::OutcomeUnknown,
                           "no answer to the change; repeat it with --request-id "
                               + request.headers["x-request-id"],
                           body.error().message);
        }
        return body;
    }

    static bool isAnswerLost(ResultCode code)
    {
        return code == ResultCode::TimedOut || code == ResultCode::IncompleteAnswer;
    }

    ExitCode printResult(const Result<std::string> &body) const
    {
        if (!body) {
            return printError(body.error());
        }
        print(*body);
        return ExitCode::Success;
    }

    ExitCode fetchAndPrint(HttpRequest request) const
    {
        return printResult(fetchBody(std::move(request)));
    }

    static std::string settingsTarget(const std::string &path)
    {
        return "/v1/settings" + percentEncode(path, true);
    }

    ExitCode settingsGet()
    {
        return fetchAndPrint(
            {.target = hasArgument(0) ? settingsTarget(argument(0)) : "/v1/settings"});
    }

    ExitCode settingsPut()
    {
        if (!m_commandLine.ifVersion) {
            return printError(
                {ResultCode::UsageError,
                 "required: the path version that you have seen, or 0 if the path was never set",
                 "--if-version"});
        }
        std::string value = argument(1);
        if (value.starts_with('@')) {
            auto text = readFile(value.substr(1));
            if (!text) {
                return printError(text.error());
            }
            value = std::move(*text);
        }
        return printResult(putSetting(argument(0), std::move(value), *m_commandLine.ifVersion));
    }

    Result<std::string> putSetting(const std::string &path, std::string value,
                                   std::uint64_t expected) const
    {
        return sendChange({.method = "PUT",
                           .target = settingsTarget(path),
                           .headers = {{"if-version", std::to_string(expected)}},
                           .body = std::move(value)});
    }

    Result<json> readJsonObject(const std::string &path) const
    {
        auto text = readFile(path);
        if (text) {
            text = normalizeJson(*text);
        }
        if (!text) {
            return tl::unexpected<Error>(text.error());
        }
        json object = json::parse(*text);
        if (!object.is_object()) {
            return failure(ResultCode::WrongType,
                           "expected a JSON object of settings path to value", path);
        }
        return object;
    }

    ExitCode settingsDiff()
    {
        const auto wanted = readJsonObject(argument(0));
        if (!wanted) {
            return printError(wanted.error());
        }
        json differences = json::array();
        for (const auto &[path, value] : wanted->items()) {
            const auto body = fetchBody({.target = settingsTarget(path)});
            if (!body) {
                return printError(body.error());
            }
            const json answer = json::parse(*body, nullptr, false);
            if (!answer.is_object() || !answer.contains("value")) {
                return printError({ResultCode::BackendFailed, "the answer has no \"value\"", path});
            }
            if (answer["value"] != value) {
                differences.push_back({{"path", path},
                                       {"in_force", answer["value"]},
                                       {"file", value},
                                       {"path_version", answer.value("path_version", 0)}});
            }
        }
        print(json{{"differences", differences}}.dump());
        return differences.empty() ? ExitCode::Success : ExitCode::FaultsFound;
    }

    ExitCode settingsValidate()
    {
        auto text = readFile(argument(0));
        if (!text) {
            return printError(text.error());
        }
        const auto body = fetchBody(
            {.method = "POST", .target = "/v1/settings/validate", .body = std::move(*text)});
        if (!body) {
            return printError(body.error());
        }
        print(*body);
        const json answer = json::parse(*body, nullptr, false);
        const bool valid = answer.is_object() && answer.value("valid", false);
        return valid ? ExitCode::Success : ExitCode::FaultsFound;
    }

    ExitCode settingsHistory()
    {
        const std::string query = hasArgument(0) ? "?path=" + percentEncode(argument(0)) : "";
        return fetchAndPrint({.target = "/v1/settings-history" + query});
    }

    std::string domainTarget() const
    {
        return "/v1/domains/" + percentEncode(argument(0));
    }

    ExitCode domainShow()
    {
        return fetchAndPrint({.target = domainTarget()});
    }

    Result<json> fetchDomainState() const
    {
        const auto body = fetchBody({.target = domainTarget()});
        if (!body) {
            return tl::unexpected<Error>(body.error());
        }
        json state = json::parse(*body, nullptr, false);
        for (const char *field :
             {"version", "tasks_left", "requests_in_progress", "daemons", "daemons_confirmed"}) {
            if (!state.is_object() || !state.contains(field)
                || !state[field].is_number_unsigned()) {
                return failure(ResultCode::BackendFailed,
                               "the answer lacks this field, or it is not a non-negative integer",
                               field);
            }
        }
        return state;
    }

    ExitCode domainChange()
    {
        std::uint64_t expected = 0;
        if (m_commandLine.ifVersion) {
            expected = *m_commandLine.ifVersion;
        } else {
            const auto state = fetchDomainState();
            if (!state) {
                return printError(state.error());
            }
            expected = (*state)["version"].get<std::uint64_t>();
        }
        const json body = {{"state", m_commandLine.positionalArguments[1]},
                           {"reason", m_commandLine.reason},
                           {"if_version", expected}};
        const auto answer =
            sendChange({.method = "POST", .target = domainTarget(), .body = body.dump()});
        if (!answer || !m_commandLine.wait) {
            return printResult(answer);
        }
        return waitForDomain();
    }

    /// Polls until every daemon has confirmed the state and, for a failure domain that was taken
    /// out, no task is left in it and no request is in progress there.
    ExitCode waitForDomain()
    {
        while (true) {
            const auto state = fetchDomainState();
            // Keep polling while the daemon is unreachable: the change itself goes on.
            if (!state && exitCodeOf(state.error().code) != ExitCode::Unreachable) {
                return printError(state.error());
            }
            if (state) {
                const json &s = *state;
                const bool wanted = s.value("state", "") == m_commandLine.positionalArguments[1];
                if (!wanted) {
                    print(s.dump());
                    return printError({ResultCode::VersionConflict,
                                       "the failure domain was changed again while waiting",
                                       argument(0)});
                }
                const bool confirmed = s["daemons_confirmed"] == s["daemons"];
                const bool empty = s["tasks_left"] == 0 && s["requests_in_progress"] == 0;
                if (confirmed && (empty || m_commandLine.positionalArguments[1] == "in")) {
                    print(s.dump());
                    return ExitCode::Success;
                }
            }
            if (!m_environment.waitForNextPoll()) {
                m_environment.err << "acaciadealctl: timed out while waiting; the change was made "
                                     "but has not taken effect everywhere\n";
                if (state) {
                    print(state->dump());
                }
                return ExitCode::WaitExpired;
            }
        }
    }

    ExitCode hostAction()
    {
        std::string action = m_commandLine.positionalArguments[1];
        std::replace(action.begin(), action.end(), '-', '_');
        return printResult(sendChange({.method = "POST",
                                       .target = "/v1/hosts/" + percentEncode(argument(0)),
                                       .body = json{{"action", action}}.dump()}));
    }

    ExitCode tasksList()
    {
        std::string query;
        for (const auto &[name, value] :
             {std::pair{"team", m_commandLine.team}, std::pair{"state", m_commandLine.state}}) {
            if (!value.empty()) {
                query +=
                    (query.empty() ? "?" : "&") + std::string(name) + "=" + percentEncode(value);
            }
        }
        return fetchAndPrint({.target = "/v1/tasks" + query});
    }

    ExitCode tasksExplain()
    {
        return fetchAndPrint({.target = "/v1/tasks/" + percentEncode(argument(0))});
    }

    ExitCode tasksCancel()
    {
        return printResult(sendChange(
            {.method = "POST", .target = "/v1/tasks/" + percentEncode(argument(0)) + "/cancel"}));
    }

    ExitCode tasksLate()
    {
        return fetchAndPrint({.target = "/v1/tasks-late"});
    }

    ExitCode fleetOverview()
    {
        return fetchAndPrint({.target = "/v1/fleet/" + m_commandLine.positionalArguments[1]});
    }

    ExitCode fleetItem()
    {
        return fetchAndPrint({.target = "/v1/fleet/" + m_commandLine.positionalArguments[1] + "s/"
                                        + percentEncode(argument(0))});
    }

    ExitCode requestGet()
    {
        return fetchAndPrint({.target = "/v1/requests/" + percentEncode(argument(0))});
    }

    ExitCode jobSubmit()
    {
        auto text = readFile(argument(0));
        if (text) {
            text = normalizeJson(*text);
        }
        if (!text) {
            return printError(text.error());
        }
        return printResult(
            sendChange({.method = "POST", .target = "/v1/jobs", .body = std::move(*text)}));
    }

    ExitCode alertsCheck()
    {
        const auto text = readFile(argument(0));
        if (!text) {
            return printError(text.error());
        }
        const AlertRuleFile file = parseAlertRules(*text);
        for (const Error &error : file.errors) {
            printError(error);
        }
        print(json{{"rules", file.rules.size()}, {"faults", file.errors.size()}}.dump());
        return file.errors.empty() ? ExitCode::Success : ExitCode::FaultsFound;
    }

    ExitCode alertsImport()
    {
        const auto text = readFile(argument(0));
        if (!text) {
            return printError(text.error());
        }
        json lines = json::array();
        std::size_t refused = 0;
        for (ImportedLine &line : importAlertRules(*text)) {
            if (m_commandLine.apply && line.rule) {
                applyRule(line);
            }
            json row = {{"line", line.number}, {"outcome", importOutcomeName(line.outcome)}};
            if (line.rule) {
                row["rule"] = json::parse(encodeAlertRule(*line.rule));
            }
            if (!line.changes.empty()) {
                row["changes"] = line.changes;
            }
            if (line.outcome == ImportOutcome::Refused) {
                ++refused;
                row["code"] = static_cast<int>(line.error.code);
                row["reason"] = std::string(resultCodeName(line.error.code)) + ": "
                                + line.error.message
                                + (line.error.where.empty() ? "" : " (" + line.error.where + ")");
            }
            lines.push_back(std::move(row));
        }
        if (m_commandLine.json) {
            print(json{{"lines", std::move(lines)}, {"refused", refused}}.dump());
        } else {
            printImport(lines, refused);
        }
        return refused == 0 ? ExitCode::Success : ExitCode::FaultsFound;
    }

    void printImport(const json &lines, std::size_t refused) const
    {
        for (const json &row : lines) {
            m_environment.out << "line " << row["line"] << ": " << row["outcome"].get<std::string>()
                              << "\n";
            if (row.contains("reason")) {
                m_environment.out << "  " << row["code"] << " " << row["reason"].get<std::string>()
                                  << "\n";
            }
            for (const json &change : row.value("changes", json::array())) {
                m_environment.out << "  " << change.get<std::string>() << "\n";
            }
        }
        m_environment.out << "refused: " << refused << "\n";
    }

    /// Writes one rule as a new setting, unless it is in force already. A different rule of the
    /// same name is not overwritten; the line is marked as refused instead.
    void applyRule(ImportedLine &line) const
    {
        const std::string root =
            m_commandLine.team.empty() ? "/alerts/" : "/teams/" + m_commandLine.team + "/alerts/";
        const std::string path = root + line.rule->name;
        const std::string value = encodeAlertRule(*line.rule);
        const auto refuse = [&line](Error error) {
            line.outcome = ImportOutcome::Refused;
            line.error = std::move(error);
        };
        const auto body = fetchBody({.target = settingsTarget(path)});
        if (!body) {
            refuse(body.error());
            return;
        }
        const json current = json::parse(*body, nullptr, false);
        if (!current.is_object() || !current.contains("value")) {
            refuse({ResultCode::BackendFailed, "the answer has no \"value\"", path});
            return;
        }
        if (current["value"] == json::parse(value)) {
            return;
        }
        if (!current["value"].is_null()) {
            refuse(
                {ResultCode::VersionConflict, "a different rule of this name is in force", path});
            return;
        }
        if (auto put = putSetting(path, value, current.value("path_version", 0ULL)); !put) {
            refuse(put.error());
        }
    }

    const CommandLine &m_commandLine;
    const CtlEnvironment &m_environment;
};

} // namespace

ExitCode runCommand(const CommandLine &line, const CtlEnvironment &environment)
{
    if (line.help) {
        environment.out << usageText();
        return ExitCode::Success;
    }
    Command command(line, environment);
    return command.run();
}

} // namespace acaciadeal
