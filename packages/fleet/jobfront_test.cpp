#include "fleet/jobfront.h"
#include "fleet/jobrows.h"
#include "kernel/pluginregistry.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <future>

using namespace acaciadeal;

namespace {

JobSpec oneTask(const std::string &id)
{
    return {.id = {id}, .terms = {.queue = "q", .service = {"svc"}}, .steps = {{}}};
}

/// A front without a holder, over a store that can be slow, refuse, or lose answers.
struct Front
{
    EventLoop loop{{.threads = 1}};
    PlatformAdapter store;
    PlatformAdapter platform;
    PeerClient peers{loop};
    Metrics metrics{{}};
    OwnerRecord owner;
    Duration delay{0};
    bool refuses = false;
    bool losesAnswers = false;
    int commits = 0;
    int unanswered = 0;
    /// Largest number of writes that were on their way at once.
    int mostUnanswered = 0;
    std::unique_ptr<JobFront> front;

    Front()
    {
        store = PluginRegistry<PlatformPlugin>::instance().find("memory")->create(loop, {});
        platform = store;
        platform.commit = [this](Transaction transaction, CommitCallback callback) {
            commit(std::move(transaction), std::move(callback));
        };
        front = std::make_unique<JobFront>(
            JobFrontEnvironment{.loop = loop,
                                .platform = platform,
                                .peers = peers,
                                .metrics = metrics,
                                .localHolder = [] { return nullptr; },
                                .owner = [this]() -> const OwnerRecord & {
                                    return owner;
                                }},
            JobFrontOptions{.commitRetry = milliseconds(5)});
    }

    ~Front()
    {
        loop.stop();
    }

    void commit(Transaction transaction, CommitCallback callback)
    {
        ++commits;
        if (refuses) {
            loop.post([callback = std::move(callback)] {
                callback(failure(ResultCode::PlatformUnavailable, "status 503"));
            });
            return;
        }
        mostUnanswered = std::max(mostUnanswered, ++unanswered);
        store.commit(std::move(transaction),
                     [this, callback = std::move(callback)](const Result<CommitVersions> &result) {
                         loop.postAfter(delay, [this, result, callback] {
                             --unanswered;
                             if (losesAnswers) {
                                 callback(failure(ResultCode::WriteOutcomeUnknown, "no answer"));
                             } else {
                                 callback(result);
                             }
                         });
                     });
    }

    /// Submits all jobs at once and waits for all outcomes.
    std::vector<ResultCode> submit(const std::vector<std::string> &ids,
                                   Duration timeout = milliseconds(500))
    {
        std::vector<std::shared_ptr<std::promise<ResultCode>>> outcomes;
        outcomes.reserve(ids.size());
        for (std::size_t n = 0; n < ids.size(); ++n) {
            outcomes.push_back(std::make_shared<std::promise<ResultCode>>());
        }
        // One handler submits them all, so that no answer arrives in between.
        loop.post([this, ids, timeout, outcomes] {
            for (std::size_t n = 0; n < ids.size(); ++n) {
                front->submit(oneTask(ids[n]), timeout,
                              [outcome = outcomes[n]](const SubmitOutcome &result) {
                                  outcome->set_value(result.result ? ResultCode::Ok
                                                                   : result.result.error().code);
                              });
            }
        });
        std::vector<ResultCode> codes;
        codes.reserve(outcomes.size());
        for (const auto &outcome : outcomes) {
            codes.push_back(outcome->get_future().get());
        }
        return codes;
    }

    std::size_t storedJobs()
    {
        std::promise<std::size_t> n;
        store.readTable(jobTable, [&n](const Result<RowSnapshot> &snapshot) {
            n.set_value(snapshot ? snapshot->rows.size() : 0);
        });
        return n.get_future().get();
    }
};

} // namespace

// Load pattern: a slow store and a burst of jobs. Guards against one write for each job, which
// fills the store's queue until it refuses everyone.
TEST_CASE("jobs that arrive during a write are stored together by the next one")
{
    Front front;
    front.delay = milliseconds(50);
    std::vector<std::string> ids;
    ids.reserve(30);
    for (int n = 0; n < 30; ++n) {
        ids.push_back("job" + std::to_string(n));
    }
    for (const ResultCode code : front.submit(ids)) {
        CHECK(code == ResultCode::Ok);
    }
    CHECK(front.storedJobs() == 30);
    CHECK(front.commits <= 3);
}

// Guards against a second job for a repeated submission, and against a batch that fails as a whole
// because of a job that exists.
TEST_CASE("a repeated submission remains one job and holds up no other")
{
    Front front;
    front.delay = milliseconds(20);
    CHECK(front.submit({"a"}) == std::vector{ResultCode::Ok});
    CHECK(front.submit({"x", "a", "b", "b", "c"})
          == std::vector{ResultCode::Ok, ResultCode::Ok, ResultCode::Ok, ResultCode::Ok,
                         ResultCode::Ok});
    CHECK(front.storedJobs() == 4);
}

// Guards against "not run" for a job that may run, and against a caller who is kept waiting for a
// store that refuses.
TEST_CASE("a refusal is told from an unknown outcome")
{
    Front front;
    front.refuses = true;
    CHECK(front.submit({"refused"}) == std::vector{ResultCode::PlatformUnavailable});
    CHECK(front.commits <= 5);
    front.refuses = false;
    front.losesAnswers = true;
    // The write took effect, so the next attempt finds the row.
    CHECK(front.submit({"lost"}, milliseconds(60)) == std::vector{ResultCode::WriteOutcomeUnknown});
    front.losesAnswers = false;
    CHECK(front.submit({"lost"}) == std::vector{ResultCode::Ok});
    CHECK(front.storedJobs() == 1);
}

// Load pattern: a slow store, whose parts carry out a few writes a second, and jobs that arrive
// one by one. Guards against jobs that wait behind the writes of others until their callers give
// up.
TEST_CASE("jobs in different parts of the store do not wait for each other")
{
    Front front;
    front.platform.partitionOf = [](const std::string &key) {
        return key.substr(key.size() - 1);
    };
    front.delay = milliseconds(100);
    std::vector<std::string> ids;
    ids.reserve(8);
    for (int n = 0; n < 8; ++n) {
        ids.push_back("part" + std::to_string(n));
    }
    const auto codes = front.submit(ids);
    CHECK(std::count(codes.begin(), codes.end(), ResultCode::Ok) == 8);
    CHECK(front.mostUnanswered == 8);
    CHECK(front.commits == 8);
    CHECK(front.storedJobs() == 8);
}
