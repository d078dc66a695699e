// Each block belongs to one account. Accelerators that no block covers are available to all accounts.

#include "planning/blocks.h"

#include <algorithm>

namespace knapweed::planning
{

namespace
{

bool isFilling(const Gang &gang, const Block &block)
{
    return gang.account == block.account && 2 * acceleratorsOf(gang.description) > acceleratorsOf(block.shape);
}

} // namespace

std::vector<Block> applyReservations(Inventory &inventory, const ReservationMap &map, const std::map<std::string, AccountIndex> &accounts)
{
    std::vector<std::vector<ReservedAccelerators>> reserved(inventory.workers().size());
    std::vector<Block> blocks;
    for (const MapBlock &mapBlock : map) {
        Block block {accounts.at(mapBlock.account), mapBlock.shape, {}};
        for (const MapPart &part : mapBlock.parts) {
            const WorkerIndex worker = inventory.find(part.worker);
            block.parts.push_back({worker, part.accelerators});
            reserved[worker].push_back({static_cast<int>(blocks.size()), block.account, part.accelerators});
        }
        blocks.push_back(std::move(block));
    }
    for (std::size_t worker = 0; worker < reserved.size(); ++worker) {
        inventory.setReserved(static_cast<WorkerIndex>(worker), std::move(reserved[worker]));
    }
    return blocks;
}

bool fills(const Block &block, const Shape &shape)
{
    if (block.parts.empty() || 2 * acceleratorsOf(shape) <= acceleratorsOf(block.shape) || shape.acceleratorsPerTask < 1) {
        return false;
    }
    int capacity = 0;
    int capacityOnOneWorker = 0;
    for (const PlannedPart &part : block.parts) {
        const int tasks = countOf(part.accelerators) / shape.acceleratorsPerTask;
        capacity += tasks;
        capacityOnOneWorker = std::max(capacityOnOneWorker, tasks);
    }
    if (shape.adjacency == Adjacency::Worker || shape.tasks == 1) {
        return capacityOnOneWorker >= shape.tasks;
    }
    const bool isInOneRack = block.shape.adjacency != Adjacency::None || block.parts.size() == 1;
    return capacity >= shape.tasks && (shape.adjacency == Adjacency::None || isInOneRack);
}

bool isInUse(const Inventory &inventory, const Block &block)
{
    return std::any_of(block.parts.begin(), block.parts.end(), [&](const PlannedPart &part) {
        const std::vector<PlacedPart> &placed = inventory.workers()[part.worker].parts;
        return std::any_of(placed.begin(), placed.end(), [&](const PlacedPart &other) {
            return (other.accelerators & part.accelerators) != 0 && isFilling(inventory.gang(other.gang), block);
        });
    });
}

bool isBorrowing(const Inventory &inventory, const std::vector<Block> &blocks, GangIndex gang)
{
    const Gang &running = inventory.gang(gang);
    for (const WorkerIndex worker : running.workers) {
        const WorkerState &state = inventory.workers()[worker];
        for (const PlacedPart &part : state.parts) {
            if (part.gang != gang || (part.accelerators & state.reservedSet) == 0) {
                continue;
            }
            const bool isForeign = std::any_of(state.reserved.begin(), state.reserved.end(), [&](const ReservedAccelerators &blockPart) {
                return (blockPart.accelerators & part.accelerators) != 0 && !isFilling(running, blocks[blockPart.block]);
            });
            if (isForeign) {
                return true;
            }
        }
    }
    return false;
}

} // namespace knapweed::planning
