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
    /// Returns the live members of this daemon's failure domain, including the daemon itself.
    std::function<std::vector<DaemonId>()> membersOfDomain;
};

/// Evaluates the alert rules in the settings against this daemon's metrics, logs when an alert
/// starts or stops firing, and serves `GET /v1/alerts`. Works without the platform and without
/// peers. Runs on the control thread.
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
    std::string alertStatusJson() const;

    DaemonContext &m_context;
    AlertSources m_sources;
    std::uint64_t m_rulesVersion = 0;
    std::vector<AlertRule> m_rules;
    /// Parse errors of rules in the settings, for example of rules written by a newer release.
    std::vector<Error> m_invalidRules;
    AlertEvaluation m_lastEvaluation;
};

} // namespace acaciadeal

#endif
