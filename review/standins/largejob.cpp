#include "cases.h"

#include <algorithm>
#include <memory>
#include <string>

namespace acaciadeal::review {
namespace {

constexpr std::size_t daemons = 3;
constexpr int servers = 48;
/// The large job has room to run all its tasks at the same time, 52 on a server.
constexpr int largeJobTasks = 2500;
constexpr unsigned largeJob = 1000;
constexpr unsigned smallJobsBefore = 10;
constexpr unsigned smallJobs = 20;
/// The holder is replaced twice before jobs come, as in a deployment that has run for a while.
constexpr int replacements = 2;
constexpr Duration restartPause = milliseconds(500);
constexpr Duration replacementTime = milliseconds(3000);
constexpr Duration submitPeriod = milliseconds(400);
/// By then the tasks of the large job have used up their attempts, or have ended.
constexpr Duration largeJobTime = milliseconds(22000);
/// `finish_s` of the site.
constexpr Duration finishTime = milliseconds(14000);

struct LargeJob : std::enable_shared_from_this<LargeJob>
{
    explicit LargeJob(Deployment &observed)
        : deployment(observed)
    {
    }

    void start(int left)
    {
        if (left == 0) {
            submitSmall(1);
            return;
        }
        deployment.killAndRestart(deployment.holder().value_or(0), restartPause);
        deployment.after(replacementTime,
                         [self = shared_from_this(), left] { self->start(left - 1); });
    }

    void submitSmall(unsigned number)
    {
        const Step step{.tasks = 1,
                        .size = {.milliCores = 500, .memoryMb = 500, .runTime = milliseconds(600)}};
        deployment.submit(number % daemons, jobId(number), {step},
                          [self = shared_from_this()](unsigned status, const std::string &) {
                              self->accepted += status == 200 ? 1 : 0;
                          });
        if (number == smallJobs) {
            deployment.after(finishTime, [self = shared_from_this()] { self->ask(); });
        } else if (number == smallJobsBefore) {
            submitLarge();
        } else {
            deployment.after(submitPeriod, [self = shared_from_this(), number] {
                self->submitSmall(number + 1);
            });
        }
    }

    void submitLarge()
    {
        const Step step{.tasks = largeJobTasks,
                        .size = {.milliCores = 250,
                                 .memoryMb = 200,
                                 .runTime = milliseconds(3000),
                                 .fails = deployment.trouble()}};
        deployment.submit(0, jobId(largeJob), {step}, [](unsigned, const std::string &) {});
        deployment.after(largeJobTime,
                         [self = shared_from_this()] { self->submitSmall(smallJobsBefore + 1); });
    }

    /// Asks for the state of all small jobs at all daemons.
    void ask()
    {
        if (accepted != smallJobs) {
            deployment.finish(Verdict::NotRun, "not all small jobs were accepted");
            return;
        }
        for (unsigned number = 1; number <= smallJobs; ++number) {
            for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
                deployment.request(
                    daemon, "GET", jobId(number), "",
                    [self = shared_from_this()](unsigned status, const std::string &body) {
                        self->onState(status, body);
                    });
            }
        }
    }

    void onState(unsigned status, const std::string &body)
    {
        unanswered += status == 0 ? 1 : 0;
        notCompleted += status != 0 && body.find("completed") == std::string::npos ? 1 : 0;
        if (++answers == smallJobs * daemons) {
            judge();
        }
    }

    void judge()
    {
        std::size_t ends = 0;
        std::size_t unnoted = 0;
        std::size_t smallDone = 0;
        for (const RunRecord &run : deployment.runs()) {
            ends += run.endedMs >= 0 ? 1 : 0;
            unnoted += run.endedMs >= 0 && run.notedMs < 0 ? 1 : 0;
            const bool small = run.task.substr(0, run.task.find('.')) != jobId(largeJob);
            smallDone += small && run.outcome == "done" ? 1 : 0;
        }
        const std::string what =
            std::to_string(smallDone) + " of " + std::to_string(smallJobs)
            + " small jobs have run to their end; of " + std::to_string(answers)
            + " questions about them " + std::to_string(unanswered) + " got no answer, "
            + std::to_string(notCompleted) + " were answered with another state than completed; "
            + std::to_string(unnoted) + " of " + std::to_string(ends)
            + " ends have not been taken note of";
        if (unanswered > 0) {
            deployment.finish(Verdict::Broken, "LOST: " + what);
            return;
        }
        deployment.finish(Verdict::Held, what);
    }

    Deployment &deployment;
    unsigned accepted = 0;
    std::size_t answers = 0;
    std::size_t unanswered = 0;
    std::size_t notCompleted = 0;
};

} // namespace

Case largeJobCase()
{
    return {.options = {.daemons = daemons, .minions = servers},
            .start = [](Deployment &deployment) {
                std::make_shared<LargeJob>(deployment)->start(replacements);
            }};
}

} // namespace acaciadeal::review
