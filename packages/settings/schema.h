#ifndef ACACIADEAL_SETTINGS_SCHEMA_H
#define ACACIADEAL_SETTINGS_SCHEMA_H

#include "base/error.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace acaciadeal {

/// Largest normalized value of one path in bytes.
inline constexpr std::size_t maxSettingBytes = 16 * 1024;

enum class SettingType : std::uint8_t {
    Integer,
    Number,
    Boolean,
    Text,
    /// List of distinct names out of those allowed, in order of preference.
    NameList,
    /// Object with the optional integers milli_cores, memory_mib and accelerators; an absent one
    /// has no limit.
    Amounts,
    /// Object with the fields of an alert rule; packages/alerts checks their values.
    AlertRule,
};

/// One row of the schema.
struct SettingSchema
{
    /// Path whose segments are literal, `<name>` for any one name, or `{a|b}` for one of several.
    std::string_view pattern;
    SettingType type = SettingType::Integer;
    /// Range of a number, of each amount, or of the length of a text in bytes.
    double minimum = 0;
    double maximum = 0;
    /// Names allowed in a NameList, separated by spaces.
    std::string_view allowedNames;
    /// JSON text in force while the path is not set; "null" if there is no default.
    std::string_view defaultValue;
    std::string_view description;
};

/// Returns the schema in the order of the reference page. Thread-safe.
std::span<const SettingSchema> settingsSchema();

/// Returns the row that covers @p path, or nullptr. Thread-safe.
const SettingSchema *findSetting(const std::string &path);

/// Returns the name of @p type as used in messages and docs. Thread-safe.
std::string_view settingTypeName(SettingType type);

/// Returns the permitted range of @p schema as text. Thread-safe.
std::string rangeText(const SettingSchema &schema);

/// Checks one value and returns it normalized. "null" removes the value, so that the default is in
/// force again, and is returned as an empty text. Errors: UnknownSetting, SyntaxError,
/// DuplicateKey, ValueTooLarge, WrongType, OutOfRange. Thread-safe.
Result<std::string> checkSetting(const std::string &path, const std::string &valueText);

/// Returns whether @p name may be a segment of a path: 1 to 64 letters, digits, '-', '_' or '.',
/// but neither "." nor "..". Thread-safe.
bool isPathSegment(std::string_view name);

} // namespace acaciadeal

#endif
