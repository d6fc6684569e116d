#include "http/httpclient.h"
#include "runtime/eventloop.h"
#include "standins/deployment.h"
#include "standins/instance.h"
#include "standins/ratelimiter.h"
#include "standins/workerjson.h"

#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <set>
#include <thread>

using namespace acaciadeal;
using namespace acaciadeal::standins;
using namespace std::chrono_literals;

TEST_CASE("orders and reports are unchanged after formatting and parsing")
{
    WorkerOrders orders{.shard = {"a"},
                        .epoch = 2,
                        .sequence = 3,
                        .permit = std::uint64_t{5} << 40,
                        .lease = 15s,
                        .stops = {{{"u"}, 2}},
                        .throttles = {{{{"v"}, 3}, 40}},
                        .acknowledged = {{{"w"}, 4}}};
    StartOrder &start = orders.starts.emplace_back();
    start.run = {{"t"}, 1};
    start.taskClass = TaskClass::LatencyCritical;
    start.size = {1, 2, 3};
    start.expectedRunTime = 4ms;
    start.payload = R"({"run_ms":1})";
    start.checkpoint = "c";
    CHECK(parseOrders(formatOrders(orders)).value() == orders);
    WorkerReport report{.bootId = "b",
                        .epoch = 2,
                        .sequence = 3,
                        .stale = true,
                        .permit = 9,
                        .running = {{{{"t"}, 1}, 5, 6, 70}},
                        .refused = {{{{"v"}, 3}, ResultCode::RepeatedStart}}};
    EndedRun &ended = report.ended.emplace_back();
    ended.run = {{"u"}, 2};
    ended.outcome = RunOutcome::LeaseLapsed;
    ended.checkpoint = "c";
    ended.detail = "d";
    CHECK(parseReport(formatReport(report)).value() == report);
    CHECK(parseOrders("{}").error().code == ResultCode::MalformedRequest);
}

TEST_CASE("the deployment files describe the expected numbers of hosts")
{
    const std::string folder = ACACIADEAL_DEPLOYMENTS_DIR;
    for (const auto &[file, workers, instances] :
         {std::tuple{"small", 6, 6}, {"merrimack", 66, 65}, {"cooperative", 48, 50}}) {
        const std::string name = file;
        CAPTURE(name);
        std::string path = folder;
        path += "/";
        path += name;
        path += ".json";
        const auto deployment = readDeployment(path);
        REQUIRE(deployment);
        CHECK(deployment->failureDomains.size() == 3);
        int workerCount = 0;
        std::set<HostId> names;
        for (const HostRecord &host : deployment->hosts) {
            workerCount += host.service.empty() ? 1 : 0;
            names.insert(host.host);
            CHECK(host.slots == (host.service.empty() ? 0 : 8));
        }
        CHECK(workerCount == workers);
        CHECK(deployment->hosts.size() == static_cast<std::size_t>(workers + instances));
        CHECK(names.size() == deployment->hosts.size());
    }
    CHECK(readDeployment(folder + "/absent.json").error().code == ResultCode::FileUnreadable);
    CHECK(parseDeployment("{").error().code == ResultCode::SyntaxError);
}

TEST_CASE("the rate limiter delays what exceeds its burst")
{
    RateLimiter limiter{.perSecond = 100};
    const TimePoint now = TimePoint{} + 1h;
    CHECK(acquire(limiter, 10, now) == Duration(0));
    CHECK(acquire(limiter, 100, now) == 1s);
    CHECK(acquire(limiter, 1, now + 2s) == Duration(0));
    CHECK(limiter.used == 111);
    CHECK(limiter.delayed == 1);
}

// Guards against a stand-in that does not reveal a repeated execution or one beyond its slots.
TEST_CASE("an instance records executions and refuses requests beyond its slots as not run")
{
    Instance instance{.options = {.host = {"i"}, .slots = 1}};
    const HttpRequest request{.headers = {{"x-request-id", "r1"}}, .body = "hello"};
    const auto first = execute(instance, request, TimePoint{});
    CHECK(first.executed);
    CHECK(first.response.headers.at("x-request-id") == "r1");
    const auto second = execute(instance, request, TimePoint{});
    CHECK_FALSE(second.executed);
    CHECK(second.response.status == 503);
    CHECK(second.response.headers.at("x-not-run") == "true");
    releaseSlot(instance);
    instance.faults.truncateNext = 1;
    setLeaving(instance, true, TimePoint{} + 1s);
    const auto third = execute(instance, request, TimePoint{} + 2s);
    CHECK(third.delivery == Delivery::Truncated);
    CHECK(third.response.headers.at("x-leaving") == "true");
    REQUIRE(instance.executions.size() == 2);
    CHECK(instance.executions.at(1).leaving);
    CHECK(instance.executions.at(1).leavingSince == TimePoint{} + 1s);
}

// Guards against injected faults that have no effect on the connection.
TEST_CASE("the faulty server truncates and drops answers and limits connections")
{
    EventLoop loop({.threads = 1});
    FaultyServer server(
        loop, {.listen = {"127.0.0.1", 0}, .maxConnections = 1},
        [](const HttpRequest &request, const std::string &client, const FaultyResponder &respond) {
            const Delivery delivery = request.target == "/truncated" ? Delivery::Truncated
                                      : request.target == "/dropped" ? Delivery::Dropped
                                                                     : Delivery::Whole;
            respond({.status = 200, .headers = {{"x-client", client}}, .body = "0123456789"},
                    delivery);
        });
    REQUIRE(server.start());
    HttpClient client(loop, {});
    const auto call = [&](const std::string &target, bool fresh) {
        std::promise<HttpOutcome> outcome;
        client.send(server.endpoint(), {.method = "GET", .target = target},
                    {.timeout = 60s, .freshConnection = fresh},
                    [&](HttpOutcome result) { outcome.set_value(std::move(result)); });
        return outcome.get_future().get();
    };
    const auto whole = call("/", false);
    REQUIRE(whole.response);
    CHECK(whole.response->body == "0123456789");
    CHECK(whole.response->headers.at("x-client") == "127.0.0.1");
    // The client's idle pooled connection already uses up the limit of one.
    CHECK_FALSE(call("/", true).response);
    CHECK(server.refusedConnections() == 1);
    const auto truncated = call("/truncated", false);
    REQUIRE_FALSE(truncated.response);
    CHECK(truncated.response.error().code == ResultCode::IncompleteAnswer);
}

// Guards against a stand-in that counts connections as in use that the client has closed, and
// against one that closes those of a client that still waits.
TEST_CASE("the faulty server closes a connection with its client if told so")
{
    for (const bool closesWithClient : {false, true}) {
        CAPTURE(closesWithClient);
        std::mutex mutex;
        std::vector<FaultyResponder> held;
        EventLoop serverLoop({.threads = 1});
        FaultyServer server(
            serverLoop,
            {.listen = {"127.0.0.1", 0}, .maxConnections = 1, .closesWithClient = closesWithClient},
            [&](const HttpRequest &request, const std::string &, const FaultyResponder &respond) {
                if (request.target == "/held") {
                    const std::lock_guard lock(mutex);
                    held.push_back(respond);
                } else if (request.target == "/late") {
                    serverLoop.postAfter(100ms, [respond] { respond({}, Delivery::Whole); });
                } else {
                    respond({}, Delivery::Whole);
                }
            });
        REQUIRE(server.start());
        EventLoop loop({.threads = 1});
        HttpClient client(loop, {});
        const auto call = [&](const std::string &target, Duration timeout) {
            std::promise<bool> answered;
            client.send(server.endpoint(), {.method = "GET", .target = target},
                        {.timeout = timeout}, [&](const HttpOutcome &result) {
                            answered.set_value(result.response.has_value());
                        });
            return answered.get_future().get();
        };
        // Several requests on one connection, answered at once and later.
        for (const char *target : {"/", "/late", "/late", "/"}) {
            CHECK(call(target, 60s));
        }
        CHECK(server.openConnections() == 1);
        CHECK(server.abandonedRequests() == 0);
        CHECK_FALSE(call("/held", 100ms));
        for (int n = 0; n < 500 && closesWithClient && server.openConnections() > 0; ++n) {
            std::this_thread::sleep_for(10ms);
        }
        CHECK(server.openConnections() == (closesWithClient ? 0 : 1));
        CHECK(server.abandonedRequests() == (closesWithClient ? 1 : 0));
        CHECK(call("/", 60s) == closesWithClient);
        CHECK(server.refusedConnections() == (closesWithClient ? 0 : 1));
        const std::lock_guard lock(mutex);
        REQUIRE(held.size() == 1);
        held.front()({}, Delivery::Whole);
        held.clear();
        loop.stop();
        serverLoop.stop();
    }
}
