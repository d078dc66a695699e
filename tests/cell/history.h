// What the random histories have in common: their jobs and their seeds. KNAPWEED_CELL_SEEDS sets the number of seeds, KNAPWEED_CELL_SEED the first seed, and
// KNAPWEED_CELL_LOG prints the decisions.
#pragma once

#include "jobs/job.h"

#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <set>

namespace knapweed::cell
{

JobSpec randomJob(pcg32 &random, int number);

/// Runs the seeds that the environment names, or the default ones without @p separateSeeds, which are tests of their own because they show a known fault.
void forEachSeed(const std::function<void(std::uint64_t seed)> &runHistory, const std::set<std::uint64_t> &separateSeeds = {});

} // namespace knapweed::cell
