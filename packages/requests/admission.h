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

/// Limits by class, in the order of RequestClass.
struct AdmissionLimits
{
    std::array<std::size_t, requestClassCount> maxQueued = {512, 256, 128};
    std::size_t maxQueuedTotal = 640;
    /// Percentage of a service's slots that the class and the classes below it may occupy. The rest
    /// stays free for higher classes, so that an urgent request rarely finds all slots taken by
    /// work that cannot be interrupted.
    std::array<std::uint32_t, requestClassCount> slotPercent = {100, 90, 75};
};

/// What is done with the requests of a class while work is being given up under pressure.
enum class ClassRule : std::uint8_t {
    Admit,
    /// Requests are queued but take no slot.
    Hold,
    /// Requests are refused, queued ones as well.
    Shed,
};

/// Rules by class, in the order of RequestClass.
using ClassRules = std::array<ClassRule, requestClassCount>;

/// Position in the queue: class, then deadline, then arrival.
struct RequestQueueKey
{
    RequestClass requestClass = RequestClass::Normal;
    TimePoint deadline;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const RequestQueueKey &, const RequestQueueKey &) = default;
};

/// Requests that wait for a slot, by service. Not thread-safe.
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
    /// Request of a lower class that has to give way and is refused; already removed.
    std::optional<RequestQueueKey> displaced;
};

/// Returns whether enqueue() would admit a request of @p requestClass.
bool admits(const AdmissionQueue &queue, RequestClass requestClass);

/// Adds a request, or refuses it if the limit of its class is reached. If the whole queue is full,
/// the last request of the lowest class below that of @p key gives way.
AdmissionDecision enqueue(AdmissionQueue &queue, const ServiceId &service,
                          const RequestQueueKey &key);

/// Removes a request. Returns whether it was queued.
bool dequeue(AdmissionQueue &queue, const ServiceId &service, const RequestQueueKey &key);

/// Removes all requests whose class is shed and returns them.
std::vector<RequestQueueKey> shedQueued(AdmissionQueue &queue);

/// Returns whether a queued request has waited for half of its limit. For an urgent request this is
/// the sign of pressure. Thread-safe.
bool hasWaitedHalfOfTimeLimit(TimePoint arrival, TimePoint deadline, TimePoint now);

/// Slots of one service that are in use, by class.
using SlotsByClass = std::array<std::uint32_t, requestClassCount>;

/// Returns whether a request of @p requestClass may take one of @p totalSlots slots.
bool mayTakeSlot(const AdmissionQueue &queue, const SlotsByClass &used, std::uint32_t totalSlots,
                 RequestClass requestClass);

} // namespace acaciadeal

#endif
