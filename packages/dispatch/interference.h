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

/// Number of an image, unique within one InterferenceModel.
using ImageId = std::uint16_t;

/// Highest number of distinct image ids. Further images share the last id; deployments have a few
/// dozen images.
inline constexpr std::size_t maxImages = 64;

/// Estimate of a quantity, with the variance of its error.
struct Estimate
{
    double value = 0;
    double variance = 0;
};

/// Processors in thousandths of a core by image. A vector, as it has only a few entries.
using ImageUse = std::vector<std::pair<ImageId, double>>;

/// Adds @p milliCores, which may be negative, to the use of @p image. Removes the entry if no use
/// is left.
void addUse(ImageUse &use, ImageId image, double milliCores);

/// Model of how much backfill tasks raise the tail latency of serving tasks on the same host, for
/// each pair of images, learned from reported tail latencies.
///
/// As in a queue, tail latency grows with 1 / (1 - pressure). The pressure on a serving task is a
/// sum: the pressure from its own users, plus, for each backfill image on the host, a slope times
/// the share of the host's processors that the image uses. The pressure from the users varies by
/// half within seconds and is estimated for each task. Each parameter is estimated by a scalar
/// Kalman filter.
struct InterferenceModel
{
    std::map<std::string, ImageId> imageIds;
    /// Matrix with a row for each serving image and a column for each backfill image.
    std::vector<Estimate> slope;
    /// Values that slopeOf() returns, by the same index.
    std::vector<double> assumedSlope;
};

/// Pressure on a serving task from its own users.
struct UserPressure
{
    Estimate estimate;
    /// Time of the last observation; unset before the first.
    TimePoint observedAt;
};

/// Returns the pressure, from 0 to below 1, at which the tail latency is this multiple of its
/// target.
double pressureOf(double tailRatio);

/// Returns the id of @p image, and assigns one if it has none.
ImageId imageId(InterferenceModel &model, const std::string &image);

/// Returns the pressure that a backfill image would add to a serving image if it used all
/// processors of the host. If the estimate is uncertain, returns the low end of the likely range,
/// so that unknown pairs are placed together and learned. Precondition: both ids come from
/// imageId().
double slopeOf(const InterferenceModel &model, ImageId serving, ImageId backfill);

/// Replaces the estimate for a pair of images. Precondition: both ids come from imageId().
void setSlope(InterferenceModel &model, ImageId serving, ImageId backfill, const Estimate &slope);

/// Updates the model and @p own from an observation of a serving task. @p tailRatio is the ratio of
/// its tail latency to the target, @p use the backfill use of its host, and @p capacity the number
/// of processors of the host in thousandths of a core. Ignores an observation whose averaging
/// window overlaps with that of the last one.
void observeTail(InterferenceModel &model, ImageId serving, UserPressure &own, double tailRatio,
                 const ImageUse &use, double capacity, TimePoint now);

/// Encodes the learned slopes for the next holder. decodeModel() adds them to @p model, and fails
/// with CorruptSnapshot if the text has another format.
std::string encodeModel(const InterferenceModel &model);
Result<void> decodeModel(const std::string &text, InterferenceModel &model);

/// Updates the model from the last reported tail latencies of the host's serving tasks.
void updateModelFromHost(FleetState &fleet, FleetHost &host, TimePoint now);

/// Returns the highest pressure on any serving task of @p host if a backfill task with @p image and
/// @p milliCores is added: from the serving task's own users, the present backfill tasks and the
/// new one. Only considers serving tasks with which the new task interferes; 0 if there are none.
double pressureAfterAdding(const FleetState &fleet, const FleetHost &host, ImageId image,
                           double milliCores);

/// Returns the highest pressure that a backfill task with @p image and @p milliCores would add by
/// itself to any serving task of @p host.
double addedPressure(const FleetState &fleet, const FleetHost &host, ImageId image,
                     double milliCores);

/// Adjusts the speed of the host's interfering backfill tasks to the tail latency of its serving
/// tasks.
///
/// Load pattern: backfill tasks raise the tail latency of a serving task on the same host above its
/// target, by amounts that differ by image and change within seconds. The model estimates their
/// contribution, so one adjustment brings the tail latency back below its target, and the speed
/// rises again as pressure falls. Images that do not interfere with the serving tasks keep full
/// speed. If the tail latency stays above its target nevertheless, the model may be wrong, and all
/// backfill tasks on the host are paused.
void adjustPace(const FleetState &fleet, FleetHost &host, TimePoint now);

/// Adds an order for each running backfill task whose speed differs from the speed intended for it.
void orderPaces(FleetState &fleet, FleetHost &host, std::vector<PaceRun> &orders);

} // namespace acaciadeal

#endif
