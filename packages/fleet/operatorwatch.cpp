#include "fleet/operatorwatch.h"

#include "logging/log.h"
#include "runtime/eventloop.h"

#include <utility>

namespace acaciadeal {

OperatorWatch::OperatorWatch(EventLoop &loop, const PlatformAdapter &platform,
                             OperatorRowsPort port, const OperatorWatchOptions &options,
                             std::function<void()> onChange)
    : m_loop(loop)
    , m_platform(platform)
    , m_port(std::move(port))
    , m_options(options)
    , m_onChange(std::move(onChange))
{
}

void OperatorWatch::start()
{
    readAll();
}

const OperatorView *OperatorWatch::view() const
{
    return m_view ? &*m_view : nullptr;
}

void OperatorWatch::setLost(bool lost, const std::string &reason)
{
    if (std::exchange(m_lost, lost) == lost) {
        return;
    }
    if (lost) {
        logEvent(EventId::PlatformUnreachable, {{"what", "operators' rows"}, {"reason", reason}});
    } else {
        logEvent(EventId::PlatformReachable, {{"what", "operators' rows"}});
    }
}

void OperatorWatch::readAll()
{
    m_platform.readTable(m_port.table, [this](const Result<RowSnapshot> &snapshot) {
        if (!snapshot) {
            setLost(true, snapshot.error().message);
            m_loop.postAfter(m_options.retryDelay, [this] { readAll(); });
            return;
        }
        setLost(false, {});
        const std::set<FailureDomainId> before = std::exchange(m_evacuated, {});
        for (const Row &row : snapshot->rows) {
            take(row.key, row.value, false);
        }
        m_version = snapshot->version;
        if (m_view) {
            m_view->evacuated = m_evacuated;
            m_onChange();
        }
        follow();
    });
}

void OperatorWatch::follow()
{
    const Duration wait = m_options.feedWait;
    m_platform.changes(m_port.table, m_version, wait, [this](const Result<RowChanges> &changes) {
        if (!changes) {
            if (changes.error().code != ResultCode::HistoryLost) {
                setLost(true, changes.error().message);
            }
            m_loop.postAfter(m_options.retryDelay, [this] { readAll(); });
            return;
        }
        setLost(false, {});
        for (const RowChange &change : changes->rows) {
            take(change.key, change.value, change.deleted);
        }
        m_version = std::max(m_version, changes->version);
        if (!changes->rows.empty() && m_view) {
            m_view->evacuated = m_evacuated;
            m_onChange();
        }
        follow();
    });
}

void OperatorWatch::take(const std::string &key, const std::string &value, bool deleted)
{
    if (const auto domain = m_port.evacuatedBy(key)) {
        const bool changed =
            deleted ? m_evacuated.erase(*domain) > 0 : m_evacuated.insert(*domain).second;
        if (changed) {
            logEvent(EventId::EvacuationChanged,
                     {{"failure_domain", domain->value}, {"evacuated", deleted ? "no" : "yes"}});
        }
        return;
    }
    if (key != m_port.configKey || deleted) {
        return;
    }
    auto config = m_port.decodeConfig(value);
    if (!config) {
        logEvent(EventId::RowIgnored, {{"row", key}, {"reason", config.error().message}});
        return;
    }
    if (m_view && config->version <= m_view->config.version) {
        return;
    }
    logEvent(EventId::ConfigurationApplied, {{"version", std::to_string(config->version)},
                                             {"queues", std::to_string(config->queues.size())}});
    if (!m_view) {
        m_view.emplace();
    }
    m_view->config = std::move(*config);
}

} // namespace acaciadeal
