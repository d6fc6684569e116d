#include "settings/settingstree.h"

#include "settings/schema.h"
#include "settings/stablehash.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace acaciadeal {
namespace {

using nlohmann::json;

constexpr int formatVersion = 1;
constexpr std::string_view systemTeam = "system";
constexpr std::size_t maxRequestIdBytes = 128;

/// Constraint on effective values: factor * smaller <= larger.
struct OrderConstraint
{
    std::string_view smaller;
    double factor;
    std::string_view larger;
};

constexpr std::array constraints = {
    // A lease must not lapse because of one lost renewal.
    OrderConstraint{"/system/leases/renew_period_ms", 2, "/system/leases/lease_ms"},
    OrderConstraint{"/system/leases/lease_ms", 1, "/system/leases/outage_lease_ms"},
    OrderConstraint{"/system/leases/outage_lease_ms", 1, "/system/leases/autonomy_ms"},
};

std::uint64_t fingerprintOf(const std::string &path, const std::string &value, const TeamId &team)
{
    return stableHash({path, value, team.value});
}

const AcceptedWrite *findAccepted(const SettingsTree &tree, const RequestId &id)
{
    const auto it =
        std::find_if(tree.accepted.rbegin(), tree.accepted.rend(),
                     [&id](const AcceptedWrite &write) { return write.requestId == id; });
    return it == tree.accepted.rend() ? nullptr : &*it;
}

std::uint64_t pathVersionOf(const SettingsTree &tree, const std::string &path)
{
    const auto it = tree.values.find(path);
    return it == tree.values.end() ? 0 : it->second.pathVersion;
}

Result<void> checkEntryConstraints(const SettingsTree &tree, const SettingsEntry &entry)
{
    const bool isConstrained =
        std::any_of(constraints.begin(), constraints.end(), [&entry](const OrderConstraint &c) {
            return c.smaller == entry.path || c.larger == entry.path;
        });
    if (!isConstrained) {
        return {};
    }
    SettingsTree candidate = tree;
    candidate.values[entry.path].value = entry.value;
    return checkOrderConstraints(candidate);
}

/// Parses @p text, checks its format version and runs @p decode on the parsed value. Errors:
/// UnsupportedFormat; @p code if the text is not valid JSON or a field is missing or has the wrong
/// type.
template<typename T, typename Decode>
Result<T> decodeStored(const std::string &text, ResultCode code, Decode decode)
{
    try {
        const json value = json::parse(text);
        if (value.at("format").get<int>() != formatVersion) {
            return failure(ResultCode::UnsupportedFormat,
                           "unsupported format version of stored settings", "format");
        }
        return decode(value);
    } catch (const json::exception &e) {
        return failure(code, e.what(), "settings");
    }
}

} // namespace

Result<ApplyOutcome> applyEntry(SettingsTree &tree, const SettingsEntry &entry)
{
    if (entry.version <= tree.version) {
        return ApplyOutcome::Older;
    }
    if (entry.version != tree.version + 1) {
        return failure(ResultCode::MissingEntry,
                       "version " + std::to_string(entry.version) + " does not follow version "
                           + std::to_string(tree.version),
                       entry.path);
    }
    if (entry.pathVersion != pathVersionOf(tree, entry.path) + 1) {
        return failure(ResultCode::InvariantViolated,
                       "path version " + std::to_string(entry.pathVersion)
                           + " is not the next version of the path",
                       entry.path);
    }
    tree.version = entry.version;
    tree.values[entry.path] = {entry.value, entry.pathVersion, entry.version};
    if (!entry.requestId.empty()) {
        tree.accepted.push_back({entry.requestId, entry.version, entry.pathVersion,
                                 fingerprintOf(entry.path, entry.value, entry.team)});
        if (tree.accepted.size() > maxRememberedRequestIds) {
            tree.accepted.pop_front();
        }
    }
    return ApplyOutcome::Applied;
}

Result<PreparedWrite> prepareWrite(const SettingsTree &tree, const SettingsWrite &write)
{
    if (!mayWrite(write.team, write.path)) {
        return failure(ResultCode::PermissionDenied,
                       "team \"" + write.team.value + "\" does not own the path", write.path);
    }
    if (write.requestId.empty() || write.requestId.value.size() > maxRequestIdBytes) {
        return failure(ResultCode::MalformedRequest, "the request id must have 1 to 128 bytes",
                       "x-request-id");
    }
    auto value = checkSetting(write.path, write.value);
    if (!value) {
        return tl::unexpected<Error>(value.error());
    }
    SettingsEntry entry{.version = tree.version + 1,
                        .path = write.path,
                        .value = std::move(*value),
                        .pathVersion = write.expectedPathVersion + 1,
                        .team = write.team,
                        .requestId = write.requestId};
    if (const AcceptedWrite *earlierWrite = findAccepted(tree, write.requestId)) {
        if (earlierWrite->fingerprint != fingerprintOf(entry.path, entry.value, entry.team)) {
            return failure(ResultCode::RequestIdReused,
                           "the request id belongs to another settings change", write.path);
        }
        entry.version = earlierWrite->version;
        entry.pathVersion = earlierWrite->pathVersion;
        return PreparedWrite{std::move(entry), true};
    }
    const std::uint64_t currentPathVersion = pathVersionOf(tree, write.path);
    if (currentPathVersion != write.expectedPathVersion) {
        return failure(ResultCode::VersionConflict,
                       "the path has version " + std::to_string(currentPathVersion) + ", not "
                           + std::to_string(write.expectedPathVersion),
                       write.path);
    }
    if (auto checked = checkEntryConstraints(tree, entry); !checked) {
        return tl::unexpected<Error>(checked.error());
    }
    return PreparedWrite{std::move(entry), false};
}

Result<void> checkOrderConstraints(const SettingsTree &tree)
{
    for (const OrderConstraint &constraint : constraints) {
        const auto smaller = effectiveNumber(tree, std::string(constraint.smaller));
        const auto larger = effectiveNumber(tree, std::string(constraint.larger));
        if (smaller && larger && constraint.factor * *smaller > *larger) {
            return failure(ResultCode::IncompatibleSettings,
                           std::string(constraint.larger) + " must be at least "
                               + json(constraint.factor).dump() + " x "
                               + std::string(constraint.smaller),
                           std::string(constraint.smaller));
        }
    }
    return {};
}

bool mayWrite(const TeamId &team, const std::string &path)
{
    if (team.value == systemTeam) {
        return true;
    }
    return isPathSegment(team.value) && path.starts_with("/teams/" + team.value + "/");
}

Result<std::string> effectiveValue(const SettingsTree &tree, const std::string &path)
{
    const auto it = tree.values.find(path);
    if (it != tree.values.end() && !it->second.value.empty()) {
        return it->second.value;
    }
    if (const SettingSchema *schema = findSettingSchema(path)) {
        return std::string(schema->defaultValue);
    }
    return failure(ResultCode::UnknownSetting, "no such setting", path);
}

Result<double> effectiveNumber(const SettingsTree &tree, const std::string &path)
{
    const auto text = effectiveValue(tree, path);
    if (!text) {
        return tl::unexpected<Error>(text.error());
    }
    const json value = json::parse(*text, nullptr, false);
    if (!value.is_number()) {
        return failure(ResultCode::WrongType, "expected a number", path);
    }
    return value.get<double>();
}

Result<std::vector<std::string>> effectiveNames(const SettingsTree &tree, const std::string &path)
{
    const auto text = effectiveValue(tree, path);
    if (!text) {
        return tl::unexpected<Error>(text.error());
    }
    try {
        return json::parse(*text).get<std::vector<std::string>>();
    } catch (const json::exception &) {
        return failure(ResultCode::WrongType, "expected a list of names", path);
    }
}

std::string encodeEntry(const SettingsEntry &entry)
{
    return json{{"format", formatVersion},
                {"version", entry.version},
                {"path", entry.path},
                {"value", entry.value},
                {"path_version", entry.pathVersion},
                {"team", entry.team.value},
                {"request_id", entry.requestId.value}}
        .dump();
}

Result<SettingsEntry> decodeEntry(const std::string &text)
{
    return decodeStored<SettingsEntry>(text, ResultCode::TornEntry, [](const json &value) {
        return SettingsEntry{.version = value.at("version").get<std::uint64_t>(),
                             .path = value.at("path").get<std::string>(),
                             .value = value.at("value").get<std::string>(),
                             .pathVersion = value.at("path_version").get<std::uint64_t>(),
                             .team = {value.at("team").get<std::string>()},
                             .requestId = {value.at("request_id").get<std::string>()}};
    });
}

std::string encodeSnapshot(const SettingsTree &tree)
{
    json values = json::object();
    for (const auto &[path, value] : tree.values) {
        values[path] = {value.value, value.pathVersion, value.version};
    }
    json accepted = json::array();
    for (const AcceptedWrite &write : tree.accepted) {
        accepted.push_back(
            {write.requestId.value, write.version, write.pathVersion, write.fingerprint});
    }
    return json{{"format", formatVersion},
                {"version", tree.version},
                {"values", std::move(values)},
                {"accepted", std::move(accepted)}}
        .dump();
}

Result<SettingsTree> decodeSnapshot(const std::string &text)
{
    return decodeStored<SettingsTree>(text, ResultCode::CorruptSnapshot, [](const json &value) {
        SettingsTree tree;
        tree.version = value.at("version").get<std::uint64_t>();
        for (const auto &[path, stored] : value.at("values").items()) {
            tree.values[path] = {stored.at(0).get<std::string>(), stored.at(1).get<std::uint64_t>(),
                                 stored.at(2).get<std::uint64_t>()};
        }
        for (const json &stored : value.at("accepted")) {
            tree.accepted.push_back({{stored.at(0).get<std::string>()},
                                     stored.at(1).get<std::uint64_t>(),
                                     stored.at(2).get<std::uint64_t>(),
                                     stored.at(3).get<std::uint64_t>()});
        }
        return tree;
    });
}

std::string settingsLogKey(std::uint64_t version)
{
    // Padded to 20 digits, the length of the largest 64-bit number, so that keys sort numerically.
    const std::string digits = std::to_string(version);
    return "settings/log/" + std::string(20 - digits.size(), '0') + digits;
}

} // namespace acaciadeal
