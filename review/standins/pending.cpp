#include "cases.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace acaciadeal::review {
namespace {

constexpr int servers = 12;
constexpr int milliCores = 16000;
constexpr unsigned fillingJob = 1000;
constexpr unsigned waitingJobs = 10;
constexpr Duration pollPeriod = milliseconds(50);
/// Jobs accepted over `visible_ms` + 2 s before have to be counted.
constexpr std::int64_t countedAfterMs = 5000;
/// When the number is asked for, after the jobs were accepted.
constexpr Duration askAfter = milliseconds(5600);
/// Length of `srv_grey` in the site file.
constexpr Duration unhealthyTime = milliseconds(6500);

struct Pending : std::enable_shared_from_this<Pending>
{
    explicit Pending(Deployment &observed)
        : deployment(observed)
    {
    }

    /// Fills all servers but one.
    void start()
    {
        const Step step{.tasks = servers - 1,
                        .size = {.milliCores = milliCores,
                                 .memoryMb = 1000,
                                 .runTime = std::chrono::seconds(40)}};
        deployment.submit(0, jobId(fillingJob), {step}, [](unsigned, const std::string &) {});
        awaitFilled();
    }

    void awaitFilled()
    {
        auto &minions = deployment.minions();
        const auto isFree = [](const auto &minion) {
            return minion->activeRuns() == 0;
        };
        if (std::count_if(minions.begin(), minions.end(), isFree) != 1) {
            deployment.after(pollPeriod, [self = shared_from_this()] { self->awaitFilled(); });
            return;
        }
        if (deployment.trouble()) {
            Minion &grey = **std::find_if(minions.begin(), minions.end(), isFree);
            deployment.record().add(grey.id() + " rejects starts with 503");
            grey.setUnhealthy(true);
            deployment.after(unhealthyTime, [self = shared_from_this(), &grey] {
                self->deployment.record().add(grey.id() + " is healthy again");
                grey.setUnhealthy(false);
            });
        }
        const Step step{
            .tasks = 1,
            .size = {.milliCores = 1000, .memoryMb = 1000, .runTime = milliseconds(1000)}};
        for (unsigned n = 1; n <= waitingJobs; ++n) {
            deployment.submit(n % 3, jobId(n), {step},
                              [self = shared_from_this()](unsigned status, const std::string &) {
                                  self->accepted += status == 200 ? 1 : 0;
                                  self->lastAcceptedMs = self->deployment.nowMs();
                              });
        }
        deployment.after(askAfter, [self = shared_from_this()] { self->ask(); });
    }

    void ask()
    {
        if (accepted != waitingJobs || deployment.nowMs() - lastAcceptedMs <= countedAfterMs) {
            deployment.finish(Verdict::NotRun, "the jobs were not accepted in time");
            return;
        }
        deployment.request(1, "GET", "", "",
                           [self = shared_from_this()](unsigned status, const std::string &body) {
                               self->judge(status, body);
                           });
    }

    void judge(unsigned status, const std::string &body)
    {
        std::set<std::string> begun;
        for (const RunRecord &run : deployment.runs()) {
            begun.insert(run.task.substr(0, run.task.find('.')));
        }
        begun.erase(jobId(fillingJob));
        const std::size_t waiting = waitingJobs - begun.size();
        if (status != 200) {
            deployment.finish(Verdict::NotRun, "the number of waiting jobs was not given");
            return;
        }
        const auto given = nlohmann::json::parse(body).at("pending").get<std::size_t>();
        const std::string what = "pending is given as " + std::to_string(given) + ", "
                                 + std::to_string(waiting) + " jobs have waited for over "
                                 + std::to_string(countedAfterMs) + " ms";
        if (2 * given < waiting) {
            deployment.finish(Verdict::Broken, "MIXED: " + what);
        } else {
            deployment.finish(Verdict::Held, what);
        }
    }

    Deployment &deployment;
    unsigned accepted = 0;
    std::int64_t lastAcceptedMs = 0;
};

} // namespace

Case pendingCase()
{
    return {.options = {.daemons = 3, .minions = servers, .milliCores = milliCores},
            .start = [](Deployment &deployment) {
                std::make_shared<Pending>(deployment)->start();
            }};
}

} // namespace acaciadeal::review
