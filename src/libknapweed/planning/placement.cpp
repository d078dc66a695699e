// Searches walk the index of free accelerators from the best fit upwards, so they visit few workers even in a large fleet.

#include "planning/placement.h"

#include <algorithm>
#include <climits>

namespace knapweed::planning
{

namespace
{

AcceleratorSet acceleratorsIn(const WorkerState &worker, const SearchScope &scope)
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

constexpr int maximumCandidates = 24; ///< feasible workers that one search compares

struct Candidate
{
    WorkerIndex worker = noIndex;
    int capacity = 0; ///< tasks
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
    const int capacity = taskCapacity(state, search.job->shape, usable);
    if (state.isProbing) {
        const bool canProbe = state.parts.empty() && search.job->shape.tasks == 1 && search.job->repeatable && !search.job->urgent;
        return {worker, canProbe ? std::min(capacity, 1) : 0, usable};
    }
    return {worker, capacity, usable};
}

/// Lower is better. The cost depends first on whether an idle worker is used, then on the accelerators left on the worker, then on the free ones in its rack.
long fitCost(const Inventory &inventory, const Candidate &candidate, int accelerators)
{
    const WorkerState &state = inventory.workers()[candidate.worker];
    const int left = countOf(state.free) - accelerators;
    const int usesIdleWorker = state.free == state.all ? 1 : 0;
    return usesIdleWorker * 1000000L + left * 1000L + std::min(inventory.freeInRack(state.rack), 999);
}

void addParts(std::vector<PlannedPart> &parts, const Inventory &inventory, const Candidate &candidate, const Shape &shape, int tasks)
{
    // Unreserved accelerators are used first, so that as few reserved ones as possible are taken.
    const AcceleratorSet reserved = inventory.workers()[candidate.worker].reservedSet;
    AcceleratorSet usable = candidate.usable;
    for (int task = 0; task < tasks; ++task) {
        AcceleratorSet chosen = lowestOf(usable & ~reserved, shape.acceleratorsPerTask);
        chosen |= lowestOf(usable & ~chosen, shape.acceleratorsPerTask - countOf(chosen));
        usable &= ~chosen;
        parts.push_back({candidate.worker, chosen});
    }
}

/// Places the whole gang on one worker.
std::vector<PlannedPart> findOnWorker(const Inventory &inventory, const Search &search)
{
    const Shape &shape = search.job->shape;
    const int needed = acceleratorsOf(shape);
    Candidate best;
    long bestCost = LONG_MAX;
    int compared = 0;
    for (int free = needed; free <= maximumAccelerators && compared < maximumCandidates; ++free) {
        for (const WorkerIndex worker : inventory.workersWithFree(free)) {
            const Candidate candidate = examine(inventory, search, worker);
            if (candidate.capacity < shape.tasks) {
                continue;
            }
            const long cost = fitCost(inventory, candidate, needed);
            if (cost < bestCost) {
                bestCost = cost;
                best = candidate;
            }
            if (++compared == maximumCandidates) {
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

/// Fills the candidates with the most capacity first, so that the gang spans few workers; the last tasks go to the worker that they fit best.
std::vector<PlannedPart> spread(const Inventory &inventory, std::vector<Candidate> candidates, const Shape &shape)
{
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.capacity != right.capacity ? left.capacity > right.capacity : left.worker < right.worker;
    });
    std::vector<PlannedPart> parts;
    int missing = shape.tasks;
    for (std::size_t index = 0; index < candidates.size() && missing > 0; ++index) {
        std::size_t chosen = index;
        while (chosen + 1 < candidates.size() && candidates[chosen + 1].capacity >= missing) {
            ++chosen;
        }
        const int tasks = std::min(missing, candidates[chosen].capacity);
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
    int bestFree = INT_MAX;
    for (std::size_t rack = 0; rack < inventory.racks().size(); ++rack) {
        const int free = inventory.freeInRack(static_cast<int>(rack));
        if (free < needed || free >= bestFree) {
            continue;
        }
        std::vector<Candidate> candidates;
        int capacity = 0;
        for (const WorkerIndex worker : inventory.racks()[rack]) {
            const Candidate candidate = examine(inventory, search, worker);
            if (candidate.capacity > 0) {
                capacity += candidate.capacity;
                candidates.push_back(candidate);
            }
        }
        if (capacity >= shape.tasks) {
            best = std::move(candidates);
            bestFree = free;
        }
    }
    return spread(inventory, std::move(best), shape);
}

std::vector<PlannedPart> findAnywhere(const Inventory &inventory, const Search &search)
{
    const Shape &shape = search.job->shape;
    std::vector<Candidate> candidates;
    int capacity = 0;
    // Workers with few free accelerators come first, because a gang without adjacency may be spread over many workers at no cost.
    for (int free = shape.acceleratorsPerTask; free <= maximumAccelerators && capacity < shape.tasks; ++free) {
        for (const WorkerIndex worker : inventory.workersWithFree(free)) {
            const Candidate candidate = examine(inventory, search, worker);
            if (candidate.capacity > 0) {
                capacity += candidate.capacity;
                candidates.push_back(candidate);
            }
            if (capacity >= shape.tasks) {
                break;
            }
        }
    }
    std::vector<PlannedPart> parts;
    int missing = capacity >= shape.tasks ? shape.tasks : 0;
    for (const Candidate &candidate : candidates) {
        const int tasks = std::min(missing, candidate.capacity);
        addParts(parts, inventory, candidate, shape, tasks);
        missing -= tasks;
    }
    return parts;
}

int idleCapacity(const WorkerState &state, const Shape &shape, const SearchScope &scope)
{
    if (!state.present) {
        return 0;
    }
    int capacity = state.report.slots;
    if (shape.acceleratorsPerTask > 0) {
        capacity = std::min(capacity, countOf(acceleratorsIn(state, scope)) / shape.acceleratorsPerTask);
    }
    if (shape.processorsPerTask > 0) {
        capacity = std::min(capacity, state.report.processors / shape.processorsPerTask);
    }
    if (shape.memoryMibPerTask > 0) {
        capacity = std::min(capacity, static_cast<int>(std::min<std::int64_t>(state.report.memoryMib / shape.memoryMibPerTask, INT_MAX)));
    }
    return capacity;
}

} // namespace

AcceleratorSet allowedSet(const WorkerState &worker, const Search &search)
{
    AcceleratorSet allowed = acceleratorsIn(worker, search.scope);
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
    int capacity = worker.freeSlots;
    if (shape.acceleratorsPerTask > 0) {
        capacity = std::min(capacity, countOf(usable) / shape.acceleratorsPerTask);
    }
    if (shape.processorsPerTask > 0) {
        capacity = std::min(capacity, worker.freeProcessors / shape.processorsPerTask);
    }
    if (shape.memoryMibPerTask > 0) {
        capacity = std::min(capacity, static_cast<int>(std::min<std::int64_t>(worker.freeMemoryMib / shape.memoryMibPerTask, INT_MAX)));
    }
    return std::max(capacity, 0);
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
            const int capacity = idleCapacity(inventory.workers()[worker], shape, scope);
            if (onOneWorker && capacity >= shape.tasks) {
                return true;
            }
            inRack += capacity;
        }
        total += inRack;
        if (shape.adjacency == Adjacency::Rack && inRack >= shape.tasks) {
            return true;
        }
    }
    return shape.adjacency == Adjacency::None && total >= shape.tasks;
}

} // namespace knapweed::planning
