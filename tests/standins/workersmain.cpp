#include "embedded/worker.h"
#include "http/httprouter.h"
#include "runtime/eventloop.h"
#include "standins/controlroutes.h"
#include "standins/deployment.h"
#include "standins/faultyserver.h"
#include "standins/instance.h"
#include "standins/workerjson.h"
#include "store/codec.h"

#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

using namespace acaciadeal;
using namespace acaciadeal::embedded;
using namespace acaciadeal::standins;
using nlohmann::json;
using std::chrono::steady_clock;

namespace {

/// Simulated host of the deployment: a service instance if it has a service, otherwise a worker.
struct SimulatedHost
{
    HostRecord record;
    std::mutex mutex;
    Worker worker;
    Instance instance;
    bool frozen = false;
    /// Freezes the host when orders with a start arrive, so that a start stays in flight.
    bool freezesAtNextStart = false;
    /// Requests that arrived while the host was frozen; they are handled when it is unfrozen.
    std::vector<std::function<void()>> heldRequests;
    std::unique_ptr<FaultyServer> server;

    bool isWorker() const
    {
        return record.service.empty();
    }
};

struct WorkersState
{
    EventLoop &loop;
    std::deque<SimulatedHost> hosts;
};

void serveOrders(SimulatedHost &host, const HttpRequest &request, const FaultyResponder &respond)
{
    const auto orders = parseOrders(request.body);
    if (!orders) {
        respond(errorResponse(orders.error()), Delivery::Whole);
        return;
    }
    WorkerReport report;
    {
        const std::lock_guard lock(host.mutex);
        report = applyOrders(host.worker, *orders, steady_clock::now());
    }
    respond(jsonResponse(formatReport(report)), Delivery::Whole);
}

void serveExecute(EventLoop &loop, SimulatedHost &host, const HttpRequest &request,
                  FaultyResponder respond)
{
    Execution execution;
    {
        const std::lock_guard lock(host.mutex);
        execution = execute(host.instance, request, steady_clock::now());
    }
    if (!execution.executed) {
        respond(std::move(execution.response), Delivery::Whole);
        return;
    }
    loop.postAfter(execution.serviceTime, [&loop, &host, execution, respond = std::move(respond)] {
        {
            const std::lock_guard lock(host.mutex);
            releaseSlot(host.instance);
        }
        loop.postAfter(execution.answerDelay,
                       [execution, respond] { respond(execution.response, execution.delivery); });
    });
}

void serve(EventLoop &loop, SimulatedHost &host, const HttpRequest &request,
           FaultyResponder respond)
{
    const std::string path = pathOf(request.target);
    if (host.isWorker() && path == "/v1/control") {
        serveOrders(host, request, respond);
    } else if (!host.isWorker() && path == "/v1/execute") {
        serveExecute(loop, host, request, std::move(respond));
    } else {
        respond(errorResponse({ResultCode::UnknownPath, "no such path", path}), Delivery::Whole);
    }
}

bool containsStart(const HttpRequest &request)
{
    const auto orders = parseOrders(request.body);
    return orders && !orders->starts.empty();
}

void serveUnlessFrozen(EventLoop &loop, SimulatedHost &host, HttpRequest request,
                       FaultyResponder respond)
{
    {
        const std::lock_guard lock(host.mutex);
        if (host.freezesAtNextStart && containsStart(request)) {
            host.freezesAtNextStart = false;
            host.frozen = true;
        }
        if (host.frozen) {
            host.heldRequests.emplace_back(
                [&loop, &host, request = std::move(request), respond = std::move(respond)] {
                    serve(loop, host, request, respond);
                });
            return;
        }
    }
    serve(loop, host, request, std::move(respond));
}

void setFrozen(SimulatedHost &host, bool frozen)
{
    std::vector<std::function<void()>> heldRequests;
    {
        const std::lock_guard lock(host.mutex);
        host.frozen = frozen;
        if (!frozen) {
            heldRequests.swap(host.heldRequests);
        }
    }
    for (const auto &request : heldRequests) {
        request();
    }
}

/// Changes the faults of one host from the body of POST /control/host.
void applyFaults(SimulatedHost &host, const json &faultChange)
{
    if (faultChange.contains("frozen")) {
        setFrozen(host, faultChange.at("frozen").get<bool>());
    }
    const std::lock_guard lock(host.mutex);
    const auto now = steady_clock::now();
    if (faultChange.value("restart", false)) {
        restart(host.worker, now);
        // A restart loses the requests that were received and not handled.
        host.heldRequests.clear();
    }
    host.freezesAtNextStart = faultChange.value("freeze_at_start", host.freezesAtNextStart);
    const bool fails = faultChange.value("fail_everything", host.worker.failsEverything);
    host.worker.failsEverything = fails;
    host.worker.refusesStarts = faultChange.value("refuse_starts", host.worker.refusesStarts);
    InstanceFaults &faults = host.instance.faults;
    faults.failsEverything = fails;
    faults.serviceTime = milliseconds(faultChange.value("service_ms", faults.serviceTime.count()));
    faults.answerDelay =
        milliseconds(faultChange.value("answer_delay_ms", faults.answerDelay.count()));
    faults.truncateNext = faultChange.value("truncate_next", faults.truncateNext);
    faults.dropNext = faultChange.value("drop_next", faults.dropNext);
    setLeaving(host.instance, faultChange.value("leaving", faults.leaving), now);
}

/// POST /control/host: changes the faults of hosts. Body: {"hosts": [names; empty for all],
/// faults...}.
HttpResponse changeHosts(WorkersState &state, const HttpRequest &request)
{
    const json faultChange = json::parse(request.body);
    const auto names = faultChange.value("hosts", std::vector<std::string>{});
    std::set<std::string> missing(names.begin(), names.end());
    for (SimulatedHost &host : state.hosts) {
        if (names.empty() || missing.erase(host.record.host.value) > 0) {
            applyFaults(host, faultChange);
        }
    }
    if (!missing.empty()) {
        return errorResponse({ResultCode::UnknownHost, "no such host", *missing.begin()});
    }
    return jsonResponse("{}");
}

json toJson(const Resources &amounts)
{
    return {{"milli_cores", amounts.milliCores},
            {"memory_mib", amounts.memoryMiB},
            {"accelerators", amounts.accelerators}};
}

json toJson(const RunRecord &record, const FailureDomainId &domain)
{
    return {{"task", record.run.task.value},
            {"incarnation", record.run.incarnation},
            {"host", record.host.value},
            {"failure_domain", domain.value},
            {"shard", record.shard.value},
            {"boot_id", record.bootId},
            {"epoch", record.epoch},
            {"permit", record.permit},
            {"permit_age_ms", record.permitAge.count()},
            {"size", toJson(record.size)},
            {"resumed_from", record.resumedFrom},
            {"started_at_us", monotonicMicroseconds(record.startedAt)},
            {"ended_at_us", record.endedAt ? json(monotonicMicroseconds(*record.endedAt)) : json()},
            {"lease_end_us", monotonicMicroseconds(record.leaseEnd)},
            {"outcome", record.outcome},
            {"checkpoint", record.checkpoint}};
}

json toJson(const ExecutionRecord &record, const FailureDomainId &domain)
{
    return {{"request", record.requestId},
            {"host", record.host.value},
            {"failure_domain", domain.value},
            {"at_us", monotonicMicroseconds(record.at)},
            {"leaving", record.leaving},
            {"leaving_since_us", record.leaving ? monotonicMicroseconds(record.leavingSince) : 0},
            {"delivery", record.delivery == Delivery::Whole       ? "whole"
                         : record.delivery == Delivery::Truncated ? "truncated"
                                                                  : "dropped"}};
}

/// GET /control/records: returns all runs, executions and per-host counters.
HttpResponse dumpRecords(WorkersState &state, const HttpRequest &)
{
    json runs = json::array();
    json executions = json::array();
    json hosts = json::array();
    for (SimulatedHost &host : state.hosts) {
        const std::lock_guard lock(host.mutex);
        advance(host.worker, steady_clock::now());
        for (const RunRecord &record : host.worker.records) {
            runs.push_back(toJson(record, host.record.failureDomain));
        }
        for (const ExecutionRecord &record : host.instance.executions) {
            executions.push_back(toJson(record, host.record.failureDomain));
        }
        hosts.push_back({{"host", host.record.host.value},
                         {"failure_domain", host.record.failureDomain.value},
                         {"worker", host.isWorker()},
                         {"frozen", host.frozen},
                         {"held", host.heldRequests.size()},
                         {"boot_id", host.worker.bootId},
                         {"orders", host.worker.orders},
                         {"stale_orders", host.worker.staleOrders},
                         {"stale_permits", host.worker.stalePermits},
                         {"repeated_starts", host.worker.repeatedStarts},
                         {"running", host.worker.running.size()},
                         {"capacity", toJson(host.record.capacity)},
                         {"peak", toJson(host.worker.peak)},
                         {"active", host.instance.active},
                         {"peak_active", host.instance.peakActive},
                         {"refused", host.instance.refused},
                         {"refused_connections", host.server->refusedConnections()}});
    }
    return jsonResponse(json{
        {"now_us", monotonicMicroseconds(steady_clock::now())},
        {"runs", runs},
        {"executions", executions},
        {"hosts", hosts}}.dump());
}

/// GET /control/hosts: returns the host list in the platform's format, with the bound ports.
HttpResponse listHosts(WorkersState &state, const HttpRequest &)
{
    std::vector<HostRecord> hosts;
    for (const SimulatedHost &host : state.hosts) {
        hosts.push_back(host.record);
    }
    return jsonResponse(encodeHosts(hosts));
}

/// POST /control/clear: deletes the execution records, which grow without limit in long
/// measurements.
HttpResponse clearExecutions(WorkersState &state, const HttpRequest &)
{
    for (SimulatedHost &host : state.hosts) {
        const std::lock_guard lock(host.mutex);
        host.instance.executions.clear();
    }
    return jsonResponse("{}");
}

Result<void> startHosts(WorkersState &state, const Deployment &deployment)
{
    for (const HostRecord &record : deployment.hosts) {
        SimulatedHost &host = state.hosts.emplace_back();
        host.record = record;
        host.worker = makeWorker({.host = record.host, .capacity = record.capacity});
        host.instance.options = {.host = record.host,
                                 .failureDomain = record.failureDomain,
                                 .service = record.service,
                                 .slots = record.slots};
        host.server = std::make_unique<FaultyServer>(
            state.loop,
            FaultyServerOptions{.listen = record.endpoint, .maxConnections = record.connections},
            [&loop = state.loop, &host](HttpRequest request, const std::string &,
                                        FaultyResponder respond) {
                serveUnlessFrozen(loop, host, std::move(request), std::move(respond));
            });
        auto started = host.server->start();
        if (!started) {
            return started;
        }
        host.record.endpoint = host.server->endpoint();
    }
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parseCommandLine(argc, argv);
    if (!options) {
        std::cerr << options.error().message << '\n';
        return 2;
    }
    const auto deployment = readDeployment(options->deployment);
    if (!deployment) {
        std::cerr << deployment.error().message << '\n';
        return 1;
    }
    EventLoop loop({.threads = options->threads});
    WorkersState state{.loop = loop, .hosts = {}};
    const auto started = startHosts(state, *deployment);
    if (!started) {
        std::cerr << started.error().where << ": " << started.error().message << '\n';
        return 1;
    }
    ControlRoutes routes;
    routes.add("POST", "/control/host", [&](const auto &r) { return changeHosts(state, r); });
    routes.add("GET", "/control/records", [&](const auto &r) { return dumpRecords(state, r); });
    routes.add("GET", "/control/hosts", [&](const auto &r) { return listHosts(state, r); });
    routes.add("POST", "/control/clear", [&](const auto &r) { return clearExecutions(state, r); });
    const int status = serveUntilSignal(
        loop, options->listen,
        [&](const HttpRequest &request, const std::string &, const FaultyResponder &respond) {
            respond(routes.handle(request), Delivery::Whole);
        });
    // Handlers on the loop's threads refer to the hosts, so the loop stops first.
    loop.stop();
    return status;
}
