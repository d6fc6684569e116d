#include "golden/session.h"

#include "base/hash.h"
#include "daemon/rowkeys.h"
#include "kernel/pluginregistry.h"
#include "state/codec.h"
#include "store/codec.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

namespace acaciadeal::golden {
namespace {

long long toMilliseconds(TimePoint time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

void writeLine(Session &session, const std::string &text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8lld ", toMilliseconds(session.now));
    session.transcript += time + text + "\n";
}

std::string runText(const TaskId &task, std::uint32_t incarnation)
{
    return task.value + "#" + std::to_string(incarnation);
}

const char *reasonName(ReleaseReason reason)
{
    switch (reason) {
    case ReleaseReason::Finished:
        return "finished";
    case ReleaseReason::Failed:
        return "failed";
    case ReleaseReason::Evicted:
        return "evicted";
    case ReleaseReason::StartExpired:
        return "start-expired";
    case ReleaseReason::HostLost:
        return "host-lost";
    case ReleaseReason::Cancelled:
        return "cancelled";
    }
    return "unrecognized";
}

struct ChangeText
{
    std::string operator()(const JobAccepted &change) const
    {
        std::string result = "accept " + change.job.value + " [";
        for (const Task &task : change.tasks) {
            result += " " + task.spec.id.value;
        }
        return result + " ]";
    }
    std::string operator()(const HostUpdated &change) const
    {
        return "host " + change.host.value + (change.acceptsTasks ? " open" : " closed");
    }
    std::string operator()(const HostRemoved &change) const
    {
        return "remove " + change.host.value;
    }
    std::string operator()(const TaskPlaced &change) const
    {
        return "place " + runText(change.task, change.incarnation) + " on " + change.host.value;
    }
    std::string operator()(const TaskReleased &change) const
    {
        return "release " + runText(change.task, change.incarnation) + " "
               + reasonName(change.reason)
               + (change.checkpoint.empty() ? "" : " checkpoint " + change.checkpoint);
    }
    std::string operator()(const TaskCancelled &change) const
    {
        return "cancel " + change.task.value;
    }
    std::string operator()(const TaskRejected &change) const
    {
        return "reject " + change.task.value + ": " + change.reason;
    }
    std::string operator()(const TaskMoved &change) const
    {
        return "move " + change.task.value + " to " + change.toShard.value;
    }
};

std::string describeEntry(const LogEntry &entry, const std::string &bytes)
{
    char hash[32];
    std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(stableHash(bytes)));
    std::string result = "entry " + std::to_string(entry.epoch) + "."
                         + std::to_string(entry.sequence) + " " + std::to_string(bytes.size())
                         + " bytes " + hash;
    for (const Change &change : entry.changes) {
        result += "\n           " + std::visit(ChangeText{}, change);
    }
    return result;
}

/// Commits the transaction, and sends it again when the answer is lost.
Result<CommitVersions> commitWithFault(Session &session, const std::string &daemon,
                                       const Transaction &transaction, CommitFault fault)
{
    // The round trip covers the codec of the platform interface.
    const auto decoded = decodeTransaction(encodeTransaction(transaction));
    REQUIRE(decoded);
    auto result = commit(session.table, *decoded);
    if (fault == CommitFault::None) {
        return result;
    }
    writeLine(session, daemon + " gets no answer to its write and sends it again");
    result = commit(session.table, *decoded);
    if (result) {
        return result;
    }
    const auto rows = read(session.table, {.keys = {transaction.puts.back().key}});
    if (!rows.empty() && rows.front().value == transaction.puts.back().value) {
        writeLine(session, daemon + " finds its own row " + rows.front().key);
        return CommitVersions{{rows.front().key, rows.front().version}};
    }
    return result;
}

bool appendEntry(Session &session, const std::string &daemon, std::vector<Change> changes,
                 const Proposal &proposal, CommitFault fault)
{
    Holder &holder = session.holders.at(daemon);
    const LogEntry entry{.shard = session.shard,
                         .epoch = holder.epoch,
                         .sequence = holder.state.lastSequence + 1,
                         .transactionId = daemon + "-" + std::to_string(++session.transactions),
                         .changes = std::move(changes)};
    const std::string bytes = encodeLogEntry(entry);
    Transaction transaction{
        .checks = {{logKey(session.shard, entry.sequence), 0},
                   {ownerKey(session.shard), session.ownerRowVersions.at(daemon)}},
        .puts = {{logKey(session.shard, entry.sequence), bytes}}};
    if (proposal.containsStart) {
        const std::string key = domainKey({session.shard.value});
        // Expects the row's current version, or no row if domainInService is false: a test clears
        // domainInService to simulate a holder that has not read the row.
        transaction.checks.push_back({key, holder.domainInService ? versionOf(session, key) : 0});
    }
    writeLine(session, daemon + " appends " + describeEntry(entry, bytes));
    const auto result = commitWithFault(session, daemon, transaction, fault);
    if (!result) {
        writeLine(session,
                  daemon + " append refused: " + std::string(resultCodeName(result.error().code))
                      + " " + result.error().where);
        return false;
    }
    const auto applied = applyProposal(holder, proposal, entry, session.now);
    REQUIRE_MESSAGE(applied.has_value(), (applied ? "" : applied.error().message));
    return true;
}

} // namespace

void writeComment(Session &session, const std::string &text)
{
    session.transcript += "# " + text + "\n";
}

void advanceClock(Session &session, milliseconds time)
{
    session.now += time;
    for (auto &[host, worker] : session.workers) {
        embedded::advance(worker, session.now);
    }
}

void addWorker(Session &session, const std::string &host, const Resources &capacity)
{
    session.workers[{host}] = embedded::makeWorker({.host = {host}, .capacity = capacity});
}

std::uint64_t versionOf(const Session &session, const std::string &key)
{
    const auto rows = read(session.table, {.keys = {key}});
    return rows.empty() ? 0 : rows.front().version;
}

void claimShard(Session &session, const std::string &daemon)
{
    const auto rows = read(session.table, {.keys = {ownerKey(session.shard)}});
    const OwnerRow previous =
        rows.empty() ? OwnerRow{} : decodeOwnerRow(rows.front().value).value();
    const OwnerRow row{.epoch = previous.epoch + 1, .holder = {daemon}, .claimId = daemon};
    const auto versions =
        commit(session.table,
               {.checks = {{ownerKey(session.shard), rows.empty() ? 0 : rows.front().version}},
                .puts = {{ownerKey(session.shard), encode(row)}}});
    REQUIRE(versions);
    ShardState state;
    state.shard = session.shard;
    state.failureDomain = {session.shard.value};
    for (const Row &logRow : read(session.table, {.prefix = logPrefix(session.shard)})) {
        const auto entry = decodeLogEntry(logRow.value);
        REQUIRE(entry);
        REQUIRE(apply(state, *entry));
    }
    session.ownerRowVersions[daemon] = versions->at(ownerKey(session.shard));
    const auto policy = PluginRegistry<PlacementPolicy>::instance().find("spread-reserve");
    REQUIRE(policy);
    writeLine(session, daemon + " claims epoch " + std::to_string(row.epoch) + " and reads "
                           + std::to_string(state.lastSequence) + " entries");
    session.holders[daemon] =
        makeHolder({.placement = *policy}, std::move(state), row.epoch, session.now);
    if (row.epoch == 1) {
        std::vector<Change> hosts;
        for (const auto &[id, worker] : session.workers) {
            hosts.emplace_back(HostUpdated{.host = id, .capacity = worker.options.capacity});
        }
        appendChanges(session, daemon, std::move(hosts));
    }
}

void appendChanges(Session &session, const std::string &daemon, std::vector<Change> changes)
{
    REQUIRE(appendEntry(session, daemon, std::move(changes), {}, CommitFault::None));
}

Proposal proposeOnly(Session &session, const std::string &daemon)
{
    return proposeChanges(session.holders.at(daemon), session.now);
}

bool appendProposal(Session &session, const std::string &daemon, const Proposal &proposal,
                    CommitFault fault)
{
    return appendEntry(session, daemon, proposal.changes, proposal, fault);
}

bool proposeAndAppend(Session &session, const std::string &daemon, CommitFault fault)
{
    const Proposal proposal = proposeOnly(session, daemon);
    return !proposal.changes.empty() && appendProposal(session, daemon, proposal, fault);
}

std::map<HostId, WorkerOrders> collectDueOrders(Session &session, const std::string &daemon)
{
    return dueOrders(session.holders.at(daemon), session.now);
}

void deliverOrders(Session &session, const std::string &daemon, const HostId &host,
                   const WorkerOrders &orders, LinkFault fault)
{
    Holder &holder = session.holders.at(daemon);
    const std::string sent = encodeOrders(orders);
    writeLine(session, daemon + " -> " + host.value + " " + sent);
    if (fault == LinkFault::LoseOrders) {
        writeLine(session, "orders lost");
        onOrdersUnanswered(holder, host, session.now);
        return;
    }
    const auto received = decodeOrders(sent);
    REQUIRE(received);
    const std::string answer =
        encodeReport(embedded::applyOrders(session.workers.at(host), *received, session.now));
    writeLine(session, daemon + " <- " + host.value + " " + answer);
    if (fault == LinkFault::LoseReport) {
        writeLine(session, "report lost");
        onOrdersUnanswered(holder, host, session.now);
        return;
    }
    const auto report = decodeReport(answer);
    REQUIRE(report);
    onReport(holder, host, *report, session.now);
}

void exchangeOrders(Session &session, const std::string &daemon, LinkFault fault)
{
    for (const auto &[host, orders] : collectDueOrders(session, daemon)) {
        deliverOrders(session, daemon, host, orders, fault);
    }
}

bool changeDomain(Session &session, const std::string &by, bool in, std::uint64_t expectedVersion)
{
    const std::string key = domainKey({session.shard.value});
    const DomainRow row{.in = in, .reason = "test", .changedBy = by};
    const auto result =
        commit(session.table, {.checks = {{key, expectedVersion}}, .puts = {{key, encode(row)}}});
    writeLine(session,
              by + " takes the failure domain " + (in ? "in" : "out") + ": "
                  + (result ? "committed" : std::string(resultCodeName(result.error().code))));
    return result.has_value();
}

void readDomain(Session &session, const std::string &daemon)
{
    const auto rows = read(session.table, {.keys = {domainKey({session.shard.value})}});
    const bool in = rows.empty() || decodeDomainRow(rows.front().value).value().in;
    writeLine(session, daemon + " reads that the failure domain is " + (in ? "in" : "out"));
    setDomainInService(session.holders.at(daemon), in, session.now);
}

void writeAndCheckRuns(Session &session)
{
    std::map<TaskId, std::vector<const embedded::RunRecord *>> byTask;
    session.transcript += "# what the workers did\n";
    for (const auto &[host, worker] : session.workers) {
        for (const embedded::RunRecord &record : worker.records) {
            byTask[record.run.task].push_back(&record);
        }
        CHECK(fits(worker.peak, worker.options.capacity));
    }
    for (auto &[task, records] : byTask) {
        std::sort(records.begin(), records.end(),
                  [](const auto *a, const auto *b) { return a->startedAt < b->startedAt; });
        for (std::size_t n = 0; n < records.size(); ++n) {
            const embedded::RunRecord &record = *records[n];
            session.transcript +=
                runText(task, record.run.incarnation) + " on " + record.host.value + " from "
                + std::to_string(toMilliseconds(record.startedAt)) + " to "
                + (record.endedAt ? std::to_string(toMilliseconds(*record.endedAt)) : "-") + " "
                + (record.outcome.empty() ? "running" : record.outcome)
                + (record.resumedFrom.empty() ? "" : " resumed from " + record.resumedFrom) + "\n";
            if (n > 0) {
                REQUIRE(records[n - 1]->endedAt.has_value());
                CHECK(*records[n - 1]->endedAt <= record.startedAt);
            }
        }
    }
}

void compareTranscript(const Session &session, const std::string &name)
{
    const std::string path = std::string(ACACIADEAL_GOLDEN_DIR) + "/" + name + ".txt";
    if (std::getenv("ACACIADEAL_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << session.transcript;
        return;
    }
    std::ifstream in(path);
    REQUIRE_MESSAGE(in.good(), path << " is missing; run ./update-golden.sh");
    std::ostringstream expected;
    expected << in.rdbuf();
    CHECK(session.transcript == expected.str());
}

} // namespace acaciadeal::golden
