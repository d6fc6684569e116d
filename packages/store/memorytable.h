#ifndef ACACIADEAL_STORE_MEMORYTABLE_H
#define ACACIADEAL_STORE_MEMORYTABLE_H

#include "store/platform.h"

#include <map>
#include <string>
#include <vector>

namespace acaciadeal {

/// Transactional row store in memory, for the embedded platform and the platform stand-in that
/// tests use. Not thread-safe.
struct MemoryTable
{
    std::map<std::string, Row> rows;
    /// Last version assigned to any row. Versions of a key only increase, even if the row is
    /// deleted and created again.
    std::uint64_t lastVersion = 0;
};

/// Applies @p transaction atomically. Errors: CheckFailed with the key; nothing is written then.
Result<CommitVersions> commit(MemoryTable &table, const Transaction &transaction);

/// Returns the selected rows in ascending order of key.
std::vector<Row> read(const MemoryTable &table, const RowQuery &query);

/// Returns all rows whose key starts with @p name and '/', and the last version assigned to any
/// row.
RowSnapshot readTable(const MemoryTable &table, const std::string &name);

/// Returns the rows whose key starts with @p name and '/' and whose version is greater than
/// @p after. Deletions are not reported.
RowChanges changesAfter(const MemoryTable &table, const std::string &name, std::uint64_t after);

} // namespace acaciadeal

#endif
