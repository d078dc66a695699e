// Holds and releases the ground of claims on the inventory.

#include "planning/pendingreclaims.h"

#include <algorithm>

namespace knapweed::planning
{

void PendingReclaims::add(Inventory &inventory, PendingReclaim claim)
{
    release(inventory, claim.job);
    for (const PlannedPart &part : claim.parts) {
        inventory.hold(part.worker, {claim.job, part.accelerators, MonotonicTime::min(), true});
    }
    const std::string job = claim.job;
    reclaims_.emplace(job, std::move(claim));
}

void PendingReclaims::release(Inventory &inventory, const std::string &job)
{
    const auto found = reclaims_.find(job);
    if (found == reclaims_.end()) {
        return;
    }
    for (const PlannedPart &part : found->second.parts) {
        inventory.releaseHeld(part.worker, job);
    }
    reclaims_.erase(found);
}

bool PendingReclaims::contains(const std::string &job) const
{
    return reclaims_.contains(job);
}

std::map<std::string, PendingReclaim> &PendingReclaims::reclaims()
{
    return reclaims_;
}

bool isCleared(const Inventory &inventory, const PendingReclaim &claim, const Shape &shape)
{
    std::map<WorkerIndex, int> tasks;
    for (const PlannedPart &part : claim.parts) {
        const WorkerState &worker = inventory.workers()[part.worker];
        const int count = ++tasks[part.worker];
        const bool hasRoom =
            worker.freeSlots >= count && worker.freeProcessors >= count * shape.processorsPerTask && worker.freeMemoryMib >= count * shape.memoryMibPerTask;
        if (!hasRoom || (part.accelerators & ~worker.free) != 0) {
            return false;
        }
    }
    return true;
}

} // namespace knapweed::planning
