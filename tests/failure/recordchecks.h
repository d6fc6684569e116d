#ifndef ACACIADEAL_FAILURE_RECORDCHECKS_H
#define ACACIADEAL_FAILURE_RECORDCHECKS_H

#include "base/resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal::failure_tests {

// Checks of the records that the stand-ins keep. Each check returns one message per violation.
// Times are microseconds of the machine's monotonic clock.
//
// G1 to G10 are the guarantees that the failure tests check. "Checked as" says what the checks
// compare instead or in addition.
//   G1   No host is ever committed beyond its processors, memory or accelerators.
//        Checked as: the resources that the running tasks use never exceed the host's capacity.
//   G2   No task ever runs in two places at once.
//        Checked as: also, a run ends no later than its lease, and no run of a shard starts on a
//        host by an older epoch than the run before it.
//   G3   Evicted work resumes exactly once.
//        Checked as: it resumes from its checkpoint; no accepted task is lost or runs again after
//        it finished; incarnations only increase.
//   G4   Once a failure domain is taken out, no task starts there after the start window of 3 s.
//   G5   Every caller receives the whole answer to its own request, even when answers are late or
//        out of order.
//        Checked as: callers get only complete answers to their own requests.
//   G6   A request that is refused as not run has not been executed.
//   G7   A non-repeatable request is executed at most once.
//   G8   An instance receives no request later than a few seconds after it began to leave.
//   G9   A graceful shutdown cuts off no request in progress.
//   G10  An accepted configuration is in force everywhere within seconds and never reverts.
//        Checked as: an accepted settings change is never lost or rolled back, nor overwritten by
//        an operator who has not seen it.

struct RunRow
{
    std::string task;
    std::uint32_t incarnation = 0;
    std::string host;
    std::string failureDomain;
    std::string shard;
    std::uint64_t epoch = 0;
    std::int64_t permitAgeMs = 0;
    std::string resumedFrom;
    std::int64_t startedAt = 0;
    std::optional<std::int64_t> endedAt;
    std::int64_t leaseEnd = 0;
    std::string outcome;
    std::string checkpoint;
};

struct ExecutionRow
{
    std::string request;
    std::string host;
    std::string failureDomain;
    std::int64_t at = 0;
    bool leaving = false;
    std::int64_t leavingSince = 0;
};

struct HostRow
{
    std::string host;
    std::string failureDomain;
    bool isWorker = false;
    Resources capacity;
    Resources peak;
    std::uint64_t staleOrders = 0;
    std::uint64_t stalePermits = 0;
    std::uint64_t heldRequests = 0;
    std::uint32_t active = 0;
};

struct Records
{
    std::int64_t now = 0;
    std::vector<RunRow> runs;
    std::vector<ExecutionRow> executions;
    std::vector<HostRow> hosts;
};

/// Parses the answer of GET /control/records. Throws nlohmann::json::exception.
Records parseRecords(const std::string &text);

using Violations = std::vector<std::string>;

/// Checks G1, G2, G3 and the worker's start window, which must hold in every test. G1 is checked
/// for resources that running tasks use, not for those that are only committed.
Violations taskViolations(const Records &records);

/// G4: returns starts in @p failureDomain later than 3 s after @p outAt and before @p inAt.
Violations startsWhileDomainOut(const Records &records, const std::string &failureDomain,
                                std::int64_t outAt, std::int64_t inAt);

/// G7: returns requests whose id starts with @p prefix and that were executed more than once.
Violations repeatedExecutions(const Records &records, const std::string &prefix);

/// G8: returns executions that began more than @p limit microseconds after the instance began to
/// leave.
Violations executionsAfterLeaving(const Records &records, std::int64_t limit);

/// Returns the number of executions by request id.
std::map<std::string, int> executionCounts(const Records &records);

/// Returns how many of the runs of @p task ended with @p outcome.
int runsWithOutcome(const Records &records, const std::string &task, const std::string &outcome);

/// Returns the violations, one per line.
std::string toText(const Violations &violations);

} // namespace acaciadeal::failure_tests

#endif
