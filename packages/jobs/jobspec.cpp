#include "jobs/jobspec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal {
namespace {

using nlohmann::json;

std::string stepPath(std::size_t index, const char *field)
{
    return "steps/" + std::to_string(index) + "/" + field;
}

Result<void> validateStep(const StepSpec &step, std::size_t index)
{
    if (step.tasks == 0) {
        return failure(ResultCode::MalformedRequest, "a step has no tasks",
                       stepPath(index, "count"));
    }
    if (!isNonNegative(step.taskSize)) {
        return failure(ResultCode::MalformedRequest, "the size of a step's tasks is negative",
                       stepPath(index, "size"));
    }
    for (const std::uint32_t dependency : step.dependsOn) {
        if (dependency >= index) {
            return failure(ResultCode::MalformedRequest,
                           "a step depends on itself or on a later step", stepPath(index, "after"));
        }
    }
    return {};
}

json toJson(const StepSpec &step)
{
    json j = {{"n", step.tasks},
              {"cpu", step.taskSize.milliCores},
              {"mem", step.taskSize.memoryMiB},
              {"est", step.estimatedRunTime.count()}};
    const auto setUnlessDefault = [&j](const char *key, auto value) {
        if (value != decltype(value){}) {
            j[key] = value;
        }
    };
    setUnlessDefault("acc", step.taskSize.accelerators);
    setUnlessDefault("after", step.dependsOn);
    setUnlessDefault("ckpt", step.checkpointing);
    setUnlessDefault("gang", step.gang);
    setUnlessDefault("rackLocal", step.rackLocal);
    setUnlessDefault("label", step.requiredLabel);
    setUnlessDefault("rack", step.dataRack.value);
    setUnlessDefault("perHost", step.maxTasksPerHost);
    setUnlessDefault("copies", step.copiesAllowed);
    setUnlessDefault("long", step.longRunning);
    setUnlessDefault("image", step.image);
    setUnlessDefault("tail", step.tailLatencyTarget.count());
    setUnlessDefault("fill", step.backfill);
    if (step.maxUnavailable) {
        j["away"] = *step.maxUnavailable;
    }
    return j;
}

StepSpec stepFromJson(const json &j)
{
    StepSpec step;
    step.tasks = j.at("n").get<std::uint32_t>();
    step.taskSize = {.milliCores = j.at("cpu").get<std::int64_t>(),
                     .memoryMiB = j.at("mem").get<std::int64_t>(),
                     .accelerators = j.value("acc", std::int64_t{0})};
    step.estimatedRunTime = milliseconds(j.at("est").get<std::int64_t>());
    step.dependsOn = j.value("after", std::vector<std::uint32_t>{});
    step.checkpointing = j.value("ckpt", false);
    step.gang = j.value("gang", false);
    step.rackLocal = j.value("rackLocal", false);
    step.requiredLabel = j.value("label", std::string());
    step.dataRack = {j.value("rack", std::string())};
    step.maxTasksPerHost = j.value("perHost", std::uint32_t{0});
    step.copiesAllowed = j.value("copies", false);
    step.longRunning = j.value("long", false);
    step.image = j.value("image", std::string());
    step.tailLatencyTarget = milliseconds(j.value("tail", std::int64_t{0}));
    step.backfill = j.value("fill", false);
    if (j.contains("away")) {
        step.maxUnavailable = j.at("away").get<std::uint32_t>();
    }
    return step;
}

} // namespace

Result<void> validateJob(const JobSpec &job)
{
    if (job.steps.empty()) {
        return failure(ResultCode::MalformedRequest, "the job has no steps", "steps");
    }
    std::uint64_t tasks = 0;
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        if (auto valid = validateStep(job.steps[n], n); !valid) {
            return valid;
        }
        tasks += job.steps[n].tasks;
    }
    if (tasks > maxTasksPerJob) {
        return failure(ResultCode::RequestTooLarge, "the job has too many tasks", "steps");
    }
    return {};
}

bool isLongRunning(const JobSpec &job)
{
    return std::all_of(job.steps.begin(), job.steps.end(),
                       [](const StepSpec &step) { return step.longRunning; });
}

milliseconds criticalPathLength(const JobSpec &job)
{
    std::vector<milliseconds> endOf;
    milliseconds longest{0};
    for (const StepSpec &step : job.steps) {
        milliseconds start{0};
        for (const std::uint32_t dependency : step.dependsOn) {
            start = std::max(start, endOf[dependency]);
        }
        endOf.push_back(start + step.estimatedRunTime);
        longest = std::max(longest, endOf.back());
    }
    return longest;
}

std::string encodeJob(const JobSpec &job)
{
    json steps = json::array();
    for (const StepSpec &step : job.steps) {
        steps.push_back(toJson(step));
    }
    const QueueTerms &terms = job.terms;
    return json{{"id", job.id.value},
                {"queue", terms.queue},
                {"service", terms.service.value},
                {"priority", terms.priority},
                {"attempts", terms.maxAttempts},
                {"slowdown", terms.slowdownFactor},
                {"target", terms.targetLatency.count()},
                {"payload", job.payload},
                {"steps", std::move(steps)},
                {"times", job.repetitions},
                {"at", job.acceptedAt.count()}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobSpec> decodeJob(const std::string &text)
{
    try {
        const json j = json::parse(text);
        JobSpec job;
        job.id = {j.at("id").get<std::string>()};
        job.terms = {.queue = j.at("queue").get<std::string>(),
                     .service = {j.at("service").get<std::string>()},
                     .priority = j.at("priority").get<int>(),
                     .maxAttempts = j.at("attempts").get<std::uint32_t>(),
                     .slowdownFactor = j.at("slowdown").get<double>(),
                     .targetLatency = milliseconds(j.at("target").get<std::int64_t>())};
        job.payload = j.at("payload").get<std::string>();
        for (const json &step : j.at("steps")) {
            job.steps.push_back(stepFromJson(step));
        }
        job.repetitions = j.at("times").get<std::uint32_t>();
        job.acceptedAt = milliseconds(j.at("at").get<std::int64_t>());
        if (auto valid = validateJob(job); !valid) {
            return failure(ResultCode::CorruptSnapshot, valid.error().message, valid.error().where);
        }
        return job;
    } catch (const json::exception &e) {
        return failure(ResultCode::CorruptSnapshot, e.what(), "job row");
    }
}

} // namespace acaciadeal
