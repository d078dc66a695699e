// Finds the accelerators for a job that takes precedence over running gangs, and the cheapest set of whole gangs to preempt for it.
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
    const Block *within = nullptr; ///< limits the search to this block's accelerators; null for all that the search allows
    MonotonicTime now;
};

struct PreemptionPlan
{
    std::vector<PlannedPart> parts; ///< one for each task
    std::vector<GangIndex> victims; ///< invariant: all are reported and can be preempted
    double cost = 0;
};

/// The cost of preempting the gang: the accelerator seconds of lost work, plus a large penalty if the gang does not borrow. Negative if it cannot be preempted.
double preemptionCost(const Inventory &inventory, const std::vector<Block> &blocks, GangIndex gang, MonotonicTime now);

std::optional<PreemptionPlan> findPreemption(const Inventory &inventory, const PreemptionSearch &search);

} // namespace knapweed::planning
