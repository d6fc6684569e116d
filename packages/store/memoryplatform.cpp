#include "kernel/pluginregistry.h"
#include "runtime/eventloop.h"
#include "store/memorytable.h"
#include "store/platform.h"

#include <memory>
#include <mutex>
#include <utility>

namespace acaciadeal {
namespace {

/// In-memory platform for a single process; its data is lost when the process ends.
struct MemoryPlatform
{
    std::mutex mutex;
    MemoryTable table;
    std::map<std::string, std::string> objects;
    std::vector<HostRecord> hosts;
};

PlatformAdapter createMemoryPlatform(EventLoop &loop, const PlatformOptions &options)
{
    auto platform = std::make_shared<MemoryPlatform>();
    platform->hosts = options.hosts;
    PlatformAdapter adapter;
    adapter.commit = [platform, &loop](const Transaction &transaction, CommitCallback callback) {
        const std::lock_guard lock(platform->mutex);
        loop.post([result = commit(platform->table, transaction), callback = std::move(callback)] {
            callback(result);
        });
    };
    adapter.read = [platform, &loop](const RowQuery &query, ReadCallback callback) {
        const std::lock_guard lock(platform->mutex);
        loop.post([rows = read(platform->table, query), callback = std::move(callback)] {
            callback(rows);
        });
    };
    adapter.putObject = [platform, &loop](const std::string &name, std::string content,
                                          DoneCallback callback) {
        const std::lock_guard lock(platform->mutex);
        platform->objects[name] = std::move(content);
        loop.post([callback = std::move(callback)] { callback({}); });
    };
    adapter.getObject = [platform, &loop](const std::string &name, ObjectCallback callback) {
        const std::lock_guard lock(platform->mutex);
        const auto it = platform->objects.find(name);
        Result<std::string> result = failure(ResultCode::PlatformProtocol, "no such object", name);
        if (it != platform->objects.end()) {
            result = it->second;
        }
        loop.post(
            [result = std::move(result), callback = std::move(callback)] { callback(result); });
    };
    adapter.listHosts = [platform, &loop](HostsCallback callback) {
        loop.post([platform, callback = std::move(callback)] { callback(platform->hosts); });
    };
    adapter.readTable = [platform, &loop](const std::string &table, SnapshotCallback callback) {
        const std::lock_guard lock(platform->mutex);
        loop.post([snapshot = readTable(platform->table, table), callback = std::move(callback)] {
            callback(snapshot);
        });
    };
    adapter.changes = [platform, &loop](const std::string &table, std::uint64_t after,
                                        Duration wait, ChangesCallback callback) {
        // Always waits for the full duration and returns what was written by then.
        loop.postAfter(wait, [platform, table, after, callback = std::move(callback)] {
            std::unique_lock lock(platform->mutex);
            RowChanges changes = changesAfter(platform->table, table, after);
            lock.unlock();
            callback(std::move(changes));
        });
    };
    return adapter;
}

const PluginRegistration<PlatformPlugin> registration{
    "memory", {.durable = false, .create = &createMemoryPlatform}};

} // namespace
} // namespace acaciadeal
