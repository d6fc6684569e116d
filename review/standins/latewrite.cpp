#include "cases.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace acaciadeal::review {
namespace {

/// A write without an answer is executed 1 to 6 s later.
constexpr Duration lateness = milliseconds(5500);
constexpr std::int64_t cancelMs = 3000;
/// `contact_timeout_ms` of the site: machines are in touch again this long after the store's last
/// lateness.
constexpr std::int64_t contactTimeoutMs = 3000;
constexpr Duration cancelDelay = milliseconds(100);
constexpr Duration cancelRetryDelay = milliseconds(400);
constexpr Duration observeTime = milliseconds(20000);
constexpr unsigned cancelledJob = 1;

struct LateWrite : std::enable_shared_from_this<LateWrite>
{
    explicit LateWrite(Deployment &observed)
        : deployment(observed)
    {
    }

    void start()
    {
        if (deployment.trouble()) {
            deployment.store().setLateWrites(
                [self = shared_from_this()](const nlohmann::json &call) {
                    return self->latenessOf(call);
                });
        }
        const Step step{
            .tasks = 2,
            .size = {.milliCores = 1000, .memoryMb = 1000, .runTime = milliseconds(1500)}};
        deployment.submit(0, jobId(cancelledJob), {step, step, step, step},
                          [self = shared_from_this()](unsigned status, const std::string &) {
                              self->submitStatus = status;
                              self->deployment.after(cancelDelay, [self] { self->cancel(); });
                          });
    }

    /// Only the first write of the job's row is executed late.
    std::optional<Duration> latenessOf(const nlohmann::json &call)
    {
        for (const auto &row : call.at("writes")) {
            if (row.at("key") == jobId(cancelledJob) && row.at("table") == "job" && !wasLate) {
                wasLate = true;
                return lateness;
            }
        }
        return std::nullopt;
    }

    void cancel()
    {
        deployment.request(1, "DELETE", jobId(cancelledJob), "",
                           [self = shared_from_this()](unsigned status, const std::string &) {
                               self->onCancelled(status);
                           });
    }

    void onCancelled(unsigned status)
    {
        if (status != 200 && status != 410) {
            deployment.after(cancelRetryDelay, [self = shared_from_this()] { self->cancel(); });
            return;
        }
        acknowledgedMs = deployment.nowMs();
        deployment.after(observeTime, [self = shared_from_this()] { self->judge(); });
    }

    void judge()
    {
        if (deployment.trouble() && !wasLate) {
            deployment.finish(Verdict::NotRun, "the write of the job was not seen");
            return;
        }
        // Starts by machines that may be out of touch are not counted.
        std::int64_t boundMs = acknowledgedMs + cancelMs;
        if (const auto lateWriteMs = deployment.store().lateWriteMs()) {
            boundMs = std::max(boundMs, *lateWriteMs + contactTimeoutMs);
        }
        int late = 0;
        for (const RunRecord &run : deployment.runs()) {
            late += run.startedMs > boundMs ? 1 : 0;
        }
        const std::string what = "the job was answered with " + std::to_string(submitStatus)
                                 + ", its cancelling was acknowledged at "
                                 + std::to_string(acknowledgedMs) + " ms, and "
                                 + std::to_string(late) + " tasks started in touch over "
                                 + std::to_string(cancelMs) + " ms later";
        deployment.finish(late > 0 ? Verdict::Broken : Verdict::Held,
                          late > 0 ? "UNASKED: " + what : what);
    }

    Deployment &deployment;
    bool wasLate = false;
    unsigned submitStatus = 0;
    std::int64_t acknowledgedMs = 0;
};

} // namespace

Case lateWriteCase()
{
    return {.options = {.daemons = 3, .minions = 2}, .start = [](Deployment &deployment) {
                std::make_shared<LateWrite>(deployment)->start();
            }};
}

} // namespace acaciadeal::review
