#include "settings/jsontext.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace acaciadeal {
namespace {

using nlohmann::json;

std::string positionText(const std::string &text, std::size_t offset)
{
    const std::size_t end = std::min(offset, text.size());
    std::size_t line = 1;
    std::size_t lineStart = 0;
    for (std::size_t n = 0; n < end; ++n) {
        if (text[n] == '\n') {
            ++line;
            lineStart = n + 1;
        }
    }
    return "line " + std::to_string(line) + ", column " + std::to_string(end - lineStart + 1);
}

/// Object or array whose end has not been parsed yet, with the keys seen so far (none in an array).
struct OpenContainer
{
    std::set<std::string> keys;
    std::string currentKey;
};

std::string currentPath(const std::vector<OpenContainer> &openContainers)
{
    std::string path;
    for (const OpenContainer &container : openContainers) {
        if (!container.currentKey.empty()) {
            path += "/" + container.currentKey;
        }
    }
    return path;
}

/// Parser callback that records the first error that the parser itself does not report: a duplicate
/// key or nesting that is too deep.
class StructureChecker
{
public:
    bool operator()(int depth, json::parse_event_t event, const json &value)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            if (depth >= maxJsonDepth && firstError.code == ResultCode::Ok) {
                firstError = {ResultCode::SyntaxError,
                              "JSON is nested deeper than " + std::to_string(maxJsonDepth)
                                  + " levels",
                              currentPath(m_openContainers)};
            }
            m_openContainers.emplace_back();
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            m_openContainers.pop_back();
            break;
        case json::parse_event_t::key: {
            OpenContainer &object = m_openContainers.back();
            object.currentKey = value.get<std::string>();
            if (!object.keys.insert(object.currentKey).second
                && firstError.code == ResultCode::Ok) {
                firstError = {ResultCode::DuplicateKey,
                              "key \"" + object.currentKey + "\" appears twice",
                              currentPath(m_openContainers)};
            }
            break;
        }
        case json::parse_event_t::value:
            break;
        }
        return true;
    }

    Error firstError;

private:
    std::vector<OpenContainer> m_openContainers;
};

} // namespace

Result<std::string> normalizeJson(const std::string &text)
{
    StructureChecker check;
    try {
        const json value = json::parse(
            text,
            [&check](int depth, json::parse_event_t event, json &parsed) {
                return check(depth, event, parsed);
            },
            true, true);
        if (check.firstError.code != ResultCode::Ok) {
            return tl::unexpected<Error>(check.firstError);
        }
        return value.dump();
    } catch (const json::parse_error &e) {
        // The offset counts the bytes read, including the offending one.
        const std::size_t offset = e.byte > 0 ? e.byte - 1 : 0;
        return failure(ResultCode::SyntaxError, e.what(), positionText(text, offset));
    } catch (const json::exception &e) {
        // A number is outside the range of a double.
        return failure(ResultCode::SyntaxError, e.what());
    }
}

} // namespace acaciadeal
