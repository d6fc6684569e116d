#ifndef ACACIADEAL_FLEET_INTERNAL_LEASERECORD_H
#define ACACIADEAL_FLEET_INTERNAL_LEASERECORD_H

#include "base/error.h"
#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/taskrun.h"

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

/// A task without a run that had one before.
struct WaitingTask
{
    std::uint64_t lastRun = 0;
    /// Time for which it had waited when the record was made.
    milliseconds waited{0};
    /// Time since a run of it was last known to be present.
    milliseconds down{0};

    friend bool operator==(const WaitingTask &, const WaitingTask &) = default;
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
    /// If the holder had stopped: long-running tasks that wait for a restart, and that no host
    /// runs.
    std::map<TaskKey, WaitingTask> waiting;
    /// If the holder had stopped before it knew what became of all hosts of an earlier holder: time
    /// since they may have been lost.
    std::optional<milliseconds> recovering;
    /// Time between the sending of the holder's last confirmed heartbeat and the making of this
    /// record. A daemon that has seen that heartbeat, or a later one, knows when the record was
    /// made at the latest.
    milliseconds sinceHeartbeat{0};
};

/// Returns the values of the rows that contain @p record, each with at most maxJobRowBytes. Leaves
/// out waiting tasks, and the runs of hosts, for which @p maxBytes do not suffice. Thread-safe.
std::vector<std::string> encodeLeases(const LeaseRecord &record, std::size_t maxBytes);

/// Decodes the values of encodeLeases() in any order. Errors: CorruptSnapshot, also if a row is
/// missing. Thread-safe.
Result<LeaseRecord> decodeLeases(const std::vector<std::string> &rows);

} // namespace acaciadeal::internal

#endif
