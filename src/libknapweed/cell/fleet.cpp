// Computes the free capacity of an endpoint.

#include "cell/fleet.h"

namespace knapweed::cell
{

Resources freeCapacity(const Endpoint &endpoint)
{
    Resources free = endpoint.capacity;
    for (const auto &[run, allocation] : endpoint.runs) {
        free -= allocation.needs;
    }
    return free;
}

} // namespace knapweed::cell
