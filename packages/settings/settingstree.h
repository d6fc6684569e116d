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

/// A snapshot is written at each version that is a multiple of this number.
inline constexpr std::uint64_t versionsPerSnapshot = 256;
/// Number of request ids that a tree remembers for repeated writes. An id that was dropped cannot
/// be carried out twice either, because the path has another version by then.
inline constexpr std::size_t maxRememberedRequestIds = 1024;

/// Current value of one path.
struct SettingsValue
{
    /// Normalized JSON text; empty after the value was removed. The row is kept then, so that a
    /// path version is never given twice.
    std::string value;
    /// Number of changes of this path.
    std::uint64_t pathVersion = 0;
    /// Version of the tree at the last change of this path.
    std::uint64_t version = 0;

    friend bool operator==(const SettingsValue &, const SettingsValue &) = default;
};

/// What is remembered of an accepted write, to answer its repetition.
struct AcceptedWrite
{
    RequestId requestId;
    std::uint64_t version = 0;
    std::uint64_t pathVersion = 0;
    /// Hash of path, value and team; tells a repetition from another write under the same id.
    std::uint64_t fingerprint = 0;

    friend bool operator==(const AcceptedWrite &, const AcceptedWrite &) = default;
};

/// Settings at one version. Safe to read from several threads while no thread changes it.
struct SettingsTree
{
    std::uint64_t version = 0;
    std::map<std::string, SettingsValue> values;
    /// The newest accepted writes, oldest first.
    std::deque<AcceptedWrite> accepted;

    friend bool operator==(const SettingsTree &, const SettingsTree &) = default;
};

/// A change that an operator asks for.
struct SettingsWrite
{
    std::string path;
    /// JSON text with comments; "null" removes the value.
    std::string value;
    /// Path version that the writer has seen; 0 if the path was never set.
    std::uint64_t expectedPathVersion = 0;
    TeamId team;
    RequestId requestId;
};

struct PreparedWrite
{
    /// The entry to commit, or the one that was committed before under the same request id.
    SettingsEntry entry;
    bool alreadyAccepted = false;
};

enum class ApplyOutcome : std::uint8_t { Applied, Older };

/// Applies @p entry if it is the next version. An older entry is ignored and reported as Older.
/// Errors: MissingEntry if entries in between are missing; InvariantViolated if the path version
/// does not follow; the tree is unchanged then. Entries are not checked against the schema, so that
/// all daemons move to the same version whatever their release.
Result<ApplyOutcome> applyEntry(SettingsTree &tree, const SettingsEntry &entry);

/// Checks a write against the schema, the owner of the path and the current versions, and returns
/// the entry for version + 1. Errors: PermissionDenied, VersionConflict, RequestIdReused,
/// IncompatibleSettings, MalformedRequest and those of checkSetting(). Thread-safe.
Result<PreparedWrite> prepareWrite(const SettingsTree &tree, const SettingsWrite &write);

/// Checks the values in force against the rules that concern several paths. Errors:
/// IncompatibleSettings. Thread-safe.
Result<void> checkCombinations(const SettingsTree &tree);

/// Returns whether @p team may change @p path: the team "system" any path, another team only paths
/// below its own /teams/<team>/. Thread-safe.
bool mayWrite(const TeamId &team, const std::string &path);

/// Returns the value in force: the one set, or the default of the schema. Errors: UnknownSetting.
/// Thread-safe.
Result<std::string> effectiveValue(const SettingsTree &tree, const std::string &path);

/// Returns the number in force at a path of type integer or number. Errors: UnknownSetting,
/// WrongType. Thread-safe.
Result<double> effectiveNumber(const SettingsTree &tree, const std::string &path);

/// Returns the names in force at a path of type list of names. Errors: UnknownSetting, WrongType.
/// Thread-safe.
Result<std::vector<std::string>> effectiveNames(const SettingsTree &tree, const std::string &path);

// Stored forms. Decoding errors: TornEntry, CorruptSnapshot, UnsupportedFormat. Thread-safe.

std::string encodeEntry(const SettingsEntry &entry);
Result<SettingsEntry> decodeEntry(const std::string &text);
std::string encodeSnapshot(const SettingsTree &tree);
Result<SettingsTree> decodeSnapshot(const std::string &text);

/// Returns the key of the log row of @p version. Keys sort like the versions. Thread-safe.
std::string settingsLogKey(std::uint64_t version);

} // namespace acaciadeal

#endif
