#ifndef ACACIADEAL_REQUESTS_ADMISSION_H
#define ACACIADEAL_REQUESTS_ADMISSION_H

#include "base/identifier.h"
#include "base/time.h"
#include "requests/requestclass.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace acaciadeal {

/// Queue and slot limits. The arrays have one element per class, in the order of RequestClass.
struct AdmissionLimits
{
    std::array<std::size_t, requestClassCount> maxQueued = {512, 256, 128};
    std::size_t maxQueuedTotal = 640;
    /// Percentage of a service's slots that the class and the classes below it may occupy. The rest
    /// stays free for higher classes, so that an urgent request rarely finds all slots occupied by
    /// requests that cannot be interrupted.
    std::array<std::uint32_t, requestClassCount> slotPercent = {100, 90, 75};
};

/// How the requests of a class are treated while load is being shed under pressure.
enum class ClassRule : std::uint8_t {
    Admit,
    /// Requests are queued but get no slot.
    Hold,
    /// Requests are refused, including those that are queued already.
    Shed,
};

/// Rule of each class, in the order of RequestClass.
using ClassRules = std::array<ClassRule, requestClassCount>;

/// Position in the queue: ordered by class, then deadline, then arrival.
struct RequestQueueKey
{
    RequestClass requestClass = RequestClass::Normal;
    TimePoint deadline;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const RequestQueueKey &, const RequestQueueKey &) = default;
};

/// Requests waiting for a slot, by service. Not thread-safe.
struct AdmissionQueue
{
    AdmissionLimits limits;
    ClassRules rules{};
    std::map<ServiceId, std::set<RequestQueueKey>> waiting;
    std::array<std::size_t, requestClassCount> queuedByClass{};
};

struct AdmissionDecision
{
    bool admitted = false;
    /// Queued request of a lower class that was removed to make room and has to be refused.
    std::optional<RequestQueueKey> displaced;
};

/// Returns whether enqueue() would admit a request of @p requestClass.
bool admits(const AdmissionQueue &queue, RequestClass requestClass);

/// Adds a request, or refuses it if the limit of its class is reached. If the whole queue is full,
/// removes the last request of the lowest class below that of @p key, or refuses the request if
/// there is none.
AdmissionDecision enqueue(AdmissionQueue &queue, const ServiceId &service,
                          const RequestQueueKey &key);

/// Removes a request. Returns whether it was queued.
bool dequeue(AdmissionQueue &queue, const ServiceId &service, const RequestQueueKey &key);

/// Removes all requests whose class is shed and returns them.
std::vector<RequestQueueKey> shedQueued(AdmissionQueue &queue);

/// Returns whether a queued request has waited for half of the time from its arrival to its
/// deadline. For an urgent request this indicates pressure. Thread-safe.
bool hasWaitedHalfOfTimeLimit(TimePoint arrival, TimePoint deadline, TimePoint now);

/// Slots of one service that are in use, by class.
using SlotsByClass = std::array<std::uint32_t, requestClassCount>;

/// Returns whether a request of @p requestClass may take one of @p totalSlots slots.
bool mayTakeSlot(const AdmissionQueue &queue, const SlotsByClass &used, std::uint32_t totalSlots,
                 RequestClass requestClass);

} // namespace acaciadeal

#endif
