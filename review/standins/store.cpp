#include "store.h"

#include "http/httprouter.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <stdexcept>

namespace acaciadeal::review {

using nlohmann::json;

namespace {

/// Time that a part needs for a transaction, and time of the store for an answer.
constexpr Duration transactionTime = milliseconds(6);
constexpr Duration answerTime = milliseconds(4);
constexpr Duration feedPollPeriod = milliseconds(10);
constexpr std::size_t maxRowsPerRead = 500;
/// Largest value of a row: `max_row_bytes` of the site.
constexpr std::size_t maxRowBytes = 65536;

std::string toBase64(const std::string &bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::uint64_t parseNumber(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

Store::Store(EventLoop &loop, Record &record)
    : m_loop(loop)
    , m_record(record)
{
}

Endpoint Store::addCaller()
{
    const std::size_t caller = m_servers.size();
    m_servers.push_back(std::make_unique<HttpServer>(
        m_loop, HttpServerOptions{.listen = {"127.0.0.1", 0}},
        [this, caller](const HttpRequest &request, const HttpResponder &respond) {
            serve(caller, request, respond);
        }));
    if (auto started = m_servers.back()->start(); !started) {
        throw std::runtime_error(started.error().message);
    }
    return m_servers.back()->endpoint();
}

void Store::put(const std::string &table, const std::string &key, const json &value)
{
    ++m_version;
    write(table, "", key, toBase64(value.dump()));
}

std::optional<std::size_t> Store::lastConditionalWriter(const std::string &table) const
{
    const auto it = m_lastConditionalWriter.find(table);
    return it == m_lastConditionalWriter.end() ? std::nullopt : std::optional(it->second);
}

void Store::setLateWrites(std::function<std::optional<Duration>(const json &)> lateness)
{
    m_lateness = std::move(lateness);
}

std::optional<std::int64_t> Store::lateWriteMs() const
{
    return m_lateWriteMs;
}

void Store::serve(std::size_t caller, const HttpRequest &request, const HttpResponder &respond)
{
    const Reply reply = [this, respond](const HttpResponse &response) {
        m_loop.postAfter(answerTime, [respond, response] { respond(response); });
    };
    const std::string path = pathOf(request.target);
    if (path == "/acaciadeal/rows-tx") {
        scheduleTransaction(caller, json::parse(request.body), reply);
    } else if (path == "/acaciadeal/rows-get") {
        reply(read(request.target));
    } else if (path == "/acaciadeal/rows-feed") {
        const auto wait = milliseconds(parseNumber(queryValue(request.target, "wait_ms")));
        feed(request.target, std::chrono::steady_clock::now() + wait, reply);
    } else {
        reply({.status = 404});
    }
}

void Store::scheduleTransaction(std::size_t caller, const json &call, const Reply &reply)
{
    if (const auto lateness = m_lateness ? m_lateness(call) : std::nullopt) {
        m_record.add("the store leaves a write without an answer and executes it late");
        // The connection stays open and delivers nothing further.
        m_unanswered.push_back(reply);
        m_loop.postAfter(*lateness, [this, caller, call] {
            m_lateWriteMs = m_record.nowMs();
            m_record.add("the store executes the late write: HTTP status "
                         + std::to_string(commit(caller, call).status));
        });
        return;
    }
    std::string part;
    for (const char *const list : {"writes", "remove"}) {
        for (const json &row : call.at(list)) {
            part = row.at("part").get<std::string>();
        }
    }
    const TimePoint now = std::chrono::steady_clock::now();
    TimePoint &freeAt = m_partFreeAt[part];
    freeAt = std::max(freeAt, now) + transactionTime;
    m_loop.postAfter(freeAt - now, [this, caller, call, reply] { reply(commit(caller, call)); });
}

HttpResponse Store::commit(std::size_t caller, const json &call)
{
    for (const json &row : call.at("writes")) {
        const std::size_t bytes = row.at("value").get_ref<const std::string &>().size() / 4 * 3;
        if (bytes > maxRowBytes + 2) {
            m_record.add("the store rejects a write of " + std::to_string(bytes)
                         + " bytes to a row of the table " + row.at("table").get<std::string>());
            return answer({{"reason", "size"}}, 400);
        }
    }
    json currentRows = json::array();
    bool checksHold = true;
    for (const json &check : call.at("expected_revision")) {
        const Table &rows = m_tables[check.at("table")];
        const auto it = rows.find({check.at("part"), check.at("key")});
        json row = {
            {"table", check.at("table")}, {"part", check.at("part")}, {"key", check.at("key")}};
        row["row_version"] = it == rows.end() ? 0 : it->second.version;
        if (it != rows.end()) {
            row["value"] = it->second.value;
        }
        checksHold = checksHold && row.at("row_version") == check.at("row_version");
        currentRows.push_back(std::move(row));
    }
    if (!checksHold) {
        return answer({{"rows", currentRows}}, 412);
    }
    ++m_version;
    for (const json &row : call.at("writes")) {
        write(row.at("table"), row.at("part"), row.at("key"), row.at("value"));
        if (!call.at("expected_revision").empty()) {
            m_lastConditionalWriter[row.at("table")] = caller;
        }
    }
    for (const json &row : call.at("remove")) {
        remove(row.at("table"), row.at("part"), row.at("key"));
    }
    return answer(json::object());
}

void Store::write(const std::string &table, const std::string &part, const std::string &key,
                  const std::string &value)
{
    m_tables[table][{part, key}] = {.value = value, .version = m_version};
    m_changes.push_back(
        {.version = m_version, .table = table, .part = part, .key = key, .value = value});
}

void Store::remove(const std::string &table, const std::string &part, const std::string &key)
{
    if (m_tables[table].erase({part, key}) > 0) {
        m_changes.push_back(
            {.version = m_version, .table = table, .part = part, .key = key, .deleted = true});
    }
}

HttpResponse Store::read(const std::string &target)
{
    const std::string table = queryValue(target, "table");
    const std::string part = queryValue(target, "part");
    const std::string from = queryValue(target, "from");
    const std::string to = queryValue(target, "target");
    const std::uint64_t limit = parseNumber(queryValue(target, "limit"));
    const std::size_t pageSize =
        limit == 0 ? maxRowsPerRead : std::min<std::size_t>(limit, maxRowsPerRead);
    json rows = json::array();
    bool hasMore = false;
    const Table &stored = m_tables[table];
    for (auto it = stored.lower_bound({part, from});
         it != stored.end() && it->first.first == part && (to.empty() || it->first.second < to);
         ++it) {
        if (rows.size() >= pageSize) {
            hasMore = true;
            break;
        }
        rows.push_back({{"table", table},
                        {"part", part},
                        {"key", it->first.second},
                        {"value", it->second.value},
                        {"row_version", it->second.version}});
    }
    return answer({{"rows", rows}, {"has_more", hasMore}});
}

void Store::feed(const std::string &target, TimePoint until, const Reply &reply)
{
    const std::string table = queryValue(target, "table");
    const std::uint64_t after = parseNumber(queryValue(target, "after"));
    json rows = json::array();
    for (const Change &change : m_changes) {
        if (change.version <= after || change.table != table) {
            continue;
        }
        json row = {{"table", table},
                    {"part", change.part},
                    {"key", change.key},
                    {"row_version", change.version}};
        if (change.deleted) {
            row["deleted"] = true;
        } else {
            row["value"] = change.value;
        }
        rows.push_back(std::move(row));
    }
    if (!rows.empty() || std::chrono::steady_clock::now() >= until) {
        reply(answer({{"rows", rows}}));
        return;
    }
    m_loop.postAfter(feedPollPeriod, [this, target, until, reply] { feed(target, until, reply); });
}

HttpResponse Store::answer(json body, unsigned status) const
{
    body["row_version"] = m_version;
    const auto uptime = std::chrono::steady_clock::now().time_since_epoch();
    body["current_time_ms"] = std::chrono::duration_cast<milliseconds>(uptime).count();
    HttpResponse response = jsonResponse(body.dump());
    response.status = status;
    return response;
}

} // namespace acaciadeal::review
