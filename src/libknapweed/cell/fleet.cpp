// Room of an endpoint.

#include "cell/fleet.h"

namespace knapweed::cell
{

Resources freeCapacity(const Endpoint &endpoint)
{
    Resources room = endpoint.capacity;
    for (const auto &[run, occupation] : endpoint.runs) {
        room -= occupation.needs;
    }
    return room;
}

} // namespace knapweed::cell
