// What the random histories have in common: their jobs and their seeds. KNAPWEED_CELL_SEEDS sets the number of seeds, KNAPWEED_CELL_SEED the first seed, and
// KNAPWEED_CELL_LOG prints the decisions.
#pragma once

#include "jobs/job.h"

#include <cstdint>
#include <functional>
#include <pcg_random.hpp>

namespace knapweed::cell
{

JobSpec randomJob(pcg32 &random, int number);

void forEachSeed(const std::function<void(std::uint64_t seed)> &runHistory);

} // namespace knapweed::cell
