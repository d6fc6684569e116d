#include "ctl/commands.h"
#include "ctl/textformat.h"

#include <deque>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace acaciadeal;
using nlohmann::json;

namespace {

/// Runs commands against canned answers and records their requests.
struct Session
{
    ExitCode run(std::vector<std::string> arguments)
    {
        const auto line = parseCommandLine(std::move(arguments));
        REQUIRE_MESSAGE(line.has_value(), line.error().message);
        const CtlEnvironment environment{
            .sendRequest = [this](const HttpRequest &request) -> Result<HttpResponse> {
                requests.push_back(request);
                REQUIRE_FALSE(answers.empty());
                auto answer = answers.front();
                answers.pop_front();
                return answer;
            },
            .waitForNextPoll = [this] { return remainingPolls-- > 0; },
            .newRequestId = [] { return "fresh"; },
            .out = out,
            .err = err,
        };
        return runCommand(*line, environment);
    }

    std::deque<Result<HttpResponse>> answers;
    std::vector<HttpRequest> requests;
    int remainingPolls = 100;
    std::ostringstream out;
    std::ostringstream err;
};

HttpResponse domainAnswer(const std::string &state, int tasks, int requests, int confirmed)
{
    return jsonResponse(json{
        {"name", "a"},
        {"state", state},
        {"version", 7},
        {"tasks_left", tasks},
        {"requests_in_progress", requests},
        {"daemons", 3},
        {"daemons_confirmed",
         confirmed}}.dump());
}

/// Temporary file that the destructor removes.
struct TemporaryFile
{
    explicit TemporaryFile(const std::string &text)
        : path(std::filesystem::temp_directory_path()
               / ("ctl_test_" + std::to_string(reinterpret_cast<std::uintptr_t>(this))))
    {
        std::ofstream(path) << text;
    }
    ~TemporaryFile()
    {
        std::filesystem::remove(path);
    }
    std::filesystem::path path;
};

std::string readManual()
{
    std::ifstream in(std::string(ACACIADEAL_DOCS_DIR) + "/acaciadealctl.md");
    REQUIRE(in.good());
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

// Guards against documentation that describes other commands than the program has.
TEST_CASE("docs/acaciadealctl.md contains the usage text and every exit code")
{
    const std::string text = readManual();
    CHECK(text.find(usageText()) != std::string::npos);
    for (const ExitCode code :
         {ExitCode::Success, ExitCode::Refused, ExitCode::Usage, ExitCode::FaultsFound,
          ExitCode::Unreachable, ExitCode::OutcomeUnknown, ExitCode::WaitExpired}) {
        CHECK(text.find("| " + std::to_string(static_cast<int>(code)) + " |") != std::string::npos);
    }
}

TEST_CASE("options are accepted anywhere and their values are checked")
{
    const auto line =
        parseCommandLine({"settings", "put", "/system/drain_rate", "30", "--if-version", "4",
                          "--address", "127.0.0.1:7201", "--json"});
    REQUIRE(line.has_value());
    CHECK(line->positionalArguments.size() == 4);
    CHECK(line->ifVersion == 4U);
    CHECK((line->address == Endpoint{"127.0.0.1", 7201}));
    CHECK(line->json);
    CHECK(parseCommandLine({"--addres"}).error().code == ResultCode::UsageError);
    CHECK(parseCommandLine({"--address", "somewhere"}).error().code == ResultCode::UsageError);
    CHECK(parseCommandLine({"--if-version", "-1"}).error().code == ResultCode::UsageError);
    CHECK(parseCommandLine({"--timeout"}).error().code == ResultCode::UsageError);
}

TEST_CASE("an unknown command or a wrong number of arguments is a usage error")
{
    CHECK(Session().run({"settings", "sett"}) == ExitCode::Usage);
    CHECK(Session().run({"domain", "out"}) == ExitCode::Usage);
    CHECK(Session().run({"domain", "out", "a", "b"}) == ExitCode::Usage);
    CHECK(Session().run({}) == ExitCode::Usage);
    CHECK(Session().run({"--help"}) == ExitCode::Success);
}

// Guards against a change that overwrites one that the operator has not seen.
TEST_CASE("settings put requires the version that the operator saw")
{
    Session session;
    CHECK(session.run({"settings", "put", "/system/drain_rate", "30"}) == ExitCode::Usage);
    CHECK(session.requests.empty());
    session.answers = {jsonResponse(R"({"version":5,"path_version":3})")};
    CHECK(session.run({"settings", "put", "/system/drain_rate", "30", "--if-version", "2",
                       "--token", "secret"})
          == ExitCode::Success);
    REQUIRE(session.requests.size() == 1);
    const HttpRequest &request = session.requests[0];
    CHECK(request.method == "PUT");
    CHECK(request.target == "/v1/settings/system/drain_rate");
    CHECK(request.body == "30");
    CHECK(request.headers.at("if-version") == "2");
    CHECK(request.headers.at("authorization") == "Bearer secret");
    CHECK(session.out.str() == "path_version: 3\nversion: 5\n");
}

// Guards against a repeated change being applied as a second one.
TEST_CASE("a change whose answer was lost is repeated under the same id")
{
    Session session;
    session.answers = {failure(ResultCode::TimedOut, ""), failure(ResultCode::IncompleteAnswer, ""),
                       jsonResponse("{}")};
    CHECK(session.run({"tasks", "cancel", "t/1"}) == ExitCode::Success);
    REQUIRE(session.requests.size() == 3);
    CHECK(session.requests[0].target == "/v1/tasks/t%2F1/cancel");
    for (const HttpRequest &request : session.requests) {
        CHECK(request.headers.at("x-request-id") == "fresh");
    }
    Session lost;
    lost.answers.assign(3, failure(ResultCode::TimedOut, ""));
    CHECK(lost.run({"host", "confirm-off", "h1"}) == ExitCode::OutcomeUnknown);
    CHECK(lost.err.str().find("--request-id fresh") != std::string::npos);
    CHECK(json::parse(lost.requests[0].body)["action"] == "confirm_off");
}

TEST_CASE("errors are printed with their number and set the exit code")
{
    Session refused;
    refused.answers = {errorResponse({ResultCode::VersionConflict, "newer", "/x"})};
    CHECK(refused.run({"settings", "get", "/x"}) == ExitCode::Refused);
    CHECK(refused.err.str() == "acaciadealctl: error 1006 VersionConflict: newer (/x)\n");
    Session unknown;
    unknown.answers = {errorResponse({ResultCode::OutcomeUnknown, "", ""})};
    CHECK(unknown.run({"request", "get", "r1", "--json"}) == ExitCode::OutcomeUnknown);
    CHECK(json::parse(unknown.err.str())["code"] == 2020);
    Session unreachable;
    unreachable.answers = {failure(ResultCode::ConnectionFailed, "")};
    CHECK(unreachable.run({"status"}) == ExitCode::Unreachable);
    CHECK(Session().run({"job", "submit", "/nonexistent"}) == ExitCode::Usage);
}

TEST_CASE("the fleet commands request their paths under /v1/fleet")
{
    Session session;
    session.answers = {jsonResponse("{}"), jsonResponse("{}")};
    CHECK(session.run({"fleet", "status"}) == ExitCode::Success);
    CHECK(session.run({"fleet", "job", "5c0e7a21d94b36f8"}) == ExitCode::Success);
    REQUIRE(session.requests.size() == 2);
    CHECK(session.requests[0].target == "/v1/fleet/status");
    CHECK(session.requests[1].target == "/v1/fleet/jobs/5c0e7a21d94b36f8");
}

// Guards against an operator who is told that a failure domain is empty while work is left in it.
TEST_CASE("domain out --wait ends when nothing is left and every daemon has confirmed")
{
    Session session;
    session.answers = {domainAnswer("in", 5, 5, 3),  jsonResponse("{}"),
                       domainAnswer("out", 4, 2, 3), domainAnswer("out", 0, 1, 3),
                       domainAnswer("out", 0, 0, 2), failure(ResultCode::TimedOut, ""),
                       domainAnswer("out", 0, 0, 3)};
    CHECK(session.run({"domain", "out", "a", "--reason", "wire work", "--wait"})
          == ExitCode::Success);
    CHECK(session.answers.empty());
    CHECK(json::parse(session.requests[1].body)
          == json{{"state", "out"}, {"reason", "wire work"}, {"if_version", 7}});
    Session expired;
    expired.remainingPolls = 1;
    expired.answers = {jsonResponse("{}"), domainAnswer("out", 4, 2, 3),
                       domainAnswer("out", 4, 2, 3)};
    CHECK(expired.run({"domain", "out", "a", "--wait", "--if-version", "7"})
          == ExitCode::WaitExpired);
    Session reverted;
    reverted.answers = {jsonResponse("{}"), domainAnswer("in", 4, 2, 3)};
    CHECK(reverted.run({"domain", "out", "a", "--wait", "--if-version", "7"}) == ExitCode::Refused);
    Session returned;
    returned.answers = {jsonResponse("{}"), domainAnswer("in", 4, 2, 3)};
    CHECK(returned.run({"domain", "in", "a", "--wait", "--if-version", "7"}) == ExitCode::Success);
    Session malformed;
    malformed.answers = {jsonResponse("{}"), jsonResponse(R"({"state":"out"})")};
    CHECK(malformed.run({"domain", "out", "a", "--wait", "--if-version", "7"})
          == ExitCode::Refused);
}

TEST_CASE("settings diff and validate report differences and faults by exit code")
{
    const TemporaryFile file("// wanted\n{\"/system/drain_rate\": 30}");
    Session same;
    same.answers = {jsonResponse(R"({"value":30})")};
    CHECK(same.run({"settings", "diff", file.path.string()}) == ExitCode::Success);
    Session other;
    other.answers = {jsonResponse(R"({"value":20,"path_version":2})")};
    CHECK(other.run({"settings", "diff", file.path.string()}) == ExitCode::FaultsFound);
    CHECK(other.out.str().find("20") != std::string::npos);
    Session invalid;
    invalid.answers = {jsonResponse(R"({"valid":false,"errors":[]})")};
    CHECK(invalid.run({"settings", "validate", file.path.string()}) == ExitCode::FaultsFound);
    CHECK(invalid.requests[0].method == "POST");
}

// Guards against a line of the old list that is dropped or that overwrites a rule in force.
TEST_CASE("alerts import lists every line and writes rules only where none is in force")
{
    const std::string rule =
        R"({"name":"N","metric":"members","comparison":"<","threshold":3,"severity":"info"})";
    const auto ruleWithName = [&rule](const std::string &name) {
        return std::string(rule).replace(rule.find('N'), 1, name);
    };
    const TemporaryFile file(ruleWithName("a") + "\n" + ruleWithName("b") + "\n" + ruleWithName("c")
                             + "\n{}\n");
    Session dryRun;
    CHECK(dryRun.run({"alerts", "import", file.path.string(), "--json"}) == ExitCode::FaultsFound);
    CHECK(dryRun.requests.empty());
    const json report = json::parse(dryRun.out.str());
    REQUIRE(report["lines"].size() == 4);
    CHECK(report["lines"][0]["outcome"] == "in force");
    CHECK(report["lines"][3]["outcome"] == "refused");
    CHECK(report["refused"] == 1);
    Session text;
    CHECK(text.run({"alerts", "import", file.path.string()}) == ExitCode::FaultsFound);
    CHECK(text.out.str().starts_with("line 1: in force\nline 2: in force\nline 3: in force\n"
                                     "line 4: refused\n  9002 MalformedRule: "));

    Session apply;
    const std::string inForce = report["lines"][1]["rule"].dump();
    apply.answers = {jsonResponse(R"({"value":null,"path_version":2})"), jsonResponse("{}"),
                     jsonResponse(R"({"value":)" + inForce + "}"),
                     jsonResponse(R"({"value":{"name":"c"},"path_version":1})")};
    CHECK(apply.run({"alerts", "import", file.path.string(), "--apply", "--team", "crew", "--json"})
          == ExitCode::FaultsFound);
    CHECK(apply.answers.empty());
    CHECK(apply.requests[1].target == "/v1/settings/teams/crew/alerts/a");
    CHECK(apply.requests[1].headers.at("if-version") == "2");
    const json applied = json::parse(apply.out.str());
    CHECK(applied["refused"] == 2);
    CHECK(applied["lines"][1]["outcome"] == "in force");
    CHECK(applied["lines"][2]["code"] == 1006);
}

TEST_CASE("alerts check names each faulty line")
{
    const TemporaryFile file("{}\n// comment\n[]\n");
    Session session;
    CHECK(session.run({"alerts", "check", file.path.string()}) == ExitCode::FaultsFound);
    CHECK(session.err.str().find("line 1") != std::string::npos);
    CHECK(session.err.str().find("line 3") != std::string::npos);
}

TEST_CASE("JSON answers are printed as lines and tables")
{
    CHECK(formatAsText(R"({"b":[{"id":"x","n":10},{"id":"long"}],"a":{"k":null}})")
          == "a:\n  k: null\nb:\n  id    n\n  x     10\n  long  -\n");
    CHECK(formatAsText("plain") == "plain\n");
}
