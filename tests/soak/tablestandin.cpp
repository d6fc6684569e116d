#include "soak/tablestandin.h"

#include "http/httprouter.h"
#include "runtime/eventloop.h"

#include <boost/beast/core/detail/base64.hpp>
#include <stdexcept>

namespace acaciadeal::soak {

using nlohmann::json;
using standins::Delivery;

namespace {

constexpr Duration feedPollPeriod = milliseconds(10);
/// A delayed write is committed after 1 to 4 s.
constexpr int minWriteDelayMs = 1000;
constexpr int writeDelaySpreadMs = 3000;
constexpr std::size_t maxRowsPerRead = 500;

std::string toBase64(const std::string &bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string fromBase64(const std::string &text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

std::uint64_t parseNumber(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

TableStandin::TableStandin(EventLoop &loop, std::mt19937_64 &random)
    : m_loop(loop)
    , m_random(random)
{
}

Endpoint TableStandin::addCaller()
{
    const std::size_t caller = m_servers.size();
    m_faults.emplace_back();
    m_servers.push_back(std::make_unique<standins::FaultyServer>(
        m_loop, standins::FaultyServerOptions{.listen = {"127.0.0.1", 0}},
        [this, caller](const HttpRequest &request, const std::string &,
                       const standins::FaultyResponder &respond) {
            serve(caller, request, respond);
        }));
    if (auto started = m_servers.back()->start(); !started) {
        throw std::runtime_error(started.error().message);
    }
    return m_servers.back()->endpoint();
}

void TableStandin::setFault(std::size_t caller, const StoreFault &fault)
{
    m_faults[caller] = fault;
}

void TableStandin::put(const std::string &table, const std::string &key, const json &value)
{
    m_tables[table][key] = {.value = toBase64(value.dump()), .version = ++m_version};
    m_changes.push_back({.version = m_version, .table = table, .key = key});
}

void TableStandin::erase(const std::string &table, const std::string &key)
{
    if (m_tables[table].erase(key) > 0) {
        m_changes.push_back({.version = ++m_version, .table = table, .key = key, .deleted = true});
    }
}

std::string TableStandin::holder() const
{
    const auto table = m_tables.find("owner");
    if (table == m_tables.end() || !table->second.contains("main")) {
        return {};
    }
    return json::parse(fromBase64(table->second.at("main").value)).value("daemon", "");
}

void TableStandin::dropHistory()
{
    m_changes.clear();
    m_oldestFeedVersion = m_version;
}

HttpResponse TableStandin::answer(json body, unsigned status) const
{
    body["row_version"] = m_version;
    HttpResponse response = jsonResponse(body.dump());
    response.status = status;
    return response;
}

json TableStandin::rowJson(const std::string &table, const std::string &key) const
{
    json row = {{"table", table}, {"key", key}};
    const Table &rows = m_tables.at(table);
    const auto it = rows.find(key);
    if (it == rows.end()) {
        row["deleted"] = true;
        row["row_version"] = 0;
    } else {
        row["part"] = it->second.part;
        row["value"] = it->second.value;
        row["row_version"] = it->second.version;
    }
    return row;
}

void TableStandin::serve(std::size_t caller, const HttpRequest &request,
                         const standins::FaultyResponder &respond)
{
    const StoreFault fault = m_faults[caller];
    const auto reply = [this, respond, delay = fault.delay](HttpResponse response) {
        m_loop.postAfter(delay, [respond, response = std::move(response)] {
            respond(response, Delivery::Whole);
        });
    };
    if (fault.refusalStatus != 0) {
        reply({.status = fault.refusalStatus});
        return;
    }
    const std::string path = pathOf(request.target);
    if (path == "/acaciadeal/rows-tx") {
        const json call = json::parse(request.body);
        const double draw = std::uniform_real_distribution<>()(m_random);
        if (draw < fault.delayedWriteShare) {
            const int ms = minWriteDelayMs + static_cast<int>(m_random() % writeDelaySpreadMs);
            m_loop.postAfter(milliseconds(ms), [this, call] { commit(call); });
            respond({}, Delivery::Dropped);
            return;
        }
        HttpResponse response = commit(call);
        if (draw < fault.delayedWriteShare + fault.lostAnswerShare) {
            respond({}, Delivery::Dropped);
            return;
        }
        reply(std::move(response));
    } else if (path == "/acaciadeal/rows-get") {
        reply(read(request.target));
    } else if (path == "/acaciadeal/rows-feed") {
        const auto wait = milliseconds(parseNumber(queryValue(request.target, "wait_ms")));
        feed(request.target, std::chrono::steady_clock::now() + wait, reply);
    } else {
        respond({.status = 404}, Delivery::Whole);
    }
}

HttpResponse TableStandin::commit(const json &call)
{
    json currentRows = json::array();
    bool checksHold = true;
    for (const json &check : call.at("expected_revision")) {
        const std::string table = check.at("table");
        const std::string key = check.at("key");
        const auto it = m_tables[table].find(key);
        const std::uint64_t version = it == m_tables[table].end() ? 0 : it->second.version;
        checksHold = checksHold && version == check.at("row_version").get<std::uint64_t>();
        currentRows.push_back(rowJson(table, key));
    }
    if (!checksHold) {
        return answer({{"rows", currentRows}}, 412);
    }
    ++m_version;
    for (const json &write : call.at("writes")) {
        const std::string table = write.at("table");
        const std::string key = write.at("key");
        m_tables[table][key] = {
            .part = write.at("part"), .value = write.at("value"), .version = m_version};
        m_changes.push_back({.version = m_version, .table = table, .key = key});
    }
    for (const json &removed : call.at("remove")) {
        const std::string table = removed.at("table");
        const std::string key = removed.at("key");
        m_tables[table].erase(key);
        m_changes.push_back({.version = m_version, .table = table, .key = key, .deleted = true});
    }
    return answer(json::object());
}

HttpResponse TableStandin::read(const std::string &target)
{
    const std::string table = queryValue(target, "table");
    const std::string from = queryValue(target, "from");
    const std::string to = queryValue(target, "target");
    json rows = json::array();
    bool hasMore = false;
    const Table &stored = m_tables[table];
    for (auto it = stored.lower_bound(from); it != stored.end() && (to.empty() || it->first < to);
         ++it) {
        if (rows.size() >= maxRowsPerRead) {
            hasMore = true;
            break;
        }
        rows.push_back(rowJson(table, it->first));
    }
    return answer({{"rows", rows}, {"has_more", hasMore}});
}

void TableStandin::feed(const std::string &target, TimePoint until,
                        const std::function<void(HttpResponse)> &respond)
{
    const std::string table = queryValue(target, "table");
    const std::uint64_t after = parseNumber(queryValue(target, "after"));
    if (after < m_oldestFeedVersion) {
        respond(answer(json::object(), 410));
        return;
    }
    json rows = json::array();
    for (const Change &change : m_changes) {
        if (change.version > after && change.table == table) {
            json row = rowJson(table, change.key);
            row["row_version"] = change.version;
            rows.push_back(std::move(row));
        }
    }
    if (!rows.empty() || std::chrono::steady_clock::now() >= until) {
        respond(answer({{"rows", rows}}));
        return;
    }
    m_loop.postAfter(feedPollPeriod,
                     [this, target, until, respond] { feed(target, until, respond); });
}

} // namespace acaciadeal::soak
