#include "minion.h"

#include "http/httprouter.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace acaciadeal::review {

using nlohmann::json;

namespace {

constexpr Duration tickPeriod = milliseconds(10);
/// Longest lease that a server grants: `max_hold_ms` of the site.
constexpr std::int64_t maxLeaseMs = 10000;
/// Number of ends in one answer.
constexpr std::size_t maxEndsPerAnswer = 500;
/// Number of connections that a server accepts, from all callers together.
constexpr std::size_t maxConnections = 64;
/// Reading of a server's clock at its start.
constexpr std::int64_t initialClockMs = 1000;

} // namespace

Minion::Minion(EventLoop &loop, Record &record, std::vector<RunRecord> &runs, SizeOf sizeOf,
               MinionOptions options)
    : m_loop(loop)
    , m_record(record)
    , m_runs(runs)
    , m_sizeOf(std::move(sizeOf))
    , m_options(std::move(options))
    , m_server(std::make_unique<standins::FaultyServer>(
          loop,
          standins::FaultyServerOptions{.listen = {"127.0.0.1", 0},
                                        .maxConnections = maxConnections},
          [this](const HttpRequest &request, const std::string &,
                 const standins::FaultyResponder &respond) {
              serve(request, [respond](HttpResponse response) {
                  respond(std::move(response), standins::Delivery::Whole);
              });
          }))
    , m_bornAt(std::chrono::steady_clock::now())
    , m_bornMs(std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count())
{
    if (auto started = m_server->start(); !started) {
        throw std::runtime_error(started.error().message);
    }
    tick();
}

const std::string &Minion::id() const
{
    return m_options.id;
}

json Minion::entry() const
{
    return {
        {"service", "report-svc"},
        {"address", toString(m_server->endpoint())},
        {"zone", m_options.zone},
        {"version", "1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"sequence", 1},
        {"born", m_bornMs},
        {"labels", {"a", "r1-1"}},
        {"capacity", {{"cpu", m_options.milliCores}, {"requested_memory_mb", m_options.memoryMb}}}};
}

int Minion::usedMilliCores() const
{
    int used = 0;
    for (const auto &[task, run] : m_active) {
        used += run.size.milliCores;
    }
    return used;
}

std::size_t Minion::refusedConnections() const
{
    return m_server->refusedConnections();
}

std::int64_t Minion::clockMs() const
{
    const Duration uptime = std::chrono::steady_clock::now() - m_bornAt;
    return initialClockMs + std::chrono::duration_cast<milliseconds>(uptime).count();
}

HttpResponse Minion::answer(json body, unsigned status) const
{
    body["clock_ms"] = clockMs();
    body["born"] = m_bornMs;
    HttpResponse response = jsonResponse(body.dump());
    response.status = status;
    return response;
}

void Minion::serve(const HttpRequest &request, const Reply &reply)
{
    const auto instance = request.headers.find("x-acaciadeal-expected-instance");
    if (instance != request.headers.end() && instance->second != m_options.id) {
        reply({.status = 421});
        return;
    }
    const std::string path = pathOf(request.target);
    const json call = json::parse(request.body);
    const std::uint64_t token = call.value("fencing_token", std::uint64_t{0});
    if (token < m_fencingToken) {
        reply(answer({{"reason", "fence"}}, 409));
        return;
    }
    m_fencingToken = token;
    if (path == "/acaciadeal/hold") {
        const auto wait = milliseconds(call.value("wait_ms", 0));
        const std::uint64_t lastSeen = call.at("last_seen");
        for (const End &ended : m_ends) {
            RunRecord &run = m_runs[ended.record];
            if (ended.number <= lastSeen && !run.lapsedAfterEnd) {
                run.notedMs = m_record.nowMs();
            }
        }
        std::erase_if(m_ends, [lastSeen](const End &ended) { return ended.number <= lastSeen; });
        extendLease(call);
        hold(call, std::chrono::steady_clock::now() + wait, reply);
    } else if (path == "/acaciadeal/run-start") {
        reply(start(call));
    } else if (path == "/acaciadeal/run-stop") {
        reply(stop(call));
    } else {
        reply(answer(json::object()));
    }
}

/// Answers as soon as an end is listed, at the latest at @p until.
void Minion::hold(const json &call, TimePoint until, const Reply &reply)
{
    if (m_ends.empty() && std::chrono::steady_clock::now() < until) {
        m_loop.postAfter(tickPeriod, [this, call, until, reply] { hold(call, until, reply); });
        return;
    }
    json active = json::array();
    for (const auto &[task, run] : m_active) {
        active.push_back({task, run.run, "", 50, run.size.milliCores});
    }
    json finished = json::array();
    for (const End &ended : m_ends) {
        if (finished.size() < maxEndsPerAnswer) {
            finished.push_back({ended.number, ended.task, ended.run, ended.outcome, ""});
        }
    }
    if (m_ends.size() > maxEndsPerAnswer) {
        m_record.add(m_options.id + " returns " + std::to_string(finished.size()) + " of "
                     + std::to_string(m_ends.size()) + " ends, and " + std::to_string(active.size())
                     + " active runs");
    }
    reply(answer({{"active", active}, {"finished", finished}}));
}

void Minion::extendLease(const json &call)
{
    if (call.contains("deadline_ms")) {
        const std::int64_t wanted = call.at("deadline_ms");
        m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(wanted, clockMs() + maxLeaseMs));
    }
}

HttpResponse Minion::start(const json &call)
{
    const std::string task = call.at("task");
    const std::uint64_t run = call.at("run");
    const auto active = m_active.find(task);
    if (active != m_active.end() && active->second.run == run) {
        return answer(json::object());
    }
    const auto ended = m_highestEnded.find(task);
    if (active != m_active.end() || (ended != m_highestEnded.end() && run <= ended->second)) {
        extendLease(call);
        return answer({{"reason", "old"}}, 409);
    }
    if (call.at("deadline_ms").get<std::int64_t>() <= clockMs()) {
        return answer({{"reason", "late"}}, 409);
    }
    extendLease(call);
    const TaskSize size = m_sizeOf(task);
    m_active[task] = {.run = run,
                      .record = m_runs.size(),
                      .size = size,
                      .endsAt = std::chrono::steady_clock::now() + size.runTime};
    m_runs.push_back(
        {.task = task, .run = run, .server = m_options.id, .startedMs = m_record.nowMs()});
    m_record.add(m_options.id + " starts " + task + " run " + std::to_string(run) + "; "
                 + std::to_string(usedMilliCores()) + " of " + std::to_string(m_options.milliCores)
                 + " thousandths of a core in use");
    return answer(json::object());
}

HttpResponse Minion::stop(const json &call)
{
    const std::string task = call.at("task");
    const std::uint64_t run = call.at("run");
    const auto active = m_active.find(task);
    if (active != m_active.end() && active->second.run == run) {
        end(task, "stopped");
    } else {
        std::uint64_t &highest = m_highestEnded[task];
        highest = std::max(highest, run);
    }
    return answer(json::object());
}

void Minion::end(const std::string &task, const std::string &outcome)
{
    const auto it = m_active.find(task);
    const Run run = it->second;
    m_active.erase(it);
    std::uint64_t &highest = m_highestEnded[task];
    highest = std::max(highest, run.run);
    m_ends.push_back({.number = ++m_lastNumber,
                      .task = task,
                      .run = run.run,
                      .outcome = outcome,
                      .record = run.record});
    m_runs[run.record].endedMs = m_record.nowMs();
    m_runs[run.record].outcome = outcome;
    m_record.add(m_options.id + " ends " + task + " run " + std::to_string(run.run) + ": "
                 + outcome);
}

void Minion::tick()
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool lapsed = clockMs() > m_leaseUntilMs;
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto &[task, run] : m_active) {
        if (lapsed) {
            ended.emplace_back(task, "lapsed");
        } else if (now >= run.endsAt) {
            ended.emplace_back(task, run.size.fails ? "failed" : "done");
        }
    }
    for (const End &earlier : m_ends) {
        m_runs[earlier.record].lapsedAfterEnd = m_runs[earlier.record].lapsedAfterEnd || lapsed;
    }
    for (const auto &[task, outcome] : ended) {
        end(task, outcome);
    }
    m_loop.postAfter(tickPeriod, [this] { tick(); });
}

} // namespace acaciadeal::review
