#ifndef ACACIADEAL_STANDINS_INSTANCE_H
#define ACACIADEAL_STANDINS_INSTANCE_H

#include "base/identifier.h"
#include "base/time.h"
#include "http/httpmessage.h"
#include "standins/faultyserver.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciadeal::standins {

struct InstanceOptions
{
    HostId host;
    FailureDomainId failureDomain;
    ServiceId service;
    std::uint32_t slots = 8;
};

/// Faults and delays, set through the control interface.
struct InstanceFaults
{
    milliseconds serviceTime{2};
    /// Delay between the end of the execution and the answer.
    milliseconds answerDelay{0};
    bool leaving = false;
    bool failsEverything = false;
    /// Numbers of upcoming executed requests whose answers are truncated or dropped.
    std::uint32_t truncateNext = 0;
    std::uint32_t dropNext = 0;
};

/// One execution of a request; two records with the same request id mean two executions.
struct ExecutionRecord
{
    std::string requestId;
    HostId host;
    TimePoint at;
    /// Whether, and since when, the instance was leaving when it accepted the request.
    bool leaving = false;
    TimePoint leavingSince;
    Delivery delivery = Delivery::Whole;
};

/// Simulated service instance. Not thread-safe.
struct Instance
{
    InstanceOptions options;
    InstanceFaults faults;
    TimePoint leavingSince;
    std::uint32_t active = 0;
    std::uint32_t peakActive = 0;
    /// Number of requests refused as not run because all slots were in use.
    std::uint64_t refused = 0;
    std::vector<ExecutionRecord> executions;
};

/// Result of execute(). If @c executed, the request occupies a slot until releaseSlot().
struct Execution
{
    HttpResponse response;
    Delivery delivery = Delivery::Whole;
    bool executed = false;
    milliseconds serviceTime{0};
    milliseconds answerDelay{0};
};

/// Executes a request to POST /v1/execute, or refuses it as not run if all slots are in use.
Execution execute(Instance &instance, const HttpRequest &request, TimePoint now);

/// Releases the slot of an executed request.
void releaseSlot(Instance &instance);

/// Sets whether the instance is leaving. A leaving instance still executes requests, so that the
/// execution records show any that were sent too late.
void setLeaving(Instance &instance, bool leaving, TimePoint now);

} // namespace acaciadeal::standins

#endif
