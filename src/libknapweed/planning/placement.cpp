// Searches walk the index of open accelerators from the best fit upwards, so they look at few workers of a large fleet.

#include "planning/placement.h"

#include <algorithm>
#include <climits>

namespace knapweed::planning
{

namespace
{

AcceleratorSet groundOf(const WorkerState &worker, const SearchScope &scope)
{
    AcceleratorSet allowed = worker.all;
    const AcceleratorSet own = reservedFor(worker, scope.account);
    if (!scope.mayUseUnreserved) {
        allowed &= worker.reservedSet;
    }
    if (!scope.mayUseOwnBlocks) {
        allowed &= ~own;
    }
    if (!scope.mayBorrow) {
        allowed &= ~(worker.reservedSet & ~own);
    }
    return allowed;
}

constexpr int candidateLimit = 24; ///< feasible workers that are compared

struct Candidate
{
    WorkerIndex worker = noIndex;
    int room = 0; ///< tasks
    AcceleratorSet usable = 0;
};

bool isAvoided(const Search &search, WorkerIndex worker)
{
    return std::find(search.avoid.begin(), search.avoid.end(), worker) != search.avoid.end();
}

Candidate examine(const Inventory &inventory, const Search &search, WorkerIndex worker)
{
    const WorkerState &state = inventory.workers()[worker];
    if (!state.usable || isAvoided(search, worker)) {
        return {worker, 0, 0};
    }
    const AcceleratorSet usable = usableSet(state, search);
    const int room = taskCapacity(state, search.job->shape, usable);
    if (state.isProbing) {
        const bool canProbe = state.parts.empty() && search.job->shape.tasks == 1 && search.job->repeatable && !search.job->urgent;
        return {worker, canProbe ? std::min(room, 1) : 0, usable};
    }
    return {worker, room, usable};
}

/// Lower is better: few accelerators left on the worker, then few open in its rack.
long fitCost(const Inventory &inventory, const Candidate &candidate, int accelerators)
{
    const WorkerState &state = inventory.workers()[candidate.worker];
    const int left = countOf(state.free) - accelerators;
    const int breaksWhole = state.free == state.all ? 1 : 0;
    return breaksWhole * 1000000L + left * 1000L + std::min(inventory.freeInRack(state.rack), 999);
}

void addParts(std::vector<PlannedPart> &parts, const Inventory &inventory, const Candidate &candidate, const Shape &shape, int tasks)
{
    // Accelerators reserved for others go last, then reserved ones, so that least ground is borrowed.
    const AcceleratorSet reserved = inventory.workers()[candidate.worker].reservedSet;
    AcceleratorSet usable = candidate.usable;
    for (int task = 0; task < tasks; ++task) {
        AcceleratorSet chosen = lowestOf(usable & ~reserved, shape.acceleratorsPerTask);
        chosen |= lowestOf(usable & ~chosen, shape.acceleratorsPerTask - countOf(chosen));
        usable &= ~chosen;
        parts.push_back({candidate.worker, chosen});
    }
}

/// The whole gang on one worker.
std::vector<PlannedPart> findOnWorker(const Inventory &inventory, const Search &search)
{
    const Shape &shape = search.job->shape;
    const int needed = acceleratorsOf(shape);
    Candidate best;
    long bestCost = LONG_MAX;
    int compared = 0;
    for (int free = needed; free <= maximumAccelerators && compared < candidateLimit; ++free) {
        for (const WorkerIndex worker : inventory.workersWithFree(free)) {
            const Candidate candidate = examine(inventory, search, worker);
            if (candidate.room < shape.tasks) {
                continue;
            }
            const long cost = fitCost(inventory, candidate, needed);
            if (cost < bestCost) {
                bestCost = cost;
                best = candidate;
            }
            if (++compared == candidateLimit) {
                break;
            }
        }
    }
    std::vector<PlannedPart> parts;
    if (best.worker != noIndex) {
        addParts(parts, inventory, best, shape, shape.tasks);
    }
    return parts;
}

/// Fills @p candidates from the one with most room, so that the gang spans few workers; the last goes where it fits best.
std::vector<PlannedPart> spread(const Inventory &inventory, std::vector<Candidate> candidates, const Shape &shape)
{
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.room != right.room ? left.room > right.room : left.worker < right.worker;
    });
    std::vector<PlannedPart> parts;
    int missing = shape.tasks;
    for (std::size_t place = 0; place < candidates.size() && missing > 0; ++place) {
        std::size_t chosen = place;
        while (chosen + 1 < candidates.size() && candidates[chosen + 1].room >= missing) {
            ++chosen;
        }
        const int tasks = std::min(missing, candidates[chosen].room);
        addParts(parts, inventory, candidates[chosen], shape, tasks);
        missing -= tasks;
    }
    return missing == 0 ? parts : std::vector<PlannedPart> {};
}

std::vector<PlannedPart> findInRack(const Inventory &inventory, const Search &search)
{
    const Shape &shape = search.job->shape;
    const int needed = acceleratorsOf(shape);
    std::vector<Candidate> best;
    int bestOpen = INT_MAX;
    for (std::size_t rack = 0; rack < inventory.racks().size(); ++rack) {
        const int free = inventory.freeInRack(static_cast<int>(rack));
        if (free < needed || free >= bestOpen) {
            continue;
        }
        std::vector<Candidate> candidates;
        int room = 0;
        for (const WorkerIndex worker : inventory.racks()[rack]) {
            const Candidate candidate = examine(inventory, search, worker);
            if (candidate.room > 0) {
                room += candidate.room;
                candidates.push_back(candidate);
            }
        }
        if (room >= shape.tasks) {
            best = std::move(candidates);
            bestOpen = free;
        }
    }
    return spread(inventory, std::move(best), shape);
}

std::vector<PlannedPart> findAnywhere(const Inventory &inventory, const Search &search)
{
    const Shape &shape = search.job->shape;
    std::vector<Candidate> candidates;
    int room = 0;
    // Broken workers first; a gang without adjacency loses nothing by being spread.
    for (int free = shape.acceleratorsPerTask; free <= maximumAccelerators && room < shape.tasks; ++free) {
        for (const WorkerIndex worker : inventory.workersWithFree(free)) {
            const Candidate candidate = examine(inventory, search, worker);
            if (candidate.room > 0) {
                room += candidate.room;
                candidates.push_back(candidate);
            }
            if (room >= shape.tasks) {
                break;
            }
        }
    }
    std::vector<PlannedPart> parts;
    int missing = room >= shape.tasks ? shape.tasks : 0;
    for (const Candidate &candidate : candidates) {
        const int tasks = std::min(missing, candidate.room);
        addParts(parts, inventory, candidate, shape, tasks);
        missing -= tasks;
    }
    return parts;
}

int emptyRoom(const WorkerState &state, const Shape &shape, const SearchScope &scope)
{
    if (!state.present) {
        return 0;
    }
    int room = state.report.slots;
    if (shape.acceleratorsPerTask > 0) {
        room = std::min(room, countOf(groundOf(state, scope)) / shape.acceleratorsPerTask);
    }
    if (shape.processorsPerTask > 0) {
        room = std::min(room, state.report.processors / shape.processorsPerTask);
    }
    if (shape.memoryMibPerTask > 0) {
        room = std::min(room, static_cast<int>(std::min<std::int64_t>(state.report.memoryMib / shape.memoryMibPerTask, INT_MAX)));
    }
    return room;
}

} // namespace

AcceleratorSet allowedSet(const WorkerState &worker, const Search &search)
{
    AcceleratorSet allowed = groundOf(worker, search.scope);
    if (!worker.held.empty()) {
        const std::string &job = search.job->id;
        allowed &= ~(search.ignoresStartReservations ? reclaimedForOthers(worker, job) : heldForOthers(worker, job, search.estimatedEnd));
    }
    return allowed;
}

AcceleratorSet usableSet(const WorkerState &worker, const Search &search)
{
    return worker.free & allowedSet(worker, search);
}

int taskCapacity(const WorkerState &worker, const Shape &shape, AcceleratorSet usable)
{
    int room = worker.freeSlots;
    if (shape.acceleratorsPerTask > 0) {
        room = std::min(room, countOf(usable) / shape.acceleratorsPerTask);
    }
    if (shape.processorsPerTask > 0) {
        room = std::min(room, worker.freeProcessors / shape.processorsPerTask);
    }
    if (shape.memoryMibPerTask > 0) {
        room = std::min(room, static_cast<int>(std::min<std::int64_t>(worker.freeMemoryMib / shape.memoryMibPerTask, INT_MAX)));
    }
    return std::max(room, 0);
}

std::vector<PlannedPart> findPlacement(const Inventory &inventory, const Search &search)
{
    const Shape &shape = search.job->shape;
    if (shape.adjacency == Adjacency::Worker || shape.tasks == 1) {
        return acceleratorsOf(shape) > maximumAccelerators ? std::vector<PlannedPart> {} : findOnWorker(inventory, search);
    }
    return shape.adjacency == Adjacency::Rack ? findInRack(inventory, search) : findAnywhere(inventory, search);
}

bool fleetCanHold(const Inventory &inventory, const Shape &shape)
{
    return scopeCanHold(inventory, shape, {noIndex, true, true, true});
}

bool scopeCanHold(const Inventory &inventory, const Shape &shape, const SearchScope &scope)
{
    if (shape.tasks < 1 || shape.acceleratorsPerTask < 0) {
        return false;
    }
    const bool onOneWorker = shape.adjacency == Adjacency::Worker || shape.tasks == 1;
    std::int64_t total = 0;
    for (const std::vector<WorkerIndex> &rack : inventory.racks()) {
        std::int64_t inRack = 0;
        for (const WorkerIndex worker : rack) {
            const int room = emptyRoom(inventory.workers()[worker], shape, scope);
            if (onOneWorker && room >= shape.tasks) {
                return true;
            }
            inRack += room;
        }
        total += inRack;
        if (shape.adjacency == Adjacency::Rack && inRack >= shape.tasks) {
            return true;
        }
    }
    return shape.adjacency == Adjacency::None && total >= shape.tasks;
}

} // namespace knapweed::planning
