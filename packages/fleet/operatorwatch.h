#ifndef ACACIADEAL_FLEET_OPERATORWATCH_H
#define ACACIADEAL_FLEET_OPERATORWATCH_H

#include "fleet/operatortableschema.h"
#include "store/platform.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace acaciadeal {

class EventLoop;

struct OperatorWatchOptions
{
    /// Longest wait of one call to the change feed. Bounds the time until a feed that stopped
    /// without an error is noticed.
    Duration feedWait = milliseconds(1000);
    Duration retryDelay = milliseconds(150);
};

/// Follows the changes of the operators' table. A configuration is never replaced by an older
/// version. Used on one control thread; must outlive the callbacks on its loop.
class OperatorWatch
{
public:
    OperatorWatch(EventLoop &loop, const PlatformAdapter &platform, OperatorTableSchema schema,
                  const OperatorWatchOptions &options, std::function<void()> onChange);

    void start();
    /// Returns the settings in force, or nullptr before the first configuration was read.
    const OperatorView *view() const;

private:
    void readAll();
    void readChanges();
    void applyRow(const std::string &key, const std::string &value, bool deleted);
    void setUnreachable(bool unreachable, const std::string &reason);

    EventLoop &m_loop;
    const PlatformAdapter &m_platform;
    OperatorTableSchema m_schema;
    OperatorWatchOptions m_options;
    std::function<void()> m_onChange;
    std::optional<OperatorView> m_view;
    std::set<FailureDomainId> m_evacuated;
    std::uint64_t m_tableVersion = 0;
    bool m_unreachable = false;
};

} // namespace acaciadeal

#endif
