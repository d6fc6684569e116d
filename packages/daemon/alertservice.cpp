#include "daemon/alertservice.h"

#include "logging/log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal {

using nlohmann::json;

namespace {

constexpr Duration evaluationPeriod = std::chrono::seconds(2);

std::string labelText(const MetricLabels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += text.empty() ? "" : ",";
        text += name;
        text += '=';
        text += value;
    }
    return text;
}

void logNotices(EventId event, const std::vector<AlertNotice> &notices)
{
    for (const AlertNotice &notice : notices) {
        logEvent(event, {{"rule", notice.rule},
                         {"severity", std::string(alertSeverityName(notice.severity))},
                         {"labels", labelText(notice.labels)},
                         {"value", std::to_string(notice.value)}});
    }
}

bool isAlertPath(const std::string &path)
{
    return path.starts_with("/alerts/")
           || (path.starts_with("/teams/") && path.find("/alerts/") != std::string::npos);
}

json toJson(const std::vector<AlertNotice> &notices)
{
    json list = json::array();
    for (const AlertNotice &notice : notices) {
        list.push_back({{"rule", notice.rule},
                        {"severity", alertSeverityName(notice.severity)},
                        {"labels", notice.labels},
                        {"value", notice.value}});
    }
    return list;
}

} // namespace

AlertService::AlertService(DaemonContext &context, AlertSources sources)
    : m_context(context)
    , m_sources(std::move(sources))
{
}

void AlertService::addRoutes()
{
    m_context.router.add({"GET", "/v1/alerts", [this](const HttpRequest &, HttpResponder respond) {
                              m_context.control.post([this, respond = std::move(respond)] {
                                  respond(jsonResponse(alertStatusJson()));
                              });
                          }});
}

void AlertService::start()
{
    m_context.control.postEvery(evaluationPeriod, [this] { evaluate(); });
}

void AlertService::evaluate()
{
    reloadRules();
    const AlertMembership reporter{.self = m_context.settings.daemon,
                                   .liveMembers = m_sources.membersOfDomain()};
    m_lastEvaluation =
        evaluateAlerts(m_rules, m_context.metrics.samples(), reporter,
                       std::chrono::steady_clock::now(), std::move(m_lastEvaluation.state));
    logNotices(EventId::AlertFiring, m_lastEvaluation.fired);
    logNotices(EventId::AlertResolved, m_lastEvaluation.resolved);
    logNotices(EventId::AlertSeriesMissing, m_lastEvaluation.missing);
}

void AlertService::reloadRules()
{
    const auto settings = m_sources.settings();
    if (settings->version == m_rulesVersion) {
        return;
    }
    m_rulesVersion = settings->version;
    m_rules.clear();
    m_invalidRules.clear();
    for (const auto &[path, value] : settings->values) {
        if (!isAlertPath(path) || value.value.empty() || value.value == "null") {
            continue;
        }
        auto rule = parseAlertRule(value.value);
        if (rule) {
            m_rules.push_back(std::move(*rule));
            continue;
        }
        Error error = rule.error();
        error.where = path + " " + error.where;
        m_invalidRules.push_back(std::move(error));
    }
}

std::string AlertService::alertStatusJson() const
{
    json refused = json::array();
    for (const Error &error : m_invalidRules) {
        refused.push_back({{"code", static_cast<int>(error.code)},
                           {"message", error.message},
                           {"where", error.where}});
    }
    return json{{"firing", toJson(m_lastEvaluation.active)},
                {"rules", m_rules.size()},
                {"refused", refused},
                {"without_series", m_lastEvaluation.rulesWithoutSeries}}
        .dump();
}

} // namespace acaciadeal
