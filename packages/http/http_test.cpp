#include "http/httpclient.h"
#include "http/httprouter.h"
#include "http/httpserver.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

using namespace acaciadeal;

namespace {

HttpOutcome call(EventLoop &loop, const Endpoint &endpoint, HttpRequest request)
{
    HttpClient client(loop, {});
    std::promise<HttpOutcome> outcome;
    client.send(endpoint, std::move(request), {},
                [&outcome](HttpOutcome result) { outcome.set_value(std::move(result)); });
    return outcome.get_future().get();
}

/// Caller on a plain socket that can send a request in several parts.
class RawCaller
{
public:
    explicit RawCaller(const Endpoint &endpoint)
        : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
    }
    void send(const std::string &text)
    {
        boost::asio::write(m_socket, boost::asio::buffer(text));
    }
    /// Returns the first line of the answer, or the error that ended the connection.
    std::string statusLine()
    {
        std::string text;
        boost::system::error_code ec;
        boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(text), "\r\n", ec);
        return ec ? ec.message() : text.substr(0, text.find("\r\n"));
    }

    /// Returns all bytes that arrive until the connection ends.
    std::string readToEnd()
    {
        std::string text;
        boost::system::error_code ec;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(text), ec);
        return text;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

/// Occupies the loop's only thread until release() is called.
class LoopBlocker
{
public:
    explicit LoopBlocker(EventLoop &loop)
    {
        loop.post([this] {
            m_entered.set_value();
            m_released.get_future().wait();
        });
        m_entered.get_future().wait();
    }
    void release()
    {
        m_released.set_value();
    }

private:
    std::promise<void> m_entered;
    std::promise<void> m_released;
};

/// Accepts one connection, reads a request head, sends @p answer and closes.
class RawServer
{
public:
    explicit RawServer(std::string answer)
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this, answer = std::move(answer)] {
            auto socket = m_acceptor.accept();
            std::string head;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n");
            boost::asio::write(socket, boost::asio::buffer(answer));
        })
    {
    }
    ~RawServer()
    {
        m_thread.join();
    }
    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a request reaches the handler and its answer reaches the caller")
{
    EventLoop loop({.threads = 2});
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}},
                      [](const HttpRequest &request, const HttpResponder &respond) {
                          respond(jsonResponse("\"" + request.body + "\""));
                      });
    REQUIRE(server.start());
    const auto outcome =
        call(loop, server.endpoint(), {.method = "POST", .target = "/x", .body = "scan"});
    REQUIRE(outcome.response.has_value());
    CHECK(outcome.response->body == "\"scan\"");
    CHECK(outcome.handedOver);
}

// Guards against an oversized request reaching a handler.
TEST_CASE("an oversized request is refused with RequestTooLarge")
{
    EventLoop loop({.threads = 2});
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}, .maxBodyBytes = 10},
                      [](const HttpRequest &, const HttpResponder &) { FAIL("handler ran"); });
    REQUIRE(server.start());
    const auto outcome = call(loop, server.endpoint(),
                              {.method = "POST", .target = "/x", .body = std::string(100, 'a')});
    REQUIRE(outcome.response.has_value());
    CHECK(outcome.response->status == 413);
    CHECK(outcome.response->body.find("\"code\":2002") != std::string::npos);
}

// Guards against a truncated answer being passed on as a complete one.
TEST_CASE("a truncated answer is an error")
{
    EventLoop loop({.threads = 1});
    const RawServer server("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf");
    const auto outcome = call(loop, server.endpoint(), {});
    REQUIRE_FALSE(outcome.response.has_value());
    CHECK(outcome.response.error().code == ResultCode::IncompleteAnswer);
    CHECK(outcome.handedOver);
}

// Guards against the end of a connection being mistaken for the end of an answer.
TEST_CASE("an answer without a declared length is an error")
{
    EventLoop loop({.threads = 1});
    const RawServer server("HTTP/1.1 200 OK\r\n\r\nperhaps whole");
    const auto outcome = call(loop, server.endpoint(), {});
    REQUIRE_FALSE(outcome.response.has_value());
    CHECK(outcome.response.error().code == ResultCode::IncompleteAnswer);
}

// Guards against reporting "not run" for a request that was sent, and the reverse.
TEST_CASE("a refused connection is reported as not handed over")
{
    EventLoop loop({.threads = 1});
    Endpoint closed;
    {
        HttpServer server(loop, {.listen = {"127.0.0.1", 0}}, {});
        REQUIRE(server.start());
        closed = server.endpoint();
        std::promise<void> drained;
        server.drain([&drained] { drained.set_value(); });
        drained.get_future().wait();
    }
    // The destructor of the server posts the closing of its acceptor to the loop; wait for it.
    std::promise<void> acceptorClosed;
    loop.post([&acceptorClosed] { acceptorClosed.set_value(); });
    acceptorClosed.get_future().wait();
    const auto outcome = call(loop, closed, {});
    REQUIRE_FALSE(outcome.response.has_value());
    CHECK_FALSE(outcome.handedOver);
}

// Guards against a graceful shutdown cutting off a request in progress.
TEST_CASE("draining waits for the request in progress and delivers its answer")
{
    EventLoop loop({.threads = 2});
    std::promise<HttpResponder> started;
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}},
                      [&started](const HttpRequest &, HttpResponder respond) {
                          started.set_value(std::move(respond));
                      });
    REQUIRE(server.start());
    HttpClient client(loop, {});
    std::promise<HttpOutcome> outcome;
    client.send(server.endpoint(), {}, {},
                [&outcome](HttpOutcome result) { outcome.set_value(std::move(result)); });
    const HttpResponder respond = started.get_future().get();
    std::promise<void> drained;
    server.drain([&drained] { drained.set_value(); });
    respond({.body = "whole"});
    const HttpOutcome result = outcome.get_future().get();
    REQUIRE(result.response.has_value());
    CHECK(result.response->body == "whole");
    drained.get_future().wait();
}

// Guards against a shutdown resetting established connections in the listen backlog.
TEST_CASE("a request on a connection in the listen backlog is answered during a drain")
{
    EventLoop loop({.threads = 1});
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}, .idleGracePeriod = milliseconds(50)},
                      [](const HttpRequest &, const HttpResponder &respond) { respond({}); });
    REQUIRE(server.start());
    LoopBlocker blocker(loop);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int n = 0; n < 3; ++n) {
        callers.push_back(std::make_unique<RawCaller>(server.endpoint()));
        callers.back()->send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    }
    std::promise<void> drained;
    server.drain([&drained] { drained.set_value(); });
    blocker.release();
    for (const auto &caller : callers) {
        CHECK(caller->statusLine() == "HTTP/1.1 200 OK");
    }
    drained.get_future().wait();
}

// Guards against a shutdown closing a connection on which a part of a request has arrived.
TEST_CASE("a request that has arrived in part when idle connections are closed is answered")
{
    EventLoop loop({.threads = 1});
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}, .idleGracePeriod = milliseconds(50)},
                      [](const HttpRequest &, const HttpResponder &respond) { respond({}); });
    REQUIRE(server.start());
    RawCaller caller(server.endpoint());
    caller.send("GET / HTTP/1.1\r\n");
    std::promise<void> drained;
    server.drain([&drained] { drained.set_value(); });
    auto drainedFuture = drained.get_future();
    CHECK(drainedFuture.wait_for(milliseconds(200)) == std::future_status::timeout);
    caller.send("host: a\r\n\r\n");
    CHECK(caller.statusLine() == "HTTP/1.1 200 OK");
    drainedFuture.wait();
}

// Guards against a pipelined request getting no answer: the caller sent it before the answer to the
// previous request announced the shutdown.
TEST_CASE("a pipelined request is answered during a shutdown")
{
    EventLoop loop({.threads = 1});
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}},
                      [](const HttpRequest &request, const HttpResponder &respond) {
                          respond({.body = "answer to " + request.target});
                      });
    REQUIRE(server.start());
    server.closeAfterAnswers();
    RawCaller caller(server.endpoint());
    caller.send("GET /first HTTP/1.1\r\nhost: a\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\n\r\n");
    const std::string answers = caller.readToEnd();
    CHECK(answers.find("answer to /first") != std::string::npos);
    CHECK(answers.find("answer to /second") != std::string::npos);
    CHECK(answers.find("Connection: close") != std::string::npos);
}

// Guards against a caller that takes the body of an answer to HEAD for the start of the next answer
// on the connection (RFC 9110: an answer to HEAD has no content). MIXED.
TEST_CASE("an answer to HEAD has no body, also if it is an error")
{
    EventLoop loop({.threads = 1});
    HttpServer server(
        loop, {.listen = {"127.0.0.1", 0}},
        [](const HttpRequest &request, const HttpResponder &respond) {
            if (request.target == "/refused") {
                respond(errorResponse({ResultCode::UnknownPath, "the path has no such method"}));
            } else {
                respond(jsonResponse(R"({"state":"queued"})"));
            }
        });
    REQUIRE(server.start());
    for (const std::string target : {"/job", "/refused"}) {
        RawCaller caller(server.endpoint());
        caller.send("HEAD " + target + " HTTP/1.1\r\nhost: a\r\n\r\n"
                    + "GET /job HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        const std::string answers = caller.readToEnd();
        const std::size_t headEnd = answers.find("\r\n\r\n");
        REQUIRE(headEnd != std::string::npos);
        const std::string second = answers.substr(headEnd + 4);
        CHECK(second.starts_with("HTTP/1.1 200 OK\r\n"));
        CHECK(second.find("Content-Length: 18\r\n") != std::string::npos);
        CHECK(second.ends_with("\r\n\r\n{\"state\":\"queued\"}"));
    }
}

// Guards against a caller sending its next request on a connection that a shutdown closes.
TEST_CASE("after closeAfterAnswers(), answers carry Connection: close")
{
    EventLoop loop({.threads = 2});
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}},
                      [](const HttpRequest &, const HttpResponder &respond) { respond({}); });
    REQUIRE(server.start());
    server.closeAfterAnswers();
    const auto outcome = call(loop, server.endpoint(), {});
    REQUIRE(outcome.response.has_value());
    CHECK(outcome.response->headers.at("connection") == "close");
}

// Guards against single-use connections accumulating until a backend server refuses new ones.
TEST_CASE("a connection opened with freshConnection is closed after its answer")
{
    EventLoop loop({.threads = 1});
    std::promise<std::string> connection;
    HttpServer server(loop, {.listen = {"127.0.0.1", 0}},
                      [&connection](const HttpRequest &request, const HttpResponder &respond) {
                          const auto it = request.headers.find("connection");
                          connection.set_value(it == request.headers.end() ? "" : it->second);
                          respond({});
                      });
    REQUIRE(server.start());
    HttpClient client(loop, {});
    std::promise<HttpOutcome> outcome;
    client.send(server.endpoint(), {}, {.freshConnection = true},
                [&outcome](HttpOutcome result) { outcome.set_value(std::move(result)); });
    REQUIRE(outcome.get_future().get().response.has_value());
    CHECK(connection.get_future().get() == "close");
}

TEST_CASE("query values are decoded")
{
    CHECK(queryValue("/a?x=1&name=a%2Fb+c", "name") == "a/b c");
    CHECK(queryValue("/a?x=1", "name").empty());
    CHECK(pathOf("/a/b?x=1") == "/a/b");
}

// Guards against a long answer being read in small pieces, each of which waits for an iteration of
// a busy event loop.
TEST_CASE("a long answer is read in few iterations of a busy event loop")
{
    EventLoop serverLoop({.threads = 1});
    HttpServer server(serverLoop, {.listen = {"127.0.0.1", 0}},
                      [](const HttpRequest &, const HttpResponder &respond) {
                          respond({.status = 200, .body = std::string(256 * 1024, 'x')});
                      });
    REQUIRE(server.start().has_value());
    EventLoop busyLoop({.threads = 1});
    std::atomic<int> iterations{0};
    std::function<void()> occupyLoop = [&] {
        ++iterations;
        std::this_thread::sleep_for(milliseconds(1));
        busyLoop.post(occupyLoop);
    };
    busyLoop.post(occupyLoop);
    const HttpOutcome outcome = call(busyLoop, server.endpoint(), {.method = "GET", .target = "/"});
    const int iterationsUsed = iterations;
    busyLoop.stop();
    REQUIRE(outcome.response);
    CHECK(outcome.response->body.size() == 256 * 1024);
    CHECK(iterationsUsed < 100);
}

namespace {

/// Server that holds its answers until release(). Records the largest number of requests that it
/// had at the same time.
class HoldingServer
{
public:
    explicit HoldingServer(EventLoop &loop)
        : m_loop(loop)
        , m_server(loop, {.listen = {"127.0.0.1", 0}},
                   [this](const HttpRequest &, const HttpResponder &respond) {
                       m_held.push_back(respond);
                       m_maxHeld = std::max(m_maxHeld, m_held.size());
                       ++m_requests;
                       if (m_released) {
                           answerAll();
                       }
                   })
    {
        REQUIRE(m_server.start());
    }
    Endpoint endpoint() const
    {
        return m_server.endpoint();
    }
    std::size_t requests()
    {
        return onLoop([this] { return m_requests; });
    }
    std::size_t maxHeld()
    {
        return onLoop([this] { return m_maxHeld; });
    }
    /// Answers all requests, and later ones at once.
    void release()
    {
        onLoop([this] {
            m_released = true;
            answerAll();
            return std::size_t{0};
        });
    }

private:
    void answerAll()
    {
        for (const HttpResponder &respond : std::exchange(m_held, {})) {
            respond({});
        }
    }
    std::size_t onLoop(const std::function<std::size_t()> &function)
    {
        std::promise<std::size_t> result;
        m_loop.post([&] { result.set_value(function()); });
        return result.get_future().get();
    }

    EventLoop &m_loop;
    std::vector<HttpResponder> m_held;
    std::size_t m_maxHeld = 0;
    std::size_t m_requests = 0;
    bool m_released = false;
    HttpServer m_server;
};

using Outcomes = std::vector<std::future<HttpOutcome>>;

Outcomes sendCalls(HttpClient &client, const Endpoint &endpoint, int n, Duration timeout)
{
    Outcomes outcomes;
    for (int i = 0; i < n; ++i) {
        auto outcome = std::make_shared<std::promise<HttpOutcome>>();
        outcomes.push_back(outcome->get_future());
        client.send(endpoint, {}, {.timeout = timeout},
                    [outcome](HttpOutcome result) { outcome->set_value(std::move(result)); });
    }
    return outcomes;
}

} // namespace

// Guards against a client that takes more connections than its share of a server's limit.
TEST_CASE("calls beyond maxConnectionsPerEndpoint wait for a connection")
{
    EventLoop serverLoop({.threads = 1});
    HoldingServer server(serverLoop);
    EventLoop loop({.threads = 1});
    HttpClient client(loop, {.maxIdleConnectionsPerEndpoint = 2, .maxConnectionsPerEndpoint = 2});
    Outcomes outcomes = sendCalls(client, server.endpoint(), 6, std::chrono::seconds(5));
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(server.requests() == 2);
    server.release();
    for (auto &outcome : outcomes) {
        CHECK(outcome.get().response.has_value());
    }
    CHECK(server.maxHeld() == 2);
    CHECK(server.requests() == 6);
    loop.stop();
}

// Guards against an order that is sent when the caller has little time left for its answer, and
// against one that is reported as sent.
TEST_CASE("a call that gets no connection in half of its timeout is not handed over")
{
    EventLoop serverLoop({.threads = 1});
    HoldingServer server(serverLoop);
    EventLoop loop({.threads = 1});
    HttpClient client(loop, {.maxIdleConnectionsPerEndpoint = 1, .maxConnectionsPerEndpoint = 1});
    Outcomes outcomes = sendCalls(client, server.endpoint(), 2, milliseconds(400));
    const HttpOutcome second = outcomes[1].get();
    REQUIRE_FALSE(second.response.has_value());
    CHECK(second.response.error().code == ResultCode::NotHandedOver);
    CHECK_FALSE(second.handedOver);
    const HttpOutcome first = outcomes[0].get();
    REQUIRE_FALSE(first.response.has_value());
    CHECK(first.response.error().code == ResultCode::TimedOut);
    CHECK(first.handedOver);
    // The connection that timed out was closed, so that the next call gets one.
    server.release();
    CHECK(sendCalls(client, server.endpoint(), 1, milliseconds(400))[0].get().response.has_value());
    CHECK(server.requests() == 2);
    loop.stop();
}

// Guards against connections that are kept by a client that does not use them any more.
TEST_CASE("close() closes idle connections, and those in use after their answers")
{
    EventLoop serverLoop({.threads = 1});
    HoldingServer server(serverLoop);
    EventLoop loop({.threads = 1});
    HttpClient client(loop, {});
    Outcomes outcomes = sendCalls(client, server.endpoint(), 2, std::chrono::seconds(5));
    while (server.requests() < 2) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    client.close();
    server.release();
    for (auto &outcome : outcomes) {
        CHECK(outcome.get().response.has_value());
    }
    const HttpOutcome late = sendCalls(client, server.endpoint(), 1, milliseconds(400))[0].get();
    REQUIRE_FALSE(late.response.has_value());
    CHECK(late.response.error().code == ResultCode::NotHandedOver);
    CHECK(server.requests() == 2);
    loop.stop();
}

namespace {

/// Server that tells its incarnation and counts requests by path.
class NamedServer
{
public:
    explicit NamedServer(EventLoop &loop)
        : m_server(loop, {.listen = {"127.0.0.1", 0}},
                   [this](const HttpRequest &request, const HttpResponder &respond) {
                       ++(request.target == "/who" ? questions : calls);
                       respond({.body = std::to_string(incarnation.load())});
                   })
    {
        REQUIRE(m_server.start());
    }

    /// Calls the server in the incarnation @p expected.
    HttpOutcome call(HttpClient &client, const std::string &expected)
    {
        std::promise<HttpOutcome> outcome;
        const HttpPeerCheck check{.expected = expected,
                                  .makeQuestion = [] { return HttpRequest{.target = "/who"}; },
                                  .identify =
                                      [](const HttpResponse &r) {
                                          return r.body;
                                      }};
        client.send(m_server.endpoint(), {.target = "/call"},
                    {.peerCheck = std::make_shared<HttpPeerCheck>(check)},
                    [&outcome](HttpOutcome result) { outcome.set_value(std::move(result)); });
        return outcome.get_future().get();
    }

    std::atomic<int> incarnation{1};
    std::atomic<int> questions{0};
    std::atomic<int> calls{0};

private:
    HttpServer m_server;
};

} // namespace

// Guards against a question before each call, which would double the calls to a server.
TEST_CASE("a server is asked for its incarnation once on each connection")
{
    EventLoop loop({.threads = 1});
    NamedServer server(loop);
    HttpClient client(loop, {});
    for (int n = 0; n < 3; ++n) {
        const HttpOutcome outcome = server.call(client, "1");
        REQUIRE(outcome.response.has_value());
        CHECK_FALSE(outcome.peerRefused);
        CHECK(outcome.handedOver);
    }
    CHECK(server.questions == 1);
    CHECK(server.calls == 3);
    loop.stop();
}

// Guards against a call that another incarnation of the server executes.
TEST_CASE("a call for one incarnation of a server is not sent to another")
{
    EventLoop loop({.threads = 1});
    NamedServer server(loop);
    HttpClient client(loop, {});
    const HttpOutcome outcome = server.call(client, "0");
    CHECK(outcome.peerRefused);
    CHECK_FALSE(outcome.handedOver);
    REQUIRE(outcome.response.has_value());
    CHECK(outcome.response->body == "1");
    CHECK(server.calls == 0);
    loop.stop();
}

// Guards against the use of a connection to a former incarnation that lost power without closing
// it.
TEST_CASE("an idle connection to another incarnation of a server is not used")
{
    EventLoop loop({.threads = 1});
    NamedServer server(loop);
    HttpClient client(loop, {.maxConnectionsPerEndpoint = 1});
    REQUIRE_FALSE(server.call(client, "1").peerRefused);
    server.incarnation = 2;
    REQUIRE_FALSE(server.call(client, "2").peerRefused);
    CHECK(server.questions == 2);
    CHECK(server.calls == 2);
    loop.stop();
}

// Guards against a second question on a connection whose peer the answer to a call has named.
TEST_CASE("an answer to a call for any incarnation names the peer of the connection")
{
    EventLoop loop({.threads = 1});
    NamedServer server(loop);
    HttpClient client(loop, {});
    REQUIRE_FALSE(server.call(client, "").peerRefused);
    REQUIRE_FALSE(server.call(client, "1").peerRefused);
    CHECK(server.questions == 0);
    CHECK(server.calls == 2);
    loop.stop();
}
