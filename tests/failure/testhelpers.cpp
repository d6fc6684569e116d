#include "failure/testhelpers.h"

#include "base/resultcode.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace acaciadeal::failure_tests {

using nlohmann::json;

namespace {

constexpr unsigned statusOk = 200;

HttpHeaders authorization(const std::string &token)
{
    return {{"authorization", "Bearer " + token}, {"content-type", "application/json"}};
}

} // namespace

void checkTaskGuarantees(Cluster &cluster)
{
    const std::string violations = toText(taskViolations(cluster.records()));
    CHECK(violations == "");
}

void submitAccepted(Cluster &cluster, const std::string &job, int tasks, const json &payload,
                    const std::string &failureDomain)
{
    std::size_t attempt = 0;
    waitUntil("job " + job + " is accepted", [&] {
        const auto &daemons = cluster.daemons();
        const Daemon &daemon = *daemons[attempt++ % daemons.size()];
        return cluster.submitJob(daemon, job, tasks, payload, failureDomain).status == statusOk;
    });
}

Answer changeDomain(Cluster &cluster, const Daemon &daemon, const std::string &domain,
                    const std::string &state, std::uint64_t ifVersion)
{
    const json body{{"state", state}, {"reason", "failure test"}, {"if_version", ifVersion}};
    return cluster.caller().call(daemon.endpoint(), {.method = "POST",
                                                     .target = "/v1/domains/" + domain,
                                                     .headers = authorization(systemToken),
                                                     .body = body.dump()});
}

std::uint64_t domainVersion(Cluster &cluster, const Daemon &daemon, const std::string &domain)
{
    const json answer = cluster.caller().get(daemon.endpoint(), "/v1/domains/" + domain).json();
    return answer.value("version", std::uint64_t{0});
}

Answer putSetting(Cluster &cluster, const Daemon &daemon, const std::string &path,
                  const std::string &value, std::uint64_t ifVersion, const std::string &requestId,
                  const std::string &token)
{
    HttpHeaders headers = authorization(token);
    headers["x-request-id"] = requestId;
    headers["if-version"] = std::to_string(ifVersion);
    return cluster.caller().call(
        daemon.endpoint(),
        {.method = "PUT", .target = "/v1/settings" + path, .headers = headers, .body = value});
}

json settingInForce(Cluster &cluster, const Daemon &daemon, const std::string &path)
{
    const Answer answer =
        cluster.caller().call(daemon.endpoint(), {.target = "/v1/settings" + path,
                                                  .headers = authorization(systemToken)});
    const json document = answer.json();
    return answer.status == statusOk && document.is_object() ? document.value("value", json())
                                                             : json();
}

std::uint64_t settingsVersion(Cluster &cluster, const Daemon &daemon)
{
    return cluster.status(daemon).value("settings_version", std::uint64_t{0});
}

bool hasRunningTask(const Records &records, const std::string &failureDomain)
{
    return std::any_of(records.runs.begin(), records.runs.end(), [&](const RunRow &run) {
        return run.failureDomain == failureDomain && !run.endedAt;
    });
}

Answer callUntilFinal(Cluster &cluster, const Daemon &daemon, const std::string &id,
                      const std::string &body)
{
    Answer answer;
    waitUntil(id + " has a final answer", [&] {
        answer = cluster.caller().post(daemon.endpoint(), "/v1/requests",
                                       requestBody(cluster, id, false, "normal", body));
        return answer.status == statusOk
               || answer.code() == static_cast<int>(ResultCode::OutcomeUnknown);
    });
    return answer;
}

} // namespace acaciadeal::failure_tests
