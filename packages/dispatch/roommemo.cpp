#include "dispatch/roommemo.h"

#include <algorithm>

namespace acaciadeal {

RoomRequest roomRequest(const JobRuntime &job, std::uint32_t step, const PlacementPermits &permits)
{
    const StepSpec &spec = job.spec.steps[step];
    return {.service = job.spec.terms.service.value,
            .need = spec.taskSize,
            .backfill = spec.backfill,
            .image = spec.backfill ? job.steps[step].image : ImageId(0),
            .permits = permits,
            .requiredLabel = spec.requiredLabel,
            .limitedStep = spec.maxTasksPerHost > 0 ? &job.steps[step] : nullptr};
}

bool covers(const RoomRequest &wide, const RoomRequest &narrow)
{
    return wide.backfill == narrow.backfill && wide.image == narrow.image
           && covers(wide.permits, narrow.permits) && fits(wide.need, narrow.need)
           && (wide.limitedStep == nullptr || wide.limitedStep == narrow.limitedStep)
           && (wide.requiredLabel.empty() || wide.requiredLabel == narrow.requiredLabel)
           && wide.service == narrow.service;
}

bool hasNoRoom(const RoomMemo &memo, const RoomRequest &request)
{
    return std::any_of(memo.failed.rbegin(), memo.failed.rend(),
                       [&request](const RoomRequest &failed) { return covers(failed, request); });
}

void rememberNoRoom(RoomMemo &memo, const RoomRequest &request)
{
    if (hasNoRoom(memo, request)) {
        return;
    }
    std::erase_if(memo.failed,
                  [&request](const RoomRequest &failed) { return covers(request, failed); });
    if (memo.failed.size() >= maxRoomMemoEntries) {
        memo.failed.erase(memo.failed.begin());
    }
    memo.failed.push_back(request);
}

} // namespace acaciadeal
