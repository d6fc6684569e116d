#include "daemon/holderwatch.h"

namespace acaciadeal {

bool observeAliveRow(HolderWatch &watch, std::uint64_t aliveVersion, const ReadTimes &read,
                     Duration timeout)
{
    if (!watch.unchangedSince || watch.aliveVersion != aliveVersion) {
        watch.aliveVersion = aliveVersion;
        watch.unchangedSince = read.answeredAt;
    }
    return read.sentAt - *watch.unchangedSince >= timeout;
}

void resetHolderWatch(HolderWatch &watch)
{
    watch.unchangedSince.reset();
}

} // namespace acaciadeal
