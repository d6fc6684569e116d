#include "cases.h"

#include <map>
#include <memory>

namespace acaciadeal::review {
namespace {

/// Jobs of 48 tasks each, so that no more than 64 connections to a server are needed at once.
constexpr unsigned jobs = 13;
constexpr int tasksPerJob = 48;
constexpr Duration submitPeriod = milliseconds(120);
constexpr milliseconds runTime{2600};
/// The holder is frozen once all tasks run and before the first one ends.
constexpr Duration freezeAt = milliseconds(2200);
/// Length of a freeze: that of `node_freeze` in the site file.
constexpr Duration freezeTime = milliseconds(4000);
constexpr Duration observeTime = milliseconds(20000);

struct Ends : std::enable_shared_from_this<Ends>
{
    explicit Ends(Deployment &observed)
        : deployment(observed)
    {
    }

    void submitNext(unsigned number)
    {
        const Step step{.tasks = tasksPerJob,
                        .size = {.milliCores = 50, .memoryMb = 64, .runTime = runTime}};
        deployment.submit(number % 3, jobId(number), {step},
                          [self = shared_from_this()](unsigned status, const std::string &) {
                              self->accepted += status == 200 ? 1 : 0;
                          });
        if (number < jobs) {
            deployment.after(submitPeriod,
                             [self = shared_from_this(), number] { self->submitNext(number + 1); });
        }
    }

    void start()
    {
        submitNext(1);
        if (deployment.trouble()) {
            deployment.after(freezeAt, [self = shared_from_this()] {
                self->deployment.freeze(self->deployment.holder().value_or(0), freezeTime);
            });
        }
        deployment.after(observeTime, [self = shared_from_this()] { self->judge(); });
    }

    /// A run that starts after one that ended as done breaks the rule if that end was taken note of
    /// then or later, unless the lease lapsed in between.
    void judge()
    {
        if (accepted != jobs) {
            deployment.finish(Verdict::NotRun, "not all jobs were accepted");
            return;
        }
        std::map<std::string, const RunRecord *> done;
        int again = 0;
        for (const RunRecord &run : deployment.runs()) {
            const auto it = done.find(run.task);
            if (it != done.end() && it->second->notedMs >= 0) {
                ++again;
                deployment.record().add(
                    "TWICE: " + run.task + " run " + std::to_string(run.run) + " started at "
                    + std::to_string(run.startedMs) + " ms, run " + std::to_string(it->second->run)
                    + " ended as done at " + std::to_string(it->second->endedMs)
                    + " ms, taken note of at " + std::to_string(it->second->notedMs) + " ms");
            }
            if (run.outcome == "done") {
                done.emplace(run.task, &run);
            }
        }
        if (again > 0) {
            deployment.finish(Verdict::Broken,
                              "TWICE: " + std::to_string(again)
                                  + " tasks were started again after they had ended as done");
        } else if (done.size() != jobs * tasksPerJob) {
            deployment.finish(Verdict::NotRun,
                              "only " + std::to_string(done.size()) + " tasks ended as done");
        } else {
            deployment.finish(Verdict::Held, "every task ran once");
        }
    }

    Deployment &deployment;
    unsigned accepted = 0;
};

} // namespace

Case endsCase()
{
    return {.options = {.daemons = 3, .minions = 3, .milliCores = 32000},
            .start = [](Deployment &deployment) {
                std::make_shared<Ends>(deployment)->start();
            }};
}

} // namespace acaciadeal::review
