#ifndef ACACIADEAL_SETTINGS_STABLEHASH_H
#define ACACIADEAL_SETTINGS_STABLEHASH_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace acaciadeal {

/// Returns the FNV-1a hash of a sequence of UTF-8 strings. Unlike std::hash, the value is the same
/// in all daemons and releases, so it may be stored and compared between daemons. Thread-safe.
constexpr std::uint64_t stableHash(std::initializer_list<std::string_view> parts)
{
    constexpr std::uint64_t prime = 0x100000001b3ULL;
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const std::string_view part : parts) {
        for (const char c : part) {
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
        }
        // Separates the parts: no byte of UTF-8 text is 0xff, so ("a", "bc") and ("ab", "c")
        // differ.
        hash = (hash ^ 0xffU) * prime;
    }
    return hash;
}

} // namespace acaciadeal

#endif
