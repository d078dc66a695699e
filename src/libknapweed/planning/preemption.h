// Finds the ground for a job whose right goes before what runs there, and the cheapest set of whole gangs to preempt for it.
#pragma once

#include "planning/blocks.h"
#include "planning/placement.h"

#include <optional>
#include <vector>

namespace knapweed::planning
{

struct PreemptionSearch
{
    Search search;
    const std::vector<Block> *blocks = nullptr;
    const Block *within = nullptr; ///< only this block's ground; otherwise all that the search allows
    MonotonicTime now;
};

struct PreemptionPlan
{
    std::vector<PlannedPart> parts; ///< one for each task
    std::vector<GangIndex> victims; ///< invariant: all are reported and can be stopped
    double cost = 0;
};

/// What preempting the gang costs: accelerator seconds of lost work, and far more when it does not borrow. Negative when it can't be stopped.
double preemptionCost(const Inventory &inventory, const std::vector<Block> &blocks, GangIndex gang, MonotonicTime now);

std::optional<PreemptionPlan> findPreemption(const Inventory &inventory, const PreemptionSearch &search);

} // namespace knapweed::planning
