// How the time of a decision round grows with the fleet and the queue.
#pragma once

#include "base/clock.h"

#include <vector>

namespace knapweed::bench
{

struct ScalePoint
{
    int workers = 0;
    int tasks = 0; ///< waiting or running
    Microseconds fill {0}; ///< longest round while the fleet fills
    Microseconds steadyMedian {0}; ///< rounds in which a share of the gangs ends and as many jobs arrive
    Microseconds steadyLongest {0};
    Microseconds quiet {0}; ///< longest round in which nothing changed
    int rounds = 0;
};

std::vector<ScalePoint> measureScale();

void printScale(const std::vector<ScalePoint> &points, bool printsJson);

} // namespace knapweed::bench
