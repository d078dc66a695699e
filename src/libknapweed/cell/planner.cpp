// Best fit over the endpoints; a unit of the first priority that finds no room displaces the cheapest later work. Room that such a unit waits for is taken
// out of the table, so that nothing behind it in the queue slips in.

#include "cell/planner.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace knapweed::cell
{

namespace
{

constexpr std::size_t heldGangs = 1; ///< later gangs without room for which endpoints are kept free; more would idle the fleet

/// Tasks of each step that this round has placed, by agent.
using PlacedTasks = std::map<std::string, std::map<std::string, std::size_t>>;

struct Table
{
    std::vector<PlannedEndpoint> endpoints;
    PlacedTasks placed;
};

/// Where a unit's tasks would go and what that costs.
struct Choice
{
    std::vector<std::size_t> places; ///< indexes into the table, one for each task
    std::set<std::size_t> victims;
    double cost = 0;
};

double lostWork(const Choice &choice, const Table &table)
{
    std::map<std::size_t, double> lost;
    for (const PlannedEndpoint &endpoint : table.endpoints) {
        for (const RunningPart &part : endpoint.parts) {
            if (choice.victims.count(part.unit) != 0) {
                lost[part.unit] = part.lostWork;
            }
        }
    }
    double sum = 0;
    for (const auto &[unit, work] : lost) {
        sum += work;
    }
    return sum;
}

bool mayUse(const WaitingUnit &unit, const PlannedEndpoint &endpoint)
{
    const bool hasLabel = unit.requiredLabel.empty() || endpoint.labels.count(unit.requiredLabel) != 0;
    const bool isAdvised = !unit.needsAdvice || unit.advised.count(endpoint.agent) != 0;
    return endpoint.service == unit.service && hasLabel && isAdvised && fits(unit.needs, endpoint.capacity);
}

std::size_t countOn(const std::map<std::string, std::size_t> &counts, const std::string &agent)
{
    const auto found = counts.find(agent);
    return found == counts.end() ? 0 : found->second;
}

/// Tasks of the unit that the limit of its step still allows there.
std::size_t allowedOn(const WaitingUnit &unit, const PlannedEndpoint &endpoint, const PlacedTasks &placed)
{
    if (unit.tasksPerEndpoint == 0) {
        return unit.tasks;
    }
    const auto step = placed.find(unit.stepName);
    const std::size_t taken = countOn(unit.stepTasks, endpoint.agent) + (step == placed.end() ? 0 : countOn(step->second, endpoint.agent));
    return taken >= unit.tasksPerEndpoint ? 0 : unit.tasksPerEndpoint - taken;
}

/// Higher is tighter: what is left idle beside the task, scaled to the endpoint.
double leftover(const Resources &room, const Resources &capacity)
{
    const double accelerators = capacity.accelerators > 0 ? double(room.accelerators) / double(capacity.accelerators) : 0;
    const double cores = capacity.milliCores > 0 ? double(room.milliCores) / double(capacity.milliCores) : 0;
    return accelerators * 2 + cores;
}

/// Frees room for one more task on the endpoint by stopping parts of later ranks, the cheapest first. Returns the cost, or nothing when it can't be done.
std::optional<double> displace(const WaitingUnit &unit, PlannedEndpoint &endpoint, std::set<std::size_t> &victims)
{
    Resources room = endpoint.room;
    std::vector<RunningPart *> candidates;
    for (RunningPart &part : endpoint.parts) {
        if (part.isStopping || victims.count(part.unit) != 0) {
            room += part.needs;
        } else if (part.rank > unit.rank) {
            candidates.push_back(&part);
        }
    }
    const auto isCheaper = [](const RunningPart *left, const RunningPart *right) {
        return left->rank != right->rank ? left->rank > right->rank : left->lostWork < right->lostWork;
    };
    std::sort(candidates.begin(), candidates.end(), isCheaper);
    double cost = 0;
    std::vector<std::size_t> chosen;
    for (const RunningPart *part : candidates) {
        if (fits(unit.needs, room)) {
            break;
        }
        room += part->needs;
        cost += 1 + part->lostWork;
        chosen.push_back(part->unit);
    }
    if (!fits(unit.needs, room)) {
        return std::nullopt;
    }
    victims.insert(chosen.begin(), chosen.end());
    return cost;
}

/// Places every task on the endpoints named by @p places, or returns nothing. With @p displaces it may stop later work.
std::optional<Choice> choose(const WaitingUnit &unit, const Table &table, const std::vector<std::size_t> &places, bool displaces)
{
    Choice choice;
    std::map<std::size_t, PlannedEndpoint> copies;
    std::map<std::size_t, std::size_t> used;
    for (std::size_t task = 0; task < unit.tasks; ++task) {
        std::optional<std::size_t> best;
        double bestScore = std::numeric_limits<double>::max();
        std::set<std::size_t> bestVictims;
        for (const std::size_t place : places) {
            if (used[place] >= allowedOn(unit, table.endpoints[place], table.placed)) {
                continue;
            }
            PlannedEndpoint &endpoint = copies.try_emplace(place, table.endpoints[place]).first->second;
            double score = leftover(endpoint.room, endpoint.capacity) + (unit.avoided.count(endpoint.agent) != 0 ? 100 : 0);
            std::set<std::size_t> victims = choice.victims;
            if (!fits(unit.needs, endpoint.room)) {
                const std::optional<double> cost = displaces ? displace(unit, endpoint, victims) : std::nullopt;
                if (!cost) {
                    continue;
                }
                score += *cost * 10;
            }
            if (score < bestScore) {
                best = place;
                bestScore = score;
                bestVictims = victims;
            }
        }
        if (!best) {
            return std::nullopt;
        }
        copies.at(*best).room -= unit.needs;
        ++used[*best];
        choice.victims = bestVictims;
        choice.places.push_back(*best);
        choice.cost += bestScore;
    }
    return choice;
}

/// The best choice within one rack when the unit wants that; else over all that it may use.
std::optional<Choice> chooseAnywhere(const WaitingUnit &unit, const Table &table, bool displaces)
{
    std::map<std::string, std::vector<std::size_t>> byRack;
    std::vector<std::size_t> all;
    for (std::size_t place = 0; place < table.endpoints.size(); ++place) {
        if (mayUse(unit, table.endpoints[place])) {
            byRack[table.endpoints[place].rack].push_back(place);
            all.push_back(place);
        }
    }
    std::optional<Choice> best;
    if (!unit.dataRack.empty() && byRack.count(unit.dataRack) != 0) {
        best = choose(unit, table, byRack.at(unit.dataRack), displaces);
    }
    if (!best && unit.prefersOneRack && unit.tasks > 1) {
        for (const auto &[rack, places] : byRack) {
            std::optional<Choice> choice = choose(unit, table, places, displaces);
            if (choice && (!best || choice->cost < best->cost)) {
                best = std::move(choice);
            }
        }
    }
    const bool isBound = (!unit.dataRack.empty() || (unit.prefersOneRack && unit.tasks > 1)) && !unit.mayLeaveRack;
    if (!best && !isBound) {
        best = choose(unit, table, all, displaces);
    }
    return best;
}

void take(const WaitingUnit &unit, const Choice &choice, Table &table)
{
    for (const std::size_t place : choice.places) {
        table.endpoints[place].room -= unit.needs;
        if (unit.tasksPerEndpoint > 0) {
            ++table.placed[unit.stepName][table.endpoints[place].agent];
        }
    }
}

/// Where the unit waits for room to come free, with whatever later work would have to end there first.
std::optional<Choice> chooseHeld(const WaitingUnit &unit, Table table)
{
    for (PlannedEndpoint &endpoint : table.endpoints) {
        for (RunningPart &part : endpoint.parts) {
            part.rank = Rank::Later;
        }
    }
    WaitingUnit asFirst = unit;
    asFirst.rank = Rank::Guaranteed;
    asFirst.mayLeaveRack = false;
    return chooseAnywhere(asFirst, table, true);
}

/// Where the unit goes when later work makes room, unless that throws away more than the unit is worth.
std::optional<Choice> chooseDisplacing(const WaitingUnit &unit, const Table &table)
{
    if (unit.rank > Rank::First) {
        return std::nullopt;
    }
    std::optional<Choice> choice = chooseAnywhere(unit, table, true);
    if (choice && unit.rank == Rank::First && lostWork(*choice, table) > unit.affordableLoss) {
        return std::nullopt;
    }
    return choice;
}

void markStopped(const std::set<std::size_t> &victims, Table &table)
{
    for (PlannedEndpoint &endpoint : table.endpoints) {
        for (RunningPart &part : endpoint.parts) {
            part.isStopping = part.isStopping || victims.count(part.unit) != 0;
        }
    }
}

} // namespace

Plan planUnits(const std::vector<WaitingUnit> &units, std::vector<PlannedEndpoint> endpoints)
{
    Table table {std::move(endpoints), {}};
    Plan plan;
    std::size_t held = 0;
    for (const WaitingUnit &unit : units) {
        const std::optional<Choice> direct = chooseAnywhere(unit, table, false);
        if (direct) {
            take(unit, *direct, table);
            PlannedStart start {unit.number, {}};
            for (const std::size_t place : direct->places) {
                start.agents.push_back(table.endpoints[place].agent);
            }
            plan.starts.push_back(std::move(start));
            continue;
        }
        plan.blocked.push_back(unit.number);
        const std::optional<Choice> choice = chooseDisplacing(unit, table);
        if (choice) {
            take(unit, *choice, table);
            markStopped(choice->victims, table);
            plan.stops.insert(plan.stops.end(), choice->victims.begin(), choice->victims.end());
        } else if (unit.rank != Rank::Guaranteed && unit.tasks > 1 && held < heldGangs) {
            const std::optional<Choice> place = chooseHeld(unit, table);
            if (place) {
                ++held;
                take(unit, *place, table);
            }
        }
    }
    return plan;
}

} // namespace knapweed::cell
