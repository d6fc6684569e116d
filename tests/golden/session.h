#ifndef ACACIADEAL_GOLDEN_SESSION_H
#define ACACIADEAL_GOLDEN_SESSION_H

#include "embedded/worker.h"
#include "scheduling/holder.h"
#include "store/memorytable.h"

#include <map>
#include <string>

namespace acaciadeal::golden {

/// One shard, its hosts and the daemons that hold it one after another, driven with a manual clock
/// through the real decisions and codecs. Everything that crosses an interface is written to the
/// transcript.
struct Session
{
    ShardId shard{"lowell-yard"};
    TimePoint now{};
    MemoryTable table;
    std::map<HostId, embedded::Worker> workers;
    std::map<std::string, Holder> holders;
    /// Version of the owner row at the claim of each holder.
    std::map<std::string, std::uint64_t> ownerRowVersions;
    std::uint64_t transactions = 0;
    std::string transcript;
};

enum class CommitFault { None, LoseAnswer };
enum class LinkFault { None, LoseOrders, LoseReport };

/// Writes a comment line.
void writeComment(Session &session, const std::string &text);

/// Moves the clock and lets the workers act.
void advanceClock(Session &session, milliseconds time);

/// Adds a worker with the given capacity.
void addWorker(Session &session, const std::string &host, const Resources &capacity);

/// Claims the shard for @p daemon and recovers its state from the log.
void claim(Session &session, const std::string &daemon);

/// Appends changes from outside, such as a submitted job.
void appendChanges(Session &session, const std::string &daemon, std::vector<Change> changes);

/// Lets the holder propose, and appends the proposal if it has changes. A lost answer is resolved
/// by sending the same transaction again. Returns whether the entry was committed.
bool proposeAndAppend(Session &session, const std::string &daemon,
                      CommitFault fault = CommitFault::None);

/// Returns the proposal of @p daemon without appending it.
Proposal proposeOnly(Session &session, const std::string &daemon);

/// Appends an earlier proposal, for example of a daemon that was paused in between.
bool appendProposal(Session &session, const std::string &daemon, const Proposal &proposal,
                    CommitFault fault = CommitFault::None);

/// Exchanges the orders that are due with their workers.
void exchangeOrders(Session &session, const std::string &daemon, LinkFault fault = LinkFault::None);

/// Returns the orders that are due without delivering them.
std::map<HostId, WorkerOrders> collectDueOrders(Session &session, const std::string &daemon);

/// Delivers orders, and the report to @p daemon unless it is lost.
void deliverOrders(Session &session, const std::string &daemon, const HostId &host,
                   const WorkerOrders &orders, LinkFault fault = LinkFault::None);

/// Takes the failure domain out or in, as an operator would. Returns whether the write committed.
bool changeDomain(Session &session, const std::string &by, bool in, std::uint64_t expectedVersion);

/// Lets @p daemon read the failure domain's row.
void readDomain(Session &session, const std::string &daemon);

/// Returns the version of a row, or 0.
std::uint64_t versionOf(const Session &session, const std::string &key);

/// Writes what the workers really did, and checks that no task ran in two places at once.
void writeAndCheckRuns(Session &session);

/// Compares the transcript with the file of this name, or rewrites the file when the environment
/// variable ACACIADEAL_UPDATE_GOLDEN is set.
void compareTranscript(const Session &session, const std::string &name);

} // namespace acaciadeal::golden

#endif
