#ifndef ACACIADEAL_CTL_TEXTFORMAT_H
#define ACACIADEAL_CTL_TEXTFORMAT_H

#include <string>

namespace acaciadeal {

/// Formats JSON as readable text: objects as lines "key: value", lists of objects as tables.
/// A text that is not JSON is returned as it is. Thread-safe.
std::string formatAsText(const std::string &jsonText);

} // namespace acaciadeal

#endif
