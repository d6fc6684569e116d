#ifndef ACACIADEAL_REVIEW_CASES_H
#define ACACIADEAL_REVIEW_CASES_H

#include "deployment.h"

#include <functional>
#include <string>

namespace acaciadeal::review {

struct Case
{
    DeploymentOptions options;
    /// Starts the case on the deployment; it ends with Deployment::finish().
    std::function<void(Deployment &)> start;
};

/// Holders that were frozen keep their connections to the servers.
Case connectionsCase();
/// A server has more ends to list than one answer holds.
Case endsCase();
/// A job is cancelled before the store executes the write that stores it.
Case lateWriteCase();
/// The progress of a large job that can never be done becomes too large for a row.
Case largeJobCase();

} // namespace acaciadeal::review

#endif
