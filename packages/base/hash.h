#ifndef ACACIADEAL_BASE_HASH_H
#define ACACIADEAL_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace acaciadeal {

/// 64-bit FNV-1a hash with a final mixing step. Unlike std::hash, it gives the same value in every
/// build, so that daemons of different versions agree on stored fingerprints and on the choices of
/// rendezvous hashing. Thread-safe.
constexpr std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    // Without this mixing, strings that differ only in their last bytes have similar hashes, and
    // rendezvous hashing prefers the same candidates for all of them.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace acaciadeal

#endif
