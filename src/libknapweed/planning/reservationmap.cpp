// Two steps: every block is laid on the known workers, usable or not; then the blocks on workers that are not usable move to free ground, and the others
// stay. A worker that comes back so gets its blocks back. Large blocks are laid first, each on the rack or worker that it fills best.

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

/// The order in which blocks that have no place yet are laid.
enum class LayingOrder { LargestFirst, StrictestFirst };

/// Free ground of the workers, indexed by how much is left.
class FreeGround
{
public:
    explicit FreeGround(const std::vector<MapWorker> &workers, bool onlyUsable)
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
            const int place = static_cast<int>(workers_.size());
            workerIndex_.emplace(worker.id, place);
            workers_.push_back({worker.id, rack->second, worker.accelerators});
            racks_[rack->second].workers.push_back(place);
            racks_[rack->second].free += countOf(worker.accelerators);
            byFree_.insert(workerKey(place));
        }
        for (std::size_t rack = 0; rack < racks_.size(); ++rack) {
            racksByFree_.insert(rackKey(static_cast<int>(rack)));
        }
    }

    bool canTake(const std::vector<MapPart> &parts) const
    {
        return !parts.empty() && std::all_of(parts.begin(), parts.end(), [this](const MapPart &part) {
            const auto worker = workerIndex_.find(part.worker);
            return worker != workerIndex_.end() && (part.accelerators & ~workers_[worker->second].free) == 0;
        });
    }

    void take(const std::vector<MapPart> &parts)
    {
        for (const MapPart &part : parts) {
            const int place = workerIndex_.at(part.worker);
            const int rack = workers_[place].rack;
            byFree_.erase(workerKey(place));
            racksByFree_.erase(rackKey(rack));
            workers_[place].free &= ~part.accelerators;
            racks_[rack].free -= countOf(part.accelerators);
            byFree_.insert(workerKey(place));
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
    struct Ground
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

    using Key = std::tuple<int, std::string, int>; ///< free accelerators, name, place

    Key workerKey(int place) const
    {
        return {countOf(workers_[place].free), workers_[place].id, place};
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
        const Ground &ground = workers_[std::get<2>(*found)];
        return {{ground.id, lowestOf(ground.free, sizeOf(shape))}};
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
            const Ground &ground = workers_[std::get<2>(*worker)];
            const int tasks = std::min(missing, countOf(ground.free) / shape.acceleratorsPerTask);
            parts.push_back({ground.id, lowestOf(ground.free, tasks * shape.acceleratorsPerTask)});
            missing -= tasks;
        }
        return missing == 0 ? parts : std::vector<MapPart> {};
    }

    /// From the workers with most room, the last where it fits best.
    std::vector<MapPart> spread(const std::vector<int> &places, const Shape &shape) const
    {
        std::vector<std::pair<int, int>> rooms; ///< tasks, place
        rooms.reserve(places.size());
        for (const int place : places) {
            rooms.emplace_back(countOf(workers_[place].free) / shape.acceleratorsPerTask, place);
        }
        std::sort(rooms.begin(), rooms.end(), [](const std::pair<int, int> &left, const std::pair<int, int> &right) {
            return left.first != right.first ? left.first > right.first : left.second < right.second;
        });
        std::vector<MapPart> parts;
        int missing = shape.tasks;
        for (std::size_t place = 0; place < rooms.size() && missing > 0 && rooms[place].first > 0; ++place) {
            std::size_t chosen = place;
            while (chosen + 1 < rooms.size() && rooms[chosen + 1].first >= missing) {
                ++chosen;
            }
            const int tasks = std::min(missing, rooms[chosen].first);
            const Ground &ground = workers_[rooms[chosen].second];
            parts.push_back({ground.id, lowestOf(ground.free, tasks * shape.acceleratorsPerTask)});
            missing -= tasks;
        }
        return missing == 0 ? parts : std::vector<MapPart> {};
    }

    std::vector<Ground> workers_;
    std::map<std::string, int> workerIndex_;
    std::vector<Rack> racks_;
    std::map<std::string, int> rackIndex_;
    std::set<Key> byFree_;
    std::set<Key> racksByFree_;
};

std::vector<std::size_t> layingOrder(const ReservationMap &map, LayingOrder order)
{
    std::vector<std::size_t> places(map.size());
    for (std::size_t place = 0; place < places.size(); ++place) {
        places[place] = place;
    }
    std::stable_sort(places.begin(), places.end(), [&map, order](std::size_t left, std::size_t right) {
        const Shape &first = map[left].shape;
        const Shape &second = map[right].shape;
        const int strictness = static_cast<int>(first.adjacency != Adjacency::None) - static_cast<int>(second.adjacency != Adjacency::None);
        if (order == LayingOrder::StrictestFirst && strictness != 0) {
            return strictness > 0;
        }
        if (order == LayingOrder::StrictestFirst && first.acceleratorsPerTask != second.acceleratorsPerTask) {
            return first.acceleratorsPerTask > second.acceleratorsPerTask;
        }
        return sizeOf(first) > sizeOf(second);
    });
    return places;
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

/// Lays the blocks that have no parts. Returns how many found no place.
int layMissing(ReservationMap &map, FreeGround &ground, LayingOrder order)
{
    int missing = 0;
    for (const std::size_t place : layingOrder(map, order)) {
        MapBlock &block = map[place];
        if (!block.parts.empty() || sizeOf(block.shape) <= 0) {
            continue;
        }
        block.parts = ground.find(block.shape);
        ground.take(block.parts);
        missing += block.parts.empty() ? 1 : 0;
    }
    return missing;
}

/// Keeps the parts of blocks in @p before that the ground can take.
void keepBlocks(ReservationMap &map, FreeGround &ground, const ReservationMap &before)
{
    std::map<std::pair<std::string, int>, const MapBlock *> known;
    for (const MapBlock &block : before) {
        known[{block.account, block.number}] = &block;
    }
    for (MapBlock &block : map) {
        const auto found = known.find({block.account, block.number});
        if (found != known.end() && isSameGuarantee(*found->second, block) && ground.canTake(found->second->parts)) {
            block.parts = found->second->parts;
            ground.take(block.parts);
        }
    }
}

/// The map with fewest missing blocks: keeping what stands, or else laid afresh.
ReservationMap layKeeping(const Policy &policy, const std::vector<MapWorker> &workers, const ReservationMap &before, bool onlyUsable)
{
    ReservationMap best = emptyMap(policy);
    FreeGround ground(workers, onlyUsable);
    keepBlocks(best, ground, before);
    int fewest = layMissing(best, ground, LayingOrder::LargestFirst);
    for (const LayingOrder order : {LayingOrder::LargestFirst, LayingOrder::StrictestFirst}) {
        if (fewest == 0) {
            break;
        }
        ReservationMap fresh = emptyMap(policy);
        FreeGround all(workers, onlyUsable);
        const int missing = layMissing(fresh, all, order);
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
    layout.home = layKeeping(policy, workers, homeBefore, false);
    layout.current = layKeeping(policy, workers, layout.home, true);
    return layout;
}

std::string unplaceableGuarantee(const Policy &policy, const std::vector<Worker> &workers)
{
    std::vector<MapWorker> ground;
    int total = 0;
    for (const Worker &worker : workers) {
        ground.push_back({worker.id, worker.region + '/' + worker.failureDomain + '/' + worker.rack, firstAccelerators(worker.accelerators), true});
        total += worker.accelerators;
    }
    const ReservationMap map = layKeeping(policy, ground, {}, false);
    int wanted = 0;
    for (const MapBlock &block : map) {
        wanted += sizeOf(block.shape);
    }
    for (const MapBlock &block : map) {
        if (block.parts.empty() && sizeOf(block.shape) > 0) {
            return "accounts." + block.account + ".guarantee[" + std::to_string(block.number) + "]: no ground left for " + std::to_string(block.shape.tasks)
                + " tasks of " + std::to_string(block.shape.acceleratorsPerTask) + " accelerators; all guarantees take " + std::to_string(wanted) + " of "
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
