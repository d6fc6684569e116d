#ifndef ACACIADEAL_FAILURE_RECORDCHECKS_H
#define ACACIADEAL_FAILURE_RECORDCHECKS_H

#include "base/resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciadeal::failure_tests {

// Checks of the stand-ins' own records. Each check returns one sentence for each violation. Times
// are microseconds on the machine's monotonic clock.

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

/// G1, G2, G3 and the worker's start window: what must hold in every test. G1 covers committed
/// amounts only as far as workers run them.
Violations taskViolations(const Records &records);

/// G4: starts in @p failureDomain after @p outAt + 3 s and before @p inAt.
Violations startsWhileDomainOut(const Records &records, const std::string &failureDomain,
                                std::int64_t outAt, std::int64_t inAt);

/// G7: requests whose id starts with @p prefix and that were executed more than once.
Violations repeatedExecutions(const Records &records, const std::string &prefix);

/// G8: executions that began more than @p limit microseconds after the instance began to leave.
Violations executionsAfterLeaving(const Records &records, std::int64_t limit);

/// Number of executions by request id.
std::map<std::string, int> executionCounts(const Records &records);

/// Returns how many of the runs of @p task ended with @p outcome.
int runsWithOutcome(const Records &records, const std::string &task, const std::string &outcome);

/// Returns the violations as lines of text.
std::string toText(const Violations &violations);

} // namespace acaciadeal::failure_tests

#endif
