// Greedy by task: each task goes where it adds least to the cost, and accelerators of gangs that are victims already cost nothing more. Scopes (a worker,
// a rack, the fleet) are compared by the cost of their whole plan.

#include "planning/preemption.h"

#include <algorithm>
#include <limits>

namespace knapweed::planning
{

namespace
{

constexpr double firmPenalty = 1e6; ///< a gang that doesn't borrow goes only when nothing else helps
constexpr double checkpointSeconds = 2; ///< of lost work for a gang that checkpoints
constexpr std::size_t scopeLimit = 128; ///< scopes compared in one search
constexpr std::size_t scopeWorkerLimit = 64; ///< workers of one scope
constexpr Milliseconds askedRecently {5000}; ///< a gang asked to go within this time is counted as going
constexpr double impossible = std::numeric_limits<double>::infinity();

struct TaskChoice
{
    AcceleratorSet accelerators = 0;
    std::vector<GangIndex> victims; ///< new ones
    double cost = impossible;
};

class ScopeSearch
{
public:
    ScopeSearch(const Inventory &inventory, const PreemptionSearch &search)
        : inventory_(inventory)
        , search_(search)
    {
    }

    std::optional<PreemptionPlan> run(const std::vector<WorkerIndex> &scope)
    {
        plan_ = {};
        for (int task = 0; task < search_.search.job->shape.tasks; ++task) {
            WorkerIndex best = noIndex;
            TaskChoice bestChoice;
            for (const WorkerIndex worker : scope) {
                TaskChoice choice = chooseTask(worker);
                if (choice.cost < bestChoice.cost) {
                    best = worker;
                    bestChoice = std::move(choice);
                }
            }
            if (best == noIndex) {
                return std::nullopt;
            }
            plan_.parts.push_back({best, bestChoice.accelerators});
            plan_.victims.insert(plan_.victims.end(), bestChoice.victims.begin(), bestChoice.victims.end());
            plan_.cost += bestChoice.cost;
        }
        return plan_;
    }

private:
    struct Candidate
    {
        GangIndex gang = noIndex;
        double cost = 0;
    };

    bool isVictim(GangIndex gang) const
    {
        return std::find(plan_.victims.begin(), plan_.victims.end(), gang) != plan_.victims.end();
    }

    AcceleratorSet allowed(WorkerIndex worker) const
    {
        const AcceleratorSet set = allowedSet(inventory_.workers()[worker], search_.search);
        if (search_.within == nullptr) {
            return set;
        }
        AcceleratorSet within = 0;
        for (const PlannedPart &part : search_.within->parts) {
            within |= part.worker == worker ? part.accelerators : 0;
        }
        return set & within;
    }

    std::vector<Candidate> candidatesOn(const WorkerState &state) const
    {
        std::vector<Candidate> candidates;
        for (const PlacedPart &part : state.parts) {
            const bool isKnown = std::any_of(candidates.begin(), candidates.end(), [&part](const Candidate &candidate) {
                return candidate.gang == part.gang;
            });
            if (search_.within == nullptr && inventory_.gang(part.gang).isUrgent) {
                continue; // only a block's owner goes before an urgent job, or two urgent jobs would preempt each other for ever
            }
            const double cost = isVictim(part.gang) ? 0 : preemptionCost(inventory_, *search_.blocks, part.gang, search_.now);
            if (!isKnown && cost >= 0) {
                candidates.push_back({part.gang, cost});
            }
        }
        std::sort(candidates.begin(), candidates.end(), [this](const Candidate &left, const Candidate &right) {
            const std::string &first = inventory_.gang(left.gang).job;
            const std::string &second = inventory_.gang(right.gang).job;
            return left.cost != right.cost ? left.cost < right.cost : first < second;
        });
        return candidates;
    }

    /// The open room of the worker less what the plan took.
    WorkerState roomOn(WorkerIndex worker) const
    {
        const WorkerState &state = inventory_.workers()[worker];
        const Shape &shape = search_.search.job->shape;
        WorkerState room;
        room.free = state.free;
        room.freeSlots = state.freeSlots;
        room.freeProcessors = state.freeProcessors;
        room.freeMemoryMib = state.freeMemoryMib;
        for (const PlannedPart &part : plan_.parts) {
            if (part.worker == worker) {
                --room.freeSlots;
                room.freeProcessors -= shape.processorsPerTask;
                room.freeMemoryMib -= shape.memoryMibPerTask;
            }
        }
        return room;
    }

    static void vacate(WorkerState &room, const WorkerState &state, GangIndex gang)
    {
        for (const PlacedPart &part : state.parts) {
            if (part.gang == gang) {
                room.free |= part.accelerators;
                ++room.freeSlots;
                room.freeProcessors += part.processors;
                room.freeMemoryMib += part.memoryMib;
            }
        }
    }

    TaskChoice chooseTask(WorkerIndex worker) const
    {
        const WorkerState &state = inventory_.workers()[worker];
        const Shape &shape = search_.search.job->shape;
        if (!state.usable || state.isProbing || std::find(search_.search.avoid.begin(), search_.search.avoid.end(), worker) != search_.search.avoid.end()) {
            return {};
        }
        AcceleratorSet allowedHere = allowed(worker);
        for (const PlannedPart &part : plan_.parts) {
            allowedHere &= part.worker == worker ? ~part.accelerators : ~AcceleratorSet {0};
        }
        WorkerState room = roomOn(worker);
        const std::vector<Candidate> candidates = candidatesOn(state);
        TaskChoice choice;
        choice.cost = 0;
        std::size_t next = 0;
        while (taskCapacity(room, shape, room.free & allowedHere) < 1 || (next < candidates.size() && candidates[next].cost == 0)) {
            if (next == candidates.size()) {
                return {};
            }
            const Candidate &candidate = candidates[next++];
            const bool helps = candidate.cost == 0 || taskCapacity(room, shape, room.free & allowedHere) < 1;
            if (!helps) {
                continue;
            }
            vacate(room, state, candidate.gang);
            if (!isVictim(candidate.gang)) {
                choice.victims.push_back(candidate.gang);
                choice.cost += candidate.cost;
            }
        }
        choice.accelerators = lowestOf(room.free & allowedHere & state.free, shape.acceleratorsPerTask);
        choice.accelerators |= lowestOf(room.free & allowedHere & ~choice.accelerators, shape.acceleratorsPerTask - countOf(choice.accelerators));
        dropNeedless(choice, state);
        return choice;
    }

    /// Victims whose accelerators are not used stay, unless they were needed for processors, memory or slots.
    void dropNeedless(TaskChoice &choice, const WorkerState &state) const
    {
        const Shape &shape = search_.search.job->shape;
        if (state.freeSlots < 1 || state.freeProcessors < shape.processorsPerTask || state.freeMemoryMib < shape.memoryMibPerTask) {
            return;
        }
        std::erase_if(choice.victims, [&](GangIndex gang) {
            const bool isUsed = std::any_of(state.parts.begin(), state.parts.end(), [&](const PlacedPart &part) {
                return part.gang == gang && (part.accelerators & choice.accelerators) != 0;
            });
            if (!isUsed) {
                choice.cost -= preemptionCost(inventory_, *search_.blocks, gang, search_.now);
            }
            return !isUsed;
        });
    }

    const Inventory &inventory_;
    const PreemptionSearch &search_;
    PreemptionPlan plan_;
};

std::vector<std::vector<WorkerIndex>> scopesOf(const Inventory &inventory, const PreemptionSearch &search)
{
    const Shape &shape = search.search.job->shape;
    const bool isOnOneWorker = shape.adjacency == Adjacency::Worker || shape.tasks == 1;
    std::vector<std::vector<WorkerIndex>> scopes;
    if (search.within != nullptr) {
        scopes.emplace_back();
        for (const PlannedPart &part : search.within->parts) {
            if (isOnOneWorker) {
                scopes.push_back({part.worker});
            } else {
                scopes.back().push_back(part.worker);
            }
        }
        return scopes;
    }
    for (const std::vector<WorkerIndex> &rack : inventory.racks()) {
        if (isOnOneWorker) {
            for (const WorkerIndex worker : rack) {
                scopes.push_back({worker});
            }
        } else if (shape.adjacency == Adjacency::Rack || scopes.empty() || scopes.back().size() + rack.size() > scopeWorkerLimit) {
            scopes.push_back(rack);
        } else {
            scopes.back().insert(scopes.back().end(), rack.begin(), rack.end());
        }
        if (scopes.size() >= scopeLimit) {
            break;
        }
    }
    return scopes;
}

} // namespace

double preemptionCost(const Inventory &inventory, const std::vector<Block> &blocks, GangIndex gang, MonotonicTime now)
{
    const Gang &running = inventory.gang(gang);
    const Part &part = running.description;
    if ((!part.checkpointable && !part.repeatable) || !inventory.isReported(gang)) {
        return -1;
    }
    if (running.preemptedAt != MonotonicTime {} && now - running.preemptedAt < askedRecently) {
        return 0;
    }
    const double sinceCheckpoint = std::chrono::duration<double>(now - std::max(part.startedAt, part.checkpointedAt)).count();
    const double lost = part.checkpointable ? checkpointSeconds : std::max(checkpointSeconds, sinceCheckpoint) + checkpointSeconds;
    return lost * std::max(1, acceleratorsOf(part)) + (isBorrowing(inventory, blocks, gang) ? 0 : firmPenalty);
}

std::optional<PreemptionPlan> findPreemption(const Inventory &inventory, const PreemptionSearch &search)
{
    std::optional<PreemptionPlan> best;
    ScopeSearch scopeSearch(inventory, search);
    for (const std::vector<WorkerIndex> &scope : scopesOf(inventory, search)) {
        std::optional<PreemptionPlan> plan = scopeSearch.run(scope);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    return best;
}

} // namespace knapweed::planning
