// Computes the free capacity of an endpoint.

#include "cell/fleet.h"

namespace knapweed::cell
{

bool hasSettled(const Allocation &allocation, BootTime now)
{
    const bool isListed = allocation.state == Allocation::State::Listed || allocation.state == Allocation::State::Stopping;
    return allocation.percent > 0 || (isListed && now - allocation.firstOrderedAt >= settleTime);
}

Resources freeCapacity(const Endpoint &endpoint)
{
    Resources free = endpoint.capacity;
    for (const auto &[run, allocation] : endpoint.runs) {
        free -= allocation.needs;
    }
    return free;
}

} // namespace knapweed::cell
