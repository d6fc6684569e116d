#ifndef ACACIADEAL_FAILURE_TESTHELPERS_H
#define ACACIADEAL_FAILURE_TESTHELPERS_H

#include "failure/cluster.h"
#include "failure/load.h"

#include <nlohmann/json.hpp>
#include <string>

namespace acaciadeal::failure_tests {

// Steps and checks that several failure tests share.

/// Token that writeSettings() gives to the team "system".
inline const std::string systemToken = "system-token";

inline const std::string firstDomain = "lowell-yard";

/// Fails the current test for each violation of G1 to G3 and of the start window.
void checkTaskGuarantees(Cluster &cluster);

/// Submits through any daemon until the job is accepted; the job id makes the repetition safe.
/// The job stays in @p failureDomain unless that is empty.
void submitAccepted(Cluster &cluster, const std::string &job, int tasks,
                    const nlohmann::json &payload, const std::string &failureDomain = {});

/// POST /v1/domains/NAME with the operators' token.
Answer changeDomain(Cluster &cluster, const Daemon &daemon, const std::string &domain,
                    const std::string &state, std::uint64_t ifVersion);

/// Version of the failure domain's row as @p daemon sees it.
std::uint64_t domainVersion(Cluster &cluster, const Daemon &daemon, const std::string &domain);

/// PUT /v1/settings/<path> with @p value as JSON text.
Answer putSetting(Cluster &cluster, const Daemon &daemon, const std::string &path,
                  const std::string &value, std::uint64_t ifVersion, const std::string &requestId,
                  const std::string &token = systemToken);

/// Value that @p daemon has in force for @p path; null if there is none.
nlohmann::json settingInForce(Cluster &cluster, const Daemon &daemon, const std::string &path);

std::uint64_t settingsVersion(Cluster &cluster, const Daemon &daemon);

/// Whether any worker currently runs a task of @p failureDomain.
bool hasRunningTask(const Records &records, const std::string &failureDomain);

/// Repeats the request under its id until the answer is final, and returns that answer.
Answer callUntilFinal(Cluster &cluster, const Daemon &daemon, const std::string &id,
                      const std::string &body);

} // namespace acaciadeal::failure_tests

#endif
