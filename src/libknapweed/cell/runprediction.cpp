// Weighs the observed pace against the expected one. The first few percent say little, because reports come at intervals.

#include "cell/runprediction.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr double trustedProgress = 20; ///< percent after which the observed pace alone counts
constexpr double overdueShare = 0.25; ///< of the expected run time, assumed to remain for a run that has taken longer without showing any progress
constexpr double slowestSpeed = 0.05; ///< bounds the prediction for an endpoint that seems to stand still

} // namespace

Milliseconds remainingTime(const RunProgress &progress, Milliseconds expected, double speed)
{
    const double whole = double(expected.count()) / std::max(speed, slowestSpeed);
    const double age = double(progress.age.count());
    const double done = std::max(0, progress.percent - progress.startPercent);
    const double left = std::max(0, 100 - progress.percent);
    if (done <= 0) {
        return Milliseconds(static_cast<std::int64_t>(std::max(whole * left / 100 - age, whole * overdueShare)));
    }
    const double trust = std::min(1.0, done / trustedProgress);
    const double perPercent = trust * age / done + (1 - trust) * whole / 100;
    return Milliseconds(static_cast<std::int64_t>(perPercent * left));
}

} // namespace knapweed::cell
