#include "store/codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal {

using nlohmann::json;

namespace {

constexpr std::string_view base64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::array<std::int8_t, 256> base64DecodeTable()
{
    std::array<std::int8_t, 256> index{};
    index.fill(-1);
    for (std::size_t n = 0; n < base64Alphabet.size(); ++n) {
        index[static_cast<unsigned char>(base64Alphabet[n])] = static_cast<std::int8_t>(n);
    }
    return index;
}

/// Runs @p decode on the parsed text and converts JSON exceptions to PlatformProtocol errors.
template<typename T, typename Decode>
Result<T> decodeJson(const std::string &text, Decode decode)
{
    try {
        return decode(json::parse(text));
    } catch (const json::exception &e) {
        return failure(ResultCode::PlatformProtocol, e.what(), "platform");
    }
}

std::string decodeBase64Field(const json &value)
{
    auto bytes = decodeBase64(value.get<std::string>());
    if (!bytes) {
        throw json::other_error::create(501, bytes.error().message, &value);
    }
    return std::move(*bytes);
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - n);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (k < count ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= count ? base64Alphabet[group >> (18 - 6 * k) & 0x3f] : '=';
        }
    }
    return text;
}

Result<std::string> decodeBase64(std::string_view text)
{
    static constexpr auto index = base64DecodeTable();
    if (text.size() % 4 != 0) {
        return failure(ResultCode::PlatformProtocol, "base64 length is not a multiple of four");
    }
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    std::size_t padding = 0;
    std::uint32_t group = 0;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const auto value = index[static_cast<unsigned char>(text[n])];
        const bool isPadding = text[n] == '=' && n + 2 >= text.size();
        if ((value < 0 && !isPadding) || (padding > 0 && !isPadding)) {
            return failure(ResultCode::PlatformProtocol, "invalid base64 character");
        }
        padding += isPadding ? 1 : 0;
        group = group << 6 | static_cast<std::uint32_t>(isPadding ? 0 : value);
        if (n % 4 == 3) {
            for (std::size_t k = 0; k < 3 - padding; ++k) {
                bytes += static_cast<char>(group >> (16 - 8 * k) & 0xff);
            }
            group = 0;
        }
    }
    return bytes;
}

std::string encodeTransaction(const Transaction &transaction)
{
    json checks = json::array();
    for (const RowCheck &check : transaction.checks) {
        checks.push_back({{"key", check.key}, {"version", check.version}});
    }
    json puts = json::array();
    for (const RowPut &put : transaction.puts) {
        puts.push_back({{"key", put.key}, {"value", encodeBase64(put.value)}});
    }
    return json{{"checks", checks}, {"puts", puts}, {"deletes", transaction.deletes}}.dump();
}

Result<Transaction> decodeTransaction(const std::string &text)
{
    return decodeJson<Transaction>(text, [](const json &document) {
        Transaction transaction;
        for (const json &check : document.at("checks")) {
            transaction.checks.push_back(
                {check.at("key").get<std::string>(), check.at("version").get<std::uint64_t>()});
        }
        for (const json &put : document.at("puts")) {
            transaction.puts.push_back(
                {put.at("key").get<std::string>(), decodeBase64Field(put.at("value"))});
        }
        transaction.deletes = document.at("deletes").get<std::vector<std::string>>();
        return transaction;
    });
}

std::string encodeVersions(const CommitVersions &versions)
{
    return json{{"versions", versions}}.dump();
}

Result<CommitVersions> decodeVersions(const std::string &text)
{
    return decodeJson<CommitVersions>(
        text, [](const json &document) { return document.at("versions").get<CommitVersions>(); });
}

std::string encodeQuery(const RowQuery &query)
{
    return json{{"keys", query.keys},
                {"prefix", query.prefix},
                {"after", query.after},
                {"limit", query.limit}}
        .dump();
}

Result<RowQuery> decodeQuery(const std::string &text)
{
    return decodeJson<RowQuery>(text, [](const json &document) {
        return RowQuery{.keys = document.at("keys").get<std::vector<std::string>>(),
                        .prefix = document.at("prefix").get<std::string>(),
                        .after = document.at("after").get<std::string>(),
                        .limit = document.at("limit").get<std::size_t>()};
    });
}

std::string encodeRows(const std::vector<Row> &rows)
{
    json list = json::array();
    for (const Row &row : rows) {
        list.push_back(
            {{"key", row.key}, {"value", encodeBase64(row.value)}, {"version", row.version}});
    }
    return json{{"rows", list}}.dump();
}

Result<std::vector<Row>> decodeRows(const std::string &text)
{
    return decodeJson<std::vector<Row>>(text, [](const json &document) {
        std::vector<Row> rows;
        for (const json &row : document.at("rows")) {
            rows.push_back({row.at("key").get<std::string>(), decodeBase64Field(row.at("value")),
                            row.at("version").get<std::uint64_t>()});
        }
        return rows;
    });
}

std::string encodeHosts(const std::vector<HostRecord> &hosts)
{
    json list = json::array();
    for (const HostRecord &host : hosts) {
        list.push_back({{"host", host.host.value},
                        {"failure_domain", host.failureDomain.value},
                        {"rack", host.rack.value},
                        {"endpoint", toString(host.endpoint)},
                        {"condition", host.condition == HostCondition::Live ? "live" : "leaving"},
                        {"milli_cores", host.capacity.milliCores},
                        {"memory_mib", host.capacity.memoryMiB},
                        {"accelerators", host.capacity.accelerators},
                        {"service", host.service.value},
                        {"slots", host.slots},
                        {"connections", host.connections}});
    }
    return json{{"hosts", list}}.dump();
}

Result<std::vector<HostRecord>> decodeHosts(const std::string &text)
{
    return decodeJson<std::vector<HostRecord>>(text, [](const json &document) {
        std::vector<HostRecord> hosts;
        for (const json &item : document.at("hosts")) {
            HostRecord host;
            host.host = {item.at("host").get<std::string>()};
            host.failureDomain = {item.at("failure_domain").get<std::string>()};
            host.rack = {item.at("rack").get<std::string>()};
            host.endpoint =
                parseEndpoint(item.at("endpoint").get<std::string>()).value_or(Endpoint{});
            host.condition = item.at("condition").get<std::string>() == "leaving"
                                 ? HostCondition::Leaving
                                 : HostCondition::Live;
            host.capacity = {.milliCores = item.at("milli_cores").get<std::int64_t>(),
                             .memoryMiB = item.at("memory_mib").get<std::int64_t>(),
                             .accelerators = item.at("accelerators").get<std::int64_t>()};
            host.service = {item.at("service").get<std::string>()};
            host.slots = item.at("slots").get<std::uint32_t>();
            host.connections = item.at("connections").get<std::uint32_t>();
            hosts.push_back(std::move(host));
        }
        return hosts;
    });
}

} // namespace acaciadeal
