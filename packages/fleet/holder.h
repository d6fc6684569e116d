#ifndef ACACIADEAL_FLEET_HOLDER_H
#define ACACIADEAL_FLEET_HOLDER_H

#include "dispatch/admission.h"
#include "dispatch/dispatcher.h"
#include "fleet/hostclient.h"
#include "metrics/metrics.h"
#include "store/platform.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace acaciadeal {

class EventLoop;

struct FleetHolderOptions
{
    std::uint64_t epoch = 0;
    /// When the previous holder had provably stopped; its leases lapse counted from here.
    TimePoint previousStoppedAt;
    /// Lease that each renewal grants; longer than a takeover takes. The same for all holders, as a
    /// new one waits for the leases of the one before.
    milliseconds lease{5900};
    /// Longest time for which a renewal waits for an end.
    milliseconds renewalWait{900};
    /// The same for hosts on which batch tasks run beside serving ones, whose tails change within a
    /// second.
    milliseconds sharedRenewalWait{450};
    /// Time for a host to answer beyond the wait; about 100 times an ordinary answer.
    Duration hostTimeout = milliseconds(400);
    /// Time for a host to answer a start order. A lost answer costs no more than a question to the
    /// host, while the task waits, and short tasks have 0.5 s of slack in all.
    Duration startTimeout = milliseconds(200);
    /// Delay before a host that did not answer is asked again.
    Duration hostRetryDelay = milliseconds(200);
    /// Time for which progress is gathered before it is written; bounds the store's calls.
    Duration flushDelay = milliseconds(60);
    /// The same if a job has ended, whose caller waits.
    Duration urgentFlushDelay = milliseconds(4);
    /// Time for which events are gathered before the next decisions; small beside the slack of the
    /// shortest tasks, and bounds the processor time that decisions take.
    Duration planDelay = milliseconds(5);
    Duration listHostsEvery = milliseconds(600);
    Duration readJobsEvery = milliseconds(1000);
    /// Longest time for which a new holder that knows all hosts waits for the jobs' changes, which
    /// may hold cancellations.
    Duration catchUpTimeout = std::chrono::seconds(2);
    /// Housekeeping of leases, delays and repeated orders.
    Duration tickEvery = milliseconds(100);
    Duration statusEvery = std::chrono::seconds(2);
    /// Period in which the reasons of waiting tasks are logged; below the 3 s for which users
    /// accept that a task waits beside free room.
    Duration reportWaitsEvery = std::chrono::seconds(1);
    /// Period in which what was learned of the images is stored for the next holder.
    Duration storeModelEvery = std::chrono::seconds(4);
    /// Time for which the first arrival of a rejected job is remembered.
    Duration rejectedJobRetention = std::chrono::seconds(60);
    /// Time for which an admitted job may be on its way to the store.
    Duration offerValidity = milliseconds(1500);
    /// Time for which ended jobs are remembered; callers may ask for 120 s.
    Duration endedJobRetention = std::chrono::seconds(150);
};

/// What the holder needs from the daemon around it.
struct FleetHolderEnvironment
{
    EventLoop &loop;
    const PlatformAdapter &platform;
    HostClient hosts;
    Metrics &metrics;
    /// Whether the shard is held; no order leaves otherwise.
    std::function<bool()> mayAct;
    /// Called when a host has seen a newer holder.
    std::function<void(const std::string &reason)> onFenced;
};

/// Answer to a question about a job: its state, or JobNotFound, or PlatformUnavailable.
using JobStateCallback = std::function<void(Result<JobState>)>;

/// Runs the dispatcher of a shard: recovers its state, renews leases, sends orders and writes
/// progress. Used on one control thread.
class FleetHolder : public std::enable_shared_from_this<FleetHolder>
{
public:
    FleetHolder(FleetHolderEnvironment environment, FleetHolderOptions options);
    ~FleetHolder();

    void start();
    /// Ends all activity; callbacks in flight do nothing any more.
    void stop();
    /// Stops sending orders, writes what is not durable yet, then calls @p done once.
    void finish(std::function<void()> done);

    /// Decides whether a job may be stored; admits everything during recovery.
    AdmissionDecision offer(const JobSpec &job);
    /// Takes in a job that was just stored.
    void addStored(JobSpec job);
    void setEvacuated(std::set<FailureDomainId> domains);
    void state(const JobId &job, JobStateCallback callback);
    /// Cancels durably, then answers.
    void cancel(const JobId &job, JobStateCallback callback);
    /// Returns the number of jobs of a queue that have not begun; nothing during recovery.
    std::optional<std::size_t> pending(const std::string &queue) const;

    const Dispatcher &dispatcher() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
