#ifndef ACACIADEAL_DAEMON_ROWKEYS_H
#define ACACIADEAL_DAEMON_ROWKEYS_H

#include "base/error.h"
#include "base/identifier.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace acaciadeal {

// Keys of the rows that daemons store in the platform's table. All functions are thread-safe.

std::string ownerKey(const ShardId &shard);
/// Key of the alive row, which the holder updates periodically to show that it is running.
std::string aliveKey(const ShardId &shard);
std::string snapshotKey(const ShardId &shard);
std::string logPrefix(const ShardId &shard);
/// The sequence is zero-padded, so that keys sort by sequence.
std::string logKey(const ShardId &shard, std::uint64_t sequence);
std::string inboxPrefix(const ShardId &shard);
std::string inboxKey(const ShardId &shard, const JobId &job);
/// Key of the row of a job that the holder rejected, for example because its task ids are in use.
std::string rejectedKey(const ShardId &shard, const JobId &job);
std::string jobKey(const JobId &job);
std::string domainKey(const FailureDomainId &domain);
std::string memberPrefix();
std::string memberKey(const DaemonId &daemon);
std::string hostPrefix();
std::string hostKey(const HostId &host);

/// Value of an owner row.
struct OwnerRow
{
    std::uint64_t epoch = 0;
    DaemonId holder;
    /// Unique for each claim.
    std::string claimId;
    /// Set by a graceful shutdown; the shard may then be claimed without a delay.
    bool released = false;
    /// Maximum time for which this holder lets leases run after its last confirmed ownership. The
    /// next holder has to wait for this value rather than its own setting, which may have changed
    /// since.
    milliseconds autonomy{0};
};

/// Value of a failure domain's row. Without a row the domain is in.
struct DomainRow
{
    bool in = true;
    std::string reason;
    std::string changedBy;
};

/// Value of a host's row, written by operators.
struct HostRow
{
    bool drained = false;
    bool confirmedOff = false;
};

/// Value of a job's row.
struct JobRow
{
    ShardId shard;
    /// Hash of the submitted text. Distinguishes a retry from a reused job id.
    std::uint64_t fingerprint = 0;
    /// Unique for each submission attempt.
    std::string submissionId;
};

/// Value of a snapshot row.
struct SnapshotRow
{
    std::string object;
    /// Sequence of the last log entry that the snapshot covers.
    std::uint64_t sequence = 0;
};

// JSON encoding of the rows. Errors of decoding: PlatformProtocol.

std::string encode(const OwnerRow &row);
std::string encode(const DomainRow &row);
std::string encode(const HostRow &row);
std::string encode(const JobRow &row);
std::string encode(const SnapshotRow &row);
Result<OwnerRow> decodeOwnerRow(const std::string &text);
Result<DomainRow> decodeDomainRow(const std::string &text);
Result<HostRow> decodeHostRow(const std::string &text);
Result<JobRow> decodeJobRow(const std::string &text);
Result<SnapshotRow> decodeSnapshotRow(const std::string &text);

} // namespace acaciadeal

#endif
