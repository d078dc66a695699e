// Accelerators that are being cleared for a waiting job by preemption. No other job is placed there until that job has been placed or the reclaim has been
// released.
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
    std::vector<std::string> victims; ///< jobs whose gangs were asked to stop
    MonotonicTime createdAt;
    MonotonicTime requestedAt; ///< when the victims were last asked to stop
};

/// Invariant: on the workers, exactly the parts of each pending reclaim are held for its job.
class PendingReclaims
{
public:
    void add(Inventory &inventory, PendingReclaim reclaim);
    void release(Inventory &inventory, const std::string &job);
    bool contains(const std::string &job) const;
    std::map<std::string, PendingReclaim> &reclaims();

private:
    std::map<std::string, PendingReclaim> reclaims_;
};

/// Whether all accelerators of the reclaim are free now, and the processors, memory and slots that its tasks of @p shape need.
bool isCleared(const Inventory &inventory, const PendingReclaim &reclaim, const Shape &shape);

} // namespace knapweed::planning
