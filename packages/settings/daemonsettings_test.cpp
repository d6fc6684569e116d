#include "settings/daemonsettings.h"

#include <doctest/doctest.h>
#include <filesystem>

using namespace acaciadeal;

namespace {

const std::string minimalSettings =
    R"({"daemon":"d1","deployment":"x","region":"r","failure_domain":"a",
"failure_domains":["a","b"],"http_listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
"platform":{"endpoint":"127.0.0.1:3"})";

Error errorOf(const std::string &text)
{
    const auto settings = parseDaemonSettings(text);
    REQUIRE_FALSE(settings.has_value());
    return settings.error();
}

std::vector<std::filesystem::path> filesIn(const std::string &folder)
{
    std::vector<std::filesystem::path> files;
    const auto root = std::filesystem::path(ACACIADEAL_SOURCE_DIR) / "settings" / folder;
    for (const auto &entry : std::filesystem::directory_iterator(root)) {
        files.push_back(entry.path());
    }
    return files;
}

} // namespace

TEST_CASE("settings that are not set have their default values")
{
    const auto settings = parseDaemonSettings(minimalSettings + "}");
    REQUIRE(settings.has_value());
    CHECK(settings->platformAdapter == "http");
    CHECK(settings->platformTimeout == std::chrono::seconds(3));
    CHECK(settings->trafficThreads == 2);
    CHECK(settings->routingPolicy == "two-choices");
    CHECK(settings->failureDomains.size() == 2);
    CHECK((settings->platformEndpoint == Endpoint{"127.0.0.1", 3}));
}

// Guards against a fleet daemon that starts with missing or mistyped settings.
TEST_CASE("the fleet section is parsed and validated")
{
    const std::string fleet =
        minimalSettings + R"(,"fleet":{"adapter":"a","ready_listen":"127.0.0.1:4")";
    const auto settings = parseDaemonSettings(
        fleet + R"(,"metrics_listen":"127.0.0.1:5","max_lease_ms":8000,"core_share":0.25}})");
    REQUIRE(settings.has_value());
    REQUIRE(settings->fleet);
    CHECK(settings->fleet->maxLease == std::chrono::seconds(8));
    CHECK(settings->fleet->coreShare == 0.25);
    CHECK((settings->fleet->metricsListen == Endpoint{"127.0.0.1", 5}));
    CHECK_FALSE(parseDaemonSettings(minimalSettings + "}")->fleet);
    CHECK(errorOf(minimalSettings + R"(,"fleet":{}})").where == "/fleet/adapter");
    CHECK(errorOf(fleet + R"(,"max_lease_ms":10}})").code == ResultCode::OutOfRange);
    CHECK(errorOf(fleet + R"(,"core_share":"much"}})").code == ResultCode::WrongType);
    CHECK(errorOf(fleet + R"(,"lease":1}})").where == "/fleet/lease");
}

// Guards against a daemon that starts with a setting that differs from the settings file.
TEST_CASE("each kind of invalid setting is rejected with its result code and path")
{
    CHECK(errorOf(minimalSettings).code == ResultCode::SyntaxError);
    CHECK(errorOf(minimalSettings + R"(,"trafic_threads":2})")
          == Error{ResultCode::UnknownSetting, "no such setting", "/trafic_threads"});
    CHECK(errorOf(minimalSettings + R"(,"traffic_threads":"2"})").code == ResultCode::WrongType);
    CHECK(errorOf(minimalSettings + R"(,"traffic_threads":0})").code == ResultCode::OutOfRange);
    CHECK(errorOf(minimalSettings + R"(,"daemon":"d2"})").code == ResultCode::DuplicateKey);
    CHECK(errorOf(minimalSettings + R"(,"embedded_worker":true})").code
          == ResultCode::IncompatibleSettings);
    CHECK(errorOf(minimalSettings + R"(,"seeds":["somewhere"]})").where == "/seeds");
    CHECK(errorOf(minimalSettings + R"(,"tokens":{"":"system"}})").code == ResultCode::OutOfRange);
    CHECK(errorOf("{}") == Error{ResultCode::MissingSetting, "the setting is required", "/daemon"});
    CHECK(errorOf("[]").code == ResultCode::WrongType);
    CHECK(readDaemonSettings("/nonexistent/x.json").error().code == ResultCode::FileUnreadable);
}

// Guards against example files that the parser no longer accepts.
TEST_CASE("the example files are valid and consistent with each other")
{
    for (const std::string folder : {"merrimack", "cooperative"}) {
        const auto files = filesIn(folder);
        REQUIRE(files.size() == 3);
        for (const auto &file : files) {
            CAPTURE(file.string());
            const auto settings = readDaemonSettings(file.string());
            REQUIRE_MESSAGE(settings.has_value(), settings.error().message);
            CHECK(settings->deployment == folder);
            CHECK(settings->failureDomain.value == file.stem().string());
            CHECK(settings->failureDomains.size() == 3);
            CHECK((settings->platformEndpoint == Endpoint{"127.0.0.1", 7100}));
        }
    }
    const auto embedded =
        readDaemonSettings(std::string(ACACIADEAL_SOURCE_DIR) + "/settings/embedded.json");
    REQUIRE_MESSAGE(embedded.has_value(), embedded.error().message);
    CHECK(embedded->embeddedWorker);
    CHECK(embedded->platformAdapter == "memory");
}

// Guards against a deployment that configures a platform but keeps all data in memory.
TEST_CASE("the in-memory platform adapter is rejected together with a platform endpoint")
{
    const std::string text = R"({"daemon":"d","deployment":"x","region":"r","failure_domain":"a",
        "failure_domains":["a"],"http_listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
        "platform":{"adapter":"memory","endpoint":"127.0.0.1:7100"}})";
    const auto settings = parseDaemonSettings(text);
    REQUIRE_FALSE(settings);
    CHECK(settings.error().code == ResultCode::IncompatibleSettings);
    CHECK(settings.error().where == "/platform/endpoint");
}
