// Greedy by task: each task goes to the worker where it adds least to the cost. Gangs that are victims already add no further cost. The plans for the groups
// of workers (one worker, a rack or several racks) are compared by their total cost.

#include "planning/preemption.h"

#include <algorithm>
#include <limits>

namespace knapweed::planning
{

namespace
{

constexpr double nonBorrowerPenalty = 1e6; ///< accelerator seconds; a gang that does not borrow is preempted only if nothing else suffices
constexpr double checkpointLossSeconds = 2; ///< lost when a gang with checkpoints is preempted; without checkpoints, at least twice as much
constexpr std::size_t maximumGroups = 128; ///< compared in one search
constexpr std::size_t maximumGroupWorkers = 64; ///< in a group of several racks
constexpr Milliseconds stoppingPeriod {5000}; ///< a gang asked to stop within this time counts as stopping and adds no cost
constexpr double impossible = std::numeric_limits<double>::infinity();

struct TaskChoice
{
    AcceleratorSet accelerators = 0;
    std::vector<GangIndex> victims; ///< those that the plan does not contain yet
    double cost = impossible;
};

class GroupSearch
{
public:
    GroupSearch(const Inventory &inventory, const PreemptionSearch &search)
        : inventory_(inventory)
        , search_(search)
    {
    }

    std::optional<PreemptionPlan> run(const std::vector<WorkerIndex> &group)
    {
        plan_ = {};
        for (int task = 0; task < search_.search.job->shape.tasks; ++task) {
            WorkerIndex best = noIndex;
            TaskChoice bestChoice;
            for (const WorkerIndex worker : group) {
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
                continue; // urgent gangs are preempted only for the owner of a block; otherwise two urgent jobs would preempt each other endlessly
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

    /// The free capacity of the worker, less what the plan uses already.
    WorkerState freeCapacityOn(WorkerIndex worker) const
    {
        const WorkerState &state = inventory_.workers()[worker];
        const Shape &shape = search_.search.job->shape;
        WorkerState capacity;
        capacity.free = state.free;
        capacity.freeSlots = state.freeSlots;
        capacity.freeProcessors = state.freeProcessors;
        capacity.freeMemoryMib = state.freeMemoryMib;
        for (const PlannedPart &part : plan_.parts) {
            if (part.worker == worker) {
                --capacity.freeSlots;
                capacity.freeProcessors -= shape.processorsPerTask;
                capacity.freeMemoryMib -= shape.memoryMibPerTask;
            }
        }
        return capacity;
    }

    static void release(WorkerState &capacity, const WorkerState &state, GangIndex gang)
    {
        for (const PlacedPart &part : state.parts) {
            if (part.gang == gang) {
                capacity.free |= part.accelerators;
                ++capacity.freeSlots;
                capacity.freeProcessors += part.processors;
                capacity.freeMemoryMib += part.memoryMib;
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
        AcceleratorSet allowedAccelerators = allowed(worker);
        for (const PlannedPart &part : plan_.parts) {
            allowedAccelerators &= part.worker == worker ? ~part.accelerators : ~AcceleratorSet {0};
        }
        WorkerState capacity = freeCapacityOn(worker);
        const std::vector<Candidate> candidates = candidatesOn(state);
        TaskChoice choice;
        choice.cost = 0;
        std::size_t next = 0;
        while (taskCapacity(capacity, shape, capacity.free & allowedAccelerators) < 1 || (next < candidates.size() && candidates[next].cost == 0)) {
            if (next == candidates.size()) {
                return {};
            }
            const Candidate &candidate = candidates[next++];
            const bool helps = candidate.cost == 0 || taskCapacity(capacity, shape, capacity.free & allowedAccelerators) < 1;
            if (!helps) {
                continue;
            }
            release(capacity, state, candidate.gang);
            if (!isVictim(candidate.gang)) {
                choice.victims.push_back(candidate.gang);
                choice.cost += candidate.cost;
            }
        }
        choice.accelerators = lowestOf(capacity.free & allowedAccelerators & state.free, shape.acceleratorsPerTask);
        choice.accelerators |= lowestOf(capacity.free & allowedAccelerators & ~choice.accelerators, shape.acceleratorsPerTask - countOf(choice.accelerators));
        removeUnneededVictims(choice, state);
        return choice;
    }

    /// Removes the victims whose accelerators the task does not use, unless victims were needed for processors, memory or a slot.
    void removeUnneededVictims(TaskChoice &choice, const WorkerState &state) const
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

std::vector<std::vector<WorkerIndex>> workerGroups(const Inventory &inventory, const PreemptionSearch &search)
{
    const Shape &shape = search.search.job->shape;
    const bool isOnOneWorker = shape.adjacency == Adjacency::Worker || shape.tasks == 1;
    std::vector<std::vector<WorkerIndex>> groups;
    if (search.within != nullptr) {
        groups.emplace_back();
        for (const PlannedPart &part : search.within->parts) {
            if (isOnOneWorker) {
                groups.push_back({part.worker});
            } else {
                groups.back().push_back(part.worker);
            }
        }
        return groups;
    }
    for (const std::vector<WorkerIndex> &rack : inventory.racks()) {
        if (isOnOneWorker) {
            for (const WorkerIndex worker : rack) {
                groups.push_back({worker});
            }
        } else if (shape.adjacency == Adjacency::Rack || groups.empty() || groups.back().size() + rack.size() > maximumGroupWorkers) {
            groups.push_back(rack);
        } else {
            groups.back().insert(groups.back().end(), rack.begin(), rack.end());
        }
        if (groups.size() >= maximumGroups) {
            break;
        }
    }
    return groups;
}

} // namespace

double preemptionCost(const Inventory &inventory, const std::vector<Block> &blocks, GangIndex gang, MonotonicTime now)
{
    const Gang &running = inventory.gang(gang);
    const Part &part = running.description;
    if ((!part.checkpointable && !part.repeatable) || !inventory.isReported(gang)) {
        return -1;
    }
    if (running.preemptedAt != MonotonicTime {} && now - running.preemptedAt < stoppingPeriod) {
        return 0;
    }
    const double sinceCheckpoint = std::chrono::duration<double>(now - std::max(part.startedAt, part.checkpointedAt)).count();
    const double lost = part.checkpointable ? checkpointLossSeconds : std::max(checkpointLossSeconds, sinceCheckpoint) + checkpointLossSeconds;
    return lost * std::max(1, acceleratorsOf(part)) + (isBorrowing(inventory, blocks, gang) ? 0 : nonBorrowerPenalty);
}

std::optional<PreemptionPlan> findPreemption(const Inventory &inventory, const PreemptionSearch &search)
{
    std::optional<PreemptionPlan> best;
    GroupSearch groupSearch(inventory, search);
    for (const std::vector<WorkerIndex> &group : workerGroups(inventory, search)) {
        std::optional<PreemptionPlan> plan = groupSearch.run(group);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    return best;
}

} // namespace knapweed::planning
