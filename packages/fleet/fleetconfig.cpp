#include "fleet/fleetconfig.h"

namespace acaciadeal {

const QueueConfig *findQueue(const FleetConfig &config, const std::string &hostName,
                             const std::string &path)
{
    const QueueConfig *best = nullptr;
    for (const QueueConfig &queue : config.queues) {
        if (queue.hostName == hostName && path.starts_with(queue.pathPrefix)
            && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

} // namespace acaciadeal
