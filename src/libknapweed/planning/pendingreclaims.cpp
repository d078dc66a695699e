// Adds and releases pending reclaims together with their held accelerators in the inventory.

#include "planning/pendingreclaims.h"

#include <algorithm>

namespace knapweed::planning
{

void PendingReclaims::add(Inventory &inventory, PendingReclaim reclaim)
{
    release(inventory, reclaim.job);
    for (const PlannedPart &part : reclaim.parts) {
        inventory.hold(part.worker, {reclaim.job, part.accelerators, MonotonicTime::min(), true});
    }
    const std::string job = reclaim.job;
    reclaims_.emplace(job, std::move(reclaim));
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

bool isCleared(const Inventory &inventory, const PendingReclaim &reclaim, const Shape &shape)
{
    std::map<WorkerIndex, int> tasks;
    for (const PlannedPart &part : reclaim.parts) {
        const WorkerState &worker = inventory.workers()[part.worker];
        const int count = ++tasks[part.worker];
        const bool hasCapacity =
            worker.freeSlots >= count && worker.freeProcessors >= count * shape.processorsPerTask && worker.freeMemoryMib >= count * shape.memoryMibPerTask;
        if (!hasCapacity || (part.accelerators & ~worker.free) != 0) {
            return false;
        }
    }
    return true;
}

} // namespace knapweed::planning
