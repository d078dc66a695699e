// Predicts how long a run still takes, from its progress and from what is known about its task and its endpoint.
#pragma once

#include "base/clock.h"

namespace knapweed::cell
{

struct RunProgress
{
    Milliseconds age {0}; ///< since its start was ordered
    int startPercent = 0; ///< at its start, if it resumed from a checkpoint
    int percent = 0; ///< as last listed by its endpoint
};

/// The remaining run time. @p expected is the run time of the whole task on an endpoint of the usual speed, @p speed that of the run's endpoint relative to it.
Milliseconds remainingTime(const RunProgress &progress, Milliseconds expected, double speed);

} // namespace knapweed::cell
