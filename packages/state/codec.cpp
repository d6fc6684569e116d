#include "state/codec.h"

#include "state/generated/logentry_generated.h"
#include "state/generated/snapshot_generated.h"

#include <boost/crc.hpp>
#include <optional>
#include <utility>

namespace acaciadeal {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// Layout: magic, format version, CRC-32 of the payload, payload length (4 bytes each, little
// endian), FlatBuffers payload.
constexpr std::size_t headerBytes = 16;
constexpr std::uint32_t formatVersion = 1;
constexpr std::string_view logEntryMagic = "ADLE";
constexpr std::string_view snapshotMagic = "ADSN";
constexpr std::string_view tasksMagic = "ADTK";

std::uint32_t checksum(const void *data, std::size_t size)
{
    boost::crc_32_type crc;
    crc.process_bytes(data, size);
    return crc.checksum();
}

void appendUint32(std::string &bytes, std::uint32_t value)
{
    for (unsigned shift = 0; shift < 32; shift += 8) {
        bytes += static_cast<char>(value >> shift & 0xff);
    }
}

std::uint32_t readUint32(std::string_view bytes, std::size_t position)
{
    std::uint32_t value = 0;
    for (std::size_t n = 0; n < 4; ++n) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[position + n]))
                 << (8 * n);
    }
    return value;
}

std::string wrapPayload(std::string_view magic, const FlatBufferBuilder &builder)
{
    std::string bytes;
    bytes.reserve(headerBytes + builder.GetSize());
    bytes += magic;
    appendUint32(bytes, formatVersion);
    appendUint32(bytes, checksum(builder.GetBufferPointer(), builder.GetSize()));
    appendUint32(bytes, builder.GetSize());
    bytes.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    return bytes;
}

/// Verifies the header and the checksum, and returns an aligned copy of the payload.
/// Errors: @p corruptionCode, UnsupportedFormat.
Result<std::vector<std::uint8_t>> unwrapPayload(std::string_view magic, std::string_view bytes,
                                                ResultCode corruptionCode)
{
    if (bytes.size() < headerBytes || bytes.substr(0, magic.size()) != magic) {
        return failure(corruptionCode, "the header is missing or truncated");
    }
    if (const auto version = readUint32(bytes, 4); version != formatVersion) {
        return failure(ResultCode::UnsupportedFormat,
                       "format version " + std::to_string(version) + " is not supported");
    }
    const std::string_view payload = bytes.substr(headerBytes);
    if (payload.size() != readUint32(bytes, 12)) {
        return failure(corruptionCode, "the payload has " + std::to_string(payload.size())
                                           + " of the expected "
                                           + std::to_string(readUint32(bytes, 12)) + " bytes");
    }
    if (checksum(payload.data(), payload.size()) != readUint32(bytes, 8)) {
        return failure(corruptionCode, "the checksum does not match");
    }
    return std::vector<std::uint8_t>(payload.begin(), payload.end());
}

template<typename Table>
bool verifyPayload(const std::vector<std::uint8_t> &payload)
{
    // The verifier's default limit on the number of tables is too low for large snapshots. A table
    // takes at least 4 bytes, so a valid payload never has more tables than bytes.
    flatbuffers::Verifier verifier(payload.data(), payload.size(), 64,
                                   static_cast<flatbuffers::uoffset_t>(payload.size()));
    return verifier.VerifyBuffer<Table>(nullptr);
}

std::string stringOrEmpty(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

/// Creates a string, or returns a null offset for an empty one to save space.
Offset<flatbuffers::String> packString(FlatBufferBuilder &builder, const std::string &text)
{
    return text.empty() ? Offset<flatbuffers::String>() : builder.CreateString(text);
}

/// Like packString(), but stores equal strings only once. For values that often repeat in a buffer.
Offset<flatbuffers::String> packSharedString(FlatBufferBuilder &builder, const std::string &text)
{
    return text.empty() ? Offset<flatbuffers::String>() : builder.CreateSharedString(text);
}

stored::Resources packResources(const Resources &resources)
{
    return {resources.milliCores, resources.memoryMiB, resources.accelerators};
}

Resources unpackResources(const stored::Resources &resources)
{
    return {.milliCores = resources.milli_cores(),
            .memoryMiB = resources.memory_mib(),
            .accelerators = resources.accelerators()};
}

Offset<stored::Task> packTask(FlatBufferBuilder &builder, const Task &task)
{
    const auto id = builder.CreateString(task.spec.id.value);
    const auto job = builder.CreateSharedString(task.spec.job.value);
    const auto team = builder.CreateSharedString(task.spec.team.value);
    const auto payload = packSharedString(builder, task.spec.payload);
    const auto host = packSharedString(builder, task.host.value);
    const auto checkpoint = packString(builder, task.checkpoint);
    const auto detail = packString(builder, task.detail);
    const auto size = packResources(task.spec.size);
    return stored::CreateTask(builder, id, job, team,
                              static_cast<std::uint8_t>(task.spec.taskClass), &size,
                              task.spec.expectedRunTime.count(), task.spec.deadline.count(),
                              task.spec.maxFailures, payload, static_cast<std::uint8_t>(task.state),
                              task.incarnation, host, checkpoint, task.failures, task.evictions,
                              task.cancelRequested, detail, task.acceptanceNumber, task.moves);
}

/// Returns std::nullopt if this version does not know the task's class or state.
std::optional<Task> unpackTask(const stored::Task &table)
{
    if (table.task_class() > static_cast<std::uint8_t>(TaskClass::Batch)
        || table.state() > static_cast<std::uint8_t>(TaskState::Moved)) {
        return std::nullopt;
    }
    return Task{.spec = {.id = {stringOrEmpty(table.id())},
                         .job = {stringOrEmpty(table.job())},
                         .team = {stringOrEmpty(table.team())},
                         .taskClass = static_cast<TaskClass>(table.task_class()),
                         .size = unpackResources(*table.size()),
                         .expectedRunTime = milliseconds(table.expected_run_time_ms()),
                         .deadline = milliseconds(table.deadline_ms()),
                         .maxFailures = table.max_failures(),
                         .payload = stringOrEmpty(table.payload())},
                .state = static_cast<TaskState>(table.state()),
                .incarnation = table.incarnation(),
                .host = {stringOrEmpty(table.host())},
                .checkpoint = stringOrEmpty(table.checkpoint()),
                .failures = table.failures(),
                .evictions = table.evictions(),
                .cancelRequested = table.cancel_requested(),
                .detail = stringOrEmpty(table.detail()),
                .acceptanceNumber = table.accepted_as(),
                .moves = table.moves()};
}

/// Type and offset of a packed change.
using PackedChange = std::pair<stored::Change, Offset<void>>;

Offset<stored::JobAccepted> packJob(FlatBufferBuilder &builder, const JobId &job,
                                    const std::vector<Task> &tasks)
{
    std::vector<Offset<stored::Task>> packed;
    packed.reserve(tasks.size());
    for (const Task &task : tasks) {
        packed.push_back(packTask(builder, task));
    }
    const auto id = builder.CreateSharedString(job.value);
    return stored::CreateJobAccepted(builder, id, builder.CreateVector(packed));
}

struct Packer
{
    FlatBufferBuilder &builder;

    PackedChange operator()(const JobAccepted &change) const
    {
        return {stored::Change::JobAccepted, packJob(builder, change.job, change.tasks).Union()};
    }

    PackedChange operator()(const HostUpdated &change) const
    {
        const auto host = builder.CreateSharedString(change.host.value);
        const auto rack = packSharedString(builder, change.rack.value);
        const auto capacity = packResources(change.capacity);
        return {
            stored::Change::HostUpdated,
            stored::CreateHostUpdated(builder, host, rack, &capacity, change.acceptsTasks).Union()};
    }

    PackedChange operator()(const HostRemoved &change) const
    {
        const auto host = builder.CreateSharedString(change.host.value);
        return {stored::Change::HostRemoved, stored::CreateHostRemoved(builder, host).Union()};
    }

    PackedChange operator()(const TaskPlaced &change) const
    {
        const auto task = builder.CreateString(change.task.value);
        const auto host = builder.CreateSharedString(change.host.value);
        return {stored::Change::TaskPlaced,
                stored::CreateTaskPlaced(builder, task, change.incarnation, host).Union()};
    }

    PackedChange operator()(const TaskReleased &change) const
    {
        const auto task = builder.CreateString(change.task.value);
        const auto checkpoint = packString(builder, change.checkpoint);
        const auto detail = packSharedString(builder, change.detail);
        return {stored::Change::TaskReleased,
                stored::CreateTaskReleased(builder, task, change.incarnation,
                                           static_cast<std::uint8_t>(change.reason), checkpoint,
                                           detail)
                    .Union()};
    }

    PackedChange operator()(const TaskCancelled &change) const
    {
        const auto task = builder.CreateString(change.task.value);
        return {stored::Change::TaskCancelled, stored::CreateTaskCancelled(builder, task).Union()};
    }

    PackedChange operator()(const TaskRejected &change) const
    {
        const auto task = builder.CreateString(change.task.value);
        const auto reason = packSharedString(builder, change.reason);
        return {stored::Change::TaskRejected,
                stored::CreateTaskRejected(builder, task, reason).Union()};
    }

    PackedChange operator()(const TaskMoved &change) const
    {
        const auto task = builder.CreateString(change.task.value);
        const auto shard = builder.CreateSharedString(change.toShard.value);
        return {stored::Change::TaskMoved, stored::CreateTaskMoved(builder, task, shard).Union()};
    }
};

std::optional<JobAccepted> unpackJob(const stored::JobAccepted &table)
{
    JobAccepted change{.job = {stringOrEmpty(table.job())}, .tasks = {}};
    if (table.tasks() != nullptr) {
        for (const stored::Task *const packed : *table.tasks()) {
            auto task = unpackTask(*packed);
            if (!task) {
                return std::nullopt;
            }
            change.tasks.push_back(std::move(*task));
        }
    }
    return change;
}

std::optional<Change> unpackChange(stored::Change type, const void *table)
{
    switch (type) {
    case stored::Change::JobAccepted:
        return unpackJob(*static_cast<const stored::JobAccepted *>(table));
    case stored::Change::HostUpdated: {
        const auto &change = *static_cast<const stored::HostUpdated *>(table);
        return HostUpdated{.host = {stringOrEmpty(change.host())},
                           .rack = {stringOrEmpty(change.rack())},
                           .capacity = unpackResources(*change.capacity()),
                           .acceptsTasks = change.accepts_tasks()};
    }
    case stored::Change::HostRemoved:
        return HostRemoved{
            {stringOrEmpty(static_cast<const stored::HostRemoved *>(table)->host())}};
    case stored::Change::TaskPlaced: {
        const auto &change = *static_cast<const stored::TaskPlaced *>(table);
        return TaskPlaced{.task = {stringOrEmpty(change.task())},
                          .incarnation = change.incarnation(),
                          .host = {stringOrEmpty(change.host())}};
    }
    case stored::Change::TaskReleased: {
        const auto &change = *static_cast<const stored::TaskReleased *>(table);
        if (change.reason() > static_cast<std::uint8_t>(ReleaseReason::Cancelled)) {
            return std::nullopt;
        }
        return TaskReleased{.task = {stringOrEmpty(change.task())},
                            .incarnation = change.incarnation(),
                            .reason = static_cast<ReleaseReason>(change.reason()),
                            .checkpoint = stringOrEmpty(change.checkpoint()),
                            .detail = stringOrEmpty(change.detail())};
    }
    case stored::Change::TaskCancelled:
        return TaskCancelled{
            {stringOrEmpty(static_cast<const stored::TaskCancelled *>(table)->task())}};
    case stored::Change::TaskRejected: {
        const auto &change = *static_cast<const stored::TaskRejected *>(table);
        return TaskRejected{{stringOrEmpty(change.task())}, stringOrEmpty(change.reason())};
    }
    case stored::Change::TaskMoved: {
        const auto &change = *static_cast<const stored::TaskMoved *>(table);
        return TaskMoved{{stringOrEmpty(change.task())}, {stringOrEmpty(change.to_shard())}};
    }
    case stored::Change::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encodeLogEntry(const LogEntry &entry)
{
    FlatBufferBuilder builder(4096);
    std::vector<stored::Change> types;
    std::vector<Offset<void>> changes;
    types.reserve(entry.changes.size());
    changes.reserve(entry.changes.size());
    for (const Change &change : entry.changes) {
        const auto [type, offset] = std::visit(Packer{builder}, change);
        types.push_back(type);
        changes.push_back(offset);
    }
    const auto shard = builder.CreateString(entry.shard.value);
    const auto transactionId = packString(builder, entry.transactionId);
    const auto typeVector = builder.CreateVector(types);
    const auto changeVector = builder.CreateVector(changes);
    stored::LogEntryBuilder table(builder);
    table.add_shard(shard);
    table.add_epoch(entry.epoch);
    table.add_sequence(entry.sequence);
    table.add_transaction_id(transactionId);
    table.add_changes_type(typeVector);
    table.add_changes(changeVector);
    builder.Finish(table.Finish());
    return wrapPayload(logEntryMagic, builder);
}

Result<LogEntry> decodeLogEntry(std::string_view bytes)
{
    const auto payload = unwrapPayload(logEntryMagic, bytes, ResultCode::TornEntry);
    if (!payload) {
        return tl::make_unexpected(payload.error());
    }
    if (!verifyPayload<stored::LogEntry>(*payload)) {
        return failure(ResultCode::TornEntry, "the log entry fails FlatBuffers verification");
    }
    const auto &table = *flatbuffers::GetRoot<stored::LogEntry>(payload->data());
    LogEntry entry{.shard = {stringOrEmpty(table.shard())},
                   .epoch = table.epoch(),
                   .sequence = table.sequence(),
                   .transactionId = stringOrEmpty(table.transaction_id()),
                   .changes = {}};
    const std::size_t count = table.changes() == nullptr ? 0 : table.changes()->size();
    entry.changes.reserve(count);
    for (std::size_t n = 0; n < count; ++n) {
        const auto index = static_cast<flatbuffers::uoffset_t>(n);
        auto change = unpackChange(table.changes_type()->GetEnum<stored::Change>(index),
                                   table.changes()->Get(index));
        if (!change) {
            return failure(ResultCode::UnsupportedFormat,
                           "change " + std::to_string(n)
                               + " of the log entry has an unknown type or value");
        }
        entry.changes.push_back(std::move(*change));
    }
    return entry;
}

std::string encodeSnapshot(const ShardState &state)
{
    FlatBufferBuilder builder(1 << 20);
    std::vector<Offset<stored::Task>> tasks;
    tasks.reserve(state.tasks.size());
    for (const auto &[id, task] : state.tasks) {
        tasks.push_back(packTask(builder, task));
    }
    std::vector<Offset<stored::Host>> hosts;
    hosts.reserve(state.hosts.size());
    for (const auto &[id, host] : state.hosts) {
        const auto name = builder.CreateSharedString(id.value);
        const auto rack = packSharedString(builder, host.rack.value);
        const auto capacity = packResources(host.capacity);
        hosts.push_back(stored::CreateHost(builder, name, rack, &capacity, host.acceptsTasks));
    }
    std::vector<Offset<flatbuffers::String>> jobs;
    jobs.reserve(state.jobs.size());
    for (const JobId &job : state.jobs) {
        jobs.push_back(builder.CreateSharedString(job.value));
    }
    const auto shard = builder.CreateString(state.shard.value);
    const auto domain = packString(builder, state.failureDomain.value);
    const auto taskVector = builder.CreateVector(tasks);
    const auto hostVector = builder.CreateVector(hosts);
    const auto jobVector = builder.CreateVector(jobs);
    builder.Finish(stored::CreateSnapshot(builder, shard, domain, state.epoch, state.lastSequence,
                                          state.lastAcceptanceNumber, taskVector, hostVector,
                                          jobVector));
    return wrapPayload(snapshotMagic, builder);
}

Result<ShardState> decodeSnapshot(std::string_view bytes)
{
    const auto payload = unwrapPayload(snapshotMagic, bytes, ResultCode::CorruptSnapshot);
    if (!payload) {
        return tl::make_unexpected(payload.error());
    }
    if (!verifyPayload<stored::Snapshot>(*payload)) {
        return failure(ResultCode::CorruptSnapshot, "the snapshot fails FlatBuffers verification");
    }
    const auto &table = *flatbuffers::GetRoot<stored::Snapshot>(payload->data());
    ShardState state;
    state.shard = {stringOrEmpty(table.shard())};
    state.failureDomain = {stringOrEmpty(table.failure_domain())};
    state.epoch = table.epoch();
    state.lastSequence = table.last_sequence();
    state.lastAcceptanceNumber = table.last_accepted_as();
    if (table.tasks() != nullptr) {
        state.tasks.reserve(table.tasks()->size());
        for (const stored::Task *const packed : *table.tasks()) {
            auto task = unpackTask(*packed);
            if (!task) {
                return failure(ResultCode::UnsupportedFormat,
                               "a task has an unknown state or class", stringOrEmpty(packed->id()));
            }
            state.tasks.emplace(task->spec.id, std::move(*task));
        }
    }
    if (table.hosts() != nullptr) {
        for (const stored::Host *const host : *table.hosts()) {
            const HostId id{stringOrEmpty(host->id())};
            state.hosts[id] = HostState{.id = id,
                                        .rack = {stringOrEmpty(host->rack())},
                                        .capacity = unpackResources(*host->capacity()),
                                        .committed = {},
                                        .acceptsTasks = host->accepts_tasks(),
                                        .tasks = {}};
        }
    }
    if (table.jobs() != nullptr) {
        for (const flatbuffers::String *const job : *table.jobs()) {
            state.jobs.insert({stringOrEmpty(job)});
        }
    }
    if (auto rebuilt = rebuildIndexes(state); !rebuilt) {
        return failure(ResultCode::CorruptSnapshot, rebuilt.error().message, rebuilt.error().where);
    }
    return state;
}

std::string encodeTasks(const JobId &job, const std::vector<Task> &tasks)
{
    FlatBufferBuilder builder(1024);
    builder.Finish(packJob(builder, job, tasks));
    return wrapPayload(tasksMagic, builder);
}

Result<JobAccepted> decodeTasks(std::string_view bytes)
{
    const auto payload = unwrapPayload(tasksMagic, bytes, ResultCode::TornEntry);
    if (!payload) {
        return tl::make_unexpected(payload.error());
    }
    if (!verifyPayload<stored::JobAccepted>(*payload)) {
        return failure(ResultCode::TornEntry, "the task list fails FlatBuffers verification");
    }
    auto change = unpackJob(*flatbuffers::GetRoot<stored::JobAccepted>(payload->data()));
    if (!change) {
        return failure(ResultCode::UnsupportedFormat, "a task has an unknown state or class");
    }
    return std::move(*change);
}

} // namespace acaciadeal
