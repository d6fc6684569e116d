#ifndef ACACIADEAL_SETTINGS_STABLEHASH_H
#define ACACIADEAL_SETTINGS_STABLEHASH_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace acaciadeal {

/// Returns the FNV-1a hash of UTF-8 texts. It is the same in all daemons and releases, unlike that
/// of the standard library, so it may be stored and compared between daemons. Thread-safe.
constexpr std::uint64_t stableHash(std::initializer_list<std::string_view> parts)
{
    constexpr std::uint64_t prime = 0x100000001b3ULL;
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const std::string_view part : parts) {
        for (const char c : part) {
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
        }
        // No byte of a UTF-8 text is 0xff, so ("a", "bc") and ("ab", "c") differ.
        hash = (hash ^ 0xffU) * prime;
    }
    return hash;
}

} // namespace acaciadeal

#endif
