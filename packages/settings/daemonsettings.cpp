#include "settings/daemonsettings.h"

#include "settings/jsontext.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

namespace acaciadeal {
namespace {

using nlohmann::json;

constexpr std::int64_t maxPlatformTimeoutMs = 60'000;
constexpr std::int64_t maxTrafficThreads = 64;
constexpr double maxCoreShare = 1024;
constexpr double maxLinkMbps = 1e6;
/// A lease must last longer than the takeover of a shard.
constexpr std::int64_t minLeaseMs = 4000;
constexpr std::int64_t maxLeaseMs = 60'000;

/// Reads the fields of one JSON object and records the first error.
class ObjectReader
{
public:
    ObjectReader(const json &object, std::string path, Error &error)
        : m_object(object)
        , m_path(std::move(path))
        , m_error(error)
    {
        if (!object.is_object()) {
            recordError(ResultCode::WrongType, "expected an object", m_path);
        }
    }

    std::string text(const std::string &key, const std::string &defaultValue)
    {
        const json *value = find(key);
        return value == nullptr ? defaultValue : textOf(*value, key);
    }

    std::string requiredText(const std::string &key)
    {
        const json *value = findRequired(key);
        return value == nullptr ? std::string() : textOf(*value, key);
    }

    std::vector<std::string> textList(const std::string &key, const json *value)
    {
        std::vector<std::string> result;
        if (value == nullptr) {
            return result;
        }
        if (!value->is_array()) {
            recordError(ResultCode::WrongType, "expected a list of strings", pathOf(key));
            return result;
        }
        for (const json &element : *value) {
            result.push_back(textOf(element, key));
        }
        return result;
    }

    Endpoint endpoint(const std::string &key, const std::string &text)
    {
        if (auto parsed = parseEndpoint(text)) {
            return *parsed;
        }
        recordError(ResultCode::OutOfRange, "expected ADDRESS:PORT, not \"" + text + "\"",
                    pathOf(key));
        return {};
    }

    std::int64_t integer(const std::string &key, std::int64_t defaultValue, std::int64_t minimum,
                         std::int64_t maximum)
    {
        const json *value = find(key);
        if (value == nullptr) {
            return defaultValue;
        }
        if (!value->is_number_integer()) {
            recordError(ResultCode::WrongType, "expected an integer", pathOf(key));
            return defaultValue;
        }
        // A value above the int64_t range is read as negative and therefore fails the range check.
        const auto number = value->get<std::int64_t>();
        if (number < minimum || number > maximum) {
            recordError(ResultCode::OutOfRange,
                        "expected " + std::to_string(minimum) + " to " + std::to_string(maximum),
                        pathOf(key));
        }
        return number;
    }

    double number(const std::string &key, double defaultValue, double minimum, double maximum)
    {
        const json *value = find(key);
        if (value == nullptr) {
            return defaultValue;
        }
        if (!value->is_number()) {
            recordError(ResultCode::WrongType, "expected a number", pathOf(key));
            return defaultValue;
        }
        const auto number = value->get<double>();
        if (number < minimum || number > maximum) {
            recordError(ResultCode::OutOfRange,
                        "expected " + std::to_string(minimum) + " to " + std::to_string(maximum),
                        pathOf(key));
        }
        return number;
    }

    bool boolean(const std::string &key, bool defaultValue)
    {
        const json *value = find(key);
        if (value == nullptr) {
            return defaultValue;
        }
        if (!value->is_boolean()) {
            recordError(ResultCode::WrongType, "expected true or false", pathOf(key));
            return defaultValue;
        }
        return value->get<bool>();
    }

    const json *find(const std::string &key)
    {
        m_requestedKeys.insert(key);
        if (!m_object.is_object()) {
            return nullptr;
        }
        const auto it = m_object.find(key);
        return it == m_object.end() ? nullptr : &*it;
    }

    const json *findRequired(const std::string &key)
    {
        const json *value = find(key);
        if (value == nullptr) {
            recordError(ResultCode::MissingSetting, "the setting is required", pathOf(key));
        }
        return value;
    }

    /// Records an UnknownSetting error for a key that was never looked up. Precondition: all known
    /// keys were read.
    void rejectUnknownKeys()
    {
        if (!m_object.is_object()) {
            return;
        }
        for (const auto &[key, value] : m_object.items()) {
            if (!m_requestedKeys.contains(key)) {
                recordError(ResultCode::UnknownSetting, "no such setting", pathOf(key));
            }
        }
    }

    void recordError(ResultCode code, std::string message, std::string path)
    {
        if (m_error.code == ResultCode::Ok) {
            m_error = {code, std::move(message), std::move(path)};
        }
    }

    std::string pathOf(const std::string &key) const
    {
        return m_path + "/" + key;
    }

private:
    std::string textOf(const json &value, const std::string &key)
    {
        if (!value.is_string()) {
            recordError(ResultCode::WrongType, "expected a string", pathOf(key));
            return {};
        }
        auto text = value.get<std::string>();
        if (text.empty()) {
            recordError(ResultCode::OutOfRange, "the string must not be empty", pathOf(key));
        }
        return text;
    }

    const json &m_object;
    std::string m_path;
    Error &m_error;
    std::set<std::string> m_requestedKeys;
};

void readPlatform(ObjectReader &reader, DaemonSettings &settings, Error &error)
{
    const json *platform = reader.findRequired("platform");
    if (platform == nullptr) {
        return;
    }
    ObjectReader sectionReader(*platform, "/platform", error);
    settings.platformAdapter = sectionReader.text("adapter", settings.platformAdapter);
    const json *endpoint = settings.platformAdapter == "memory"
                               ? sectionReader.find("endpoint")
                               : sectionReader.findRequired("endpoint");
    if (endpoint != nullptr) {
        settings.platformEndpoint =
            sectionReader.endpoint("endpoint", sectionReader.requiredText("endpoint"));
    }
    const auto defaultMs =
        std::chrono::duration_cast<milliseconds>(settings.platformTimeout).count();
    settings.platformTimeout =
        milliseconds(sectionReader.integer("timeout_ms", defaultMs, 1, maxPlatformTimeoutMs));
    sectionReader.rejectUnknownKeys();
}

void readFleet(ObjectReader &reader, DaemonSettings &settings, Error &error)
{
    const json *fleet = reader.find("fleet");
    if (fleet == nullptr) {
        return;
    }
    ObjectReader sectionReader(*fleet, "/fleet", error);
    FleetSettings fleetSettings;
    fleetSettings.adapter = sectionReader.requiredText("adapter");
    fleetSettings.readyListen =
        sectionReader.endpoint("ready_listen", sectionReader.requiredText("ready_listen"));
    fleetSettings.maxLease = milliseconds(sectionReader.integer(
        "max_lease_ms", fleetSettings.maxLease.count(), minLeaseMs, maxLeaseMs));
    fleetSettings.coreShare = sectionReader.number("core_share", 0, 0, maxCoreShare);
    fleetSettings.linkMbps = sectionReader.number("link_mbps", 0, 0, maxLinkMbps);
    if (sectionReader.find("metrics_listen") != nullptr) {
        fleetSettings.metricsListen =
            sectionReader.endpoint("metrics_listen", sectionReader.requiredText("metrics_listen"));
    }
    sectionReader.rejectUnknownKeys();
    settings.fleet = std::move(fleetSettings);
}

void readTokens(ObjectReader &reader, DaemonSettings &settings, Error &error)
{
    const json *tokens = reader.find("tokens");
    if (tokens == nullptr) {
        return;
    }
    ObjectReader sectionReader(*tokens, "/tokens", error);
    if (!tokens->is_object()) {
        return;
    }
    for (const auto &[token, team] : tokens->items()) {
        if (token.empty()) {
            // An empty token would grant the team's permissions to callers that send no token.
            sectionReader.recordError(ResultCode::OutOfRange, "a token must not be empty",
                                      "/tokens");
        }
        settings.tokens[token] = TeamId{sectionReader.requiredText(token)};
    }
}

void checkCombinations(ObjectReader &reader, const DaemonSettings &settings)
{
    const auto &domains = settings.failureDomains;
    if (std::find(domains.begin(), domains.end(), settings.failureDomain) == domains.end()) {
        reader.recordError(ResultCode::IncompatibleSettings,
                           "failure_domains does not contain \"" + settings.failureDomain.value
                               + "\"",
                           "/failure_domain");
    }
    if (std::set(domains.begin(), domains.end()).size() != domains.size()) {
        reader.recordError(ResultCode::IncompatibleSettings, "a failure domain is listed twice",
                           "/failure_domains");
    }
    if (settings.embeddedWorker && settings.platformAdapter != "memory") {
        reader.recordError(ResultCode::IncompatibleSettings,
                           "the embedded worker needs the platform adapter \"memory\"",
                           "/embedded_worker");
    }
    // A deployment with a platform that names this adapter by mistake would keep its data only in
    // the memory of one process.
    if (settings.platformAdapter == "memory" && settings.platformEndpoint.port != 0) {
        reader.recordError(
            ResultCode::IncompatibleSettings,
            "the platform adapter \"memory\" cannot be combined with a platform endpoint",
            "/platform/endpoint");
    }
    if (settings.httpListen == settings.peerListen && settings.httpListen.port != 0) {
        reader.recordError(ResultCode::IncompatibleSettings,
                           "http_listen and peer_listen must be different addresses",
                           "/peer_listen");
    }
}

} // namespace

Result<DaemonSettings> parseDaemonSettings(const std::string &text)
{
    const auto normalized = normalizeJson(text);
    if (!normalized) {
        return tl::unexpected<Error>(normalized.error());
    }
    const json root = json::parse(*normalized);
    Error error;
    ObjectReader reader(root, "", error);
    DaemonSettings settings;
    settings.daemon = {reader.requiredText("daemon")};
    settings.deployment = reader.requiredText("deployment");
    settings.region = reader.requiredText("region");
    settings.failureDomain = {reader.requiredText("failure_domain")};
    for (auto &name : reader.textList("failure_domains", reader.findRequired("failure_domains"))) {
        settings.failureDomains.push_back({std::move(name)});
    }
    settings.httpListen = reader.endpoint("http_listen", reader.requiredText("http_listen"));
    settings.peerListen = reader.endpoint("peer_listen", reader.requiredText("peer_listen"));
    for (const auto &seed : reader.textList("seeds", reader.find("seeds"))) {
        settings.seeds.push_back(reader.endpoint("seeds", seed));
    }
    readPlatform(reader, settings, error);
    settings.embeddedWorker = reader.boolean("embedded_worker", settings.embeddedWorker);
    settings.trafficThreads = static_cast<int>(
        reader.integer("traffic_threads", settings.trafficThreads, 1, maxTrafficThreads));
    settings.routingPolicy = reader.text("routing_policy", settings.routingPolicy);
    settings.placementPolicy = reader.text("placement_policy", settings.placementPolicy);
    readTokens(reader, settings, error);
    readFleet(reader, settings, error);
    reader.rejectUnknownKeys();
    if (error.code == ResultCode::Ok) {
        checkCombinations(reader, settings);
    }
    if (error.code != ResultCode::Ok) {
        return tl::unexpected<Error>(error);
    }
    return settings;
}

Result<DaemonSettings> readDaemonSettings(const std::string &path)
{
    const std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        return failure(ResultCode::FileUnreadable, "cannot read the settings file", path);
    }
    return parseDaemonSettings(text.str());
}

} // namespace acaciadeal
