#include "jobs/jobprogress.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>

namespace acaciadeal {
namespace {

using nlohmann::json;

/// Digits of bitmaps. Those of hexadecimal numbers come first.
constexpr std::string_view digits =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";
constexpr std::size_t bitsPerHexDigit = 4;
constexpr std::size_t bitsPerPackedDigit = 6;
/// A digit and a comma.
constexpr std::size_t minBytesPerRun = 2;

std::size_t digitCount(std::size_t bits, std::size_t bitsPerDigit)
{
    return (bits + bitsPerDigit - 1) / bitsPerDigit;
}

/// Encodes @p bits with the lowest bit of each digit first.
std::string encodeBits(const std::vector<bool> &bits, std::size_t bitsPerDigit)
{
    std::string text(digitCount(bits.size(), bitsPerDigit), '0');
    for (std::size_t n = 0; n < text.size(); ++n) {
        std::size_t digit = 0;
        for (std::size_t bit = 0; bit < bitsPerDigit; ++bit) {
            const std::size_t index = n * bitsPerDigit + bit;
            if (index < bits.size() && bits[index]) {
                digit |= std::size_t{1} << bit;
            }
        }
        text[n] = digits[digit];
    }
    return text;
}

/// Decodes as many bits as @p bits has. Returns false if @p text does not have that length or
/// contains another character.
bool decodeBits(const std::string &text, std::size_t bitsPerDigit, std::vector<bool> &bits)
{
    if (text.size() != digitCount(bits.size(), bitsPerDigit)) {
        return false;
    }
    const std::string_view allowed = digits.substr(0, std::size_t{1} << bitsPerDigit);
    for (std::size_t index = 0; index < bits.size(); ++index) {
        const auto digit = allowed.find(text[index / bitsPerDigit]);
        if (digit == std::string_view::npos) {
            return false;
        }
        bits[index] = ((digit >> (index % bitsPerDigit)) & 1U) != 0;
    }
    return true;
}

/// Adds the failed runs to the entry of a step, as a list of tasks with their run numbers.
void addFailedRuns(json &entry, const StepProgress &step)
{
    json failures = json::array();
    for (const auto &[task, runs] : step.failedRuns) {
        failures.push_back({task, runs});
    }
    if (!failures.empty()) {
        entry["f"] = std::move(failures);
    }
}

/// Adds the failed runs of tasks that are not done in a form for large jobs: "b" is the lowest run
/// number, "k" the distinct sets of run numbers, relative to it, and "t" contains for each task
/// that is not done the position of its set in "k", from 1, or 0. Few sets are distinct, because a
/// holder numbers the runs of each task from the same base.
void addPackedFailedRuns(json &entry, const StepProgress &step)
{
    std::map<std::set<std::uint64_t>, std::size_t> positions;
    std::uint64_t base = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[task, runs] : step.failedRuns) {
        if (task < step.done.size() && !step.done[task] && !runs.empty()) {
            positions.emplace(runs, 0);
            base = std::min(base, *runs.begin());
        }
    }
    if (positions.empty()) {
        return;
    }
    json sets = json::array();
    for (auto &[runs, position] : positions) {
        json set = json::array();
        for (const std::uint64_t run : runs) {
            set.push_back(run - base);
        }
        sets.push_back(std::move(set));
        position = sets.size();
    }
    const auto width = static_cast<std::size_t>(std::bit_width(sets.size()));
    std::vector<bool> bits;
    for (std::uint32_t task = 0; task < step.done.size(); ++task) {
        if (step.done[task]) {
            continue;
        }
        const auto it = step.failedRuns.find(task);
        const std::size_t position =
            it == step.failedRuns.end() || it->second.empty() ? 0 : positions.at(it->second);
        for (std::size_t bit = 0; bit < width; ++bit) {
            bits.push_back(((position >> bit) & 1U) != 0);
        }
    }
    entry["b"] = base;
    entry["k"] = std::move(sets);
    entry["t"] = encodeBits(bits, bitsPerPackedDigit);
}

/// Reads what addPackedFailedRuns() has written. Returns false if it is malformed. Throws
/// json::exception for missing fields. Precondition: the done tasks of @p step are known.
bool readPackedFailedRuns(const json &entry, StepProgress &step)
{
    const auto base = entry.at("b").get<std::uint64_t>();
    const auto sets = entry.at("k").get<std::vector<std::set<std::uint64_t>>>();
    const auto width = static_cast<std::size_t>(std::bit_width(sets.size()));
    const auto notDone =
        static_cast<std::size_t>(std::count(step.done.begin(), step.done.end(), false));
    std::vector<bool> bits(notDone * width);
    if (!decodeBits(entry.at("t").get<std::string>(), bitsPerPackedDigit, bits)) {
        return false;
    }
    auto bit = bits.begin();
    for (std::uint32_t task = 0; task < step.done.size(); ++task) {
        if (step.done[task]) {
            continue;
        }
        std::size_t position = 0;
        for (std::size_t n = 0; n < width; ++n, ++bit) {
            position |= std::size_t{*bit ? 1U : 0U} << n;
        }
        if (position > sets.size()) {
            return false;
        }
        if (position > 0) {
            for (const std::uint64_t run : sets[position - 1]) {
                step.failedRuns[task].insert(base + run);
            }
        }
    }
    return true;
}

std::size_t countFailedRuns(const JobProgress &progress)
{
    std::size_t n = 0;
    for (const StepProgress &step : progress.steps) {
        for (const auto &[task, runs] : step.failedRuns) {
            n += runs.size();
        }
    }
    return n;
}

template<typename AddFailedRuns>
std::string encodeSteps(const JobProgress &progress, const AddFailedRuns &add)
{
    json steps = json::array();
    for (const StepProgress &step : progress.steps) {
        json entry = {{"d", encodeBits(step.done, bitsPerHexDigit)}};
        add(entry, step);
        steps.push_back(std::move(entry));
    }
    return json{{"o", static_cast<int>(progress.outcome)}, {"s", std::move(steps)}}.dump();
}

/// Returns @p progress with the failed runs of only @p limit tasks that are not done, of those that
/// have failed most.
JobProgress withFailuresOf(const JobProgress &progress, std::size_t limit)
{
    struct Failures
    {
        std::size_t runs;
        std::size_t step;
        std::uint32_t task;
    };
    std::vector<Failures> failures;
    JobProgress reduced = progress;
    for (std::size_t n = 0; n < progress.steps.size(); ++n) {
        const StepProgress &step = progress.steps[n];
        reduced.steps[n].failedRuns.clear();
        for (const auto &[task, runs] : step.failedRuns) {
            if (task < step.done.size() && !step.done[task]) {
                failures.push_back({.runs = runs.size(), .step = n, .task = task});
            }
        }
    }
    std::stable_sort(failures.begin(), failures.end(),
                     [](const Failures &a, const Failures &b) { return a.runs > b.runs; });
    failures.resize(std::min(failures.size(), limit));
    for (const Failures &entry : failures) {
        reduced.steps[entry.step].failedRuns[entry.task] =
            progress.steps[entry.step].failedRuns.at(entry.task);
    }
    return reduced;
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

Result<void> validateRowSizes(const JobSpec &job)
{
    if (encodeJob(job).size() > maxJobRowBytes
        || encodeSteps(emptyProgress(job), [](json &, const StepProgress &) {}).size()
               > maxJobRowBytes) {
        return failure(ResultCode::RequestTooLarge, "the job is too large to be stored", "steps");
    }
    return {};
}

std::string encodeProgress(const JobProgress &progress)
{
    std::string text;
    if (countFailedRuns(progress) * minBytesPerRun <= maxJobRowBytes) {
        text = encodeSteps(progress, addFailedRuns);
        if (text.size() <= maxJobRowBytes) {
            return text;
        }
    }
    if (isTerminal(progress.outcome)) {
        return encodeSteps(progress, [](json &, const StepProgress &) {});
    }
    text = encodeSteps(progress, addPackedFailedRuns);
    std::size_t tasks = 0;
    for (const StepProgress &step : progress.steps) {
        tasks += step.failedRuns.size();
    }
    JobProgress reduced;
    while (text.size() > maxJobRowBytes && tasks > 0) {
        tasks /= 2;
        reduced = withFailuresOf(reduced.steps.empty() ? progress : reduced, tasks);
        text = encodeSteps(reduced, addPackedFailedRuns);
    }
    return text;
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
            if (!decodeBits(steps[n].at("d").get<std::string>(), bitsPerHexDigit,
                            progress.steps[n].done)) {
                return corrupt("malformed bitmap of done tasks");
            }
            if (steps[n].contains("t") && !readPackedFailedRuns(steps[n], progress.steps[n])) {
                return corrupt("malformed failed runs");
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
