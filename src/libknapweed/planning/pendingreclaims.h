// Ground that is being cleared for a job by preemption. Nobody else is placed there until the job is, or the claim ends.
#pragma once

#include "planning/inventory.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed::planning
{

struct PendingReclaim
{
    std::string job;
    std::vector<PlannedPart> parts;
    std::vector<std::string> victims; ///< jobs whose gangs were asked to go
    MonotonicTime createdAt;
    MonotonicTime requestedAt;
};

/// Invariant: the parts of a claim, and no other ground, are held on the workers for its job.
class PendingReclaims
{
public:
    void add(Inventory &inventory, PendingReclaim claim);
    void release(Inventory &inventory, const std::string &job);
    bool contains(const std::string &job) const;
    std::map<std::string, PendingReclaim> &reclaims();

private:
    std::map<std::string, PendingReclaim> reclaims_;
};

/// Whether every part of the claim is open now.
bool isCleared(const Inventory &inventory, const PendingReclaim &claim, const Shape &shape);

} // namespace knapweed::planning
