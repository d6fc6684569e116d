#ifndef ACACIADEAL_FLEET_INTERNAL_HOLDERLOG_H
#define ACACIADEAL_FLEET_INTERNAL_HOLDERLOG_H

#include "dispatch/dispatcher.h"
#include "metrics/metrics.h"

#include <ctime>

namespace acaciadeal::internal {

/// Logs and counts what the dispatcher found out since the last call.
void logFindings(Dispatcher &dispatcher, Metrics &metrics);

/// Rounds of decisions since the last status line.
struct RoundTimes
{
    int rounds = 0;
    /// Elapsed time of the decisions, without sending the orders.
    Duration total{0};
    Duration longestRound{0};
    /// Longest time by which a round began late; the control thread was busy or got no processor.
    Duration maxStartDelay{0};
    /// Processor time of the process up to the last status line.
    std::clock_t processorTime = 0;
};

/// Logs the sums over the fleet and what deciding took, and begins to measure anew.
void logStatus(const FleetState &fleet, RoundTimes &rounds, TimePoint now);

/// Wait from which a task's reason to wait is logged.
inline constexpr Duration minReportedWait = std::chrono::seconds(2);
/// Most lines about waiting tasks in one call of logWaits(); bounds the volume in a full fleet.
inline constexpr std::size_t maxWaitLogLines = 8;

/// Logs why tasks wait, a line for each step, long-running tasks that ran before first and all
/// steps in turn. Counts by rule the steps that it logs.
void logWaits(Dispatcher &dispatcher, Metrics &metrics, TimePoint now);

} // namespace acaciadeal::internal

#endif
