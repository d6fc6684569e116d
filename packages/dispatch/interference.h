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
/// images, as learned from reported tails. A tail grows like that of a queue, with 1 / (1 -
/// pressure), and pressures add up: the load of the task's own users, which swings by half within
/// seconds and is followed task by task, and for each backfill image its slope * the share of the
/// host's processors that it uses. Each parameter follows a scalar Kalman filter.
struct InterferenceModel
{
    std::map<std::string, ImageId> imageIds;
    /// Row: serving image; column: backfill image.
    std::vector<Estimate> slope;
    /// What slopeOf() returns, by the same index.
    std::vector<double> assumedSlope;
};

/// Pressure on a serving task from its own users.
struct OwnPressure
{
    Estimate estimate;
    /// Time of the last observation; unset before the first.
    TimePoint observedAt;
};

/// Returns the pressure, from 0 to below 1, that makes a tail this multiple of its target.
double pressureOf(double tailRatio);

/// Returns the short name of @p image, and gives it one if it has none.
ImageId imageId(InterferenceModel &model, const std::string &image);

/// Returns what one backfill image adds to the pressure on a serving image for each share of the
/// host that it uses. Where little is known the low end of the likely range is taken, so that pairs
/// are tried and learned. Precondition: both come from imageId().
double slopeOf(const InterferenceModel &model, ImageId serving, ImageId backfill);

/// Replaces what is known of a pair. Precondition: both come from imageId().
void setSlope(InterferenceModel &model, ImageId serving, ImageId backfill, const Estimate &slope);

/// Takes in one observation of a serving task: its tail ratio, and the use of a host with
/// @p capacity. Reports that overlap with the last observation are passed over.
void observeTail(InterferenceModel &model, ImageId serving, OwnPressure &own, double tailRatio,
                 const ImageUse &use, double capacity, TimePoint now);

/// Text form of what was learned, for the next holder. decodeModel() adds it to @p model and fails
/// with CorruptSnapshot on anything else.
std::string encodeModel(const InterferenceModel &model);
Result<void> decodeModel(const std::string &text, InterferenceModel &model);

/// Takes the tails of the host's serving tasks from their last reported loads.
void updateModelFromHost(FleetState &fleet, FleetHost &host, TimePoint now);

/// Returns the highest pressure on a serving task of @p host that is disturbed by a backfill task
/// with @p image and @p milliCores, if that is added: from its own users, the backfill tasks there
/// and the new one; 0 if nothing there is disturbed by it.
double pressureAfterAdding(const FleetState &fleet, const FleetHost &host, ImageId image,
                           double milliCores);

/// Returns what the new task alone adds to the pressure.
double addedPressure(const FleetState &fleet, const FleetHost &host, ImageId image,
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
