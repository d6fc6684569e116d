#ifndef ACACIADEAL_GOLDEN_SESSION_H
#define ACACIADEAL_GOLDEN_SESSION_H

#include "embedded/worker.h"
#include "scheduling/holder.h"
#include "store/memorytable.h"

#include <map>
#include <string>

namespace acaciadeal::golden {

/// Simulation of one shard, its hosts and the daemons that successively hold it. Uses a manual
/// clock and the production decision logic and codecs. Every message and row that crosses an
/// interface is written to the transcript, which a test compares with a golden file.
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

/// Adds a comment line to the transcript.
void writeComment(Session &session, const std::string &text);

/// Advances the clock by @p time and updates the workers.
void advanceClock(Session &session, milliseconds time);

/// Adds a worker with the given capacity.
void addWorker(Session &session, const std::string &host, const Resources &capacity);

/// Claims the shard for @p daemon and recovers its state from the log.
void claimShard(Session &session, const std::string &daemon);

/// Appends changes that the holder did not propose, such as a submitted job.
void appendChanges(Session &session, const std::string &daemon, std::vector<Change> changes);

/// Lets the holder propose changes, and appends them to the log if there are any. After a lost
/// answer, the same transaction is sent again. Returns whether an entry was committed.
bool proposeAndAppend(Session &session, const std::string &daemon,
                      CommitFault fault = CommitFault::None);

/// Returns the proposal of @p daemon without appending it.
Proposal proposeOnly(Session &session, const std::string &daemon);

/// Appends a proposal that was made earlier, for example by a daemon that was paused meanwhile.
/// Returns whether the entry was committed.
bool appendProposal(Session &session, const std::string &daemon, const Proposal &proposal,
                    CommitFault fault = CommitFault::None);

/// Delivers all due orders to their workers, and the workers' reports to @p daemon.
void exchangeOrders(Session &session, const std::string &daemon, LinkFault fault = LinkFault::None);

/// Returns the due orders without delivering them.
std::map<HostId, WorkerOrders> collectDueOrders(Session &session, const std::string &daemon);

/// Delivers orders to @p host, and its report to @p daemon, unless @p fault loses one of them.
void deliverOrders(Session &session, const std::string &daemon, const HostId &host,
                   const WorkerOrders &orders, LinkFault fault = LinkFault::None);

/// Writes the failure domain's row with the state @p in (false: out of service) on behalf of the
/// operator @p by. Returns whether the write was committed.
bool changeDomain(Session &session, const std::string &by, bool in, std::uint64_t expectedVersion);

/// Lets @p daemon read the failure domain's row and apply it.
void readDomain(Session &session, const std::string &daemon);

/// Returns the version of a row, or 0 if there is none.
std::uint64_t versionOf(const Session &session, const std::string &key);

/// Writes the workers' run records to the transcript. Checks that no task ran in two places at once
/// and that no worker exceeded its capacity.
void writeAndCheckRuns(Session &session);

/// Compares the transcript with the golden file @p name, or rewrites that file if the environment
/// variable ACACIADEAL_UPDATE_GOLDEN is set.
void compareTranscript(const Session &session, const std::string &name);

} // namespace acaciadeal::golden

#endif
