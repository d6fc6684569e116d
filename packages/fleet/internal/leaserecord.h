#ifndef ACACIADEAL_FLEET_INTERNAL_LEASERECORD_H
#define ACACIADEAL_FLEET_INTERNAL_LEASERECORD_H

#include "base/error.h"
#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/dispatcher.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal::internal {

/// Run numbers by task.
using HostRuns = std::map<TaskKey, std::uint64_t>;

/// What a holder knew of the lease of one host.
struct HostLease
{
    /// Time until the lease has certainly expired, counted from when the record was made.
    milliseconds remaining{0};
    /// Runs that may be on the host; unset if they are not known.
    std::optional<HostRuns> runs;
};

/// Leases that a holder leaves to the next one. Without it the next holder has to assume that each
/// host got a whole lease at the last moment and may run any task.
struct LeaseRecord
{
    /// Epoch of the holder that made the record; only the holder of the next epoch may use it.
    std::uint64_t epoch = 0;
    /// Whether the holder had stopped for good. Then a host that is missing has no lease. Otherwise
    /// only the hosts are listed whose leases the holder does not extend.
    bool stopped = false;
    std::map<HostId, HostLease> hosts;
    /// Long-running tasks that wait to run again.
    std::map<TaskKey, RestartWait> waits;
};

/// Returns the values of the rows that contain @p record, each with at most maxJobRowBytes. Leaves
/// out the runs of hosts, and waits, for which @p maxBytes do not suffice. Thread-safe.
std::vector<std::string> encodeLeases(const LeaseRecord &record, std::size_t maxBytes);

/// Decodes the values of encodeLeases() in any order. Errors: CorruptSnapshot, also if a row is
/// missing. Thread-safe.
Result<LeaseRecord> decodeLeases(const std::vector<std::string> &rows);

} // namespace acaciadeal::internal

#endif
