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

/// Faults that are switched on by control routes.
struct InstanceFaults
{
    milliseconds serviceTime{2};
    /// Added after the execution, before the answer.
    milliseconds answerDelay{0};
    bool leaving = false;
    bool failsEverything = false;
    /// How many of the next executed requests get a truncated or dropped answer.
    std::uint32_t truncateNext = 0;
    std::uint32_t dropNext = 0;
};

/// One executed request; a request id that occurs twice was executed twice.
struct ExecutionRecord
{
    std::string requestId;
    HostId host;
    TimePoint at;
    /// Whether the instance was leaving when it accepted the request, and since when.
    bool leaving = false;
    TimePoint leavingSince;
    Delivery delivery = Delivery::Whole;
};

/// Service instance. Not thread-safe.
struct Instance
{
    InstanceOptions options;
    InstanceFaults faults;
    TimePoint leavingSince;
    std::uint32_t active = 0;
    std::uint32_t peakActive = 0;
    /// Refused as not run because all slots were taken.
    std::uint64_t refused = 0;
    std::vector<ExecutionRecord> executions;
};

/// What to do with one request. The slot is taken until releaseSlot() if @c executed.
struct Execution
{
    HttpResponse response;
    Delivery delivery = Delivery::Whole;
    bool executed = false;
    milliseconds serviceTime{0};
    milliseconds answerDelay{0};
};

/// Executes POST /v1/execute, or refuses it as not run.
Execution execute(Instance &instance, const HttpRequest &request, TimePoint now);

/// Frees the slot of an executed request.
void releaseSlot(Instance &instance);

/// A leaving instance still executes what arrives, so that the record shows who sends work late.
void setLeaving(Instance &instance, bool leaving, TimePoint now);

} // namespace acaciadeal::standins

#endif
