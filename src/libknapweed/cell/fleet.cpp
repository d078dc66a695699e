// Room of an endpoint.

#include "cell/fleet.h"

#include <algorithm>

namespace knapweed::cell
{

Resources freeRoom(const Endpoint &endpoint)
{
    Resources room = endpoint.capacity;
    for (const auto &[run, occupation] : endpoint.runs) {
        room -= occupation.needs;
    }
    return room;
}

bool hasLabel(const Endpoint &endpoint, const std::string &label)
{
    return std::find(endpoint.labels.begin(), endpoint.labels.end(), label) != endpoint.labels.end();
}

} // namespace knapweed::cell
