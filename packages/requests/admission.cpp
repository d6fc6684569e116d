#include "requests/admission.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace acaciadeal {
namespace {

std::size_t indexOf(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

std::size_t totalQueued(const AdmissionQueue &queue)
{
    return std::accumulate(queue.queuedByClass.begin(), queue.queuedByClass.end(), std::size_t{0});
}

bool hasQueuedLowerClass(const AdmissionQueue &queue, RequestClass requestClass)
{
    for (std::size_t n = indexOf(requestClass) + 1; n < requestClassCount; ++n) {
        if (queue.queuedByClass[n] > 0) {
            return true;
        }
    }
    return false;
}

std::optional<RequestQueueKey> displaceLastOfLowestClass(AdmissionQueue &queue)
{
    const ServiceId *service = nullptr;
    std::optional<RequestQueueKey> last;
    for (const auto &[name, keys] : queue.waiting) {
        if (!last || *keys.rbegin() > *last) {
            last = *keys.rbegin();
            service = &name;
        }
    }
    if (last) {
        dequeue(queue, ServiceId(*service), *last);
    }
    return last;
}

} // namespace

bool admits(const AdmissionQueue &queue, RequestClass requestClass)
{
    const std::size_t index = indexOf(requestClass);
    return queue.rules[index] != ClassRule::Shed
           && queue.queuedByClass[index] < queue.limits.maxQueued[index]
           && (totalQueued(queue) < queue.limits.maxQueuedTotal
               || hasQueuedLowerClass(queue, requestClass));
}

AdmissionDecision enqueue(AdmissionQueue &queue, const ServiceId &service,
                          const RequestQueueKey &key)
{
    AdmissionDecision decision;
    if (!admits(queue, key.requestClass)) {
        return decision;
    }
    if (totalQueued(queue) >= queue.limits.maxQueuedTotal) {
        decision.displaced = displaceLastOfLowestClass(queue);
    }
    decision.admitted = true;
    queue.waiting[service].insert(key);
    ++queue.queuedByClass[indexOf(key.requestClass)];
    return decision;
}

bool dequeue(AdmissionQueue &queue, const ServiceId &service, const RequestQueueKey &key)
{
    const auto it = queue.waiting.find(service);
    if (it == queue.waiting.end() || it->second.erase(key) == 0) {
        return false;
    }
    --queue.queuedByClass[indexOf(key.requestClass)];
    if (it->second.empty()) {
        queue.waiting.erase(it);
    }
    return true;
}

std::vector<RequestQueueKey> shedQueued(AdmissionQueue &queue)
{
    std::vector<std::pair<ServiceId, RequestQueueKey>> shed;
    for (const auto &[service, keys] : queue.waiting) {
        for (const RequestQueueKey &key : keys) {
            if (queue.rules[indexOf(key.requestClass)] == ClassRule::Shed) {
                shed.emplace_back(service, key);
            }
        }
    }
    std::vector<RequestQueueKey> result;
    result.reserve(shed.size());
    for (const auto &[service, key] : shed) {
        dequeue(queue, service, key);
        result.push_back(key);
    }
    return result;
}

bool hasWaitedHalfOfTimeLimit(TimePoint arrival, TimePoint deadline, TimePoint now)
{
    return now - arrival >= (deadline - arrival) / 2;
}

bool mayTakeSlot(const AdmissionQueue &queue, const SlotsByClass &used, std::uint32_t totalSlots,
                 RequestClass requestClass)
{
    if (queue.rules[indexOf(requestClass)] != ClassRule::Admit) {
        return false;
    }
    // A class is counted together with the classes below it, so that normal and batch requests
    // together do not use the slots reserved for urgent requests.
    std::uint32_t usedByClassAndBelow = 0;
    for (std::size_t n = indexOf(requestClass); n < requestClassCount; ++n) {
        usedByClassAndBelow += used[n];
    }
    const std::uint32_t allowed = std::max<std::uint32_t>(
        1, totalSlots * queue.limits.slotPercent[indexOf(requestClass)] / 100);
    return usedByClassAndBelow < allowed;
}

} // namespace acaciadeal
