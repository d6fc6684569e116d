#ifndef ACACIADEAL_FAILURE_TESTHELPERS_H
#define ACACIADEAL_FAILURE_TESTHELPERS_H

#include "failure/cluster.h"
#include "failure/load.h"

#include <nlohmann/json.hpp>
#include <string>

namespace acaciadeal::failure_tests {

// Helper functions shared by the failure tests.

/// Token of the team "system" in the settings that Cluster writes.
inline const std::string systemToken = "system-token";

inline const std::string firstDomain = "lowell-yard";

/// Fails the current test if the records violate G1 to G3 or the start window; see
/// taskViolations().
void checkTaskGuarantees(Cluster &cluster);

/// Submits the job to the daemons in turn until it is accepted; the job id makes repeated
/// submissions safe. The job is restricted to @p failureDomain unless that is empty.
void submitAccepted(Cluster &cluster, const std::string &job, int tasks,
                    const nlohmann::json &payload, const std::string &failureDomain = {});

/// Sends POST /v1/domains/@p domain with the operators' token.
Answer changeDomain(Cluster &cluster, const Daemon &daemon, const std::string &domain,
                    const std::string &state, std::uint64_t ifVersion);

/// Returns the version of the failure domain's row that @p daemon reports.
std::uint64_t domainVersion(Cluster &cluster, const Daemon &daemon, const std::string &domain);

/// Sends PUT /v1/settings followed by @p path, with @p value as JSON text.
Answer putSetting(Cluster &cluster, const Daemon &daemon, const std::string &path,
                  const std::string &value, std::uint64_t ifVersion, const std::string &requestId,
                  const std::string &token = systemToken);

/// Returns the value that is in force for @p path at @p daemon; null if there is none.
nlohmann::json settingInForce(Cluster &cluster, const Daemon &daemon, const std::string &path);

std::uint64_t settingsVersion(Cluster &cluster, const Daemon &daemon);

/// Returns whether a worker of @p failureDomain currently runs a task.
bool hasRunningTask(const Records &records, const std::string &failureDomain);

/// Repeats the request with the same id until the answer is final (status 200 or OutcomeUnknown),
/// and returns that answer.
Answer callUntilFinal(Cluster &cluster, const Daemon &daemon, const std::string &id,
                      const std::string &body);

} // namespace acaciadeal::failure_tests

#endif
