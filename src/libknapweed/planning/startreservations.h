// Start reservations for large gangs at the head of the queue: the accelerators that are expected to be free first, and when. Other jobs may run there if they
// are expected to end before that time (conservative backfill).
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
    std::vector<PlannedPart> parts; ///< one for each task
    MonotonicTime start; ///< when the accelerators are expected to be free
    MonotonicTime reviewedAt; ///< when an earlier start was last searched for
};

/// The inputs that all searches for a start have in common.
struct StartContext
{
    const Inventory *inventory = nullptr;
    const RunEstimates *estimates = nullptr;
    MonotonicTime now;
};

/// When the gang is expected to end.
MonotonicTime expectedEnd(const StartContext &context, const Gang &gang);

/// The earliest start of the search's job on the accelerators that the search allows; none if the job does not fit there.
std::optional<StartReservation> findEarliestStart(const StartContext &context, const Search &search);

/// When the reserved accelerators are expected to be free, given the gangs that run on them now.
MonotonicTime expectedStart(const StartContext &context, const StartReservation &reservation);

/// Invariant: on the workers, exactly the parts of each start reservation are held for its job.
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
