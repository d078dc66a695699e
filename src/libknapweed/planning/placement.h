// Finds accelerators for a gang by best fit: workers and racks that are partly used are filled first, so that fully free ones remain for large shapes.
#pragma once

#include "planning/inventory.h"
#include "planning/jobqueue.h"

#include <functional>
#include <vector>

namespace knapweed::planning
{

/// The accelerators that a search may use.
struct SearchScope
{
    AccountIndex account = noIndex;
    bool mayUseOwnBlocks = true;
    bool mayUseUnreserved = true;
    bool mayBorrow = false; ///< whether it may use accelerators reserved for other accounts
};

struct Search
{
    const WaitingJob *job = nullptr;
    SearchScope scope;
    MonotonicTime estimatedEnd; ///< of the job; accelerators held for another job's later start may be used until that start
    bool ignoresStartReservations = false; ///< whether it may use accelerators held for the start of other jobs at any time
    std::vector<WorkerIndex> avoid;
};

/// The accelerators of @p worker that the search may use once they are free.
AcceleratorSet allowedSet(const WorkerState &worker, const Search &search);

/// The free accelerators of @p worker that the search may use.
AcceleratorSet usableSet(const WorkerState &worker, const Search &search);

/// How many tasks of @p shape fit into the worker's free capacity, using only the @p usable accelerators.
int taskCapacity(const WorkerState &worker, const Shape &shape, AcceleratorSet usable);

/// Returns one part for each task, or none if the gang cannot be placed.
std::vector<PlannedPart> findPlacement(const Inventory &inventory, const Search &search);

/// Whether the known workers could hold @p shape if they were idle.
bool fleetCanHold(const Inventory &inventory, const Shape &shape);

/// The same, using only the accelerators in @p scope.
bool scopeCanHold(const Inventory &inventory, const Shape &shape, const SearchScope &scope);

} // namespace knapweed::planning
