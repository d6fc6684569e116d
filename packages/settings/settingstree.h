#ifndef ACACIADEAL_SETTINGS_SETTINGSTREE_H
#define ACACIADEAL_SETTINGS_SETTINGSTREE_H

#include "base/error.h"
#include "base/identifier.h"
#include "wire/message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

/// Number of versions between snapshots: one is written at each multiple of this number.
inline constexpr std::uint64_t versionsPerSnapshot = 256;
/// Maximum number of request ids that a tree keeps to recognize repeated writes. A repeated write
/// whose id was dropped is not applied twice either, because the path version has changed since.
inline constexpr std::size_t maxRememberedRequestIds = 1024;

/// Current value of one path.
struct SettingsValue
{
    /// Normalized JSON text; empty after the value was removed. A removed path keeps its entry so
    /// that path versions are never reused.
    std::string value;
    /// Number of changes of this path.
    std::uint64_t pathVersion = 0;
    /// Version of the tree at the last change of this path.
    std::uint64_t version = 0;

    friend bool operator==(const SettingsValue &, const SettingsValue &) = default;
};

/// Record of an accepted write, used to answer a repeated write with the same request id.
struct AcceptedWrite
{
    RequestId requestId;
    std::uint64_t version = 0;
    std::uint64_t pathVersion = 0;
    /// Hash of path, value and team; distinguishes a repeated write from a different one with the
    /// same request id.
    std::uint64_t fingerprint = 0;

    friend bool operator==(const AcceptedWrite &, const AcceptedWrite &) = default;
};

/// Settings at one version. Safe to read from several threads while no thread changes it.
struct SettingsTree
{
    std::uint64_t version = 0;
    std::map<std::string, SettingsValue> values;
    /// The most recent accepted writes, oldest first.
    std::deque<AcceptedWrite> accepted;

    friend bool operator==(const SettingsTree &, const SettingsTree &) = default;
};

/// A change requested by an operator.
struct SettingsWrite
{
    std::string path;
    /// JSON text with comments; "null" removes the value.
    std::string value;
    /// Path version that the writer last read; 0 if the path was never set.
    std::uint64_t expectedPathVersion = 0;
    TeamId team;
    RequestId requestId;
};

struct PreparedWrite
{
    /// The entry to commit, or the one committed earlier with the same request id.
    SettingsEntry entry;
    bool alreadyAccepted = false;
};

enum class ApplyOutcome : std::uint8_t { Applied, Older };

/// Applies @p entry if its version is the next one of the tree. An entry whose version is not newer
/// than the tree is ignored and reported as Older. Errors: MissingEntry if entries in between are
/// missing; InvariantViolated if the path version is not the next one of the path. The tree is
/// unchanged on error. Entries are not checked against the schema, so that daemons of different
/// releases reach the same version.
Result<ApplyOutcome> applyEntry(SettingsTree &tree, const SettingsEntry &entry);

/// Checks a write against the schema, the write permission of the team, the current path version
/// and the constraints between paths, and returns the entry for version + 1. Errors:
/// PermissionDenied, VersionConflict, RequestIdReused, IncompatibleSettings, MalformedRequest and
/// those of checkSetting(). Thread-safe.
Result<PreparedWrite> prepareWrite(const SettingsTree &tree, const SettingsWrite &write);

/// Checks the effective values against the constraints between settings of different paths. Errors:
/// IncompatibleSettings. Thread-safe.
Result<void> checkOrderConstraints(const SettingsTree &tree);

/// Returns whether @p team may change @p path: the team "system" any path, another team only paths
/// below its own /teams/<team>/. Thread-safe.
bool mayWrite(const TeamId &team, const std::string &path);

/// Returns the value set at @p path, or the schema default if none is set. Errors: UnknownSetting.
/// Thread-safe.
Result<std::string> effectiveValue(const SettingsTree &tree, const std::string &path);

/// Returns the effective value of a path of type integer or number. Errors: UnknownSetting,
/// WrongType. Thread-safe.
Result<double> effectiveNumber(const SettingsTree &tree, const std::string &path);

/// Returns the effective value of a path of type list of names. Errors: UnknownSetting, WrongType.
/// Thread-safe.
Result<std::vector<std::string>> effectiveNames(const SettingsTree &tree, const std::string &path);

// Serialization for storage. Decoding errors: TornEntry, CorruptSnapshot, UnsupportedFormat.
// Thread-safe.

std::string encodeEntry(const SettingsEntry &entry);
Result<SettingsEntry> decodeEntry(const std::string &text);
std::string encodeSnapshot(const SettingsTree &tree);
Result<SettingsTree> decodeSnapshot(const std::string &text);

/// Returns the row key of the log entry with @p version. Keys sort in version order. Thread-safe.
std::string settingsLogKey(std::uint64_t version);

} // namespace acaciadeal

#endif
