#include "daemon/settingsservice.h"

#include "kernel/pluginregistry.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

using namespace acaciadeal;
using nlohmann::json;

namespace {

/// The in-memory platform with faults that a test can inject.
struct FaultyPlatform
{
    explicit FaultyPlatform(EventLoop &eventLoop)
        : loop(eventLoop)
        , inner(PluginRegistry<PlatformPlugin>::instance().find("memory")->create(eventLoop, {}))
    {
    }

    PlatformAdapter adapter()
    {
        PlatformAdapter result = inner;
        result.commit = [this](const Transaction &transaction, CommitCallback callback) {
            ++commits;
            if (down) {
                loop.post([callback] { callback(failure(ResultCode::PlatformUnavailable, "")); });
            } else if (commitsToDrop.fetch_sub(1) > 0) {
                loop.post([callback] { callback(failure(ResultCode::WriteOutcomeUnknown, "")); });
            } else if (answersToLose.fetch_sub(1) > 0) {
                inner.commit(transaction, [callback](const Result<CommitVersions> &) {
                    callback(failure(ResultCode::WriteOutcomeUnknown, ""));
                });
            } else {
                inner.commit(transaction, std::move(callback));
            }
        };
        result.putObject = [this](const std::string &name, std::string content,
                                  DoneCallback callback) {
            if (!holdNextPut.exchange(false)) {
                inner.putObject(name, std::move(content), std::move(callback));
                return;
            }
            inner.putObject(name, std::move(content),
                            [this, callback = std::move(callback)](const Result<void> &stored) {
                                heldAnswer = [callback, stored] {
                                    callback(stored);
                                };
                                answerHeld = true;
                            });
        };
        result.read = [this](const RowQuery &query, ReadCallback callback) {
            ++reads;
            if (down) {
                loop.post([callback] { callback(failure(ResultCode::PlatformUnavailable, "")); });
            } else if (holdNextRead.exchange(false)) {
                inner.read(query, [this, callback](const Result<std::vector<Row>> &found) {
                    heldAnswer = [callback, rows = returnNoRows ? std::vector<Row>{} : *found] {
                        callback(rows);
                    };
                    answerHeld = true;
                });
            } else if (returnNoRows) {
                loop.post([callback] { callback(std::vector<Row>{}); });
            } else {
                inner.read(query, std::move(callback));
            }
        };
        return result;
    }

    std::vector<Row> rows(const std::string &prefix)
    {
        std::promise<std::vector<Row>> result;
        inner.read({.prefix = prefix},
                   [&result](const Result<std::vector<Row>> &found) { result.set_value(*found); });
        return result.get_future().get();
    }

    /// Delivers the held answer. Precondition: @ref answerHeld is set.
    void deliverHeldAnswer()
    {
        answerHeld = false;
        loop.post(std::exchange(heldAnswer, {}));
    }

    EventLoop &loop;
    PlatformAdapter inner;
    std::atomic<bool> down{false};
    /// Whether to hold the answer to the next read until deliverHeldAnswer().
    std::atomic<bool> holdNextRead{false};
    /// Whether to hold the answer to the next putObject() until deliverHeldAnswer().
    std::atomic<bool> holdNextPut{false};
    /// Whether an answer is held.
    std::atomic<bool> answerHeld{false};
    std::function<void()> heldAnswer;
    /// Whether reads return no rows, as from an outdated replica without any settings.
    std::atomic<bool> returnNoRows{false};
    /// Number of commits that take effect but whose answer is lost.
    std::atomic<int> answersToLose{0};
    /// Number of commits that do not take effect and whose answer is lost.
    std::atomic<int> commitsToDrop{0};
    std::atomic<int> commits{0};
    std::atomic<int> reads{0};
};

/// Settings service of one daemon without its HTTP server.
struct Daemon
{
    Daemon(EventLoop &loop, FaultyPlatform &platform, SettingsServiceOptions options)
        : client(loop, {})
        , peers(loop)
        , metrics({})
        , context{settings, loop, loop, platform.adapter(), client, client, peers, metrics, router}
    {
        settings.tokens = {{"root", {"system"}}, {"crew-token", {"crew"}}};
        service = std::make_unique<SettingsService>(context, std::move(options));
    }

    std::future<HttpResponse> send(HttpRequest request)
    {
        auto answer = std::make_shared<std::promise<HttpResponse>>();
        router.handle(std::move(request),
                      [answer](HttpResponse response) { answer->set_value(std::move(response)); });
        return answer->get_future();
    }

    std::future<HttpResponse> put(const std::string &path, std::string value,
                                  const std::string &expected, const std::string &id,
                                  const std::string &token = "root")
    {
        return send({.method = "PUT",
                     .target = "/v1/settings" + path,
                     .headers = {{"authorization", "Bearer " + token},
                                 {"x-request-id", id},
                                 {"if-version", expected}},
                     .body = std::move(value)});
    }

    json get(const std::string &target)
    {
        return json::parse(send({.method = "GET", .target = target}).get().body);
    }

    DaemonSettings settings;
    HttpClient client;
    PeerClient peers;
    Metrics metrics;
    HttpRouter router;
    DaemonContext context;
    std::unique_ptr<SettingsService> service;
};

/// Several daemons that share one platform.
struct Fixture
{
    ~Fixture()
    {
        loop.stop();
    }

    Daemon &addDaemon(SettingsServiceOptions options = {}, Duration pollPeriod = milliseconds(5))
    {
        options.pollPeriod = pollPeriod;
        options.resendDelay = milliseconds(5);
        daemons.push_back(std::make_unique<Daemon>(loop, platform, std::move(options)));
        return *daemons.back();
    }

    /// Runs @p function on the control thread and returns its result.
    template<typename Function>
    auto onControl(Function function)
    {
        std::promise<decltype(function())> result;
        loop.post([&] { result.set_value(function()); });
        return result.get_future().get();
    }

    EventLoop loop{{.threads = 1}};
    FaultyPlatform platform{loop};
    std::vector<std::unique_ptr<Daemon>> daemons;
};

template<typename Condition>
void waitUntil(Condition condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(milliseconds(1));
    }
}

int codeOf(const HttpResponse &response)
{
    return json::parse(response.body).value("code", 0);
}

const std::string drainRatePath = "/system/drain_rate";

/// Two daemons that read from the platform only for their writes, so that a test can hold the head
/// read of one. Entries written by @ref peer are pushed to @ref daemon at once; entries written by
/// @ref daemon reach @ref peer only from the platform.
struct PeerPair
{
    explicit PeerPair(Duration answerTimeout = std::chrono::seconds(10))
        : daemon(fixture.addDaemon({.answerTimeout = answerTimeout}, std::chrono::hours(1)))
        , peer(fixture.addDaemon({.pushToPeers =
                                      [this](const SettingsEntries &entries) {
                                          CHECK(daemon.service->onPeerEntries(entries).has_value());
                                      }},
                                 std::chrono::hours(1)))
    {
        // After both writes have succeeded, no read from the startup is in progress.
        REQUIRE(daemon.put(drainRatePath, "30", "0", "r1").get().status == 200);
        putThroughPeer();
    }

    /// Starts a write, holds its head read and returns its answer.
    std::future<HttpResponse> putWithHeldRead()
    {
        fixture.platform.holdNextRead = true;
        auto answer = daemon.put(drainRatePath, "40", "1", "r2");
        waitUntil([this] { return fixture.platform.answerHeld.load(); });
        return answer;
    }

    /// Writes through the peer, which pushes the entry to the daemon.
    void putThroughPeer()
    {
        const std::string expected = std::to_string(peerWrites++);
        REQUIRE(peer.put("/teams/crew/weight", "2", expected, "p" + expected).get().status == 200);
        REQUIRE(daemon.service->version() == peer.service->version());
    }

    Fixture fixture;
    Daemon &daemon;
    Daemon &peer;
    int peerWrites = 0;
};

} // namespace

// Guards against an operator unknowingly overwriting the change of another one.
TEST_CASE("of two concurrent writes to the same path and version, exactly one succeeds")
{
    Fixture fixture;
    Daemon &a = fixture.addDaemon();
    Daemon &b = fixture.addDaemon();
    for (int round = 0; round < 20; ++round) {
        const std::string expected = std::to_string(round);
        auto first = a.put(drainRatePath, "30", expected, "a" + expected);
        auto second = b.put(drainRatePath, "40", expected, "b" + expected);
        const unsigned statusA = first.get().status;
        const unsigned statusB = second.get().status;
        CHECK(std::min(statusA, statusB) == 200);
        CHECK(std::max(statusA, statusB) == 409);
    }
    waitUntil([&] { return a.service->version() == 20 && b.service->version() == 20; });
    CHECK(*a.service->current() == *b.service->current());
}

// Guards against writes to different paths conflicting with each other.
TEST_CASE("concurrent writes to different paths all succeed")
{
    Fixture fixture;
    Daemon &a = fixture.addDaemon();
    Daemon &b = fixture.addDaemon();
    std::vector<std::future<HttpResponse>> answers;
    constexpr int count = 20;
    for (int n = 0; n < count; ++n) {
        const std::string id = std::to_string(n);
        answers.push_back(a.put("/teams/t" + id + "/weight", "2", "0", "a" + id));
        answers.push_back(b.put("/teams/u" + id + "/weight", "3", "0", "b" + id));
    }
    for (auto &answer : answers) {
        CHECK(answer.get().status == 200);
    }
    waitUntil(
        [&] { return a.service->version() == 2 * count && b.service->version() == 2 * count; });
    CHECK(*a.service->current() == *b.service->current());
    CHECK(fixture.platform.rows("settings/log/").size() == 2 * count);
}

// Guards against a change that is made twice or reported as failed after a lost answer.
TEST_CASE("a write with a lost answer is resolved by resending the same transaction")
{
    Fixture fixture;
    Daemon &daemon = fixture.addDaemon();
    fixture.platform.answersToLose = 3;
    CHECK(daemon.put(drainRatePath, "30", "0", "r1").get().status == 200);
    fixture.platform.answersToLose = 0;
    fixture.platform.commitsToDrop = 3;
    CHECK(daemon.put(drainRatePath, "40", "1", "r2").get().status == 200);
    CHECK(fixture.platform.rows("settings/log/").size() == 2);
    CHECK(daemon.get("/v1/settings" + drainRatePath)["value"] == 40);
}

// Guards against a writer whose commit was lost using the settings version of another writer.
TEST_CASE("a dropped write and a concurrent write get different versions")
{
    Fixture fixture;
    Daemon &a = fixture.addDaemon();
    Daemon &b = fixture.addDaemon();
    fixture.platform.commitsToDrop = 1;
    auto first = a.put(drainRatePath, "30", "0", "r1");
    auto second = b.put("/system/refill_rate", "60", "0", "r2");
    CHECK(first.get().status == 200);
    CHECK(second.get().status == 200);
    const auto rows = fixture.platform.rows("settings/log/");
    REQUIRE(rows.size() == 2);
    waitUntil([&] { return a.service->version() == 2 && b.service->version() == 2; });
    CHECK(*a.service->current() == *b.service->current());
}

// Guards against a caller waiting forever, and against the change being lost afterwards.
TEST_CASE("a write whose outcome stays unknown is answered at the timeout and resolved later")
{
    Fixture fixture;
    Daemon &daemon = fixture.addDaemon({.answerTimeout = milliseconds(50)});
    fixture.platform.commitsToDrop = 1'000'000;
    CHECK(codeOf(daemon.put(drainRatePath, "30", "0", "r1").get())
          == static_cast<int>(ResultCode::OutcomeUnknown));
    CHECK(codeOf(daemon.put("/system/refill_rate", "60", "0", "r2").get())
          == static_cast<int>(ResultCode::PlatformUnavailable));
    fixture.platform.commitsToDrop = 0;
    waitUntil([&] { return daemon.service->version() == 1; });
    CHECK(daemon.put(drainRatePath, "30", "0", "r1").get().status == 200);
    CHECK(fixture.platform.rows("settings/log/").size() == 1);
}

TEST_CASE("while the platform is down writes are refused and reads are served")
{
    Fixture fixture;
    Daemon &daemon = fixture.addDaemon();
    CHECK(daemon.put(drainRatePath, "30", "0", "r1").get().status == 200);
    fixture.platform.down = true;
    CHECK(codeOf(daemon.put(drainRatePath, "40", "1", "r2").get())
          == static_cast<int>(ResultCode::PlatformUnavailable));
    CHECK(daemon.get("/v1/settings" + drainRatePath)["value"] == 30);
    fixture.platform.down = false;
    CHECK(daemon.put(drainRatePath, "40", "1", "r2").get().status == 200);
}

// Guards against settings reverting because of an outdated answer of the platform or entry of a
// peer.
TEST_CASE("the settings version never decreases")
{
    Fixture fixture;
    Daemon &a = fixture.addDaemon();
    for (int n = 0; n < 3; ++n) {
        const std::string text = std::to_string(n);
        REQUIRE(a.put(drainRatePath, std::to_string(30 + n), text, "r" + text).get().status == 200);
    }
    const auto entries = fixture.onControl([&] { return a.service->onSettingsFetch(0); }).entries;
    REQUIRE(entries.size() == 3);
    CHECK(fixture.onControl([&] { return a.service->onPeerEntries({{entries[0]}}); }).has_value());
    CHECK(a.service->version() == 3);
    SettingsEntry forged = entries[1];
    forged.value = "99";
    CHECK(fixture.onControl([&] { return a.service->onPeerEntries({{forged}}); }).has_value());
    fixture.platform.returnNoRows = true;
    const int reads = fixture.platform.reads;
    waitUntil([&] { return fixture.platform.reads > reads + 3; });
    CHECK(a.service->version() == 3);
    CHECK(a.get("/v1/settings" + drainRatePath)["value"] == 32);
    CHECK(codeOf(a.put(drainRatePath, "50", "3", "r9").get())
          == static_cast<int>(ResultCode::PlatformUnavailable));
}

// Guards against a write being refused because a peer's entry arrived before the answer to its head
// read.
TEST_CASE("a write succeeds although a peer's entry arrives during its head read")
{
    PeerPair pair;
    auto answer = pair.putWithHeldRead();
    pair.putThroughPeer();
    pair.fixture.platform.deliverHeldAnswer();
    const HttpResponse response = answer.get();
    CAPTURE(response.body);
    CHECK(response.status == 200);
    CHECK(pair.daemon.service->version() == 4);
    CHECK(pair.fixture.platform.rows("settings/log/").size() == 4);
}

// Guards against accepting an outdated answer of the platform because a peer's entry arrived while
// the answer was pending. Only an answer that was current when requested may be accepted then.
TEST_CASE(
    "a write is refused if the answer to its head read is outdated, even if a peer's entry arrives")
{
    PeerPair pair;
    pair.fixture.platform.returnNoRows = true;
    auto answer = pair.putWithHeldRead();
    pair.fixture.platform.returnNoRows = false;
    pair.putThroughPeer();
    pair.fixture.platform.deliverHeldAnswer();
    const json body = json::parse(answer.get().body);
    CHECK(body["code"] == static_cast<int>(ResultCode::PlatformUnavailable));
    CHECK(body["where"] == "settings/head");
    CHECK(pair.daemon.service->version() == 3);
}

// Guards against a write that repeats its head read forever.
TEST_CASE("a write during whose head reads peers always send entries is answered at the timeout")
{
    PeerPair pair(milliseconds(500));
    FaultyPlatform &platform = pair.fixture.platform;
    auto answer = pair.putWithHeldRead();
    const auto answered = [&answer] {
        return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    };
    int supersededReads = 0;
    while (!answered()) {
        pair.putThroughPeer();
        platform.holdNextRead = true;
        platform.deliverHeldAnswer();
        waitUntil([&] { return platform.answerHeld || answered(); });
        ++supersededReads;
    }
    CHECK(supersededReads > 1);
    const json body = json::parse(answer.get().body);
    CHECK(body["code"] == static_cast<int>(ResultCode::PlatformUnavailable));
    CHECK(body["where"] == drainRatePath);
    platform.holdNextRead = false;
    // After this call, the answer to a read that was sent before the write was answered is held.
    pair.fixture.onControl([] { return true; });
    if (platform.answerHeld) {
        platform.deliverHeldAnswer();
    }
    CHECK(pair.daemon.put(drainRatePath, "50", "1", "r3").get().status == 200);
}

// Guards against a damaged or missing row being skipped, after which daemons would have different
// trees.
TEST_CASE("the tree does not advance past an invalid row")
{
    Fixture fixture;
    Daemon &a = fixture.addDaemon();
    REQUIRE(a.put(drainRatePath, "30", "0", "r1").get().status == 200);
    std::promise<void> written;
    fixture.platform.inner.commit(
        {.puts = {{"settings/head", "3"}, {settingsLogKey(2), "torn"}}},
        [&written](const Result<CommitVersions> &) { written.set_value(); });
    written.get_future().get();
    const int reads = fixture.platform.reads;
    waitUntil([&] { return fixture.platform.reads > reads + 6; });
    CHECK(a.service->version() == 1);
    CHECK(codeOf(a.put(drainRatePath, "40", "1", "r2").get())
          == static_cast<int>(ResultCode::PlatformUnavailable));
}

// Guards against a daemon that cannot reach the platform keeping old settings or skipping an entry.
TEST_CASE("a daemon that cannot reach the platform applies the entries of its peers")
{
    Fixture fixture;
    std::vector<SettingsEntry> pushed;
    Daemon &a = fixture.addDaemon({.pushToPeers = [&](const SettingsEntries &entries) {
        pushed.insert(pushed.end(), entries.entries.begin(), entries.entries.end());
    }});
    for (int n = 0; n < 3; ++n) {
        const std::string text = std::to_string(n);
        REQUIRE(a.put(drainRatePath, std::to_string(30 + n), text, "r" + text).get().status == 200);
    }
    CHECK(fixture.onControl([&] { return pushed.size(); }) == 3);
    fixture.platform.down = true;
    Daemon &b = fixture.addDaemon();
    CHECK(fixture.onControl([&] { return b.service->onPeerEntries({{pushed[2]}}); }).error().code
          == ResultCode::MissingEntry);
    CHECK(b.service->version() == 0);
    CHECK(fixture
              .onControl([&] {
                  return b.service->onPeerEntries(a.service->onSettingsFetch(b.service->version()));
              })
              .has_value());
    CHECK(*b.service->current() == *a.service->current());
    CHECK(fixture.onControl([&] { return a.service->onSettingsFetch(3); }).entries.empty());
}

// Guards against accepting a change without permission or with an invalid value.
TEST_CASE("denied writes return the matching result code and store nothing")
{
    Fixture fixture;
    Daemon &daemon = fixture.addDaemon();
    const auto code = [](ResultCode expected) {
        return static_cast<int>(expected);
    };
    CHECK(codeOf(daemon.put(drainRatePath, "30", "0", "r", "guess").get())
          == code(ResultCode::PermissionDenied));
    CHECK(codeOf(daemon.put(drainRatePath, "30", "0", "r", "").get())
          == code(ResultCode::PermissionDenied));
    CHECK(codeOf(daemon.put(drainRatePath, "30", "0", "r", "crew-token").get())
          == code(ResultCode::PermissionDenied));
    CHECK(codeOf(daemon.put(drainRatePath, "30", "", "r").get())
          == code(ResultCode::MalformedRequest));
    CHECK(codeOf(daemon.put(drainRatePath, "30", "0", "").get())
          == code(ResultCode::MalformedRequest));
    CHECK(codeOf(daemon.put(drainRatePath, "0", "0", "r").get()) == code(ResultCode::OutOfRange));
    CHECK(codeOf(daemon.put("/system/x", "0", "0", "r").get()) == code(ResultCode::UnknownSetting));
    CHECK(
        codeOf(
            daemon
                .put(
                    "/alerts/r",
                    R"({"name":"r","metric":"x","comparison":">","threshold":1,"severity":"info"})",
                    "0", "r")
                .get())
        == code(ResultCode::UnknownMetric));
    CHECK(
        codeOf(
            daemon
                .put(
                    "/alerts/r",
                    R"({"name":"s","metric":"members","comparison":">","threshold":1,"severity":"info"})",
                    "0", "r")
                .get())
        == code(ResultCode::MalformedRule));
    CHECK(fixture.platform.rows("settings/").empty());
    CHECK(daemon.put("/teams/crew/weight", "2", "0", "r", "crew-token").get().status == 200);
}

TEST_CASE("settings can be read and validated, and their history is served")
{
    Fixture fixture;
    Daemon &daemon = fixture.addDaemon();
    REQUIRE(daemon.put(drainRatePath, "30", "0", "r1").get().status == 200);
    REQUIRE(daemon.put("/system/refill_rate", "60", "0", "r2").get().status == 200);
    const json tree = daemon.get("/v1/settings");
    CHECK(tree["version"] == 2);
    CHECK(tree["settings"][drainRatePath]
          == json{{"value", 30}, {"path_version", 1}, {"version", 1}});
    CHECK(daemon.get("/v1/settings/system/weights/evictions")["default"] == true);
    const json history = daemon.get("/v1/settings-history?path=" + drainRatePath);
    REQUIRE(history["changes"].size() == 1);
    CHECK(history["changes"][0]["request_id"] == "r1");
    CHECK(history["complete_after"] == 0);
    const auto validate = [&daemon](std::string body) {
        return json::parse(
            daemon
                .send(
                    {.method = "POST", .target = "/v1/settings/validate", .body = std::move(body)})
                .get()
                .body);
    };
    CHECK(validate(R"({"/system/drain_rate":5,"/system/leases/lease_ms":20000,
                       "/system/leases/renew_period_ms":9000})")["valid"]
          == true);
    const json validationResult = validate(R"({"/system/drain_rate":0,"/system/x":1,
                                     "/system/leases/renew_period_ms":9000})");
    CHECK(validationResult["errors"].size() == 3);
    CHECK(daemon.get("/v1/settings" + drainRatePath)["value"] == 30);
}

// Guards against a startup that reads the whole history, and against a snapshot that lacks a
// change.
TEST_CASE("a new daemon loads a snapshot and the entries after it")
{
    Fixture fixture;
    Daemon &a = fixture.addDaemon();
    constexpr int count = 300;
    for (int n = 0; n < count; ++n) {
        const std::string text = std::to_string(n);
        REQUIRE(a.put(drainRatePath, std::to_string(1 + n), text, "r" + text).get().status == 200);
    }
    waitUntil([&] { return !fixture.platform.rows("settings/snapshot").empty(); });
    CHECK(fixture.platform.rows("settings/snapshot")[0].value == "256");
    Daemon &b = fixture.addDaemon();
    waitUntil([&] { return b.service->version() == count; });
    CHECK(*b.service->current() == *a.service->current());
    CHECK(b.get("/v1/settings-history")["complete_after"] == 256);
    // Entries that are no longer in memory are sent to peers as a whole tree.
    fixture.platform.down = true;
    Daemon &c = fixture.addDaemon();
    const auto fetched = fixture.onControl([&] { return b.service->onSettingsFetch(0); });
    REQUIRE(fetched.entries.size() == 1);
    CHECK(fetched.entries[0].path.empty());
    CHECK(fixture.onControl([&] { return c.service->onPeerEntries(fetched); }).has_value());
    CHECK(*c.service->current() == *a.service->current());
}

// Guards against a slow upload of a snapshot replacing the row of a newer snapshot.
TEST_CASE("the snapshot row is never replaced by that of an older snapshot")
{
    Fixture fixture;
    Daemon &a = fixture.addDaemon();
    fixture.platform.holdNextPut = true;
    constexpr int count = 256;
    for (int n = 0; n < count; ++n) {
        const std::string text = std::to_string(n);
        REQUIRE(a.put(drainRatePath, std::to_string(1 + n), text, "r" + text).get().status == 200);
    }
    waitUntil([&] { return fixture.platform.answerHeld.load(); });
    std::promise<void> written;
    fixture.platform.inner.commit(
        {.puts = {{"settings/snapshot", "300"}}},
        [&written](const Result<CommitVersions> &) { written.set_value(); });
    written.get_future().get();
    const int reads = fixture.platform.reads;
    waitUntil([&] { return fixture.platform.reads > reads + 2; });
    const int commits = fixture.platform.commits;
    fixture.platform.deliverHeldAnswer();
    waitUntil([&] { return fixture.platform.commits > commits; });
    // Once this has run, the commit has been executed.
    fixture.onControl([] { return true; });
    CHECK(fixture.platform.rows("settings/snapshot")[0].value == "300");
}

TEST_CASE("change callbacks receive the tree in force, first at registration")
{
    Fixture fixture;
    Daemon &daemon = fixture.addDaemon();
    std::atomic<std::uint64_t> reportedVersion{99};
    daemon.service->onChange([&reportedVersion](const std::shared_ptr<const SettingsTree> &tree) {
        reportedVersion = tree->version;
    });
    waitUntil([&] { return reportedVersion == 0; });
    REQUIRE(daemon.put(drainRatePath, "30", "0", "r1").get().status == 200);
    waitUntil([&] { return reportedVersion == 1; });
}
