#include "soak/invariantchecker.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace acaciadeal::soak {
namespace {

/// Time within which every daemon must know an accepted job, as required by users: 3 s.
constexpr Duration visibilityTimeout = std::chrono::seconds(3);
/// Age that a count of pending jobs may have, as users accept it.
constexpr Duration maxCountAge = std::chrono::seconds(2);

/// Time after its last run within which a long-running task need not run again, the time for which
/// it may be away after that while there is room for two of its kind, and the time before that in
/// which unplanned disruptions count, as required by users.
constexpr Duration restartTimeout = std::chrono::seconds(6);
constexpr Duration maxAbsence = std::chrono::seconds(3);
constexpr Duration calmBeforeAbsence = std::chrono::seconds(4);

bool isEnded(const std::string &state)
{
    return state == "completed" || state == "failed" || state == "cancelled";
}

} // namespace

TaskNameParts parseTaskName(const TaskName &task)
{
    const auto first = task.find('.');
    const auto second = task.find('.', first + 1);
    const auto third = task.find('.', second + 1);
    return {.job = task.substr(0, first),
            .step = std::stoi(task.substr(second + 1, third - second - 1)),
            .index = std::stoi(task.substr(third + 1))};
}

void InvariantChecker::reportViolation(const std::string &rule, const std::string &what)
{
    violations.push_back(rule + ": " + what);
    std::cerr << "VIOLATION " << violations.back() << std::endl;
}

bool InvariantChecker::isStepDone(const std::string &job, int step)
{
    const int tasks = jobs[job].steps[static_cast<std::size_t>(step)].tasks;
    for (int n = 0; n < tasks; ++n) {
        const auto it = m_tasks.find(job + ".0." + std::to_string(step) + "." + std::to_string(n));
        if (it == m_tasks.end() || it->second.doneRuns.empty()) {
            return false;
        }
    }
    return true;
}

void InvariantChecker::onStart(const std::string &host, const TaskName &task, std::uint64_t run,
                               const std::string &payload, int maxAttempts)
{
    const TaskNameParts parts = parseTaskName(task);
    const std::string what = task + " run " + std::to_string(run) + " on " + host;
    const auto it = jobs.find(parts.job);
    if (it == jobs.end() || it->second.payload != payload) {
        reportViolation("UNASKED", what + " has a job or payload that was never submitted");
        return;
    }
    it->second.started = true;
    if (it->second.deniedAfterCancel) {
        reportViolation("UNASKED",
                        what + " started after its cancellation was answered with \"no such job\"");
    }
    TaskRecord &record = m_tasks[task];
    for (const auto &[other, where] : record.active) {
        std::string text = what;
        text.append(" started while run ")
            .append(std::to_string(other))
            .append(" is active on ")
            .append(where);
        reportViolation("TWICE", text);
    }
    if (record.doneAcknowledged) {
        reportViolation("TWICE",
                        what + " started after the end of a \"done\" run was acknowledged");
    }
    record.restartedDoneRuns.insert(record.doneRuns.begin(), record.doneRuns.end());
    if (record.acknowledgedFailures.size() >= static_cast<std::size_t>(maxAttempts)) {
        reportViolation("BUDGET", what + " started after "
                                      + std::to_string(record.acknowledgedFailures.size())
                                      + " acknowledged failures");
    }
    for (int step = 0; step < parts.step; ++step) {
        if (!isStepDone(parts.job, step)) {
            reportViolation("ORDER",
                            what + " started before step " + std::to_string(step) + " is done");
        }
    }
    record.active[run] = host;
    record.reportedAsLost = false;
}

void InvariantChecker::onEnd(const std::string &host, const TaskName &task, std::uint64_t run,
                             const std::string &outcome, TimePoint now)
{
    TaskRecord &record = m_tasks[task];
    record.lastRun = "run " + std::to_string(run) + " on " + host + ": " + outcome;
    record.lastRunEndedAt = now;
    const auto it = record.active.find(run);
    if (it != record.active.end() && it->second == host) {
        record.active.erase(it);
    }
    if (outcome == "done") {
        record.doneRuns.insert(run);
    }
}

void InvariantChecker::onEndAcknowledged(const TaskName &task, std::uint64_t run,
                                         const std::string &outcome)
{
    TaskRecord &record = m_tasks[task];
    if (outcome == "done") {
        record.doneAcknowledged = true;
        if (record.restartedDoneRuns.contains(run)) {
            reportViolation("TWICE", task + " was started again after run " + std::to_string(run)
                                         + ", whose \"done\" end was acknowledged later");
        }
    } else if (outcome == "failed") {
        record.acknowledgedFailures.insert(run);
    }
}

void InvariantChecker::onState(const std::string &job, const std::string &state, TimePoint now)
{
    JobRecord &record = jobs[job];
    if (state == "unknown") {
        if (record.accepted && now - record.acceptedAt > visibilityTimeout) {
            reportViolation("LOST", job + " was accepted, but a daemon does not know it after 3 s");
        }
        return;
    }
    if (isEnded(state) && !record.endSeenAt) {
        record.endSeenAt = now;
    }
    if (!state.empty() && !isEnded(state) && state != "queued" && state != "in_progress") {
        reportViolation("MIXED", job + " is reported with the unreadable state \"" + state + "\"");
    }
    if (state == "completed") {
        record.completed = true;
        for (std::size_t step = 0; step < record.steps.size(); ++step) {
            if (!isStepDone(job, static_cast<int>(step))) {
                reportViolation("MIXED", job + " is reported as completed while step "
                                             + std::to_string(step) + " is not done");
            }
        }
    } else if (state == "failed") {
        record.failed = true;
    } else if (state == "cancelled" && !record.cancelled) {
        reportViolation("LOST", job + " is reported as cancelled, but no caller cancelled it");
    }
}

void InvariantChecker::onUnknownJobShown(const std::string &daemon, const std::string &id)
{
    reportViolation("MIXED", daemon + " shows a state of " + id + ", which nobody submitted");
}

void InvariantChecker::onPendingCount(const std::string &daemon, std::size_t count,
                                      TimePoint askedAt)
{
    std::size_t waiting = 0;
    std::size_t notEnded = 0;
    for (const auto &[id, job] : jobs) {
        waiting += job.accepted && !job.started && !job.cancelled
                           && askedAt - job.acceptedAt > visibilityTimeout + maxCountAge
                       ? 1
                       : 0;
        notEnded += job.endSeenAt && askedAt - *job.endSeenAt > maxCountAge ? 0 : 1;
    }
    const std::string answer =
        daemon + " says that " + std::to_string(count) + " jobs are pending, ";
    if (2 * count < waiting) {
        reportViolation("MIXED", answer + std::to_string(waiting) + " have waited for over 5 s");
    }
    if (count > notEnded) {
        reportViolation("COUNT", answer + std::to_string(notEnded) + " have not ended");
    }
}

void InvariantChecker::onFinalPendingCount(const std::string &daemon,
                                           std::optional<std::size_t> count)
{
    if (count != std::size_t{0}) {
        reportViolation("COUNT", daemon + " says that "
                                     + (count ? std::to_string(*count) : "an unknown number of")
                                     + " jobs are pending after all of them had time to end");
    }
}

void InvariantChecker::checkLongRunningTasks(TimePoint roomSince, TimePoint calmSince,
                                             TimePoint now)
{
    if (now - roomSince < maxAbsence || now - calmSince < maxAbsence + calmBeforeAbsence) {
        return;
    }
    for (const auto &[id, job] : jobs) {
        if (!job.accepted || job.cancelled || !job.steps.front().longRunning) {
            continue;
        }
        for (int n = 0; n < job.steps.front().tasks; ++n) {
            const TaskName task = id + ".0.0." + std::to_string(n);
            TaskRecord &record = m_tasks[task];
            const Duration away = now - record.lastRunEndedAt.value_or(job.acceptedAt);
            if (record.active.empty() && away > restartTimeout + maxAbsence
                && !std::exchange(record.reportedAsLost, true)) {
                reportViolation("LOST",
                                task + " is to last and does not run, with room for two; last "
                                    + (record.lastRunEndedAt ? record.lastRun : "run: none"));
            }
        }
    }
}

void InvariantChecker::checkFinalState()
{
    for (const auto &[id, job] : jobs) {
        if (job.accepted && !job.cancelled && !job.completed && !job.failed) {
            reportViolation("LOST", id + " was accepted, but did not end in time");
        }
        if (job.started && !job.accepted && !job.possiblyAccepted) {
            reportViolation("REFUSED", id + " was refused, but a task of it was started");
        }
    }
    for (const auto &[task, record] : m_tasks) {
        if (jobs[parseTaskName(task).job].cancelled && !record.active.empty()) {
            reportViolation("UNASKED", task + " of a cancelled job is still active");
        }
    }
}

} // namespace acaciadeal::soak
