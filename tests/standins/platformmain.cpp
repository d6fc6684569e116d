#include "base/hash.h"
#include "http/httprouter.h"
#include "runtime/eventloop.h"
#include "standins/controlroutes.h"
#include "standins/deployment.h"
#include "standins/faultyserver.h"
#include "standins/ratelimiter.h"
#include "store/codec.h"
#include "store/memorytable.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

using namespace acaciadeal;
using namespace acaciadeal::standins;
using nlohmann::json;
using std::chrono::steady_clock;

namespace {

enum class Outage { Off, Close, Hang, Error };

/// Version of the host list. The first one is visible immediately, later ones after hostListLag.
struct HostListVersion
{
    TimePoint since;
    std::vector<HostRecord> hosts;
};

/// Write of a row, kept for checks by the failure tests.
struct RecordedWrite
{
    TimePoint at;
    std::string client;
    Row row;
};

/// Key prefixes of the rows whose write history is kept; log rows are too numerous.
constexpr std::array recordedPrefixes{"domain/", "owner/", "settings/", "request/", "job/"};

struct PlatformState
{
    explicit PlatformState(EventLoop &eventLoop)
        : loop(eventLoop)
    {
    }

    EventLoop &loop;
    std::mutex mutex;
    MemoryTable table;
    std::map<std::string, std::string> objects;
    std::deque<HostListVersion> hostLists;
    Duration hostListLag{0};
    RateLimiter writeLimiter{.perSecond = 400};
    RateLimiter readLimiter{.perSecond = 2000};
    Outage outage = Outage::Off;
    milliseconds addedLatency{0};
    std::uint32_t answersToLose = 0;
    std::string lostAnswerPrefix;
    /// Names and addresses of the clients whose requests are dropped.
    std::set<std::string> blockedClients;
    std::vector<FaultyResponder> hangingResponders;
    std::vector<RecordedWrite> history;
    std::map<std::string, std::uint64_t> counters;
    /// Additional listening sockets by client name; each identifies its client.
    std::map<std::string, std::unique_ptr<FaultyServer>> clientListeners;
};

/// Handles a request after its delay and returns the answer. Called with the mutex locked.
using DeferredOperation = std::function<std::pair<HttpResponse, Delivery>(PlatformState &)>;

void runAfter(PlatformState &state, Duration wait, DeferredOperation operation,
              FaultyResponder respond)
{
    const auto run = [&state, operation = std::move(operation), respond = std::move(respond)] {
        std::pair<HttpResponse, Delivery> answer;
        {
            const std::lock_guard lock(state.mutex);
            answer = operation(state);
        }
        respond(std::move(answer.first), answer.second);
    };
    if (wait > Duration(0)) {
        state.loop.postAfter(wait, run);
    } else {
        run();
    }
}

bool putsKeyWithPrefix(const Transaction &transaction, const std::string &prefix)
{
    return std::any_of(transaction.puts.begin(), transaction.puts.end(),
                       [&](const RowPut &put) { return put.key.starts_with(prefix); });
}

std::pair<HttpResponse, Delivery> applyCommit(PlatformState &state, const Transaction &transaction,
                                              const std::string &client)
{
    const auto versions = commit(state.table, transaction);
    ++state.counters[versions ? "commits" : "failed_checks"];
    if (!versions) {
        HttpResponse response = errorResponse(versions.error());
        response.status = 409;
        response.headers["x-failed-key"] = versions.error().where;
        return {std::move(response), Delivery::Whole};
    }
    state.counters["rows_written"] += transaction.puts.size() + transaction.deletes.size();
    for (const RowPut &put : transaction.puts) {
        ++state.counters["puts/" + put.key.substr(0, put.key.find('/'))];
        if (std::any_of(recordedPrefixes.begin(), recordedPrefixes.end(),
                        [&](const char *prefix) { return put.key.starts_with(prefix); })) {
            state.history.push_back({.at = steady_clock::now(),
                                     .client = client,
                                     .row = {put.key, put.value, versions->at(put.key)}});
        }
    }
    Delivery delivery = Delivery::Whole;
    if (state.answersToLose > 0 && putsKeyWithPrefix(transaction, state.lostAnswerPrefix)) {
        --state.answersToLose;
        ++state.counters["lost_answers"];
        delivery = Delivery::Dropped;
    }
    return {jsonResponse(encodeVersions(*versions)), delivery};
}

/// A commit acquires one write unit per written or deleted row and one read unit per check.
void serveCommit(PlatformState &state, const HttpRequest &request, const std::string &client,
                 FaultyResponder respond)
{
    auto transaction = decodeTransaction(request.body);
    if (!transaction) {
        respond(errorResponse(transaction.error()), Delivery::Whole);
        return;
    }
    Duration wait(0);
    {
        const std::lock_guard lock(state.mutex);
        const auto now = steady_clock::now();
        const auto rows = transaction->puts.size() + transaction->deletes.size();
        const Duration readWait =
            acquire(state.readLimiter, static_cast<std::int64_t>(transaction->checks.size()), now);
        wait = std::max(readWait, acquire(state.writeLimiter, static_cast<std::int64_t>(rows), now))
               + state.addedLatency;
    }
    runAfter(
        state, wait,
        [transaction = std::move(*transaction), client](PlatformState &p) {
            return applyCommit(p, transaction, client);
        },
        std::move(respond));
}

/// A read acquires one read unit per row, and at least one.
void serveRead(PlatformState &state, const HttpRequest &request, FaultyResponder respond)
{
    const auto query = decodeQuery(request.body);
    if (!query) {
        respond(errorResponse(query.error()), Delivery::Whole);
        return;
    }
    Duration wait(0);
    {
        const std::lock_guard lock(state.mutex);
        const auto rows = std::max<std::size_t>(1, read(state.table, *query).size());
        state.counters["rows_read"] += rows;
        ++state.counters["reads"];
        wait = acquire(state.readLimiter, static_cast<std::int64_t>(rows), steady_clock::now())
               + state.addedLatency;
    }
    runAfter(
        state, wait,
        [query = *query](PlatformState &p) {
            return std::pair{jsonResponse(encodeRows(read(p.table, query))), Delivery::Whole};
        },
        std::move(respond));
}

void serveObject(PlatformState &state, const HttpRequest &request, FaultyResponder respond)
{
    const std::string name = pathOf(request.target).substr(std::string("/v1/objects/").size());
    const bool isPut = request.method == "PUT";
    Duration wait(0);
    {
        const std::lock_guard lock(state.mutex);
        wait = acquire(isPut ? state.writeLimiter : state.readLimiter, 1, steady_clock::now())
               + state.addedLatency;
        ++state.counters[isPut ? "object_puts" : "object_gets"];
    }
    runAfter(
        state, wait,
        [name, isPut, body = request.body](PlatformState &p) -> std::pair<HttpResponse, Delivery> {
            if (isPut) {
                p.objects[name] = body;
                return {jsonResponse("{}"), Delivery::Whole};
            }
            const auto it = p.objects.find(name);
            if (it == p.objects.end()) {
                return {errorResponse({ResultCode::UnknownPath, "no such object", name}),
                        Delivery::Whole};
            }
            return {HttpResponse{.status = 200, .headers = {}, .body = it->second},
                    Delivery::Whole};
        },
        std::move(respond));
}

std::vector<HostRecord> visibleHosts(const PlatformState &state, TimePoint now)
{
    std::vector<HostRecord> hosts;
    bool isFirst = true;
    for (const HostListVersion &version : state.hostLists) {
        if (isFirst || version.since + state.hostListLag <= now) {
            hosts = version.hosts;
        }
        isFirst = false;
    }
    return hosts;
}

std::string headerOf(const HttpRequest &request, const std::string &name)
{
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? "" : it->second;
}

void serveHosts(PlatformState &state, const HttpRequest &request, FaultyResponder respond)
{
    Duration wait(0);
    {
        const std::lock_guard lock(state.mutex);
        wait = state.addedLatency;
        ++state.counters["host_lists"];
    }
    runAfter(
        state, wait,
        [known = headerOf(request, "if-none-match")](PlatformState &p) {
            HttpResponse response = jsonResponse(encodeHosts(visibleHosts(p, steady_clock::now())));
            const std::string etag = "\"" + std::to_string(stableHash(response.body)) + "\"";
            if (known == etag) {
                response = {.status = 304};
            }
            response.headers["etag"] = etag;
            return std::pair{response, Delivery::Whole};
        },
        std::move(respond));
}

/// Drops, refuses or leaves unanswered a request of a blocked client or during an outage. Returns
/// whether it did.
bool applyOutage(PlatformState &state, const std::string &client, const std::string &address,
                 const FaultyResponder &respond)
{
    const std::lock_guard lock(state.mutex);
    if (state.blockedClients.contains(client) || state.blockedClients.contains(address)
        || state.outage == Outage::Close) {
        ++state.counters["dropped_requests"];
        respond({}, Delivery::Dropped);
        return true;
    }
    if (state.outage == Outage::Hang) {
        ++state.counters["held_requests"];
        state.hangingResponders.push_back(respond);
        return true;
    }
    if (state.outage == Outage::Error) {
        ++state.counters["refused_requests"];
        respond({.status = 503, .headers = {}, .body = "outage"}, Delivery::Whole);
        return true;
    }
    return false;
}

/// Serves the platform interface. @p client is the name of the client's own listening socket, or
/// empty on the main port.
void serve(PlatformState &state, const HttpRequest &request, const std::string &client,
           const std::string &address, FaultyResponder respond)
{
    if (applyOutage(state, client, address, respond)) {
        return;
    }
    const std::string path = pathOf(request.target);
    if (path == "/v1/table/commit") {
        serveCommit(state, request, client, std::move(respond));
    } else if (path == "/v1/table/read") {
        serveRead(state, request, std::move(respond));
    } else if (path.starts_with("/v1/objects/")) {
        serveObject(state, request, std::move(respond));
    } else if (path == "/v1/hosts") {
        serveHosts(state, request, std::move(respond));
    } else {
        respond(errorResponse({ResultCode::UnknownPath, "no such path", path}), Delivery::Whole);
    }
}

HttpResponse setOutage(PlatformState &state, const json &body)
{
    const std::map<std::string, Outage> modes{
        {"close", Outage::Close}, {"hang", Outage::Hang}, {"error", Outage::Error}};
    const auto mode = modes.find(body.value("mode", "close"));
    if (mode == modes.end()) {
        return errorResponse(
            {ResultCode::MalformedRequest, "mode must be close, hang or error", "mode"});
    }
    state.outage = body.at("on").get<bool>() ? mode->second : Outage::Off;
    if (state.outage != Outage::Hang) {
        for (const FaultyResponder &respond : std::exchange(state.hangingResponders, {})) {
            respond({}, Delivery::Dropped);
        }
    }
    return jsonResponse("{}");
}

HttpResponse setRateLimits(PlatformState &state, const json &body)
{
    state.writeLimiter.perSecond = body.value("writes_per_second", state.writeLimiter.perSecond);
    state.readLimiter.perSecond = body.value("reads_per_second", state.readLimiter.perSecond);
    return jsonResponse("{}");
}

HttpResponse setBlockedClients(PlatformState &state, const json &body)
{
    state.blockedClients = body.at("clients").get<std::set<std::string>>();
    return jsonResponse("{}");
}

HttpResponse setLostAnswers(PlatformState &state, const json &body)
{
    state.answersToLose = body.at("count").get<std::uint32_t>();
    state.lostAnswerPrefix = body.value("prefix", "");
    return jsonResponse("{}");
}

/// Sets the condition of a host from {"host","condition"}: live, leaving or gone. Clients see the
/// change after hostListLag.
HttpResponse setCondition(PlatformState &state, const json &body)
{
    const auto name = body.at("host").get<std::string>();
    const auto condition = body.at("condition").get<std::string>();
    auto hosts = state.hostLists.empty() ? std::vector<HostRecord>{} : state.hostLists.back().hosts;
    const auto it = std::find_if(hosts.begin(), hosts.end(),
                                 [&](const HostRecord &host) { return host.host.value == name; });
    if (it == hosts.end()) {
        return errorResponse({ResultCode::UnknownHost, "no such host", name});
    }
    if (condition == "gone") {
        hosts.erase(it);
    } else {
        it->condition = condition == "leaving" ? HostCondition::Leaving : HostCondition::Live;
    }
    state.hostLists.push_back({steady_clock::now(), std::move(hosts)});
    return jsonResponse("{}");
}

/// Replaces the host list; the change is visible immediately.
HttpResponse setHosts(PlatformState &state, const HttpRequest &request)
{
    auto hosts = decodeHosts(request.body);
    if (!hosts) {
        return errorResponse(hosts.error());
    }
    state.hostLists = {{TimePoint{}, std::move(*hosts)}};
    return jsonResponse("{}");
}

/// Opens a listening socket for the client {"name"} if it has none, and returns its endpoint.
HttpResponse openClientListener(PlatformState &state, const json &body)
{
    const auto name = body.at("name").get<std::string>();
    std::unique_ptr<FaultyServer> &listener = state.clientListeners[name];
    if (!listener) {
        auto server = std::make_unique<FaultyServer>(
            state.loop, FaultyServerOptions{.listen = {"127.0.0.1", 0}},
            [&state, name](const HttpRequest &request, const std::string &address,
                           FaultyResponder respond) {
                serve(state, request, name, address, std::move(respond));
            });
        const auto started = server->start();
        if (!started) {
            return errorResponse(started.error());
        }
        listener = std::move(server);
    }
    return jsonResponse(json{{"endpoint", toString(listener->endpoint())}}.dump());
}

HttpResponse dumpCounters(PlatformState &state)
{
    json counters = state.counters;
    counters["write_units"] = state.writeLimiter.used;
    counters["read_units"] = state.readLimiter.used;
    counters["delayed_writes"] = state.writeLimiter.delayed;
    counters["delayed_reads"] = state.readLimiter.delayed;
    return jsonResponse(counters.dump());
}

/// Returns all rows whose key starts with the query's prefix; values are base64.
HttpResponse dumpRows(PlatformState &state, const HttpRequest &request)
{
    const std::string prefix = queryValue(request.target, "prefix");
    std::vector<Row> rows;
    for (const auto &[key, row] : state.table.rows) {
        if (key.starts_with(prefix)) {
            rows.push_back(row);
        }
    }
    return jsonResponse(encodeRows(rows));
}

/// Returns the recorded writes in commit order; values are base64.
HttpResponse dumpHistory(PlatformState &state, const HttpRequest &request)
{
    const std::string prefix = queryValue(request.target, "prefix");
    json writes = json::array();
    for (const RecordedWrite &write : state.history) {
        if (write.row.key.starts_with(prefix)) {
            writes.push_back({{"at_us", monotonicMicroseconds(write.at)},
                              {"client", write.client},
                              {"key", write.row.key},
                              {"value", encodeBase64(write.row.value)},
                              {"version", write.row.version}});
        }
    }
    return jsonResponse(json{{"writes", writes}}.dump());
}

void addControlRoutes(PlatformState &state, ControlRoutes &routes)
{
    const auto addJsonRoute = [&](const std::string &path,
                                  HttpResponse (*handler)(PlatformState &, const json &)) {
        routes.add("POST", path, [&state, handler](const HttpRequest &request) {
            const json body = json::parse(request.body);
            const std::lock_guard lock(state.mutex);
            return handler(state, body);
        });
    };
    const auto addRoute = [&](const std::string &method, const std::string &path,
                              HttpResponse (*handler)(PlatformState &, const HttpRequest &)) {
        routes.add(method, path, [&state, handler](const HttpRequest &request) {
            const std::lock_guard lock(state.mutex);
            return handler(state, request);
        });
    };
    addJsonRoute("/control/outage", &setOutage);
    addJsonRoute("/control/slow", [](PlatformState &p, const json &body) {
        p.addedLatency = milliseconds(body.at("ms").get<std::int64_t>());
        return jsonResponse("{}");
    });
    addJsonRoute("/control/lag", [](PlatformState &p, const json &body) {
        p.hostListLag = milliseconds(body.at("ms").get<std::int64_t>());
        return jsonResponse("{}");
    });
    addJsonRoute("/control/budget", &setRateLimits);
    addJsonRoute("/control/cut", &setBlockedClients);
    addJsonRoute("/control/lose_answers", &setLostAnswers);
    addJsonRoute("/control/condition", &setCondition);
    addJsonRoute("/control/door", &openClientListener);
    addRoute("POST", "/control/hosts", &setHosts);
    addRoute("GET", "/control/rows", &dumpRows);
    addRoute("GET", "/control/history", &dumpHistory);
    addRoute("GET", "/control/counters",
             [](PlatformState &p, const HttpRequest &) { return dumpCounters(p); });
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parseCommandLine(argc, argv);
    if (!options) {
        std::cerr << options.error().message << '\n';
        return 2;
    }
    EventLoop loop({.threads = options->threads});
    PlatformState state(loop);
    if (!options->deployment.empty()) {
        const auto deployment = readDeployment(options->deployment);
        if (!deployment) {
            std::cerr << deployment.error().message << '\n';
            return 1;
        }
        state.hostLists.push_back({TimePoint{}, deployment->hosts});
    }
    ControlRoutes routes;
    addControlRoutes(state, routes);
    const int status = serveUntilSignal(
        loop, options->listen,
        [&](const HttpRequest &request, const std::string &address, FaultyResponder respond) {
            if (request.target.starts_with("/control/")) {
                respond(routes.handle(request), Delivery::Whole);
            } else {
                serve(state, request, "", address, std::move(respond));
            }
        });
    // Handlers on the loop's threads refer to the state, so the loop stops first.
    loop.stop();
    return status;
}
