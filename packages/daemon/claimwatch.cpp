#include "daemon/claimwatch.h"

namespace acaciadeal {

bool noteAliveRead(ClaimWatch &watch, std::uint64_t aliveVersion, const ReadTimes &read,
                   Duration silence)
{
    if (!watch.unchangedSince || watch.aliveVersion != aliveVersion) {
        watch.aliveVersion = aliveVersion;
        watch.unchangedSince = read.answeredAt;
    }
    return read.sentAt - *watch.unchangedSince >= silence;
}

void noteAliveUnread(ClaimWatch &watch)
{
    watch.unchangedSince.reset();
}

} // namespace acaciadeal
