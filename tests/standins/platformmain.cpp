#include "base/hash.h"
#include "http/httprouter.h"
#include "runtime/eventloop.h"
#include "standins/budget.h"
#include "standins/controlroutes.h"
#include "standins/deployment.h"
#include "standins/faultyserver.h"
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

/// Change of the host list, visible after the lag; the first one is always visible.
struct HostListVersion
{
    TimePoint since;
    std::vector<HostRecord> hosts;
};

/// Write of a row that the failure tests check later.
struct RecordedWrite
{
    TimePoint at;
    std::string client;
    Row row;
};

/// Rows whose whole history is kept; the log's rows are too many.
constexpr std::array recordedPrefixes{"domain/", "owner/", "settings/", "request/", "job/"};

struct Program
{
    explicit Program(EventLoop &eventLoop)
        : loop(eventLoop)
    {
    }

    EventLoop &loop;
    std::mutex mutex;
    MemoryTable table;
    std::map<std::string, std::string> objects;
    std::deque<HostListVersion> hostLists;
    Duration hostListLag{0};
    Budget writes{.perSecond = 400};
    Budget reads{.perSecond = 2000};
    Outage outage = Outage::Off;
    milliseconds slow{0};
    std::uint32_t loseAnswers = 0;
    std::string losePrefix;
    /// Client names and addresses whose requests are dropped.
    std::set<std::string> cut;
    std::vector<FaultyResponder> hanging;
    std::vector<RecordedWrite> history;
    std::map<std::string, std::uint64_t> counters;
    /// Further listening sockets, each for one named client.
    std::map<std::string, std::unique_ptr<FaultyServer>> doors;
};

/// Effect of a request; runs under the mutex after all waiting.
using Effect = std::function<std::pair<HttpResponse, Delivery>(Program &)>;

void runLater(Program &program, Duration wait, Effect effect, FaultyResponder respond)
{
    const auto run = [&program, effect = std::move(effect), respond = std::move(respond)] {
        std::pair<HttpResponse, Delivery> answer;
        {
            const std::lock_guard lock(program.mutex);
            answer = effect(program);
        }
        respond(std::move(answer.first), answer.second);
    };
    if (wait > Duration(0)) {
        program.loop.postAfter(wait, run);
    } else {
        run();
    }
}

bool touches(const Transaction &transaction, const std::string &prefix)
{
    return std::any_of(transaction.puts.begin(), transaction.puts.end(),
                       [&](const RowPut &put) { return put.key.starts_with(prefix); });
}

std::pair<HttpResponse, Delivery> commitNow(Program &program, const Transaction &transaction,
                                            const std::string &client)
{
    const auto versions = commit(program.table, transaction);
    ++program.counters[versions ? "commits" : "failed_checks"];
    if (!versions) {
        HttpResponse response = errorResponse(versions.error());
        response.status = 409;
        response.headers["x-failed-key"] = versions.error().where;
        return {std::move(response), Delivery::Whole};
    }
    program.counters["rows_written"] += transaction.puts.size() + transaction.deletes.size();
    for (const RowPut &put : transaction.puts) {
        ++program.counters["puts/" + put.key.substr(0, put.key.find('/'))];
        if (std::any_of(recordedPrefixes.begin(), recordedPrefixes.end(),
                        [&](const char *prefix) { return put.key.starts_with(prefix); })) {
            program.history.push_back({.at = steady_clock::now(),
                                       .client = client,
                                       .row = {put.key, put.value, versions->at(put.key)}});
        }
    }
    Delivery delivery = Delivery::Whole;
    if (program.loseAnswers > 0 && touches(transaction, program.losePrefix)) {
        --program.loseAnswers;
        ++program.counters["lost_answers"];
        delivery = Delivery::Dropped;
    }
    return {jsonResponse(encodeVersions(*versions)), delivery};
}

/// Writes count one unit for each row; checks count as reads.
void serveCommit(Program &program, const HttpRequest &request, const std::string &client,
                 FaultyResponder respond)
{
    auto transaction = decodeTransaction(request.body);
    if (!transaction) {
        respond(errorResponse(transaction.error()), Delivery::Whole);
        return;
    }
    Duration wait(0);
    {
        const std::lock_guard lock(program.mutex);
        const auto now = steady_clock::now();
        const auto rows = transaction->puts.size() + transaction->deletes.size();
        const Duration forReads =
            take(program.reads, static_cast<std::int64_t>(transaction->checks.size()), now);
        wait = std::max(forReads, take(program.writes, static_cast<std::int64_t>(rows), now))
               + program.slow;
    }
    runLater(
        program, wait,
        [transaction = std::move(*transaction), client](Program &p) {
            return commitNow(p, transaction, client);
        },
        std::move(respond));
}

/// A read counts one unit for each row, and at least one.
void serveRead(Program &program, const HttpRequest &request, FaultyResponder respond)
{
    const auto query = decodeQuery(request.body);
    if (!query) {
        respond(errorResponse(query.error()), Delivery::Whole);
        return;
    }
    Duration wait(0);
    {
        const std::lock_guard lock(program.mutex);
        const auto rows = std::max<std::size_t>(1, read(program.table, *query).size());
        program.counters["rows_read"] += rows;
        ++program.counters["reads"];
        wait = take(program.reads, static_cast<std::int64_t>(rows), steady_clock::now())
               + program.slow;
    }
    runLater(
        program, wait,
        [query = *query](Program &p) {
            return std::pair{jsonResponse(encodeRows(read(p.table, query))), Delivery::Whole};
        },
        std::move(respond));
}

void serveObject(Program &program, const HttpRequest &request, FaultyResponder respond)
{
    const std::string name = pathOf(request.target).substr(std::string("/v1/objects/").size());
    const bool isPut = request.method == "PUT";
    Duration wait(0);
    {
        const std::lock_guard lock(program.mutex);
        wait = take(isPut ? program.writes : program.reads, 1, steady_clock::now()) + program.slow;
        ++program.counters[isPut ? "object_puts" : "object_gets"];
    }
    runLater(
        program, wait,
        [name, isPut, body = request.body](Program &p) -> std::pair<HttpResponse, Delivery> {
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

std::vector<HostRecord> visibleHosts(const Program &program, TimePoint now)
{
    std::vector<HostRecord> hosts;
    bool isFirst = true;
    for (const HostListVersion &version : program.hostLists) {
        if (isFirst || version.since + program.hostListLag <= now) {
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

void serveHosts(Program &program, const HttpRequest &request, FaultyResponder respond)
{
    Duration wait(0);
    {
        const std::lock_guard lock(program.mutex);
        wait = program.slow;
        ++program.counters["host_lists"];
    }
    runLater(
        program, wait,
        [known = headerOf(request, "if-none-match")](Program &p) {
            HttpResponse response = jsonResponse(encodeHosts(visibleHosts(p, steady_clock::now())));
            const std::string tag = "\"" + std::to_string(stableHash(response.body)) + "\"";
            if (known == tag) {
                response = {.status = 304};
            }
            response.headers["etag"] = tag;
            return std::pair{response, Delivery::Whole};
        },
        std::move(respond));
}

/// Returns whether the request was dropped, refused or held because of an outage or a cut.
bool isBlocked(Program &program, const std::string &client, const std::string &address,
               const FaultyResponder &respond)
{
    const std::lock_guard lock(program.mutex);
    if (program.cut.contains(client) || program.cut.contains(address)
        || program.outage == Outage::Close) {
        ++program.counters["dropped_requests"];
        respond({}, Delivery::Dropped);
        return true;
    }
    if (program.outage == Outage::Hang) {
        ++program.counters["held_requests"];
        program.hanging.push_back(respond);
        return true;
    }
    if (program.outage == Outage::Error) {
        ++program.counters["refused_requests"];
        respond({.status = 503, .headers = {}, .body = "outage"}, Delivery::Whole);
        return true;
    }
    return false;
}

/// Serves the platform interface to @p client, the name of a door, or empty on the main port.
void serve(Program &program, const HttpRequest &request, const std::string &client,
           const std::string &address, FaultyResponder respond)
{
    if (isBlocked(program, client, address, respond)) {
        return;
    }
    const std::string path = pathOf(request.target);
    if (path == "/v1/table/commit") {
        serveCommit(program, request, client, std::move(respond));
    } else if (path == "/v1/table/read") {
        serveRead(program, request, std::move(respond));
    } else if (path.starts_with("/v1/objects/")) {
        serveObject(program, request, std::move(respond));
    } else if (path == "/v1/hosts") {
        serveHosts(program, request, std::move(respond));
    } else {
        respond(errorResponse({ResultCode::UnknownPath, "no such path", path}), Delivery::Whole);
    }
}

HttpResponse setOutage(Program &program, const json &body)
{
    const std::map<std::string, Outage> modes{
        {"close", Outage::Close}, {"hang", Outage::Hang}, {"error", Outage::Error}};
    const auto mode = modes.find(body.value("mode", "close"));
    if (mode == modes.end()) {
        return errorResponse(
            {ResultCode::MalformedRequest, "mode is close, hang or error", "mode"});
    }
    program.outage = body.at("on").get<bool>() ? mode->second : Outage::Off;
    if (program.outage != Outage::Hang) {
        for (const FaultyResponder &respond : std::exchange(program.hanging, {})) {
            respond({}, Delivery::Dropped);
        }
    }
    return jsonResponse("{}");
}

HttpResponse setBudget(Program &program, const json &body)
{
    program.writes.perSecond = body.value("writes_per_second", program.writes.perSecond);
    program.reads.perSecond = body.value("reads_per_second", program.reads.perSecond);
    return jsonResponse("{}");
}

HttpResponse setCut(Program &program, const json &body)
{
    program.cut = body.at("clients").get<std::set<std::string>>();
    return jsonResponse("{}");
}

HttpResponse setLostAnswers(Program &program, const json &body)
{
    program.loseAnswers = body.at("count").get<std::uint32_t>();
    program.losePrefix = body.value("prefix", "");
    return jsonResponse("{}");
}

/// {"host","condition"}: live, leaving or gone. Becomes visible after the lag.
HttpResponse setCondition(Program &program, const json &body)
{
    const auto name = body.at("host").get<std::string>();
    const auto condition = body.at("condition").get<std::string>();
    auto hosts =
        program.hostLists.empty() ? std::vector<HostRecord>{} : program.hostLists.back().hosts;
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
    program.hostLists.push_back({steady_clock::now(), std::move(hosts)});
    return jsonResponse("{}");
}

/// Replaces the host list at once, without the lag.
HttpResponse setHosts(Program &program, const HttpRequest &request)
{
    auto hosts = decodeHosts(request.body);
    if (!hosts) {
        return errorResponse(hosts.error());
    }
    program.hostLists = {{TimePoint{}, std::move(*hosts)}};
    return jsonResponse("{}");
}

/// Opens a listening socket for the client {"name"} and returns its endpoint.
HttpResponse openDoor(Program &program, const json &body)
{
    const auto name = body.at("name").get<std::string>();
    std::unique_ptr<FaultyServer> &door = program.doors[name];
    if (!door) {
        auto server = std::make_unique<FaultyServer>(
            program.loop, FaultyServerOptions{.listen = {"127.0.0.1", 0}},
            [&program, name](const HttpRequest &request, const std::string &address,
                             FaultyResponder respond) {
                serve(program, request, name, address, std::move(respond));
            });
        const auto started = server->start();
        if (!started) {
            return errorResponse(started.error());
        }
        door = std::move(server);
    }
    return jsonResponse(json{{"endpoint", toString(door->endpoint())}}.dump());
}

HttpResponse dumpCounters(Program &program)
{
    json counters = program.counters;
    counters["write_units"] = program.writes.used;
    counters["read_units"] = program.reads.used;
    counters["delayed_writes"] = program.writes.delayed;
    counters["delayed_reads"] = program.reads.delayed;
    return jsonResponse(counters.dump());
}

/// All rows whose key starts with the query's prefix; values are base64.
HttpResponse dumpRows(Program &program, const HttpRequest &request)
{
    const std::string prefix = queryValue(request.target, "prefix");
    std::vector<Row> rows;
    for (const auto &[key, row] : program.table.rows) {
        if (key.starts_with(prefix)) {
            rows.push_back(row);
        }
    }
    return jsonResponse(encodeRows(rows));
}

/// Recorded writes in the order in which they took effect; values are base64.
HttpResponse dumpHistory(Program &program, const HttpRequest &request)
{
    const std::string prefix = queryValue(request.target, "prefix");
    json writes = json::array();
    for (const RecordedWrite &write : program.history) {
        if (write.row.key.starts_with(prefix)) {
            writes.push_back({{"at_us", clockMicroseconds(write.at)},
                              {"client", write.client},
                              {"key", write.row.key},
                              {"value", encodeBase64(write.row.value)},
                              {"version", write.row.version}});
        }
    }
    return jsonResponse(json{{"writes", writes}}.dump());
}

void addControlRoutes(Program &program, ControlRoutes &routes)
{
    const auto addJson = [&](const std::string &path,
                             HttpResponse (*handler)(Program &, const json &)) {
        routes.add("POST", path, [&program, handler](const HttpRequest &request) {
            const json body = json::parse(request.body);
            const std::lock_guard lock(program.mutex);
            return handler(program, body);
        });
    };
    const auto addPlain = [&](const std::string &method, const std::string &path,
                              HttpResponse (*handler)(Program &, const HttpRequest &)) {
        routes.add(method, path, [&program, handler](const HttpRequest &request) {
            const std::lock_guard lock(program.mutex);
            return handler(program, request);
        });
    };
    addJson("/control/outage", &setOutage);
    addJson("/control/slow", [](Program &p, const json &body) {
        p.slow = milliseconds(body.at("ms").get<std::int64_t>());
        return jsonResponse("{}");
    });
    addJson("/control/lag", [](Program &p, const json &body) {
        p.hostListLag = milliseconds(body.at("ms").get<std::int64_t>());
        return jsonResponse("{}");
    });
    addJson("/control/budget", &setBudget);
    addJson("/control/cut", &setCut);
    addJson("/control/lose_answers", &setLostAnswers);
    addJson("/control/condition", &setCondition);
    addJson("/control/door", &openDoor);
    addPlain("POST", "/control/hosts", &setHosts);
    addPlain("GET", "/control/rows", &dumpRows);
    addPlain("GET", "/control/history", &dumpHistory);
    addPlain("GET", "/control/counters",
             [](Program &p, const HttpRequest &) { return dumpCounters(p); });
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
    Program program(loop);
    if (!options->deployment.empty()) {
        const auto deployment = readDeployment(options->deployment);
        if (!deployment) {
            std::cerr << deployment.error().message << '\n';
            return 1;
        }
        program.hostLists.push_back({TimePoint{}, deployment->hosts});
    }
    ControlRoutes routes;
    addControlRoutes(program, routes);
    const int status = serveUntilSignal(
        loop, options->listen,
        [&](const HttpRequest &request, const std::string &address, FaultyResponder respond) {
            if (request.target.starts_with("/control/")) {
                respond(routes.handle(request), Delivery::Whole);
            } else {
                serve(program, request, "", address, std::move(respond));
            }
        });
    // Handlers on the loop's threads refer to the program's state.
    loop.stop();
    return status;
}
