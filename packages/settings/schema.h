#ifndef ACACIADEAL_SETTINGS_SCHEMA_H
#define ACACIADEAL_SETTINGS_SCHEMA_H

#include "base/error.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace acaciadeal {

/// Maximum size of the normalized value of one path, in bytes.
inline constexpr std::size_t maxSettingBytes = 16 * 1024;

enum class SettingType : std::uint8_t {
    Integer,
    Number,
    Boolean,
    Text,
    /// List of distinct names from `allowedNames`, in order of preference.
    NameList,
    /// Resource amounts: an object with the optional integers milli_cores, memory_mib and
    /// accelerators; an absent field means no limit.
    Amounts,
    /// Object with the fields of an alert rule; packages/alerts validates the field values.
    AlertRule,
};

/// One entry of the settings schema.
struct SettingSchema
{
    /// Path pattern. A segment is a literal, `<name>` for any valid path segment, or `{a|b}` for
    /// one of the listed literals.
    std::string_view pattern;
    SettingType type = SettingType::Integer;
    /// Allowed range of a number, of each amount, or of the length of a text in bytes.
    double minimum = 0;
    double maximum = 0;
    /// Names allowed in a NameList, separated by spaces.
    std::string_view allowedNames;
    /// JSON text that is effective while the path is not set; "null" if there is no default.
    std::string_view defaultValue;
    std::string_view description;
};

/// Returns the schema in the order of the reference page. Thread-safe.
std::span<const SettingSchema> settingsSchema();

/// Returns the entry whose pattern matches @p path, or nullptr if there is none. Thread-safe.
const SettingSchema *findSettingSchema(const std::string &path);

/// Returns the name of @p type as used in messages and docs. Thread-safe.
std::string_view settingTypeName(SettingType type);

/// Returns a description of the values that @p schema allows. Thread-safe.
std::string rangeText(const SettingSchema &schema);

/// Validates one value and returns it as normalized JSON. "null" removes the value, which restores
/// the default, and is returned as an empty string. Errors: UnknownSetting, SyntaxError,
/// DuplicateKey, ValueTooLarge, WrongType, OutOfRange. Thread-safe.
Result<std::string> checkSetting(const std::string &path, const std::string &valueText);

/// Returns whether @p name may be a segment of a path: 1 to 64 letters, digits, '-', '_' or '.',
/// but neither "." nor "..". Thread-safe.
bool isPathSegment(std::string_view name);

} // namespace acaciadeal

#endif
