#include "daemon/claimwatch.h"

namespace acaciadeal {

bool noteAliveRead(ClaimWatch &watch, std::uint64_t aliveVersion, TimePoint readAt,
                   Duration silence)
{
    if (!watch.unchangedSince || watch.aliveVersion != aliveVersion) {
        watch.aliveVersion = aliveVersion;
        watch.unchangedSince = readAt;
    }
    return readAt - *watch.unchangedSince >= silence;
}

void noteAliveUnread(ClaimWatch &watch)
{
    watch.unchangedSince.reset();
}

} // namespace acaciadeal
