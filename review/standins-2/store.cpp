#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr std::size_t maxRowsPerRead = 500;
constexpr milliseconds transactionTime{6};
constexpr milliseconds answerTime{4};
constexpr std::string_view base64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U
                    | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += n + k > bytes.size() ? '=' : base64Digits[group >> (18U - 6U * k) & 63U];
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char c : text) {
        const std::size_t digit = base64Digits.find(c);
        if (digit == std::string_view::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

Store::Store()
{
    m_server.emplace(ServerOptions{.handler = [this](const Request &request, std::uint64_t) {
        return serve(request);
    }});
}

std::uint16_t Store::port() const
{
    return m_server->port();
}

void Store::write(const Name &name, const std::string &value)
{
    m_rows[name] = {.value = value, .version = m_version};
    m_changes.push_back({.version = m_version, .name = name});
}

void Store::put(const std::string &table, const std::string &key, const json &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    write({.table = table, .key = key}, toBase64(value.dump()));
    m_changed.notify_all();
}

void Store::erase(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const Name name{.table = table, .key = key};
    if (m_rows.erase(name) > 0) {
        m_changes.push_back({.version = ++m_version, .name = name});
        m_changed.notify_all();
    }
}

std::string Store::value(const std::string &table, const std::string &part, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows.find({.table = table, .part = part, .key = key});
    return it == m_rows.end() ? std::string() : fromBase64(it->second.value);
}

Response Store::answer(json body, int status)
{
    body["row_version"] = m_version;
    body["current_time_ms"] = std::chrono::duration_cast<milliseconds>(
                                  std::chrono::steady_clock::now().time_since_epoch())
                                  .count();
    return {.status = status, .body = body.dump()};
}

json Store::rowJson(const Name &name)
{
    json row = {{"table", name.table}, {"part", name.part}, {"key", name.key}};
    const auto it = m_rows.find(name);
    if (it == m_rows.end()) {
        row["deleted"] = true;
        row["row_version"] = 0;
    } else {
        row["value"] = it->second.value;
        row["row_version"] = it->second.version;
    }
    return row;
}

Reply Store::serve(const Request &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/acaciadeal/rows-tx") {
        std::this_thread::sleep_for(transactionTime);
        return {.response = commit(json::parse(request.body))};
    }
    std::this_thread::sleep_for(answerTime);
    if (path == "/acaciadeal/rows-get") {
        return {.response = read(request.target)};
    }
    if (path == "/acaciadeal/rows-feed") {
        return {.response = feed(request.target)};
    }
    return {.response = {.status = 404}};
}

Response Store::commit(const json &call)
{
    const std::lock_guard lock(m_mutex);
    const auto nameOf = [](const json &row) {
        return Name{.table = row.at("table"), .part = row.at("part"), .key = row.at("key")};
    };
    json rows = json::array();
    bool holds = true;
    for (const json &check : call.at("expected_revision")) {
        const Name name = nameOf(check);
        const auto it = m_rows.find(name);
        const std::uint64_t version = it == m_rows.end() ? 0 : it->second.version;
        holds = holds && version == check.at("row_version").get<std::uint64_t>();
        rows.push_back(rowJson(name));
    }
    if (!holds) {
        return answer({{"rows", std::move(rows)}}, 412);
    }
    ++m_version;
    for (const json &row : call.at("writes")) {
        write(nameOf(row), row.at("value"));
    }
    for (const json &row : call.at("remove")) {
        const Name name = nameOf(row);
        m_rows.erase(name);
        m_changes.push_back({.version = m_version, .name = name});
    }
    m_changed.notify_all();
    return answer(json::object());
}

Response Store::read(const std::string &target)
{
    const std::lock_guard lock(m_mutex);
    const std::string table = queryValue(target, "table");
    const std::string part = queryValue(target, "part");
    const std::string to = queryValue(target, "target");
    json rows = json::array();
    bool hasMore = false;
    for (auto it = m_rows.lower_bound({table, part, queryValue(target, "from")});
         it != m_rows.end() && it->first.table == table && it->first.part == part
         && (to.empty() || it->first.key < to);
         ++it) {
        hasMore = rows.size() >= maxRowsPerRead;
        if (hasMore) {
            break;
        }
        rows.push_back(rowJson(it->first));
    }
    return answer({{"rows", std::move(rows)}, {"has_more", hasMore}});
}

Response Store::feed(const std::string &target)
{
    const std::string table = queryValue(target, "table");
    const std::uint64_t after = number(queryValue(target, "after"));
    const auto until =
        std::chrono::steady_clock::now() + milliseconds(number(queryValue(target, "wait_ms")));
    std::unique_lock lock(m_mutex);
    for (;;) {
        json rows = json::array();
        const auto first =
            std::upper_bound(m_changes.begin(), m_changes.end(), after,
                             [](std::uint64_t v, const Change &c) { return v < c.version; });
        std::for_each(first, m_changes.end(), [&](const Change &change) {
            if (change.name.table == table) {
                json row = rowJson(change.name);
                row["row_version"] = change.version;
                rows.push_back(std::move(row));
            }
        });
        if (!rows.empty() || std::chrono::steady_clock::now() >= until) {
            return answer({{"rows", std::move(rows)}});
        }
        m_changed.wait_until(lock, until);
    }
}

} // namespace review
