#ifndef ACACIADEAL_REQUESTS_REQUESTCLASS_H
#define ACACIADEAL_REQUESTS_REQUESTCLASS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace acaciadeal {

/// Classes in order of priority; a smaller value is served first.
enum class RequestClass : std::uint8_t { Urgent, Normal, Batch };

inline constexpr std::size_t requestClassCount = 3;

/// Returns the name used in requests and metrics. Thread-safe.
constexpr std::string_view requestClassName(RequestClass requestClass)
{
    constexpr std::string_view names[requestClassCount] = {"urgent", "normal", "batch"};
    return names[static_cast<std::size_t>(requestClass)];
}

/// Returns the class called @p name, if there is one. Thread-safe.
constexpr std::optional<RequestClass> parseRequestClass(std::string_view name)
{
    for (const auto candidate : {RequestClass::Urgent, RequestClass::Normal, RequestClass::Batch}) {
        if (requestClassName(candidate) == name) {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace acaciadeal

#endif
