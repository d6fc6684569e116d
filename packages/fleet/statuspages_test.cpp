#include "fleet/statuspages.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace acaciadeal;
using nlohmann::json;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

} // namespace

// Guards against status pages from which operators cannot tell which daemon holds the shard or why
// a job waits.
TEST_CASE("the status pages show the holder of the shard and why a job waits")
{
    Dispatcher dispatcher;
    FleetHost &host = dispatcher.fleet.hosts[{"h"}];
    host.id = {"h"};
    host.service = {"svc"};
    host.capacity = {.milliCores = 2000, .memoryMiB = 1000};
    const JobSpec spec{.id = {"j"},
                       .terms = {.queue = "q", .service = {"svc"}, .maxAttempts = 1},
                       .steps = {{.taskSize = {.milliCores = 4000}}}};
    addJob(dispatcher, spec, emptyProgress(spec), 0, false, start);
    const OwnerRecord owner{.epoch = 3, .daemon = {"d2"}};
    StatusInputs inputs{.daemon = {"d1"},
                        .owner = owner,
                        .dispatcher = &dispatcher,
                        .pendingJobs = pendingJobsByQueue(dispatcher),
                        .now = start + milliseconds(500)};
    const json status = json::parse(statusPage("/v1/fleet/status", inputs).body);
    CHECK(status["holder"] == "d2");
    CHECK(status["live_jobs"] == 1);
    CHECK(status["pending_jobs"] == json{{"q", 1}});
    const json job = json::parse(statusPage("/v1/fleet/jobs/j", inputs).body);
    CHECK(job["state"] == "queued");
    CHECK(job["steps"][0]["waits_because"]
          == "no host of the service is large enough and has the label");
    CHECK(json::parse(statusPage("/v1/fleet/late", inputs).body)["late"].size() == 1);
    CHECK(json::parse(statusPage("/v1/fleet/hosts/h", inputs).body)["cores"] == 2);
    CHECK(json::parse(statusPage("/v1/fleet/hosts/x", inputs).body)["code"]
          == static_cast<int>(ResultCode::UnknownHost));
    inputs.pendingJobs = failure(ResultCode::PlatformUnavailable, "still recovering");
    const json unknown = json::parse(statusPage("/v1/fleet/status", inputs).body);
    CHECK_FALSE(unknown.contains("pending_jobs"));
    CHECK(unknown["pending_jobs_unknown_because"] == "still recovering");
    inputs.dispatcher = nullptr;
    const json elsewhere = json::parse(statusPage("/v1/fleet/jobs/j", inputs).body);
    CHECK(elsewhere["code"] == static_cast<int>(ResultCode::NotHolder));
    CHECK(elsewhere["where"] == "d2");
}
