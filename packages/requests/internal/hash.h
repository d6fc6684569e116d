#ifndef ACACIADEAL_REQUESTS_INTERNAL_HASH_H
#define ACACIADEAL_REQUESTS_INTERNAL_HASH_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace acaciadeal::internal {

/// FNV-1a over the length and bytes of each part, with a final mixing step. Unlike std::hash, it
/// returns the same value in all processes, so that daemons agree on ranks and fingerprints.
/// Thread-safe.
inline std::uint64_t stableHash(std::uint64_t seed, std::initializer_list<std::string_view> parts)
{
    constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t hash = 14695981039346656037U ^ seed;
    for (const std::string_view part : parts) {
        for (std::uint64_t size = part.size(), n = 0; n < 8; ++n, size >>= 8) {
            hash = (hash ^ (size & 0xff)) * prime;
        }
        for (const char c : part) {
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
        }
    }
    // For short inputs FNV-1a hardly changes the high bits, which decide the order of ranks.
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebU;
    return hash ^ (hash >> 31);
}

} // namespace acaciadeal::internal

#endif
