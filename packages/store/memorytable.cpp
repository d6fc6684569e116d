#include "store/memorytable.h"

namespace acaciadeal {

Result<CommitVersions> commit(MemoryTable &table, const Transaction &transaction)
{
    for (const RowCheck &check : transaction.checks) {
        const auto it = table.rows.find(check.key);
        const std::uint64_t version = it == table.rows.end() ? 0 : it->second.version;
        if (version != check.version) {
            return failure(ResultCode::CheckFailed,
                           "row version is " + std::to_string(version) + ", expected "
                               + std::to_string(check.version),
                           check.key);
        }
    }
    CommitVersions versions;
    for (const std::string &key : transaction.deletes) {
        table.rows.erase(key);
    }
    for (const RowPut &put : transaction.puts) {
        const std::uint64_t version = ++table.lastVersion;
        table.rows[put.key] = {put.key, put.value, version};
        versions[put.key] = version;
    }
    return versions;
}

std::vector<Row> read(const MemoryTable &table, const RowQuery &query)
{
    std::vector<Row> result;
    for (const std::string &key : query.keys) {
        const auto it = table.rows.find(key);
        if (it != table.rows.end()) {
            result.push_back(it->second);
        }
    }
    if (query.prefix.empty()) {
        return result;
    }
    auto it = query.after > query.prefix ? table.rows.upper_bound(query.after)
                                         : table.rows.lower_bound(query.prefix);
    for (; it != table.rows.end() && it->first.starts_with(query.prefix); ++it) {
        if (result.size() >= query.limit) {
            break;
        }
        result.push_back(it->second);
    }
    return result;
}

RowSnapshot readTable(const MemoryTable &table, const std::string &name)
{
    return {.rows = read(table, {.prefix = name + "/", .limit = table.rows.size() + 1}),
            .version = table.lastVersion};
}

RowChanges changesAfter(const MemoryTable &table, const std::string &name, std::uint64_t after)
{
    RowChanges changes{.version = table.lastVersion};
    for (const Row &row : readTable(table, name).rows) {
        if (row.version > after) {
            changes.rows.push_back({.key = row.key, .value = row.value});
        }
    }
    return changes;
}

} // namespace acaciadeal
