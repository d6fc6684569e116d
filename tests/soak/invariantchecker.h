#ifndef ACACIADEAL_SOAK_INVARIANTCHECKER_H
#define ACACIADEAL_SOAK_INVARIANTCHECKER_H

#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal::soak {

/// One task by the name it has on the wire, "job.occurrence.step.index".
using TaskName = std::string;

struct StepPlan
{
    int tasks = 1;
    int milliCores = 1000;
    int runMs = 300;
};

/// A job as its caller knows it. Steps run one after the other.
struct JobRecord
{
    std::string payload;
    std::vector<StepPlan> steps;
    bool accepted = false;
    TimePoint acceptedAt;
    /// Whether an attempt ended without an answer that says that the job was not taken.
    bool possiblyAccepted = false;
    bool cancelled = false;
    bool completed = false;
    bool failed = false;
    bool started = false;
};

/// What callers and hosts have seen, and every promise that was broken by it. Not thread-safe.
class InvariantChecker
{
public:
    std::map<std::string, JobRecord> jobs;
    std::vector<std::string> violations;

    void reportViolation(const std::string &rule, const std::string &what);
    /// A host began a run. @p host tells the lives of one host apart.
    void onStart(const std::string &host, const TaskName &task, std::uint64_t run,
                 const std::string &payload, int maxAttempts);
    /// A run ended; "done" and "failed" count for the task.
    void onEnd(const std::string &host, const TaskName &task, std::uint64_t run,
               const std::string &outcome);
    /// The end was acknowledged to the host.
    void onEndAcknowledged(const TaskName &task, std::uint64_t run, const std::string &outcome);
    /// A caller was shown a state, or that there is no such job.
    void onState(const std::string &job, const std::string &state, TimePoint now);
    /// Checks what must hold once faults have ended and time to finish was given.
    void checkFinalState();

private:
    struct TaskRecord
    {
        /// Runs that work now, with their hosts.
        std::map<std::uint64_t, std::string> active;
        std::set<std::uint64_t> doneRuns;
        /// Done runs after which another run was started.
        std::set<std::uint64_t> restartedDoneRuns;
        std::set<std::uint64_t> acknowledgedFailures;
        bool doneAcknowledged = false;
    };

    bool isStepDone(const std::string &job, int step);

    std::map<TaskName, TaskRecord> m_tasks;
};

/// Splits a task's name. Precondition: it has the form above.
struct TaskNameParts
{
    std::string job;
    int step = 0;
    int index = 0;
};
TaskNameParts parseTaskName(const TaskName &task);

} // namespace acaciadeal::soak

#endif
