#ifndef ACACIADEAL_FLEET_HOLDER_H
#define ACACIADEAL_FLEET_HOLDER_H

#include "dispatch/admission.h"
#include "dispatch/dispatcher.h"
#include "fleet/hostclient.h"
#include "fleet/ownership.h"
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
    /// The leases that the previous holder granted expire relative to these times.
    PreviousHolder previous;
    /// Duration of the lease that each renewal grants; longer than a takeover takes. It has to be
    /// the same for all holders, because a new holder waits for the leases of its predecessor.
    milliseconds lease{5900};
    /// Longest lease that hosts grant; a longer one is shortened to it.
    milliseconds maxHostLease{6000};
    /// Longest time for which a host may delay its answer to a renewal until a run ends.
    milliseconds renewalWait{900};
    /// The same for hosts that run batch tasks next to serving tasks, whose tail latency can change
    /// within a second.
    milliseconds sharedRenewalWait{450};
    /// Timeout of a call to a host, in addition to the wait; about 100 times the usual response
    /// time.
    Duration hostTimeout = milliseconds(400);
    /// Timeout of a start order. It is short because the task waits meanwhile, and short tasks have
    /// a slack of 0.5 s in total; a lost answer costs only one more call to the host.
    Duration startTimeout = milliseconds(200);
    /// Delay before the next renewal to a host that did not answer the last one, or whose ended
    /// runs are still being written.
    Duration renewalRetryDelay = milliseconds(200);
    /// Time for which progress is batched before it is written; bounds the rate of store calls.
    Duration flushDelay = milliseconds(60);
    /// The same if a job has ended, because its caller waits for the result.
    Duration shortFlushDelay = milliseconds(4);
    /// Time for which events are batched before the next scheduling round. It is small compared to
    /// the slack of the shortest tasks, and bounds the processor time spent on decisions.
    Duration planDelay = milliseconds(5);
    Duration listHostsEvery = milliseconds(600);
    Duration readJobsEvery = milliseconds(1000);
    /// Longest time since the last read of changed jobs at which pending jobs are counted. Users
    /// require that a count includes every job that was accepted 5 s before; 0.5 s, the timeout of
    /// a call between daemons, is left for the answer.
    Duration maxCountAge = milliseconds(4500);
    /// Longest time for which a new holder that knows the runs on all hosts waits until it has read
    /// the latest changes of the job table, which may contain cancellations.
    Duration catchUpTimeout = std::chrono::seconds(2);
    /// Period of the timer that checks leases, retries calls to hosts and removes old jobs.
    Duration tickEvery = milliseconds(100);
    /// Period of the status line in the log.
    Duration statusEvery = std::chrono::seconds(2);
    /// Period at which the reasons of waiting tasks are logged. It is below 3 s, the longest time
    /// for which users accept that a task waits although there is free capacity.
    Duration reportWaitsEvery = std::chrono::seconds(1);
    /// Period at which the interference model of the images is stored for the next holder.
    Duration storeModelEvery = std::chrono::seconds(4);
    /// Time for which the first submission time of a rejected job is kept.
    Duration rejectedJobRetention = std::chrono::seconds(60);
    /// Time for which the work of an admitted job counts as load before its row appears in the
    /// store.
    Duration offerValidity = milliseconds(1500);
    /// Time for which ended jobs are kept; callers may query a job for 120 s after its end.
    Duration endedJobRetention = std::chrono::seconds(150);
};

/// What the holder needs from its daemon.
struct FleetHolderEnvironment
{
    EventLoop &loop;
    const PlatformAdapter &platform;
    HostClient hosts;
    Metrics &metrics;
    /// Returns whether this daemon holds the shard now; otherwise no orders are sent.
    std::function<bool()> mayAct;
    /// Returns the time since the last confirmed heartbeat was sent.
    std::function<Duration()> sinceHeartbeat;
    /// Called when a host refuses a call because it has seen the token of a newer holder.
    std::function<void(const std::string &reason)> onFenced;
};

/// Receives the state of a job. Errors: JobNotFound, PlatformUnavailable.
using JobStateCallback = std::function<void(Result<JobState>)>;

/// Runs the dispatcher of a shard: recovers the shard's state, renews the leases of hosts, sends
/// orders to them and writes the progress of jobs. Used on one control thread.
class FleetHolder : public std::enable_shared_from_this<FleetHolder>
{
public:
    FleetHolder(FleetHolderEnvironment environment, FleetHolderOptions options);
    ~FleetHolder();

    void start();
    /// Stops all activity. Callbacks of calls that are still in progress have no effect.
    void stop();
    /// Stops sending orders, writes the progress that is not durable yet, then calls @p done once.
    void finish(std::function<void()> done);

    /// Decides whether a job is admitted and may be stored. During recovery, and while this daemon
    /// may not act as the holder, every job is admitted.
    AdmissionDecision offer(const JobSpec &job);
    /// Adds a job whose row has just been stored.
    void addStoredJob(JobSpec job);
    void setEvacuated(std::set<FailureDomainId> domains);
    /// Passes the state of @p job to @p callback; a terminal state only once it is durable.
    void queryState(const JobId &job, JobStateCallback callback);
    /// Cancels @p job and calls back once the cancellation is durable.
    void cancel(const JobId &job, JobStateCallback callback);
    /// Returns the number of live jobs of @p queue of which no host has confirmed the start of a
    /// task. After a change of the holder it may include jobs with tasks on hosts that have not
    /// reported yet. Errors: PlatformUnavailable if this daemon has not read the shard's jobs yet,
    /// has not read changes of them for maxCountAge, or may not act as the holder.
    Result<std::size_t> countPendingJobs(const std::string &queue);
    /// Returns the counts of all queues with live jobs. Errors: as countPendingJobs().
    Result<std::map<std::string, std::size_t>> countPendingJobsByQueue() const;

    const Dispatcher &dispatcher() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciadeal

#endif
