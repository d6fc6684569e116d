#ifndef ACACIADEAL_SETTINGS_JSONTEXT_H
#define ACACIADEAL_SETTINGS_JSONTEXT_H

#include "base/error.h"

#include <string>

namespace acaciadeal {

/// Maximum nesting depth of a JSON settings text. Bounds the stack use of code that processes the
/// text recursively.
inline constexpr int maxJsonDepth = 32;

/// Parses JSON with // and /* */ comments and returns it without comments and insignificant
/// whitespace, with the keys of each object in ascending order. Equal values therefore give equal
/// texts.
/// Errors: SyntaxError with `where` "line L, column C", counted from 1, the column in bytes;
/// DuplicateKey with the path of the key. Thread-safe.
Result<std::string> normalizeJson(const std::string &text);

} // namespace acaciadeal

#endif
