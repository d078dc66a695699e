// The order of waiting units of one rank under overload. Pure functions over plain tables.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <tuple>

namespace knapweed::cell
{

/// What determines the turn of a waiting unit among those of its rank.
struct TurnInput
{
    BootTime since; ///< when its job became due
    BootTime latestStart; ///< to meet the objective of its job
    Milliseconds objective {0}; ///< of its job, counted from since
    double work = 0; ///< core-seconds of the unit
};

/// Compares in the order of the turns: whether the unit is too late, a time, and the work of units that are too late.
using Turn = std::tuple<bool, BootTime, double>;

/// Units that can meet their objective go first, those with the least time to spare in front. Of the others, which all are worth less than their work, the
/// smallest go first. Bound: once a unit has waited for three objectives, it goes before all units that can still meet theirs, in the order in which these
/// bounds passed.
Turn turnOf(const TurnInput &unit, BootTime now);

} // namespace knapweed::cell
