#ifndef ACACIADEAL_STATE_CODEC_H
#define ACACIADEAL_STATE_CODEC_H

#include "base/error.h"
#include "state/shardstate.h"

#include <string>
#include <string_view>

namespace acaciadeal {

// FlatBuffers encoding of log entries and snapshots, with a format version and a checksum.
// All functions are thread-safe.

std::string encodeLogEntry(const LogEntry &entry);

/// Errors: TornEntry, UnsupportedFormat.
Result<LogEntry> decodeLogEntry(std::string_view bytes);

std::string encodeSnapshot(const ShardState &state);

/// Returns the state with its derived indexes rebuilt. Errors: CorruptSnapshot, UnsupportedFormat.
Result<ShardState> decodeSnapshot(std::string_view bytes);

/// Encodes waiting tasks of a job that are moved to another shard, for a row of that shard's inbox.
std::string encodeTasks(const JobId &job, const std::vector<Task> &tasks);
/// Errors: TornEntry, UnsupportedFormat.
Result<JobAccepted> decodeTasks(std::string_view bytes);

} // namespace acaciadeal

#endif
