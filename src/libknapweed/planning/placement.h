// Finds accelerators for a gang. Best fit: broken workers and racks are filled first, so that whole ones stay for large shapes.
#pragma once

#include "planning/inventory.h"
#include "planning/jobqueue.h"

#include <functional>
#include <vector>

namespace knapweed::planning
{

/// The ground that a search may use.
struct SearchScope
{
    AccountIndex account = noIndex;
    bool mayUseOwnBlocks = true;
    bool mayUseUnreserved = true;
    bool mayBorrow = false; ///< use what is reserved for other accounts
};

struct Search
{
    const WaitingJob *job = nullptr;
    SearchScope scope;
    MonotonicTime estimatedEnd; ///< held ground may be used until its own start
    bool ignoresStartReservations = false; ///< use ground that is kept for the start of other jobs
    std::vector<WorkerIndex> avoid;
};

/// The accelerators of @p worker that the search may use when they are open.
AcceleratorSet allowedSet(const WorkerState &worker, const Search &search);

/// The accelerators of @p worker that the search may use now.
AcceleratorSet usableSet(const WorkerState &worker, const Search &search);

/// How many tasks of @p shape a worker takes that has @p usable accelerators.
int taskCapacity(const WorkerState &worker, const Shape &shape, AcceleratorSet usable);

/// One part for each task, or none when there is no place.
std::vector<PlannedPart> findPlacement(const Inventory &inventory, const Search &search);

/// Whether the known workers could hold @p shape if nothing ran.
bool fleetCanHold(const Inventory &inventory, const Shape &shape);

/// The same on the ground that @p ground allows.
bool scopeCanHold(const Inventory &inventory, const Shape &shape, const SearchScope &scope);

} // namespace knapweed::planning
