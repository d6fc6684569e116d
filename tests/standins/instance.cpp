#include "standins/instance.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::standins {

Execution execute(Instance &instance, const HttpRequest &request, TimePoint now)
{
    const InstanceOptions &options = instance.options;
    InstanceFaults &faults = instance.faults;
    const auto header = request.headers.find("x-request-id");
    const std::string id = header == request.headers.end() ? "" : header->second;
    Execution result;
    result.response.headers = {{"content-type", "application/json"}, {"x-request-id", id}};
    if (faults.leaving) {
        result.response.headers["x-leaving"] = "true";
    }
    if (instance.active >= options.slots) {
        ++instance.refused;
        result.response.status = 503;
        result.response.headers["x-not-run"] = "true";
        return result;
    }
    ++instance.active;
    instance.peakActive = std::max(instance.peakActive, instance.active);
    if (faults.truncateNext > 0) {
        --faults.truncateNext;
        result.delivery = Delivery::Truncated;
    } else if (faults.dropNext > 0) {
        --faults.dropNext;
        result.delivery = Delivery::Dropped;
    }
    instance.executions.push_back({.requestId = id,
                                   .host = options.host,
                                   .at = now,
                                   .leaving = faults.leaving,
                                   .leavingSince = instance.leavingSince,
                                   .delivery = result.delivery});
    result.executed = true;
    result.serviceTime = faults.serviceTime;
    result.answerDelay = faults.answerDelay;
    result.response.status = faults.failsEverything ? 500 : 200;
    result.response.body = nlohmann::json{
        {"request_id", id},
        {"host", options.host.value},
        {"service", options.service.value},
        {"echo", request.body}}.dump();
    return result;
}

void releaseSlot(Instance &instance)
{
    --instance.active;
}

void setLeaving(Instance &instance, bool leaving, TimePoint now)
{
    if (leaving && !instance.faults.leaving) {
        instance.leavingSince = now;
    }
    instance.faults.leaving = leaving;
}

} // namespace acaciadeal::standins
