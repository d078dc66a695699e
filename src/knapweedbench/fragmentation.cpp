// Counts how many copies of the shape the free accelerators hold.

#include "fragmentation.h"

#include <map>

namespace knapweed::bench
{

double fragmentation(const std::vector<FreeWorker> &workers, const planning::Shape &shape)
{
    int free = 0;
    std::map<std::string, int> roomByScope; ///< tasks
    int number = 0;
    for (const FreeWorker &worker : workers) {
        const int open = planning::countOf(worker.free);
        free += open;
        const bool isOneWorker = shape.adjacency == planning::Adjacency::Worker || shape.tasks == 1;
        const std::string scope = isOneWorker ? std::to_string(number++) : shape.adjacency == planning::Adjacency::Rack ? worker.rack : std::string {};
        roomByScope[scope] += open / shape.acceleratorsPerTask;
    }
    if (free == 0) {
        return 0;
    }
    int used = 0;
    for (const auto &[scope, room] : roomByScope) {
        used += room / shape.tasks * shape.tasks * shape.acceleratorsPerTask;
    }
    return 1 - static_cast<double>(used) / free;
}

} // namespace knapweed::bench
