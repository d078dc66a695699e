// Computes what the scheduler derives from its view of an endpoint and its runs.

#include "cell/fleet.h"

namespace knapweed::cell
{

namespace
{

constexpr Seconds settleTime {6}; ///< an agent reports for an endpoint that does not answer for up to 5 s

}

bool hasSettled(bool isListed, int percent, Milliseconds age)
{
    return percent > 0 || (isListed && age >= settleTime);
}

bool hasSettled(const Allocation &allocation, BootTime now)
{
    const bool isListed = allocation.state == Allocation::State::Listed || allocation.state == Allocation::State::Stopping;
    return hasSettled(isListed, allocation.percent, now - allocation.firstOrderedAt);
}

RunProgress progressOf(const Allocation &allocation, BootTime now)
{
    return {std::chrono::duration_cast<Milliseconds>(now - allocation.firstOrderedAt), allocation.pace.startPercent, allocation.percent};
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
