#ifndef ACACIADEAL_FLEET_INTERNAL_HOSTLINK_H
#define ACACIADEAL_FLEET_INTERNAL_HOSTLINK_H

#include "base/identifier.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <optional>

namespace acaciadeal::internal {

/// Reading of a host's clock.
struct HostClock
{
    milliseconds reading{0};
    /// When the reading arrived, by the holder's clock.
    TimePoint readAt;
};

/// State of a holder's communication with one host.
struct HostLink
{
    HostId id;
    Endpoint endpoint;
    /// Lower part of the fencing token. Incremented to invalidate orders that got no answer.
    std::uint64_t tokenCounter = 0;
    std::optional<HostClock> clock;
    /// Time on the holder's clock at which the lease of all runs on the host has certainly expired.
    TimePoint leaseEnd;
    bool renewing = false;
    /// Number of the newest renewal; answers to earlier ones are ignored.
    std::uint64_t sequence = 0;
    /// Time of the next renewal after a failed one, or after one that was postponed until a write
    /// is durable.
    TimePoint nextRenewalAt;
    /// When the newest renewal was sent.
    TimePoint renewedAt;
    /// Number of renewals that failed in a row.
    int failures = 0;
    /// Highest number of an ended run whose acknowledgement the host has answered.
    std::uint64_t acknowledgedEnd = 0;
    /// Whether an order got no answer since the last complete report with the host's newest token.
    bool hasUnansweredOrder = false;
    /// Whether the last report left out ended runs. The host returns them after an acknowledgement.
    bool hasMoreEnds = false;
};

/// Number of lower bits of a token that hold the counter; the bits above hold the epoch.
inline constexpr unsigned tokenCounterBits = 20;

inline std::uint64_t fencingToken(std::uint64_t epoch, const HostLink &link)
{
    return (epoch << tokenCounterBits) + link.tokenCounter;
}

/// Returns the time on the host's clock at which a lease that is granted at @p now for the duration
/// @p lease expires, or nullopt if the host's clock is not known yet.
inline std::optional<milliseconds> leaseUntil(const HostLink &link, milliseconds lease,
                                              TimePoint now)
{
    if (!link.clock) {
        return std::nullopt;
    }
    const auto sinceReading = std::chrono::duration_cast<milliseconds>(now - link.clock->readAt);
    return link.clock->reading + sinceReading + lease;
}

} // namespace acaciadeal::internal

#endif
