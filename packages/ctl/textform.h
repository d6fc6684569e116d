#ifndef ACACIADEAL_CTL_TEXTFORM_H
#define ACACIADEAL_CTL_TEXTFORM_H

#include <string>

namespace acaciadeal {

/// Returns a JSON text for people: objects as lines "key: value", lists of objects as tables.
/// A text that is not JSON is returned as it is. Thread-safe.
std::string textForm(const std::string &jsonText);

} // namespace acaciadeal

#endif
