// The layout is made in two steps. First all blocks are laid out on the known workers, usable or not. Then the blocks on unusable workers move to free
// accelerators and the others stay, so a worker that returns gets its blocks back. Large blocks are laid out first, each on the rack or worker that it fills
// best.

#include "planning/reservationmap.h"

#include <algorithm>
#include <climits>
#include <map>
#include <set>
#include <tuple>

namespace knapweed::planning
{

namespace
{

int sizeOf(const Shape &shape)
{
    return shape.tasks * shape.acceleratorsPerTask;
}

bool isOnOneWorker(const Shape &shape)
{
    return shape.adjacency == Adjacency::Worker || shape.tasks == 1;
}

/// The order in which blocks without parts are laid out.
enum class LayoutOrder { LargestFirst, StrictestFirst };

/// The free accelerators of the workers, indexed by their number per worker and per rack.
class FreeAccelerators
{
public:
    explicit FreeAccelerators(const std::vector<MapWorker> &workers, bool onlyUsable)
    {
        std::vector<MapWorker> sorted = workers;
        std::sort(sorted.begin(), sorted.end(), [](const MapWorker &left, const MapWorker &right) {
            return left.id < right.id;
        });
        for (const MapWorker &worker : sorted) {
            if (onlyUsable && !worker.isUsable) {
                continue;
            }
            const auto [rack, isNew] = rackIndex_.emplace(worker.rack, static_cast<int>(racks_.size()));
            if (isNew) {
                racks_.push_back({worker.rack, {}, 0});
            }
            const int index = static_cast<int>(workers_.size());
            workerIndex_.emplace(worker.id, index);
            workers_.push_back({worker.id, rack->second, worker.accelerators});
            racks_[rack->second].workers.push_back(index);
            racks_[rack->second].free += countOf(worker.accelerators);
            byFree_.insert(workerKey(index));
        }
        for (std::size_t rack = 0; rack < racks_.size(); ++rack) {
            racksByFree_.insert(rackKey(static_cast<int>(rack)));
        }
    }

    bool canReserve(const std::vector<MapPart> &parts) const
    {
        return !parts.empty() && std::all_of(parts.begin(), parts.end(), [this](const MapPart &part) {
            const auto worker = workerIndex_.find(part.worker);
            return worker != workerIndex_.end() && (part.accelerators & ~workers_[worker->second].free) == 0;
        });
    }

    void reserve(const std::vector<MapPart> &parts)
    {
        for (const MapPart &part : parts) {
            const int index = workerIndex_.at(part.worker);
            const int rack = workers_[index].rack;
            byFree_.erase(workerKey(index));
            racksByFree_.erase(rackKey(rack));
            workers_[index].free &= ~part.accelerators;
            racks_[rack].free -= countOf(part.accelerators);
            byFree_.insert(workerKey(index));
            racksByFree_.insert(rackKey(rack));
        }
    }

    std::vector<MapPart> find(const Shape &shape) const
    {
        if (isOnOneWorker(shape)) {
            return findWorker(shape);
        }
        return shape.adjacency == Adjacency::Rack ? findRack(shape) : findAnywhere(shape);
    }

private:
    struct FreeWorker
    {
        std::string id;
        int rack = 0;
        AcceleratorSet free = 0;
    };

    struct Rack
    {
        std::string name;
        std::vector<int> workers;
        int free = 0;
    };

    using Key = std::tuple<int, std::string, int>; ///< number of free accelerators, name, index

    Key workerKey(int index) const
    {
        return {countOf(workers_[index].free), workers_[index].id, index};
    }

    Key rackKey(int rack) const
    {
        return {racks_[rack].free, racks_[rack].name, rack};
    }

    std::vector<MapPart> findWorker(const Shape &shape) const
    {
        const auto found = byFree_.lower_bound({sizeOf(shape), std::string {}, INT_MIN});
        if (found == byFree_.end()) {
            return {};
        }
        const FreeWorker &freeWorker = workers_[std::get<2>(*found)];
        return {{freeWorker.id, lowestOf(freeWorker.free, sizeOf(shape))}};
    }

    std::vector<MapPart> findRack(const Shape &shape) const
    {
        for (auto rack = racksByFree_.lower_bound({sizeOf(shape), std::string {}, INT_MIN}); rack != racksByFree_.end(); ++rack) {
            std::vector<MapPart> parts = spread(racks_[std::get<2>(*rack)].workers, shape);
            if (!parts.empty()) {
                return parts;
            }
        }
        return {};
    }

    std::vector<MapPart> findAnywhere(const Shape &shape) const
    {
        std::vector<MapPart> parts;
        int missing = shape.tasks;
        for (auto worker = byFree_.lower_bound({shape.acceleratorsPerTask, std::string {}, INT_MIN}); worker != byFree_.end() && missing > 0; ++worker) {
            const FreeWorker &freeWorker = workers_[std::get<2>(*worker)];
            const int tasks = std::min(missing, countOf(freeWorker.free) / shape.acceleratorsPerTask);
            parts.push_back({freeWorker.id, lowestOf(freeWorker.free, tasks * shape.acceleratorsPerTask)});
            missing -= tasks;
        }
        return missing == 0 ? parts : std::vector<MapPart> {};
    }

    /// Fills the workers with the most capacity first; the last tasks go to the worker that they fit best.
    std::vector<MapPart> spread(const std::vector<int> &indices, const Shape &shape) const
    {
        std::vector<std::pair<int, int>> capacities; ///< number of tasks, index of the worker
        capacities.reserve(indices.size());
        for (const int index : indices) {
            capacities.emplace_back(countOf(workers_[index].free) / shape.acceleratorsPerTask, index);
        }
        std::sort(capacities.begin(), capacities.end(), [](const std::pair<int, int> &left, const std::pair<int, int> &right) {
            return left.first != right.first ? left.first > right.first : left.second < right.second;
        });
        std::vector<MapPart> parts;
        int missing = shape.tasks;
        for (std::size_t index = 0; index < capacities.size() && missing > 0 && capacities[index].first > 0; ++index) {
            std::size_t chosen = index;
            while (chosen + 1 < capacities.size() && capacities[chosen + 1].first >= missing) {
                ++chosen;
            }
            const int tasks = std::min(missing, capacities[chosen].first);
            const FreeWorker &freeWorker = workers_[capacities[chosen].second];
            parts.push_back({freeWorker.id, lowestOf(freeWorker.free, tasks * shape.acceleratorsPerTask)});
            missing -= tasks;
        }
        return missing == 0 ? parts : std::vector<MapPart> {};
    }

    std::vector<FreeWorker> workers_;
    std::map<std::string, int> workerIndex_;
    std::vector<Rack> racks_;
    std::map<std::string, int> rackIndex_;
    std::set<Key> byFree_;
    std::set<Key> racksByFree_;
};

std::vector<std::size_t> layoutOrder(const ReservationMap &map, LayoutOrder order)
{
    std::vector<std::size_t> indices(map.size());
    for (std::size_t index = 0; index < indices.size(); ++index) {
        indices[index] = index;
    }
    std::stable_sort(indices.begin(), indices.end(), [&map, order](std::size_t left, std::size_t right) {
        const Shape &first = map[left].shape;
        const Shape &second = map[right].shape;
        const int strictness = static_cast<int>(first.adjacency != Adjacency::None) - static_cast<int>(second.adjacency != Adjacency::None);
        if (order == LayoutOrder::StrictestFirst && strictness != 0) {
            return strictness > 0;
        }
        if (order == LayoutOrder::StrictestFirst && first.acceleratorsPerTask != second.acceleratorsPerTask) {
            return first.acceleratorsPerTask > second.acceleratorsPerTask;
        }
        return sizeOf(first) > sizeOf(second);
    });
    return indices;
}

ReservationMap emptyMap(const Policy &policy)
{
    ReservationMap map;
    for (const auto &[name, account] : policy.accounts) {
        int number = 0;
        for (const Shape &shape : account.guarantee) {
            map.push_back({name, number++, shape, {}});
        }
    }
    return map;
}

bool isSameGuarantee(const MapBlock &left, const MapBlock &right)
{
    return left.shape.tasks == right.shape.tasks && left.shape.acceleratorsPerTask == right.shape.acceleratorsPerTask
        && left.shape.adjacency == right.shape.adjacency;
}

/// Lays out the blocks without parts. Returns the number of blocks that do not fit.
int layOutMissing(ReservationMap &map, FreeAccelerators &free, LayoutOrder order)
{
    int missing = 0;
    for (const std::size_t index : layoutOrder(map, order)) {
        MapBlock &block = map[index];
        if (!block.parts.empty() || sizeOf(block.shape) <= 0) {
            continue;
        }
        block.parts = free.find(block.shape);
        free.reserve(block.parts);
        missing += block.parts.empty() ? 1 : 0;
    }
    return missing;
}

/// Keeps the parts of the blocks in @p before whose accelerators are still free.
void keepBlocks(ReservationMap &map, FreeAccelerators &free, const ReservationMap &before)
{
    std::map<std::pair<std::string, int>, const MapBlock *> known;
    for (const MapBlock &block : before) {
        known[{block.account, block.number}] = &block;
    }
    for (MapBlock &block : map) {
        const auto found = known.find({block.account, block.number});
        if (found != known.end() && isSameGuarantee(*found->second, block) && free.canReserve(found->second->parts)) {
            block.parts = found->second->parts;
            free.reserve(block.parts);
        }
    }
}

/// Returns the layout with the fewest missing blocks. The blocks in @p before are kept unless a new layout places more blocks.
ReservationMap layOutKeeping(const Policy &policy, const std::vector<MapWorker> &workers, const ReservationMap &before, bool onlyUsable)
{
    ReservationMap best = emptyMap(policy);
    FreeAccelerators free(workers, onlyUsable);
    keepBlocks(best, free, before);
    int fewest = layOutMissing(best, free, LayoutOrder::LargestFirst);
    for (const LayoutOrder order : {LayoutOrder::LargestFirst, LayoutOrder::StrictestFirst}) {
        if (fewest == 0) {
            break;
        }
        ReservationMap fresh = emptyMap(policy);
        FreeAccelerators all(workers, onlyUsable);
        const int missing = layOutMissing(fresh, all, order);
        if (missing < fewest) {
            fewest = missing;
            best = std::move(fresh);
        }
    }
    return best;
}

} // namespace

ReservationLayout layOutReservations(const Policy &policy, const std::vector<MapWorker> &workers, const ReservationMap &homeBefore)
{
    ReservationLayout layout;
    layout.home = layOutKeeping(policy, workers, homeBefore, false);
    layout.current = layOutKeeping(policy, workers, layout.home, true);
    return layout;
}

std::string unplaceableGuarantee(const Policy &policy, const std::vector<Worker> &workers)
{
    std::vector<MapWorker> mapWorkers;
    int total = 0;
    for (const Worker &worker : workers) {
        mapWorkers.push_back({worker.id, worker.region + '/' + worker.failureDomain + '/' + worker.rack, firstAccelerators(worker.accelerators), true});
        total += worker.accelerators;
    }
    const ReservationMap map = layOutKeeping(policy, mapWorkers, {}, false);
    int needed = 0;
    for (const MapBlock &block : map) {
        needed += sizeOf(block.shape);
    }
    for (const MapBlock &block : map) {
        if (block.parts.empty() && sizeOf(block.shape) > 0) {
            return "accounts." + block.account + ".guarantee[" + std::to_string(block.number) + "]: no ground left for " + std::to_string(block.shape.tasks)
                + " tasks of " + std::to_string(block.shape.acceleratorsPerTask) + " accelerators; all guarantees take " + std::to_string(needed) + " of "
                + std::to_string(total) + " accelerators";
        }
    }
    return {};
}

int movedBlocks(const ReservationMap &before, const ReservationMap &after)
{
    std::map<std::pair<std::string, int>, std::vector<MapPart>> known;
    for (const MapBlock &block : before) {
        known[{block.account, block.number}] = block.parts;
    }
    return static_cast<int>(std::count_if(after.begin(), after.end(), [&known](const MapBlock &block) {
        const auto found = known.find({block.account, block.number});
        return found == known.end() || found->second != block.parts;
    }));
}

} // namespace knapweed::planning
