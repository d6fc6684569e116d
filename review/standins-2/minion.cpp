#include "minion.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr milliseconds tickPeriod{5};
constexpr std::size_t maxEndsPerAnswer = 500;
/// Tail latency that lasting tasks report, in ms.
constexpr int reportedTail = 20;
/// Time after which a lasting task is at work.
constexpr milliseconds startupTime{300};

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

Minion::Minion(Record &record, const MinionOptions &options)
    : m_record(record)
    , m_options(options)
    , m_clockBase(now() - options.clockAtStart)
    , m_bornMs(unixMs() - options.clockAtStart.count())
{
    m_server.emplace(ServerOptions{.onAccept =
                                       [this] {
                                           const std::lock_guard lock(m_mutex);
                                           // What comes while the power is off belongs to no life.
                                           return m_power ? m_life : 0;
                                       },
                                   .handler =
                                       [this](const Request &request, std::uint64_t life) {
                                           return serve(request, life);
                                       }});
    std::thread([this] {
        for (;;) {
            std::this_thread::sleep_for(tickPeriod);
            tick();
        }
    }).detach();
}

const MinionOptions &Minion::options() const
{
    return m_options;
}

std::string Minion::name() const
{
    return m_options.id + " (life " + std::to_string(m_life) + ")";
}

std::int64_t Minion::clockMs() const
{
    return std::chrono::duration_cast<milliseconds>(now() - m_clockBase).count();
}

json Minion::entry()
{
    const std::lock_guard lock(m_mutex);
    return {
        {"service", m_options.service},
        {"address", "127.0.0.1:" + std::to_string(m_server->port())},
        {"zone", m_options.zone},
        {"version", "1"},
        {"slots", 8},
        {"state", "ready"},
        {"sequence", ++m_sequence},
        {"cold_remaining_ms", 0},
        {"born", m_bornMs},
        {"labels", {"a", "r1-1"}},
        {"capacity", {{"cpu", m_options.milliCores}, {"requested_memory_mb", m_options.memoryMb}}}};
}

bool Minion::hasPower()
{
    const std::lock_guard lock(m_mutex);
    return m_power;
}

std::optional<TimePoint> Minion::powerlessSince()
{
    const std::lock_guard lock(m_mutex);
    return m_power ? std::nullopt : std::optional(m_powerLostAt);
}

void Minion::losePower()
{
    m_server->setUnreachable(true);
    const std::lock_guard lock(m_mutex);
    m_record.note(name() + " loses power");
    m_power = false;
    m_powerLostAt = now();
    for (const auto &[task, run] : std::exchange(m_active, {})) {
        m_record.onEnd(name(), task, run.run, "power");
    }
    m_changed.notify_all();
}

void Minion::restart()
{
    {
        const std::lock_guard lock(m_mutex);
        m_power = true;
        ++m_life;
        m_clockBase = now();
        m_bornMs = unixMs();
        m_fencingToken = 0;
        m_leaseEndMs = 0;
        m_highestEnded.clear();
        m_ends.clear();
        m_endCount = 0;
        m_sequence = 0;
        m_record.note(name() + " starts under the id that it had, born "
                      + std::to_string(m_bornMs));
        m_changed.notify_all();
    }
    m_server->setUnreachable(false);
}

void Minion::setCut(bool cut)
{
    m_server->setUnreachable(cut);
    const std::lock_guard lock(m_mutex);
    m_cut = cut;
    m_record.note(name() + (cut ? " is cut off" : " is reachable again") + ", its lease ends in "
                  + std::to_string(m_leaseEndMs - clockMs()) + " ms");
    m_changed.notify_all();
}

Response Minion::answer(json body, int status)
{
    body["clock_ms"] = clockMs();
    return {.status = status, .body = body.dump()};
}

Response Minion::conflict(const std::string &reason)
{
    return answer({{"reason", reason}}, 409);
}

Reply Minion::serve(const Request &request, std::uint64_t life)
{
    std::unique_lock lock(m_mutex);
    if (!m_power || m_cut) {
        return {.fate = Fate::Silence};
    }
    // An earlier life's connection, of which the present one knows nothing.
    if (life != m_life) {
        return {.fate = Fate::Reset};
    }
    const auto instance = request.headers.find("x-acaciadeal-expected-instance");
    if (instance != request.headers.end() && instance->second != m_options.id) {
        return {.response = answer(json::object(), 421)};
    }
    const json call = json::parse(request.body);
    const std::uint64_t token = call.value("fencing_token", std::uint64_t{0});
    if (token < m_fencingToken) {
        return {.response = conflict("fence")};
    }
    m_fencingToken = token;
    if (request.target == "/acaciadeal/hold") {
        return hold(call, life, lock);
    }
    if (request.target == "/acaciadeal/run-start") {
        return {.response = start(call)};
    }
    if (request.target == "/acaciadeal/run-stop") {
        return {.response = stop(call)};
    }
    return {.response = answer(json::object())};
}

void Minion::extendLease(const json &call)
{
    if (!call.contains("deadline_ms")) {
        return;
    }
    const auto deadline = call.at("deadline_ms").get<std::int64_t>();
    const std::int64_t longest = clockMs() + m_options.maxHold.count();
    if (deadline > longest) {
        m_record.note(name() + " shortens a lease until " + std::to_string(deadline) + " to "
                      + std::to_string(longest) + " on its clock");
    }
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(deadline, longest));
}

Reply Minion::hold(const json &call, std::uint64_t life, std::unique_lock<std::mutex> &lock)
{
    const std::uint64_t lastSeen = call.at("last_seen");
    std::erase_if(m_ends, [&](const End &end) {
        if (end.number <= lastSeen && !end.lapsedSince) {
            m_record.onNoted(end.task, end.run, end.how);
        }
        return end.number <= lastSeen;
    });
    extendLease(call);
    const TimePoint until = now() + milliseconds(call.value("wait_ms", 0));
    m_changed.wait_until(lock, until,
                         [&] { return !m_ends.empty() || life != m_life || !m_power; });
    if (life != m_life || !m_power || m_cut) {
        return {.fate = Fate::Silence};
    }
    json active = json::array();
    for (const auto &[task, run] : m_active) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now() - run.startedAt);
        const std::int64_t percent = run.lasting ? (elapsed >= startupTime ? 100 : 0)
                                                 : 100 * elapsed.count() / run.work.count();
        active.push_back({task, run.run, "", std::min<std::int64_t>(percent, 100), reportedTail});
    }
    json finished = json::array();
    for (const End &end : m_ends) {
        if (finished.size() < maxEndsPerAnswer) {
            finished.push_back({end.number, end.task, end.run, end.how, ""});
        }
    }
    return {.response = answer({{"active", std::move(active)},
                                {"finished", std::move(finished)},
                                {"born", m_bornMs}})};
}

Response Minion::start(const json &call)
{
    const std::string task = call.at("task");
    const std::uint64_t run = call.at("run");
    const auto it = m_active.find(task);
    if (it != m_active.end() && it->second.run == run) {
        return answer(json::object());
    }
    const auto ended = m_highestEnded.find(task);
    if (it != m_active.end() || (ended != m_highestEnded.end() && run <= ended->second)) {
        extendLease(call);
        return conflict("old");
    }
    if (call.at("deadline_ms").get<std::int64_t>() <= clockMs()) {
        return conflict("late");
    }
    extendLease(call);
    const json spec = json::parse(call.at("spec").get<std::string>());
    m_active[task] = {.run = run,
                      .startedAt = now(),
                      .work = milliseconds(spec.value("work_ms", 1)),
                      .lasting = spec.value("lasting", false)};
    m_record.onStart(name(), task, run);
    return answer(json::object());
}

Response Minion::stop(const json &call)
{
    const std::string task = call.at("task");
    const std::uint64_t run = call.at("run");
    const auto it = m_active.find(task);
    if (it == m_active.end() || it->second.run != run) {
        std::uint64_t &highest = m_highestEnded[task];
        highest = std::max(highest, run);
        return answer(json::object());
    }
    std::thread([this, task, run, life = m_life] {
        std::this_thread::sleep_for(m_options.stopTime);
        const std::lock_guard lock(m_mutex);
        const auto active = m_active.find(task);
        if (life == m_life && active != m_active.end() && active->second.run == run) {
            endRun(task, "stopped");
        }
    }).detach();
    return answer(json::object());
}

void Minion::endRun(const std::string &task, const std::string &how)
{
    const std::uint64_t run = m_active.at(task).run;
    m_active.erase(task);
    std::uint64_t &highest = m_highestEnded[task];
    highest = std::max(highest, run);
    m_ends.push_back({.number = ++m_endCount, .task = task, .run = run, .how = how});
    m_record.onEnd(name(), task, run, how);
    m_changed.notify_all();
}

void Minion::tick()
{
    const std::lock_guard lock(m_mutex);
    if (!m_power) {
        return;
    }
    const bool lapsed = clockMs() > m_leaseEndMs;
    for (End &end : m_ends) {
        end.lapsedSince = end.lapsedSince || lapsed;
    }
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto &[task, run] : m_active) {
        if (lapsed) {
            ended.emplace_back(task, "lapsed");
        } else if (!run.lasting && now() - run.startedAt >= run.work) {
            ended.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : ended) {
        endRun(task, how);
    }
}

} // namespace review
