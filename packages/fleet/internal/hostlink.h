#ifndef ACACIADEAL_FLEET_INTERNAL_HOSTLINK_H
#define ACACIADEAL_FLEET_INTERNAL_HOSTLINK_H

#include "base/identifier.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <optional>

namespace acaciadeal::internal {

struct HostClock
{
    milliseconds reading{0};
    /// When the reading arrived.
    TimePoint readAt;
};

/// A holder's connection to one host.
struct HostLink
{
    HostId id;
    Endpoint endpoint;
    /// Raised to void orders that got no answer; the token's lower part.
    std::uint64_t tokenCounter = 0;
    std::optional<HostClock> clock;
    /// When the lease of everything there has lapsed for certain, by our clock.
    TimePoint leaseEnd;
    bool renewing = false;
    /// Number of the newest renewal; answers of earlier ones are ignored.
    std::uint64_t sequence = 0;
    /// A renewal that failed or waits for a write goes out again at this time.
    TimePoint nextRenewalAt;
    int failures = 0;
    /// Highest end number of which the host has answered the acknowledgement.
    std::uint64_t acknowledgedEnd = 0;
    /// Whether an order got no answer since the last fenced report.
    bool hasUnansweredOrder = false;
};

/// Bits of a token that count the bumps of one epoch.
inline constexpr unsigned tokenCounterBits = 20;

inline std::uint64_t fencingToken(std::uint64_t epoch, const HostLink &link)
{
    return (epoch << tokenCounterBits) + link.tokenCounter;
}

/// Returns the end of a lease of @p lease from now on the host's clock, if a reading is known.
inline std::optional<milliseconds> leaseUntil(const HostLink &link, milliseconds lease,
                                              TimePoint now)
{
    if (!link.clock) {
        return std::nullopt;
    }
    const auto since = std::chrono::duration_cast<milliseconds>(now - link.clock->readAt);
    return link.clock->reading + since + lease;
}

} // namespace acaciadeal::internal

#endif
