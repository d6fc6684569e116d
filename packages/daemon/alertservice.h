#ifndef ACACIADEAL_DAEMON_ALERTSERVICE_H
#define ACACIADEAL_DAEMON_ALERTSERVICE_H

#include "alerts/evaluation.h"
#include "daemon/context.h"
#include "settings/settingstree.h"

#include <functional>
#include <memory>
#include <vector>

namespace acaciadeal {

struct AlertSources
{
    std::function<std::shared_ptr<const SettingsTree>()> settings;
    /// Live members of the own failure domain, including this daemon.
    std::function<std::vector<DaemonId>()> membersOfDomain;
};

/// Evaluates the alert rules of the settings on this daemon's metrics, logs what begins and ceases
/// to fire, and serves `GET /v1/alerts`. Needs neither the platform nor peers. Runs on the control
/// thread.
class AlertService
{
public:
    AlertService(DaemonContext &context, AlertSources sources);

    /// Precondition: the HTTP server has not started.
    void addRoutes();
    /// Starts the periodic evaluation.
    void start();

private:
    void evaluate();
    void reloadRules();
    std::string report() const;

    DaemonContext &m_context;
    AlertSources m_sources;
    std::uint64_t m_rulesVersion = 0;
    std::vector<AlertRule> m_rules;
    /// Rules of the settings that do not parse, such as ones written by a newer release.
    std::vector<Error> m_invalidRules;
    AlertEvaluation m_lastEvaluation;
};

} // namespace acaciadeal

#endif
