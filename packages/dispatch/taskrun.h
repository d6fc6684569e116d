#ifndef ACACIADEAL_DISPATCH_TASKRUN_H
#define ACACIADEAL_DISPATCH_TASKRUN_H

#include "base/identifier.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

/// One task of a job.
struct TaskKey
{
    JobId job;
    /// Which repetition of the job's steps; 0 for a job that runs once.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const TaskKey &, const TaskKey &) = default;
};

/// Returns "job/step/index" for logs. Thread-safe.
std::string describe(const TaskKey &task);

/// Why a run ended at its host.
enum class RunEnd : std::uint8_t {
    Done,
    /// By its own fault or the host's.
    Failed,
    Stopped,
    LeaseLapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
};

std::string_view runEndName(RunEnd end);

/// A run that a host lists as present.
struct PresentRun
{
    TaskKey task;
    std::uint64_t run = 0;
    /// Newest checkpoint; empty if there is none.
    std::string checkpoint;
    /// Share of the work that is done; of a long-running task, 100 once it is at work.
    int percent = 0;
    /// Tail latency in ms of a task that serves its own users, otherwise processors in use in
    /// thousandths of a core; both over the last half second.
    double load = 0;
};

struct RunEnding
{
    /// Position in the host's list of ends, from 1 in each of its lives.
    std::uint64_t number = 0;
    TaskKey task;
    std::uint64_t run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// A host's answer to a renewal.
struct HostReport
{
    /// The host's own steady clock.
    milliseconds hostClock{0};
    /// Start of the host's current life as time of day; absent if the host does not say.
    std::optional<milliseconds> bootedAt;
    std::vector<PresentRun> active;
    /// Ends that were not acknowledged yet, in ascending order.
    std::vector<RunEnding> ended;
};

/// How a host answered the order to start a task.
enum class StartOutcome : std::uint8_t {
    Started,
    NoRoom,
    /// The host has seen this run or a later one end.
    Outdated,
    /// The lease of the order had lapsed on arrival.
    LeaseLapsed,
    /// The host has seen a higher fencing token.
    Fenced,
    /// The address now belongs to another life of the host.
    WrongInstance,
    /// The host is unhealthy and did nothing.
    Unhealthy,
    Malformed,
    /// No answer: the order may have been carried out, or may be later.
    Unknown,
};

std::string_view startOutcomeName(StartOutcome outcome);

} // namespace acaciadeal

#endif
