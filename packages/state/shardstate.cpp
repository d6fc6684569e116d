#include "state/shardstate.h"

#include <cassert>
#include <optional>
#include <utility>

namespace acaciadeal {
namespace {

tl::unexpected<Error> invariantViolation(std::string message, std::string where)
{
    return failure(ResultCode::InvariantViolated, std::move(message), std::move(where));
}

bool isZero(const Resources &resources)
{
    return resources == Resources{};
}

/// Adds a waiting task to the queue, and a placed task to the totals of its host and team.
void addToIndexes(ShardState &state, const Task &task)
{
    if (isWaiting(task.state)) {
        state.queue.emplace(QueueKey{task.spec.taskClass, task.acceptanceNumber}, task.spec.id);
    } else if (task.state == TaskState::Placed) {
        HostState &host = state.hosts.at(task.host);
        host.tasks.insert(task.spec.id);
        host.committed = host.committed + task.spec.size;
        Resources &team = state.committedByTeam[task.spec.team];
        team = team + task.spec.size;
    }
}

/// Reverses addToIndexes().
void removeFromIndexes(ShardState &state, const Task &task)
{
    if (isWaiting(task.state)) {
        state.queue.erase(QueueKey{task.spec.taskClass, task.acceptanceNumber});
    } else if (task.state == TaskState::Placed) {
        HostState &host = state.hosts.at(task.host);
        host.tasks.erase(task.spec.id);
        host.committed = host.committed - task.spec.size;
        const auto team = state.committedByTeam.find(task.spec.team);
        team->second = team->second - task.spec.size;
        if (isZero(team->second)) {
            state.committedByTeam.erase(team);
        }
    }
}

/// Records the previous value of everything that a log entry modifies, so that a rejected entry can
/// be rolled back. The cost depends on the size of the entry, not on the size of the state.
class UndoList
{
public:
    explicit UndoList(ShardState &state)
        : m_state(state)
        , m_lastAcceptanceNumber(state.lastAcceptanceNumber)
    {
    }

    void recordPrevious(const TaskId &id)
    {
        const auto it = m_state.tasks.find(id);
        m_undos.emplace_back(
            TaskUndo{id, it == m_state.tasks.end() ? std::nullopt : std::optional(it->second)});
    }

    void recordPrevious(const HostId &id)
    {
        const auto it = m_state.hosts.find(id);
        m_undos.emplace_back(
            HostUndo{id, it == m_state.hosts.end() ? std::nullopt : std::optional(it->second)});
    }

    void recordNewJob(const JobId &id)
    {
        m_undos.emplace_back(id);
    }

    void rollBack()
    {
        for (auto it = m_undos.rbegin(); it != m_undos.rend(); ++it) {
            std::visit([this](const auto &undo) { restore(undo); }, *it);
        }
        m_undos.clear();
        m_state.lastAcceptanceNumber = m_lastAcceptanceNumber;
    }

private:
    struct TaskUndo
    {
        TaskId id;
        std::optional<Task> previous;
    };
    struct HostUndo
    {
        HostId id;
        std::optional<HostState> previous;
    };

    void restore(const TaskUndo &undo)
    {
        const auto it = m_state.tasks.find(undo.id);
        assert(it != m_state.tasks.end());
        removeFromIndexes(m_state, it->second);
        if (undo.previous) {
            it->second = *undo.previous;
            addToIndexes(m_state, it->second);
        } else {
            m_state.tasks.erase(it);
        }
    }

    void restore(const HostUndo &undo)
    {
        if (undo.previous) {
            m_state.hosts[undo.id] = *undo.previous;
        } else {
            m_state.hosts.erase(undo.id);
        }
    }

    void restore(const JobId &job)
    {
        m_state.jobs.erase(job);
    }

    ShardState &m_state;
    std::uint64_t m_lastAcceptanceNumber;
    std::vector<std::variant<TaskUndo, HostUndo, JobId>> m_undos;
};

/// Returns whether a JobAccepted change adds @p arriving, by the rules that JobAccepted describes.
bool isNewTask(const ShardState &state, const JobId &job, const Task &arriving)
{
    const auto known = state.tasks.find(arriving.spec.id);
    if (known != state.tasks.end()) {
        return known->second.state == TaskState::Moved && arriving.moves > known->second.moves;
    }
    return arriving.moves > 0 || !state.jobs.contains(job);
}

struct Checker
{
    const ShardState &state;

    const Task *findTask(const TaskId &id) const
    {
        const auto it = state.tasks.find(id);
        return it == state.tasks.end() ? nullptr : &it->second;
    }

    Result<void> requireWaiting(const TaskId &id) const
    {
        const Task *const task = findTask(id);
        if (task == nullptr) {
            return invariantViolation("unknown task", id.value);
        }
        if (!isWaiting(task->state)) {
            return invariantViolation("the task is not waiting for a placement", id.value);
        }
        return {};
    }

    Result<void> operator()(const JobAccepted &change) const
    {
        std::set<TaskId> seen;
        for (const Task &task : change.tasks) {
            if (task.spec.job != change.job || task.spec.id.empty()) {
                return invariantViolation("the task has no id or belongs to another job",
                                          task.spec.id.value);
            }
            if (!seen.insert(task.spec.id).second) {
                return invariantViolation("the job contains the task twice", task.spec.id.value);
            }
            if (!isWaiting(task.state) || !task.host.empty()) {
                return invariantViolation("an accepted task must be waiting and have no host",
                                          task.spec.id.value);
            }
            if (!isNonNegative(task.spec.size)) {
                return invariantViolation("the declared size of the task is negative",
                                          task.spec.id.value);
            }
            const Task *const known = findTask(task.spec.id);
            if (known != nullptr && known->spec.job != change.job) {
                return invariantViolation("another job already has a task with this id",
                                          task.spec.id.value);
            }
        }
        return {};
    }

    Result<void> operator()(const HostUpdated &change) const
    {
        if (change.host.empty() || !isNonNegative(change.capacity)) {
            return invariantViolation("the host has no id or a negative capacity",
                                      change.host.value);
        }
        const auto it = state.hosts.find(change.host);
        if (it != state.hosts.end() && !fits(it->second.committed, change.capacity)) {
            return invariantViolation("the new capacity is below the committed resources",
                                      change.host.value);
        }
        return {};
    }

    Result<void> operator()(const HostRemoved &change) const
    {
        const auto it = state.hosts.find(change.host);
        if (it == state.hosts.end()) {
            return invariantViolation("unknown host", change.host.value);
        }
        if (!it->second.tasks.empty()) {
            return invariantViolation("tasks are still placed on the host", change.host.value);
        }
        return {};
    }

    Result<void> operator()(const TaskPlaced &change) const
    {
        if (auto waiting = requireWaiting(change.task); !waiting) {
            return waiting;
        }
        const Task &task = *findTask(change.task);
        if (change.incarnation != task.incarnation + 1) {
            return invariantViolation("the incarnation is not the previous one plus one",
                                      change.task.value);
        }
        const auto host = state.hosts.find(change.host);
        if (host == state.hosts.end()) {
            return invariantViolation("unknown host", change.host.value);
        }
        if (!host->second.acceptsTasks) {
            return invariantViolation("the host does not accept tasks", change.host.value);
        }
        if (!fits(task.spec.size, host->second.capacity - host->second.committed)) {
            return invariantViolation("the placement would exceed the host's capacity",
                                      change.host.value);
        }
        return {};
    }

    Result<void> operator()(const TaskReleased &change) const
    {
        const Task *const task = findTask(change.task);
        if (task == nullptr) {
            return invariantViolation("unknown task", change.task.value);
        }
        if (task->state != TaskState::Placed || task->incarnation != change.incarnation) {
            return invariantViolation("the task is not placed with this incarnation",
                                      change.task.value);
        }
        return {};
    }

    Result<void> operator()(const TaskCancelled &change) const
    {
        if (findTask(change.task) == nullptr) {
            return invariantViolation("unknown task", change.task.value);
        }
        return {};
    }

    Result<void> operator()(const TaskRejected &change) const
    {
        return requireWaiting(change.task);
    }

    Result<void> operator()(const TaskMoved &change) const
    {
        if (change.toShard.empty() || change.toShard == state.shard) {
            return invariantViolation("the target shard is empty or the task's own shard",
                                      change.toShard.value);
        }
        return requireWaiting(change.task);
    }
};

TaskState stateAfterRelease(const Task &task, ReleaseReason reason)
{
    if (reason == ReleaseReason::Finished) {
        return TaskState::Finished;
    }
    if (reason == ReleaseReason::Cancelled || task.cancelRequested) {
        return TaskState::Cancelled;
    }
    if (reason == ReleaseReason::Failed && task.failures >= task.spec.maxFailures) {
        return TaskState::Failed;
    }
    return task.checkpoint.empty() ? TaskState::Queued : TaskState::Evicted;
}

/// Applies a change that Checker has accepted.
struct Applier
{
    ShardState &state;
    UndoList &undo;

    template<typename Update>
    void updateTask(const TaskId &id, Update modify)
    {
        undo.recordPrevious(id);
        Task &task = state.tasks.at(id);
        removeFromIndexes(state, task);
        modify(task);
        addToIndexes(state, task);
    }

    void operator()(const JobAccepted &change)
    {
        bool submitted = change.tasks.empty();
        for (const Task &task : change.tasks) {
            submitted = submitted || task.moves == 0;
            if (!isNewTask(state, change.job, task)) {
                continue;
            }
            undo.recordPrevious(task.spec.id);
            Task &stored = state.tasks[task.spec.id];
            stored = task;
            stored.acceptanceNumber = ++state.lastAcceptanceNumber;
            addToIndexes(state, stored);
        }
        if (submitted && state.jobs.insert(change.job).second) {
            undo.recordNewJob(change.job);
        }
    }

    void operator()(const HostUpdated &change)
    {
        undo.recordPrevious(change.host);
        HostState &host = state.hosts[change.host];
        host.id = change.host;
        host.rack = change.rack;
        host.capacity = change.capacity;
        host.acceptsTasks = change.acceptsTasks;
    }

    void operator()(const HostRemoved &change)
    {
        undo.recordPrevious(change.host);
        state.hosts.erase(change.host);
    }

    void operator()(const TaskPlaced &change)
    {
        updateTask(change.task, [&](Task &task) {
            task.state = TaskState::Placed;
            task.incarnation = change.incarnation;
            task.host = change.host;
        });
    }

    void operator()(const TaskReleased &change)
    {
        updateTask(change.task, [&](Task &task) {
            if (!change.checkpoint.empty()) {
                task.checkpoint = change.checkpoint;
            }
            task.failures += change.reason == ReleaseReason::Failed ? 1 : 0;
            task.evictions += change.reason == ReleaseReason::Evicted ? 1 : 0;
            task.state = stateAfterRelease(task, change.reason);
            task.detail = change.detail;
            task.host = {};
        });
    }

    void operator()(const TaskCancelled &change)
    {
        if (isEnded(state.tasks.at(change.task).state)) {
            return;
        }
        updateTask(change.task, [](Task &task) {
            task.cancelRequested = true;
            if (isWaiting(task.state)) {
                task.state = TaskState::Cancelled;
            }
        });
    }

    void operator()(const TaskRejected &change)
    {
        updateTask(change.task, [&](Task &task) {
            task.state = TaskState::Impossible;
            task.detail = change.reason;
        });
    }

    void operator()(const TaskMoved &change)
    {
        updateTask(change.task, [&](Task &task) {
            task.state = TaskState::Moved;
            task.detail = change.toShard.value;
            ++task.moves;
        });
    }
};

Result<void> checkOrder(const ShardState &state, const LogEntry &entry)
{
    const std::string where = entry.shard.value + "/" + std::to_string(entry.sequence);
    if (entry.shard != state.shard) {
        return failure(ResultCode::ForeignEpoch, "the entry belongs to another shard", where);
    }
    if (entry.sequence <= state.lastSequence) {
        return failure(ResultCode::RepeatedEntry, "the entry has already been applied", where);
    }
    if (entry.sequence != state.lastSequence + 1) {
        return failure(ResultCode::MissingEntry,
                       "log entry " + std::to_string(state.lastSequence + 1) + " is missing",
                       where);
    }
    if (entry.epoch < state.epoch) {
        return failure(ResultCode::ForeignEpoch,
                       "the entry's epoch " + std::to_string(entry.epoch)
                           + " is older than the shard's epoch " + std::to_string(state.epoch),
                       where);
    }
    return {};
}

} // namespace

bool isWaiting(TaskState state)
{
    return state == TaskState::Queued || state == TaskState::Evicted;
}

bool isEnded(TaskState state)
{
    return !isWaiting(state) && state != TaskState::Placed;
}

Task movedTask(const Task &task)
{
    Task moved = task;
    ++moved.moves;
    moved.detail.clear();
    return moved;
}

Result<void> check(const ShardState &state, const Change &change)
{
    return std::visit(Checker{state}, change);
}

Result<void> apply(ShardState &state, const LogEntry &entry)
{
    if (auto inOrder = checkOrder(state, entry); !inOrder) {
        return inOrder;
    }
    UndoList undo(state);
    Applier applier{state, undo};
    for (const Change &change : entry.changes) {
        if (auto valid = check(state, change); !valid) {
            undo.rollBack();
            return valid;
        }
        std::visit(applier, change);
    }
    state.epoch = entry.epoch;
    state.lastSequence = entry.sequence;
    return {};
}

Result<void> rebuildIndexes(ShardState &state)
{
    state.queue.clear();
    state.committedByTeam.clear();
    for (auto &[id, host] : state.hosts) {
        host.committed = {};
        host.tasks.clear();
    }
    for (const auto &[id, task] : state.tasks) {
        if (task.state == TaskState::Placed && !state.hosts.contains(task.host)) {
            return invariantViolation("the task is placed on an unknown host", id.value);
        }
        addToIndexes(state, task);
    }
    for (const auto &[id, host] : state.hosts) {
        if (!fits(host.committed, host.capacity)) {
            return invariantViolation("the committed resources exceed the host's capacity",
                                      id.value);
        }
    }
    return {};
}

void removeEndedTasks(ShardState &state, std::uint64_t acceptedBefore)
{
    std::erase_if(state.tasks, [acceptedBefore](const auto &entry) {
        return entry.second.acceptanceNumber < acceptedBefore && isEnded(entry.second.state);
    });
}

} // namespace acaciadeal
