// Starts that are kept for large gangs at the head of the queue: the ground that is expected to be free first, and when. Other jobs may run there as long
// as they are expected to end before (conservative backfill).
#pragma once

#include "planning/estimates.h"
#include "planning/inventory.h"
#include "planning/placement.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::planning
{

struct StartReservation
{
    std::string job;
    std::vector<PlannedPart> parts; ///< the tasks of one worker together
    MonotonicTime start; ///< when the ground is expected to be free
    MonotonicTime reviewedAt; ///< when other ground was last looked at
};

/// What the searches for starts need besides the fleet.
struct StartContext
{
    const Inventory *inventory = nullptr;
    const RunEstimates *estimates = nullptr;
    MonotonicTime now;
};

/// When the gang is expected to have ended.
MonotonicTime expectedEnd(const StartContext &context, const Gang &gang);

/// The earliest start of the search's job on the ground that the search allows.
std::optional<StartReservation> findEarliestStart(const StartContext &context, const Search &search);

/// When the kept ground is expected to be free, from what runs there now.
MonotonicTime expectedStart(const StartContext &context, const StartReservation &reservation);

/// Invariant: the parts of a kept start, and no other ground, are held on the workers for its job.
class StartReservations
{
public:
    void add(Inventory &inventory, StartReservation reservation);
    void release(Inventory &inventory, const std::string &job);
    void setStart(Inventory &inventory, const std::string &job, MonotonicTime start);
    StartReservation *find(const std::string &job);
    const std::map<std::string, StartReservation> &reservations() const;

private:
    std::map<std::string, StartReservation> reservations_;
};

} // namespace knapweed::planning
