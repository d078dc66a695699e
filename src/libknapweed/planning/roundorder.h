// The order in which a round looks at the classes of waiting jobs.
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
    bool isGuaranteed = false; ///< its account's guarantee covers the first job and is not in use
    double priority = 0; ///< rises with the wait without bound, so that nothing starves
    MonotonicTime enqueuedAt;
};

/// How urgent it is to finish the job soon: the ratio of its expected completion time to its expected run time, times its account's weight.
double priorityOf(const WaitingJob &job, MonotonicTime now, Milliseconds run, double weight);

void sortByRank(std::vector<RankedClass> &classes);

} // namespace knapweed::planning
