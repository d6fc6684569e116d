#ifndef ACACIADEAL_DISPATCH_INTERFERENCE_H
#define ACACIADEAL_DISPATCH_INTERFERENCE_H

#include "base/time.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace acaciadeal {

struct FleetHost;
struct FleetState;
struct PaceRun;

/// An estimated quantity with the variance of its error.
struct Estimate
{
    double value = 0;
    double variance = 0;
};

/// How tasks that serve their own users are disturbed by backfill tasks beside them, by pairs of
/// images, as learned from reported tails. A tail is taken as a share of its target; its model is
/// base(serving image) + sum over backfill images of slope(serving, backfill) * share of the host's
/// processors that they use. Each parameter follows a scalar Kalman filter.
struct InterferenceModel
{
    std::map<std::string, Estimate> base;
    /// Key: serving image, backfill image.
    std::map<std::pair<std::string, std::string>, Estimate> slope;
};

/// Returns what one backfill image adds to the tail ratio of a serving image for each share of the
/// host that it uses; a cautious assumption for a pair that was never seen.
double slopeOf(const InterferenceModel &model, const std::string &serving,
               const std::string &backfill);

/// Takes in one observation: the tail ratio and, by backfill image, the shares in use.
void observeTail(InterferenceModel &model, const std::string &serving, double tailRatio,
                 const std::map<std::string, double> &shares);

/// Takes the tails of the host's serving tasks from their last reported loads.
void learnFromHost(FleetState &fleet, FleetHost &host);

/// Returns the largest tail ratio to expect on @p host if a backfill task with @p image that uses
/// @p share of the host is added; 0 if nothing serves there.
double expectedTailRatio(const FleetState &fleet, const FleetHost &host, const std::string &image,
                         double share);

/// Adjusts the speed of the host's disturbing backfill tasks to the tails of its serving tasks.
///
/// Load pattern: batch tasks beside a serving task push its tail over the target, by amounts that
/// differ by image and change within seconds. The model tells which part of a tail they cause, so
/// one step brings the tail back below its target, and the speed returns as room does. Images that
/// do not disturb what serves there keep their speed.
void adjustPace(const FleetState &fleet, FleetHost &host, TimePoint now);

/// Adds an order for each running backfill task whose speed differs from the one it should have.
void orderPaces(FleetState &fleet, FleetHost &host, std::vector<PaceRun> &orders);

} // namespace acaciadeal

#endif
