#ifndef ACACIADEAL_DISPATCH_TASKRUN_H
#define ACACIADEAL_DISPATCH_TASKRUN_H

#include "base/identifier.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal {

/// Identifies a task of a job.
struct TaskKey
{
    JobId job;
    /// Number of the repetition of the job's steps; 0 for a job that runs once.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const TaskKey &, const TaskKey &) = default;
};

/// Returns "job/step/index" for logs, with "#occurrence" appended if that is not 0. Thread-safe.
std::string describe(const TaskKey &task);

/// How a run ended on its host.
enum class RunEnd : std::uint8_t {
    Done,
    /// Through a fault of the task or of the host.
    Failed,
    Stopped,
    LeaseLapsed,
    /// Stopped because another member of its gang ended.
    GangBroken,
    /// Stopped because the other members of its gang did not start in time.
    GangIncomplete,
};

std::string_view runEndName(RunEnd end);

/// A run that a host reports as present.
struct PresentRun
{
    TaskKey task;
    std::uint64_t run = 0;
    /// Latest checkpoint; empty if there is none.
    std::string checkpoint;
    /// Progress in percent; for a long-running task, 100 as soon as it serves.
    int percent = 0;
    /// Serving task: tail latency in ms. Other task: processors in use, in thousandths of a core.
    /// Both over the last half second.
    double load = 0;
};

/// The end of a run, as reported by its host.
struct ReportedRunEnd
{
    /// Sequence number of the end on the host; starts at 1 in each incarnation.
    std::uint64_t number = 0;
    TaskKey task;
    std::uint64_t run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// A host's answer to a lease renewal.
struct HostReport
{
    /// Reading of the host's own steady clock.
    milliseconds hostClock{0};
    /// Start of the host's current incarnation, as time of day; unset if the host does not report
    /// it.
    std::optional<milliseconds> bootedAt;
    std::vector<PresentRun> active;
    /// Ends that were not acknowledged yet, in ascending order of their numbers.
    std::vector<ReportedRunEnd> ended;
    /// Whether @ref ended contains all of them. If not, a run that is in neither list may have
    /// ended, with any result.
    bool complete = true;
};

/// A host's answer to a start order.
enum class StartOutcome : std::uint8_t {
    Started,
    NoRoom,
    /// This run or a later one of the task has already ended on the host.
    Outdated,
    /// The lease in the order had expired when the order arrived.
    LeaseLapsed,
    /// The host has seen a higher fencing token.
    Fenced,
    /// The address now belongs to another incarnation of the host.
    WrongInstance,
    /// The host has restarted since the order was made, and has not received it.
    HostRestarted,
    /// The host is unhealthy and ignored the order.
    Unhealthy,
    /// The host could not parse the order.
    Malformed,
    /// The order was not sent: all connections to the host stayed in use. Says nothing about the
    /// host's health.
    NotSent,
    /// No answer. The order may have been executed, or may still be executed later.
    Unknown,
};

std::string_view startOutcomeName(StartOutcome outcome);

} // namespace acaciadeal

#endif
