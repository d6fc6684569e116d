#include "jobs/jobprogress.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace acaciadeal {
namespace {

using nlohmann::json;

constexpr std::size_t bitsPerDigit = 4;

std::string toHex(const std::vector<bool> &bits)
{
    std::string text((bits.size() + bitsPerDigit - 1) / bitsPerDigit, '0');
    for (std::size_t n = 0; n < text.size(); ++n) {
        int digit = 0;
        for (std::size_t bit = 0; bit < bitsPerDigit; ++bit) {
            const std::size_t index = n * bitsPerDigit + bit;
            if (index < bits.size() && bits[index]) {
                digit |= 1 << bit;
            }
        }
        text[n] = "0123456789abcdef"[digit];
    }
    return text;
}

bool fromHex(const std::string &text, std::vector<bool> &bits)
{
    if (text.size() != (bits.size() + bitsPerDigit - 1) / bitsPerDigit) {
        return false;
    }
    for (std::size_t index = 0; index < bits.size(); ++index) {
        const auto digit = std::string_view("0123456789abcdef").find(text[index / bitsPerDigit]);
        if (digit == std::string_view::npos) {
            return false;
        }
        bits[index] = ((digit >> (index % bitsPerDigit)) & 1U) != 0;
    }
    return true;
}

int outcomePrecedence(JobState state)
{
    switch (state) {
    case JobState::Queued:
    case JobState::Running:
        return 0;
    case JobState::Cancelled:
        return 1;
    case JobState::Failed:
        return 2;
    case JobState::Completed:
        return 3;
    }
    return 0;
}

bool mergeStep(StepProgress &step, const StepProgress &other)
{
    bool changed = false;
    const std::size_t n = std::min(step.done.size(), other.done.size());
    for (std::size_t task = 0; task < n; ++task) {
        if (other.done[task] && !step.done[task]) {
            step.done[task] = true;
            changed = true;
        }
    }
    for (const auto &[task, runs] : other.failedRuns) {
        if (task < step.done.size()) {
            std::set<std::uint64_t> &known = step.failedRuns[task];
            const std::size_t before = known.size();
            known.insert(runs.begin(), runs.end());
            changed = changed || known.size() > before;
        }
    }
    return changed;
}

} // namespace

bool isTerminal(JobState state)
{
    return outcomePrecedence(state) > 0;
}

JobProgress emptyProgress(const JobSpec &job)
{
    JobProgress progress;
    for (const StepSpec &step : job.steps) {
        progress.steps.push_back({.done = std::vector<bool>(step.tasks, false)});
    }
    return progress;
}

bool merge(JobProgress &progress, const JobProgress &other)
{
    bool changed = false;
    const std::size_t n = std::min(progress.steps.size(), other.steps.size());
    for (std::size_t step = 0; step < n; ++step) {
        changed = mergeStep(progress.steps[step], other.steps[step]) || changed;
    }
    if (outcomePrecedence(other.outcome) > outcomePrecedence(progress.outcome)) {
        progress.outcome = other.outcome;
        changed = true;
    }
    return changed;
}

bool showsStart(const JobProgress &progress)
{
    return std::any_of(progress.steps.begin(), progress.steps.end(), [](const StepProgress &step) {
        return !step.failedRuns.empty()
               || std::find(step.done.begin(), step.done.end(), true) != step.done.end();
    });
}

bool isStepDone(const JobProgress &progress, std::size_t step)
{
    const std::vector<bool> &done = progress.steps[step].done;
    return std::all_of(done.begin(), done.end(), [](bool taskDone) { return taskDone; });
}

std::string encodeProgress(const JobProgress &progress)
{
    json steps = json::array();
    for (const StepProgress &step : progress.steps) {
        json failures = json::array();
        for (const auto &[task, runs] : step.failedRuns) {
            failures.push_back({task, runs});
        }
        json entry = {{"d", toHex(step.done)}};
        if (!failures.empty()) {
            entry["f"] = std::move(failures);
        }
        steps.push_back(std::move(entry));
    }
    return json{{"o", static_cast<int>(progress.outcome)}, {"s", std::move(steps)}}.dump();
}

Result<JobProgress> decodeProgress(const JobSpec &job, const std::string &text)
{
    const auto corrupt = [&job](const std::string &message) {
        return failure(ResultCode::CorruptSnapshot, message, "progress of job " + job.id.value);
    };
    try {
        const json j = json::parse(text);
        JobProgress progress = emptyProgress(job);
        const int outcome = j.at("o").get<int>();
        if (outcome < 0 || outcome > static_cast<int>(JobState::Cancelled)) {
            return corrupt("unknown outcome");
        }
        progress.outcome = static_cast<JobState>(outcome);
        const json &steps = j.at("s");
        if (steps.size() != progress.steps.size()) {
            return corrupt("the number of steps differs from the job's");
        }
        for (std::size_t n = 0; n < steps.size(); ++n) {
            if (!fromHex(steps[n].at("d").get<std::string>(), progress.steps[n].done)) {
                return corrupt("malformed bitmap of done tasks");
            }
            for (const json &entry : steps[n].value("f", json::array())) {
                progress.steps[n].failedRuns[entry.at(0).get<std::uint32_t>()] =
                    entry.at(1).get<std::set<std::uint64_t>>();
            }
        }
        return progress;
    } catch (const json::exception &e) {
        return corrupt(e.what());
    }
}

} // namespace acaciadeal
