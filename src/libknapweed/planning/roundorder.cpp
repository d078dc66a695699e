// Highest response ratio next: short jobs come first, and the ratio of every job grows while it waits.

#include "planning/roundorder.h"

#include <algorithm>
#include <tuple>

namespace knapweed::planning
{

double priorityOf(const WaitingJob &job, MonotonicTime now, Milliseconds run, double weight)
{
    const double waited = std::max(0.0, std::chrono::duration<double>(now - job.enqueuedAt).count());
    const double running = std::max(0.1, std::chrono::duration<double>(run).count());
    return (waited + running) / running * weight;
}

void sortByRank(std::vector<RankedClass> &classes)
{
    std::sort(classes.begin(), classes.end(), [](const RankedClass &left, const RankedClass &right) {
        return std::tuple(right.isUrgent, right.isGuaranteed, right.priority, left.enqueuedAt, left.key)
            < std::tuple(left.isUrgent, left.isGuaranteed, left.priority, right.enqueuedAt, right.key);
    });
}

} // namespace knapweed::planning
