// A turn is a sort key, so that a round sorts its units once.

#include "cell/loadorder.h"

namespace knapweed::cell
{

namespace
{

constexpr int boundingObjectives = 3; ///< a job is worth nothing to its callers after so many objectives

}

Turn turnOf(const TurnInput &unit, BootTime now)
{
    const BootTime bound = unit.since + unit.objective * boundingObjectives;
    if (now >= bound) {
        return {false, bound, 0};
    }
    if (now <= unit.latestStart) {
        return {false, unit.latestStart, 0};
    }
    return {true, BootTime(), unit.work};
}

} // namespace knapweed::cell
