#include "fleet/jobfrontend.h"
#include "fleet/jobrows.h"
#include "kernel/pluginregistry.h"
#include "runtime/eventloop.h"
#include "wire/peerserver.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <utility>

using namespace acaciadeal;

namespace {

JobSpec oneTaskJob(const std::string &id)
{
    return {.id = {id}, .terms = {.queue = "q", .service = {"svc"}}, .steps = {{}}};
}

/// A JobFrontend in a daemon without a holder, with a store that can be slow, refuse writes, or
/// lose answers.
struct FrontendFixture
{
    EventLoop loop{{.threads = 1}};
    PlatformAdapter store;
    PlatformAdapter platform;
    PeerClient peers{loop};
    Metrics metrics{{}};
    OwnerRecord owner;
    /// Delay of the store's answers to writes.
    Duration delay{0};
    bool refuses = false;
    bool losesAnswers = false;
    /// Job whose row the store rejects, also in a transaction with others.
    JobId rejectedJob;
    std::string payload;
    /// Size of the rows of the largest write, in base64.
    std::size_t largestCall = 0;
    /// Whether the next write gets no answer and is executed by executeHeldWrite().
    bool holdsNextWrite = false;
    Transaction heldWrite;
    int commits = 0;
    int inFlight = 0;
    /// Largest number of writes that were in progress at the same time.
    int maxInFlight = 0;
    std::unique_ptr<JobFrontend> frontend;

    FrontendFixture()
    {
        store = PluginRegistry<PlatformPlugin>::instance().find("memory")->create(loop, {});
        platform = store;
        platform.commit = [this](Transaction transaction, CommitCallback callback) {
            commit(std::move(transaction), std::move(callback));
        };
        frontend = std::make_unique<JobFrontend>(
            JobFrontendEnvironment{.loop = loop,
                                   .platform = platform,
                                   .peers = peers,
                                   .metrics = metrics,
                                   .localHolder = [] { return nullptr; },
                                   .owner = [this]() -> const OwnerRecord & {
                                       return owner;
                                   }},
            JobFrontendOptions{.commitRetryDelay = milliseconds(5)});
    }

    ~FrontendFixture()
    {
        loop.stop();
    }

    void commit(Transaction transaction, CommitCallback callback)
    {
        ++commits;
        std::size_t bytes = 0;
        for (const RowPut &put : transaction.puts) {
            bytes += (put.value.size() + 2) / 3 * 4;
            if (!rejectedJob.empty() && put.key == jobRowKey(rejectedJob)) {
                loop.post([callback = std::move(callback)] {
                    callback(failure(ResultCode::WriteRejected, "status 400"));
                });
                return;
            }
        }
        largestCall = std::max(largestCall, bytes);
        if (refuses) {
            loop.post([callback = std::move(callback)] {
                callback(failure(ResultCode::PlatformUnavailable, "status 503"));
            });
            return;
        }
        if (std::exchange(holdsNextWrite, false)) {
            heldWrite = std::move(transaction);
            loop.postAfter(milliseconds(100), [callback = std::move(callback)] {
                callback(failure(ResultCode::WriteOutcomeUnknown, "no answer"));
            });
            return;
        }
        maxInFlight = std::max(maxInFlight, ++inFlight);
        store.commit(std::move(transaction),
                     [this, callback = std::move(callback)](const Result<CommitVersions> &result) {
                         loop.postAfter(delay, [this, result, callback] {
                             --inFlight;
                             if (losesAnswers) {
                                 callback(failure(ResultCode::WriteOutcomeUnknown, "no answer"));
                             } else {
                                 callback(result);
                             }
                         });
                     });
    }

    /// Submits all jobs at the same time and waits for all outcomes.
    std::vector<ResultCode> submit(const std::vector<std::string> &ids,
                                   Duration timeout = milliseconds(500))
    {
        std::vector<std::shared_ptr<std::promise<ResultCode>>> outcomes;
        outcomes.reserve(ids.size());
        for (std::size_t n = 0; n < ids.size(); ++n) {
            outcomes.push_back(std::make_shared<std::promise<ResultCode>>());
        }
        // All jobs are submitted by one callback, so that no answer is handled in between.
        loop.post([this, ids, timeout, outcomes] {
            for (std::size_t n = 0; n < ids.size(); ++n) {
                JobSpec job = oneTaskJob(ids[n]);
                job.payload = payload;
                frontend->submit(std::move(job), timeout,
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

    /// Returns whether the held write took effect.
    bool executeHeldWrite()
    {
        std::promise<bool> stored;
        store.commit(heldWrite, [&stored](const Result<CommitVersions> &result) {
            stored.set_value(result.has_value());
        });
        return stored.get_future().get();
    }

    /// Returns the code of the answer to a cancellation.
    ResultCode cancel(const std::string &id)
    {
        return codeOf(&JobFrontend::cancel, id);
    }

    /// Returns the code of the answer to a query.
    ResultCode query(const std::string &id)
    {
        return codeOf(&JobFrontend::queryState, id);
    }

    ResultCode codeOf(void (JobFrontend::*call)(const JobId &, JobStateCallback),
                      const std::string &id)
    {
        std::promise<ResultCode> code;
        loop.post([&] {
            (frontend.get()->*call)({id}, [&code](const Result<JobState> &state) {
                code.set_value(state ? ResultCode::Ok : state.error().code);
            });
        });
        return code.get_future().get();
    }

    /// Returns the state in the answer to a query; nullopt if the answer is an error.
    std::optional<JobState> state(const std::string &id)
    {
        std::promise<std::optional<JobState>> state;
        loop.post([&] {
            frontend->queryState({id}, [&state](const Result<JobState> &result) {
                state.set_value(result ? std::optional(*result) : std::nullopt);
            });
        });
        return state.get_future().get();
    }

    /// Stores progress as a holder does.
    void storeProgress(const std::string &id, const JobProgress &progress)
    {
        std::promise<bool> stored;
        store.commit({.puts = {{progressRowKey({id}), encodeProgress(progress)}}},
                     [&stored](const Result<CommitVersions> &result) {
                         stored.set_value(result.has_value());
                     });
        REQUIRE(stored.get_future().get());
    }

    void storeRow(const std::string &key, const std::string &value)
    {
        std::promise<bool> stored;
        store.commit({.puts = {{key, value}}}, [&stored](const Result<CommitVersions> &result) {
            stored.set_value(result.has_value());
        });
        REQUIRE(stored.get_future().get());
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

// Load pattern: a slow store and a burst of jobs. Guards against one write per job, which fills the
// store's queue until it refuses all writes.
TEST_CASE("jobs that arrive during a write are stored together by the next write")
{
    FrontendFixture fixture;
    fixture.delay = milliseconds(50);
    std::vector<std::string> ids;
    ids.reserve(30);
    for (int n = 0; n < 30; ++n) {
        ids.push_back("job" + std::to_string(n));
    }
    for (const ResultCode code : fixture.submit(ids)) {
        CHECK(code == ResultCode::Ok);
    }
    CHECK(fixture.storedJobs() == 30);
    CHECK(fixture.commits <= 3);
}

// Guards against a repeated submission that creates a second job, and against a batch that fails as
// a whole because one of its jobs exists already.
TEST_CASE("a repeated submission is stored once and does not delay other jobs")
{
    FrontendFixture fixture;
    fixture.delay = milliseconds(20);
    CHECK(fixture.submit({"a"}) == std::vector{ResultCode::Ok});
    CHECK(fixture.submit({"x", "a", "b", "b", "c"})
          == std::vector{ResultCode::Ok, ResultCode::Ok, ResultCode::Ok, ResultCode::Ok,
                         ResultCode::Ok});
    CHECK(fixture.storedJobs() == 4);
}

// Guards against reporting a job as not stored that may run, and against a caller that waits for
// its whole timeout while the store refuses writes.
TEST_CASE("a write that the store refuses is distinguished from one with an unknown outcome")
{
    FrontendFixture fixture;
    fixture.refuses = true;
    CHECK(fixture.submit({"refused"}) == std::vector{ResultCode::PlatformUnavailable});
    CHECK(fixture.commits <= 5);
    fixture.refuses = false;
    fixture.losesAnswers = true;
    CHECK(fixture.submit({"lost"}, milliseconds(60))
          == std::vector{ResultCode::WriteOutcomeUnknown});
    fixture.losesAnswers = false;
    // The write took effect, so the next submission finds the row.
    CHECK(fixture.submit({"lost"}) == std::vector{ResultCode::Ok});
    CHECK(fixture.storedJobs() == 1);
}

// Guards against one job that makes the store reject those that are written with it.
TEST_CASE("a job that the store rejects does not affect the jobs of its batch")
{
    FrontendFixture fixture;
    fixture.rejectedJob = {"rejected"};
    fixture.delay = milliseconds(5);
    CHECK(
        fixture.submit({"first", "a", "rejected", "b"})
        == std::vector{ResultCode::Ok, ResultCode::Ok, ResultCode::WriteRejected, ResultCode::Ok});
    CHECK(fixture.storedJobs() == 3);
}

// Guards against a batch that is larger than the store accepts in one call.
TEST_CASE("a write of jobs has at most 1 MB")
{
    constexpr std::size_t maxCallBytes = 1'000'000;
    FrontendFixture fixture;
    fixture.payload = std::string(40'000, 'x');
    fixture.delay = milliseconds(5);
    std::vector<std::string> ids;
    ids.reserve(41);
    for (int n = 0; n < 41; ++n) {
        ids.push_back("j" + std::to_string(n));
    }
    const auto codes = fixture.submit(ids, milliseconds(5000));
    CHECK(std::count(codes.begin(), codes.end(), ResultCode::Ok) == 41);
    CHECK(fixture.largestCall > maxCallBytes / 2);
    CHECK(fixture.largestCall < maxCallBytes);
}

// Load pattern: a slow store whose partitions execute a few writes per second each, and jobs that
// arrive one by one. Guards against jobs that wait for writes to other partitions until their
// callers give up.
TEST_CASE("jobs in different partitions of the store do not wait for each other")
{
    FrontendFixture fixture;
    fixture.platform.partitionOf = [](const std::string &key) {
        return key.substr(key.size() - 1);
    };
    fixture.delay = milliseconds(100);
    std::vector<std::string> ids;
    ids.reserve(8);
    for (int n = 0; n < 8; ++n) {
        ids.push_back("part" + std::to_string(n));
    }
    const auto codes = fixture.submit(ids);
    CHECK(std::count(codes.begin(), codes.end(), ResultCode::Ok) == 8);
    CHECK(fixture.maxInFlight == 8);
    CHECK(fixture.commits == 8);
    CHECK(fixture.storedJobs() == 8);
}

// Guards against a job that runs although its caller was told that it does not exist: the store
// executes the write of the job late. Review, case 5.
TEST_CASE("a job that is cancelled before its write is executed is never stored")
{
    FrontendFixture fixture;
    fixture.holdsNextWrite = true;
    CHECK(fixture.submit({"j"}, milliseconds(100)) == std::vector{ResultCode::WriteOutcomeUnknown});
    CHECK(fixture.cancel("j") == ResultCode::JobNotFound);
    CHECK_FALSE(fixture.executeHeldWrite());
    CHECK(fixture.query("j") == ResultCode::JobNotFound);
    CHECK(fixture.cancel("j") == ResultCode::JobNotFound);
    CHECK(fixture.submit({"j"}) == std::vector{ResultCode::JobCancelled});
}

// Guards against answering a cancellation before anything prevents the job from being stored.
TEST_CASE("a cancellation of an unknown job is not answered while the store refuses writes")
{
    FrontendFixture fixture;
    fixture.refuses = true;
    CHECK(fixture.cancel("j") == ResultCode::PlatformUnavailable);
}

TEST_CASE("a job that was stored before its cancellation is cancelled")
{
    FrontendFixture fixture;
    CHECK(fixture.submit({"j"}) == std::vector{ResultCode::Ok});
    CHECK(fixture.cancel("j") == ResultCode::Ok);
    CHECK(fixture.query("j") == ResultCode::Ok);
    CHECK(fixture.submit({"j"}) == std::vector{ResultCode::Ok});
}

// Guards against a job that is shown as completed, or against a wrong count, because the beginning
// of a garbled answer of the holder is a number. MIXED.
TEST_CASE("an answer of the holder that is not a number is not shown to callers")
{
    FrontendFixture fixture;
    REQUIRE(fixture.submit({"j"}) == std::vector{ResultCode::Ok});
    EventLoop holderLoop({.threads = 1});
    std::string body;
    PeerServer holder(
        holderLoop, {.listen = {"127.0.0.1", 0}},
        [&body](const PeerMessage &, const PeerResponder &respond) {
            respond(ForwardedAnswer{.status = 200, .body = body});
        },
        [](const Error &) {});
    REQUIRE(holder.start());
    fixture.owner = {.epoch = 1, .peer = holder.endpoint()};
    body = std::to_string(static_cast<int>(JobState::Completed));
    CHECK(fixture.state("j") == JobState::Completed);
    for (const char *const garbled :
         {"", "2x", "2 ", " 2", "-1", "+2", "9", "2.0", "completed", "99999999999999999999999"}) {
        CAPTURE(std::string(garbled));
        body = garbled;
        // The state is read from the store instead.
        CHECK(fixture.state("j") == JobState::Running);
    }
    for (const char *const garbled : {"", "2x", " 2", "-1", "99999999999999999999999"}) {
        CAPTURE(std::string(garbled));
        body = garbled;
        std::promise<bool> counted;
        fixture.loop.post([&] {
            fixture.frontend->countPendingJobs("q", [&counted](const Result<std::size_t> &n) {
                counted.set_value(n.has_value());
            });
        });
        CHECK_FALSE(counted.get_future().get());
    }
}

// Guards against showing, or running, a job under an id that nobody submitted. MIXED.
TEST_CASE("a row with the key of another job is no job")
{
    FrontendFixture fixture;
    fixture.storeRow(jobRowKey({"other"}), encodeJob(oneTaskJob("j")));
    CHECK_FALSE(fixture.state("other"));
    CHECK(fixture.query("j") == ResultCode::JobNotFound);
    std::vector<Error> ignored;
    const std::string value = encodeJob(oneTaskJob("j"));
    CHECK(joinJobRows({{.key = jobRowKey({"other"}), .value = value}}, {}, ignored).empty());
    REQUIRE(ignored.size() == 1);
    CHECK(ignored[0].where == jobRowKey({"other"}));
    CHECK(joinJobRows({{.key = jobRowKey({"j"}), .value = value}}, {}, ignored).size() == 1);
}

// Guards against an answer "try again later", for ever, about a job that does not exist.
TEST_CASE("a cancellation row without the row of its job is no job")
{
    FrontendFixture fixture;
    fixture.storeRow(cancelRowKey({"j"}), "j");
    CHECK(fixture.query("j") == ResultCode::JobNotFound);
}
