// The order in which a planning round handles the classes of waiting jobs.
#pragma once

#include "planning/estimates.h"
#include "planning/jobqueue.h"

#include <string>
#include <vector>

namespace knapweed::planning
{

struct RankedClass
{
    std::string key;
    bool isUrgent = false;
    bool isGuaranteed = false; ///< a block of its account covers the first job and is not in use
    double priority = 0; ///< grows with the waiting time without bound, so that no class starves
    MonotonicTime enqueuedAt;
};

/// The ratio of the job's expected completion time (waiting time plus run time) to its expected run time, times the weight of its account.
double priorityOf(const WaitingJob &job, MonotonicTime now, Milliseconds run, double weight);

void sortByRank(std::vector<RankedClass> &classes);

} // namespace knapweed::planning
