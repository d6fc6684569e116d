#include "requests/admission.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

const ServiceId service{"wear-scan"};
const TimePoint start{};

RequestQueueKey key(RequestClass requestClass, int deadlineSeconds, std::uint64_t sequence)
{
    return {requestClass, start + std::chrono::seconds(deadlineSeconds), sequence};
}

} // namespace

// Guards against an urgent request waiting behind a request of a lower class with an earlier
// deadline.
TEST_CASE("the queue is ordered by class, then deadline, then arrival")
{
    AdmissionQueue queue;
    const std::vector<RequestQueueKey> inOrder = {
        key(RequestClass::Urgent, 8, 5), key(RequestClass::Urgent, 9, 6),
        key(RequestClass::Normal, 2, 3), key(RequestClass::Normal, 2, 4),
        key(RequestClass::Batch, 1, 1)};
    for (const std::size_t n : {4U, 2U, 0U, 3U, 1U}) {
        REQUIRE(enqueue(queue, service, inOrder[n]).admitted);
    }
    const auto &waiting = queue.waiting.at(service);
    CHECK(std::vector<RequestQueueKey>(waiting.begin(), waiting.end()) == inOrder);
}

// Guards against a queue that grows without bound.
TEST_CASE("each class has its own queue limit")
{
    AdmissionQueue queue{.limits = {.maxQueued = {2, 1, 1}, .maxQueuedTotal = 10}};
    CHECK(enqueue(queue, service, key(RequestClass::Batch, 1, 1)).admitted);
    CHECK_FALSE(enqueue(queue, service, key(RequestClass::Batch, 1, 2)).admitted);
    CHECK(enqueue(queue, service, key(RequestClass::Normal, 1, 3)).admitted);
    CHECK_FALSE(admits(queue, RequestClass::Normal));
    CHECK(admits(queue, RequestClass::Urgent));
    CHECK(dequeue(queue, service, key(RequestClass::Batch, 1, 1)));
    CHECK_FALSE(dequeue(queue, service, key(RequestClass::Batch, 1, 1)));
    CHECK(enqueue(queue, service, key(RequestClass::Batch, 1, 4)).admitted);
}

// Guards against queued requests of a lower class keeping a higher class out of a full queue.
TEST_CASE("in a full queue a request displaces the last request of the lowest class below its own")
{
    AdmissionQueue queue{.limits = {.maxQueued = {3, 3, 3}, .maxQueuedTotal = 3}};
    const ServiceId other{"span-report"};
    enqueue(queue, service, key(RequestClass::Normal, 1, 1));
    enqueue(queue, other, key(RequestClass::Batch, 9, 2));
    enqueue(queue, service, key(RequestClass::Batch, 5, 3));
    CHECK_FALSE(enqueue(queue, service, key(RequestClass::Batch, 1, 4)).admitted);

    const AdmissionDecision urgent = enqueue(queue, service, key(RequestClass::Urgent, 7, 5));
    CHECK(urgent.admitted);
    CHECK(urgent.displaced == key(RequestClass::Batch, 9, 2));
    CHECK_FALSE(queue.waiting.contains(other));
    CHECK(enqueue(queue, service, key(RequestClass::Normal, 7, 6)).displaced
          == key(RequestClass::Batch, 5, 3));
    // No request below Normal is left, so Normal is refused while Urgent still displaces one.
    CHECK_FALSE(enqueue(queue, service, key(RequestClass::Normal, 7, 7)).admitted);
    CHECK(enqueue(queue, service, key(RequestClass::Urgent, 7, 8)).displaced
          == key(RequestClass::Normal, 7, 6));
}

// Guards against lower classes occupying the slots that are reserved for urgent requests.
TEST_CASE("slots are reserved for higher classes")
{
    const AdmissionQueue queue;
    CHECK(mayTakeSlot(queue, {0, 0, 14}, 20, RequestClass::Batch));
    CHECK_FALSE(mayTakeSlot(queue, {0, 0, 15}, 20, RequestClass::Batch));
    CHECK(mayTakeSlot(queue, {0, 2, 15}, 20, RequestClass::Normal));
    CHECK_FALSE(mayTakeSlot(queue, {0, 3, 15}, 20, RequestClass::Normal));
    CHECK(mayTakeSlot(queue, {0, 3, 15}, 20, RequestClass::Urgent));
    CHECK(mayTakeSlot(queue, {10, 0, 0}, 20, RequestClass::Batch));
    // A single slot is still usable by every class.
    CHECK(mayTakeSlot(queue, {0, 0, 0}, 1, RequestClass::Batch));
}

// Guards against requests of a shed or held class taking slots or places in the queue.
TEST_CASE("a held class is queued without a slot, and a shed class is refused")
{
    AdmissionQueue queue;
    const ServiceId other{"span-report"};
    enqueue(queue, service, key(RequestClass::Normal, 1, 1));
    enqueue(queue, service, key(RequestClass::Batch, 1, 2));
    enqueue(queue, other, key(RequestClass::Batch, 1, 3));
    queue.rules = {ClassRule::Admit, ClassRule::Hold, ClassRule::Shed};
    CHECK(admits(queue, RequestClass::Normal));
    CHECK_FALSE(mayTakeSlot(queue, {}, 8, RequestClass::Normal));
    CHECK(mayTakeSlot(queue, {}, 8, RequestClass::Urgent));
    CHECK_FALSE(admits(queue, RequestClass::Batch));
    CHECK(shedQueued(queue).size() == 2);
    CHECK(queue.queuedByClass == std::array<std::size_t, 3>{0, 1, 0});
    CHECK(queue.waiting.size() == 1);
}

TEST_CASE("half of the time limit has passed midway between arrival and deadline")
{
    using std::chrono::seconds;
    CHECK_FALSE(hasWaitedHalfOfTimeLimit(start, start + seconds(10), start + seconds(4)));
    CHECK(hasWaitedHalfOfTimeLimit(start, start + seconds(10), start + seconds(5)));
}
