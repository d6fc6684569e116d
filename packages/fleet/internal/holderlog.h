#ifndef ACACIADEAL_FLEET_INTERNAL_HOLDERLOG_H
#define ACACIADEAL_FLEET_INTERNAL_HOLDERLOG_H

#include "dispatch/dispatcher.h"
#include "metrics/metrics.h"

#include <ctime>
#include <optional>
#include <string>

namespace acaciadeal::internal {

/// Logs the dispatcher's events since the last call and updates the metrics that count them.
void logDispatchEvents(Dispatcher &dispatcher, Metrics &metrics);

/// Statistics of the scheduling rounds since the last status line.
struct RoundTimes
{
    int rounds = 0;
    /// Elapsed time of all rounds, without sending the orders.
    Duration total{0};
    Duration longestRound{0};
    /// Longest delay between the time at which a round was due and its start. A long delay means
    /// that the control thread was busy or got no processor time.
    Duration maxStartDelay{0};
    /// Processor time used by the process up to the last status line.
    std::clock_t processorTime = 0;
};

/// How current the holder's knowledge is.
struct HolderView
{
    /// Whether the daemon may act as the holder.
    bool mayAct = false;
    /// Time as of which all stored jobs are known; unset before the first read.
    std::optional<TimePoint> jobsReadAt;
    /// Start orders without an answer, and when the oldest of them was sent.
    std::size_t unansweredOrders = 0;
    std::optional<TimePoint> oldestOrderAt;
};

/// Logs totals of the fleet and the statistics of @p rounds, and resets the latter.
void logStatus(const FleetState &fleet, const HolderView &view, RoundTimes &rounds, TimePoint now);

/// Logs a count of the pending jobs of @p queue; @p pending is the answer.
void logPendingJobs(const FleetState &fleet, const HolderView &view, const std::string &queue,
                    const Result<std::size_t> &pending, TimePoint now);

/// Time for which a task has to wait before the reason is logged.
inline constexpr Duration minReportedWait = std::chrono::seconds(2);
/// Maximum number of lines that one call of logWaits() writes; bounds the log volume when the fleet
/// is full.
inline constexpr std::size_t maxWaitLogLines = 8;

/// Logs why tasks wait, one line per step. Steps with long-running tasks that have to be restarted
/// come first; over several calls every step gets its turn. Counts the logged steps by rule in
/// @p metrics.
void logWaits(Dispatcher &dispatcher, Metrics &metrics, TimePoint now);

} // namespace acaciadeal::internal

#endif
