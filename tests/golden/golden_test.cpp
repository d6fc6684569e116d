#include "golden/session.h"

#include "daemon/rowkeys.h"
#include "settings/settingstree.h"

#include <doctest/doctest.h>

using namespace acaciadeal;
using namespace acaciadeal::golden;

namespace {

constexpr Resources workerCapacity{.milliCores = 4000, .memoryMiB = 8192, .accelerators = 1};
constexpr Resources taskSize{.milliCores = 2000, .memoryMiB = 2048};

Session makeSession(int hosts)
{
    Session session;
    for (int n = 1; n <= hosts; ++n) {
        addWorker(session, "worker-" + std::to_string(n), workerCapacity);
    }
    return session;
}

Change makeJob(const std::string &name, int tasks, TaskClass taskClass, const std::string &payload)
{
    JobAccepted accepted{.job = {name}};
    for (int n = 1; n <= tasks; ++n) {
        Task task;
        task.spec = {.id = {name + "-" + std::to_string(n)},
                     .job = {name},
                     .team = {"wire"},
                     .taskClass = taskClass,
                     .size = taskSize,
                     .payload = payload};
        accepted.tasks.push_back(task);
    }
    return accepted;
}

/// Delivers orders and appends proposals for @p rounds rounds of length @p step.
void runRounds(Session &session, const std::string &daemon, int rounds, milliseconds step)
{
    for (int n = 0; n < rounds; ++n) {
        exchangeOrders(session, daemon);
        proposeAndAppend(session, daemon);
        exchangeOrders(session, daemon);
        advanceClock(session, step);
    }
}

} // namespace

TEST_CASE("session: a batch task runs under a lease and finishes")
{
    Session session = makeSession(2);
    claimShard(session, "entry-1");
    appendChanges(session, "entry-1",
                  {makeJob("archive", 2, TaskClass::Batch, R"({"run_ms":400})")});
    runRounds(session, "entry-1", 5, milliseconds(200));
    writeAndCheckRuns(session);
    compareTranscript(session, "batch-task");
}

// Guards against an evicted task that runs twice, or that restarts from the beginning although it
// has a checkpoint (G3).
TEST_CASE("session: a task is evicted when its failure domain is taken out, and resumes when the "
          "domain is back")
{
    Session session = makeSession(1);
    claimShard(session, "entry-1");
    appendChanges(session, "entry-1",
                  {makeJob("watch", 1, TaskClass::Batch, R"({"run_ms":60000,"checkpoint":true})")});
    runRounds(session, "entry-1", 3, milliseconds(200));
    REQUIRE(changeDomain(session, "operator", false, 0));
    readDomain(session, "entry-1");
    runRounds(session, "entry-1", 4, milliseconds(1000));
    const auto version = versionOf(session, domainKey({session.shard.value}));
    REQUIRE(changeDomain(session, "operator", true, version));
    readDomain(session, "entry-1");
    runRounds(session, "entry-1", 4, milliseconds(1000));
    writeAndCheckRuns(session);
    compareTranscript(session, "domain-out-and-back");
}

// Guards against a placement that is decided before the failure domain is taken out and appended
// afterwards (G4).
TEST_CASE("session: an append that contains a start fails once the failure domain is out")
{
    Session session = makeSession(1);
    claimShard(session, "entry-1");
    appendChanges(session, "entry-1", {makeJob("scan", 1, TaskClass::Urgent, R"({"run_ms":100})")});
    exchangeOrders(session, "entry-1");
    const Proposal proposal = proposeOnly(session, "entry-1");
    REQUIRE(proposal.containsStart);
    REQUIRE(changeDomain(session, "operator", false, 0));
    // The holder's append expects that the failure domain's row does not exist, as before the
    // change.
    session.holders.at("entry-1").domainInService = false;
    CHECK_FALSE(appendProposal(session, "entry-1", proposal));
    writeAndCheckRuns(session);
    compareTranscript(session, "domain-out-before-append");
}

// Guards against a replaced holder that still delivers orders it prepared earlier (G2).
TEST_CASE("session: the holder is replaced before its orders are delivered")
{
    Session session = makeSession(2);
    claimShard(session, "entry-1");
    appendChanges(session, "entry-1",
                  {makeJob("archive", 3, TaskClass::Batch, R"({"run_ms":5000})")});
    exchangeOrders(session, "entry-1");
    REQUIRE(proposeAndAppend(session, "entry-1"));
    const auto undelivered = collectDueOrders(session, "entry-1");
    writeComment(session, "entry-1 is paused before its orders leave");
    advanceClock(session, milliseconds(8000));
    claimShard(session, "entry-2");
    runRounds(session, "entry-2", 3, milliseconds(1000));
    writeComment(session, "entry-1 wakes up and sends what it had prepared");
    for (const auto &[host, orders] : undelivered) {
        deliverOrders(session, "entry-1", host, orders);
    }
    CHECK_FALSE(proposeAndAppend(session, "entry-1"));
    runRounds(session, "entry-2", 8, milliseconds(1000));
    writeAndCheckRuns(session);
    compareTranscript(session, "holder-change");
}

// Guards against a committed entry being appended a second time after its answer was lost.
TEST_CASE("session: the answer to an append is lost")
{
    Session session = makeSession(1);
    claimShard(session, "entry-1");
    appendChanges(session, "entry-1", {makeJob("scan", 1, TaskClass::Urgent, R"({"run_ms":100})")});
    exchangeOrders(session, "entry-1");
    REQUIRE(proposeAndAppend(session, "entry-1", CommitFault::LoseAnswer));
    runRounds(session, "entry-1", 3, milliseconds(200));
    writeAndCheckRuns(session);
    compareTranscript(session, "lost-write-answer");
}

// Guards against a task being moved from an unreachable worker that still runs it, before its lease
// has lapsed (G2).
TEST_CASE("session: the task of an unreachable worker moves only after its lease has lapsed")
{
    Session session = makeSession(2);
    claimShard(session, "entry-1");
    appendChanges(session, "entry-1",
                  {makeJob("watch", 1, TaskClass::Batch, R"({"run_ms":60000})")});
    runRounds(session, "entry-1", 2, milliseconds(500));
    const HostId disconnected =
        session.workers.at({"worker-1"}).records.empty() ? HostId{"worker-2"} : HostId{"worker-1"};
    for (int n = 0; n < 20; ++n) {
        for (const auto &[host, orders] : collectDueOrders(session, "entry-1")) {
            deliverOrders(session, "entry-1", host, orders,
                          host == disconnected ? LinkFault::LoseOrders : LinkFault::None);
        }
        proposeAndAppend(session, "entry-1");
        advanceClock(session, milliseconds(1000));
    }
    writeAndCheckRuns(session);
    CHECK(session.workers.at(disconnected).records.size() == 1);
    compareTranscript(session, "worker-cut-off");
}

// Guards against leases that lapse because the platform is down.
TEST_CASE("session: the platform is down for a minute")
{
    Session session = makeSession(1);
    claimShard(session, "entry-1");
    appendChanges(session, "entry-1",
                  {makeJob("watch", 1, TaskClass::Batch, R"({"run_ms":90000})")});
    runRounds(session, "entry-1", 2, milliseconds(500));
    session.holders.at("entry-1").platformReachable = false;
    writeComment(session, "the platform is down");
    runRounds(session, "entry-1", 12, milliseconds(5000));
    session.holders.at("entry-1").platformReachable = true;
    session.holders.at("entry-1").ownershipConfirmedAt = session.now;
    writeComment(session, "the platform is back");
    runRounds(session, "entry-1", 8, milliseconds(5000));
    writeAndCheckRuns(session);
    CHECK(session.workers.begin()->second.records.size() == 1);
    compareTranscript(session, "platform-outage");
}

// Guards against one operator overwriting another's change without having seen it.
TEST_CASE("session: two operators race for one failure domain")
{
    Session session = makeSession(1);
    claimShard(session, "entry-1");
    CHECK(changeDomain(session, "operator-1", false, 0));
    CHECK_FALSE(changeDomain(session, "operator-2", true, 0));
    readDomain(session, "entry-1");
    compareTranscript(session, "racing-operators");
}

// Guards against a settings write that is based on an outdated version replacing a newer value
// (G10).
TEST_CASE("session: two operators write the same and neighbouring settings")
{
    Session session;
    SettingsTree tree;
    const auto attempt = [&](const SettingsWrite &write) {
        const auto prepared = prepareWrite(tree, write);
        std::string line = write.team.value + " writes " + write.path + ": ";
        if (!prepared) {
            line += resultCodeName(prepared.error().code);
        } else {
            const std::string row = encodeEntry(prepared->entry);
            const auto entry = decodeEntry(row);
            REQUIRE(entry);
            REQUIRE(applyEntry(tree, *entry));
            line += row;
        }
        writeComment(session, line);
    };
    attempt({"/system/drain_rate", "10", 0, {"system"}, {"r1"}});
    attempt({"/system/drain_rate", "20", 0, {"system"}, {"r2"}});
    attempt({"/system/refill_rate", "30", 0, {"system"}, {"r3"}});
    attempt({"/system/drain_rate", "40", 1, {"wire"}, {"r4"}});
    attempt({"/teams/wire/max_queued_tasks", "50", 0, {"wire"}, {"r5"}});
    attempt({"/system/drain_rate", "\"fast\"", 1, {"system"}, {"r6"}});
    writeComment(session, "version " + std::to_string(tree.version));
    compareTranscript(session, "racing-settings");
}
