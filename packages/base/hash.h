#ifndef ACACIADEAL_BASE_HASH_H
#define ACACIADEAL_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace acaciadeal {

/// 64-bit FNV-1a hash with a final mix. Unlike std::hash it is the same in every build, so that
/// daemons of different versions agree on stored fingerprints and rendezvous choices. Thread-safe.
constexpr std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    // Without the mix, texts that differ only in their last bytes have close hashes, and rendezvous
    // choices favour the same candidates.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace acaciadeal

#endif
