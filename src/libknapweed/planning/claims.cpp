// Holds and releases the ground of claims on the inventory.

#include "planning/claims.h"

#include <algorithm>

namespace knapweed::planning
{

void ClaimBook::add(Inventory &inventory, Claim claim)
{
    release(inventory, claim.job);
    for (const PlannedPart &part : claim.parts) {
        inventory.hold(part.worker, {claim.job, part.accelerators, MonotonicTime::min(), true});
    }
    const std::string job = claim.job;
    claims_.emplace(job, std::move(claim));
}

void ClaimBook::release(Inventory &inventory, const std::string &job)
{
    const auto found = claims_.find(job);
    if (found == claims_.end()) {
        return;
    }
    for (const PlannedPart &part : found->second.parts) {
        inventory.releaseHeld(part.worker, job);
    }
    claims_.erase(found);
}

bool ClaimBook::contains(const std::string &job) const
{
    return claims_.contains(job);
}

std::map<std::string, Claim> &ClaimBook::claims()
{
    return claims_;
}

bool isCleared(const Inventory &inventory, const Claim &claim, const Shape &shape)
{
    std::map<WorkerIndex, int> tasks;
    for (const PlannedPart &part : claim.parts) {
        const WorkerState &worker = inventory.workers()[part.worker];
        const int count = ++tasks[part.worker];
        const bool hasRoom =
            worker.openSlots >= count && worker.openProcessors >= count * shape.processorsPerTask && worker.openMemoryMib >= count * shape.memoryMibPerTask;
        if (!hasRoom || (part.accelerators & ~worker.open) != 0) {
            return false;
        }
    }
    return true;
}

} // namespace knapweed::planning
