#include "fleet/operatorwatch.h"

#include "logging/log.h"
#include "runtime/eventloop.h"

#include <utility>

namespace acaciadeal {

OperatorWatch::OperatorWatch(EventLoop &loop, const PlatformAdapter &platform,
                             OperatorTableSchema schema, const OperatorWatchOptions &options,
                             std::function<void()> onChange)
    : m_loop(loop)
    , m_platform(platform)
    , m_schema(std::move(schema))
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

void OperatorWatch::setUnreachable(bool unreachable, const std::string &reason)
{
    if (std::exchange(m_unreachable, unreachable) == unreachable) {
        return;
    }
    if (unreachable) {
        logEvent(EventId::PlatformUnreachable, {{"what", "operators' table"}, {"reason", reason}});
    } else {
        logEvent(EventId::PlatformReachable, {{"what", "operators' table"}});
    }
}

void OperatorWatch::readAll()
{
    m_platform.readTable(m_schema.table, [this](const Result<RowSnapshot> &snapshot) {
        if (!snapshot) {
            setUnreachable(true, snapshot.error().message);
            m_loop.postAfter(m_options.retryDelay, [this] { readAll(); });
            return;
        }
        setUnreachable(false, {});
        const std::set<FailureDomainId> before = std::exchange(m_evacuated, {});
        for (const Row &row : snapshot->rows) {
            applyRow(row.key, row.value, false);
        }
        m_tableVersion = snapshot->version;
        if (m_view) {
            m_view->evacuated = m_evacuated;
            m_onChange();
        }
        readChanges();
    });
}

void OperatorWatch::readChanges()
{
    const Duration wait = m_options.feedWait;
    m_platform.changes(m_schema.table, m_tableVersion, wait,
                       [this](const Result<RowChanges> &changes) {
                           if (!changes) {
                               if (changes.error().code != ResultCode::HistoryLost) {
                                   setUnreachable(true, changes.error().message);
                               }
                               m_loop.postAfter(m_options.retryDelay, [this] { readAll(); });
                               return;
                           }
                           setUnreachable(false, {});
                           for (const RowChange &change : changes->rows) {
                               applyRow(change.key, change.value, change.deleted);
                           }
                           m_tableVersion = std::max(m_tableVersion, changes->version);
                           if (!changes->rows.empty() && m_view) {
                               m_view->evacuated = m_evacuated;
                               m_onChange();
                           }
                           readChanges();
                       });
}

void OperatorWatch::applyRow(const std::string &key, const std::string &value, bool deleted)
{
    if (const auto domain = m_schema.evacuatedBy(key)) {
        const bool changed =
            deleted ? m_evacuated.erase(*domain) > 0 : m_evacuated.insert(*domain).second;
        if (changed) {
            logEvent(EventId::EvacuationChanged,
                     {{"failure_domain", domain->value}, {"evacuated", deleted ? "no" : "yes"}});
        }
        return;
    }
    if (key != m_schema.configKey || deleted) {
        return;
    }
    auto config = m_schema.decodeConfig(value);
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
