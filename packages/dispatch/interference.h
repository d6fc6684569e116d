#ifndef ACACIADEAL_DISPATCH_INTERFERENCE_H
#define ACACIADEAL_DISPATCH_INTERFERENCE_H

#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace acaciadeal {

struct FleetHost;
struct FleetState;
struct PaceRun;

/// Short name of an image within one fleet.
using ImageId = std::uint16_t;

/// Images beyond this number share the last name; deployments have some dozens.
inline constexpr std::size_t maxImages = 64;

/// An estimated quantity with the variance of its error.
struct Estimate
{
    double value = 0;
    double variance = 0;
};

/// Processors in thousandths of a core by image; a handful of entries.
using ImageUse = std::vector<std::pair<ImageId, double>>;

/// Adds @p milliCores to an image's use; an image without use is removed.
void addUse(ImageUse &use, ImageId image, double milliCores);

/// How tasks that serve their own users are disturbed by backfill tasks beside them, by pairs of
/// images, as learned from reported tails. A tail is taken as a share of its target; its model is
/// base(serving image) + sum over backfill images of slope(serving, backfill) * share of the host's
/// processors that they use. Each parameter follows a scalar Kalman filter.
struct InterferenceModel
{
    std::map<std::string, ImageId> names;
    std::vector<Estimate> base;
    /// Row: serving image; column: backfill image.
    std::vector<Estimate> slope;
};

/// Returns the short name of @p image, and gives it one if it has none.
ImageId imageId(InterferenceModel &model, const std::string &image);

/// Returns what one backfill image adds to the tail ratio of a serving image for each share of the
/// host that it uses. Where little is known the low end of the likely range is taken, so that pairs
/// are tried and learned. Precondition: both come from imageId().
double slopeOf(const InterferenceModel &model, ImageId serving, ImageId backfill);

/// Takes in one observation: the tail ratio, and the use of a host with @p capacity.
void observeTail(InterferenceModel &model, ImageId serving, double tailRatio, const ImageUse &use,
                 double capacity);

/// Text form of what was learned, for the next holder. decodeModel() adds it to @p model and fails
/// with CorruptSnapshot on anything else.
std::string encodeModel(const InterferenceModel &model);
Result<void> decodeModel(const std::string &text, InterferenceModel &model);

/// Takes the tails of the host's serving tasks from their last reported loads.
void learnFromHost(FleetState &fleet, FleetHost &host);

/// Returns the largest part of a serving task's tail ratio on @p host that backfill tasks would
/// cause if one with @p image and @p milliCores were added; 0 if nothing serves there.
double disturbanceWith(const FleetState &fleet, const FleetHost &host, ImageId image,
                       double milliCores);

/// The same for the new task alone.
double disturbanceOf(const FleetState &fleet, const FleetHost &host, ImageId image,
                     double milliCores);

/// Adjusts the speed of the host's disturbing backfill tasks to the tails of its serving tasks.
///
/// Load pattern: batch tasks beside a serving task push its tail over the target, by amounts that
/// differ by image and change within seconds. The model tells which part of a tail they cause, so
/// one step brings the tail back below its target, and the speed returns as room does. Images that
/// do not disturb what serves there keep their speed. A tail that stays over its target all the
/// same pauses every backfill task beside it: the model may be wrong.
void adjustPace(const FleetState &fleet, FleetHost &host, TimePoint now);

/// Adds an order for each running backfill task whose speed differs from the one it should have.
void orderPaces(FleetState &fleet, FleetHost &host, std::vector<PaceRun> &orders);

} // namespace acaciadeal

#endif
