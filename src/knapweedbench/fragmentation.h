// The share of free accelerators that the largest guaranteed or waiting shape can't use.
#pragma once

#include "planning/acceleratorset.h"
#include "planning/planner.h"

#include <string>
#include <vector>

namespace knapweed::bench
{

struct FreeWorker
{
    std::string rack;
    planning::AcceleratorSet free = 0;
};

/// Zero when nothing is free.
double fragmentation(const std::vector<FreeWorker> &workers, const planning::Shape &shape);

} // namespace knapweed::bench
