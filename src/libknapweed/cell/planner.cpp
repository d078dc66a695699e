// Best fit over the endpoints; a unit of the first priority that finds no room displaces the cheapest later work. Room that such a unit waits for is taken
// out of the table, so that nothing behind it in the queue slips in.

#include "cell/planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace knapweed::cell
{

namespace
{

constexpr double displacedWeight = 10; ///< of a core-second of work thrown away, against a share of an endpoint left idle
constexpr double avoidedPenalty = 100; ///< above what idle shares add up to: only where nothing else has room
constexpr double suspectPenalty = 50; ///< as avoidedPenalty, but better than an endpoint where this very unit failed
constexpr std::size_t heldGangs = 1; ///< later gangs without room for which endpoints are kept free; more would idle the fleet

/// Tasks of each step that this round has placed, by agent.
using PlacedTasks = std::map<std::string, std::map<std::string, std::size_t>>;

/// Endpoints that offer one service and carry one label, as indexes into the table.
struct Eligible
{
    std::vector<std::size_t> all;
    std::map<std::string, std::vector<std::size_t>> byRack;
};

/// What decides whether a unit finds free room.
using Shape = std::tuple<std::string, std::string, std::string, std::int64_t, std::int64_t, std::int64_t, bool, bool, bool, bool>;

struct Table
{
    std::vector<PlannedEndpoint> endpoints;
    PlacedTasks placed;
    std::map<std::pair<std::string, std::string>, Eligible> eligible; ///< by service and label
    std::map<Shape, std::size_t> blocked; ///< the smallest number of tasks of each shape that found no free room; room only shrinks within a round
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

const Eligible &eligibleFor(const WaitingUnit &unit, Table &table)
{
    const auto [found, isNew] = table.eligible.try_emplace({unit.service, unit.requiredLabel});
    for (std::size_t place = 0; isNew && place < table.endpoints.size(); ++place) {
        const PlannedEndpoint &endpoint = table.endpoints[place];
        const bool hasLabel = unit.requiredLabel.empty() || endpoint.labels.count(unit.requiredLabel) != 0;
        if (endpoint.service == unit.service && hasLabel) {
            found->second.all.push_back(place);
            found->second.byRack[endpoint.rack].push_back(place);
        }
    }
    return found->second;
}

Shape shapeOf(const WaitingUnit &unit)
{
    return {unit.service,
        unit.requiredLabel,
        unit.dataRack,
        unit.needs.milliCores,
        unit.needs.memoryMib,
        unit.needs.accelerators,
        unit.prefersOneRack && unit.tasks > 1,
        unit.mayLeaveRack || unit.mayLeaveTooSmallRacks,
        unit.mayLeaveRack,
        unit.mayUseSuspects};
}

/// Whether free room depends on more than the shape.
bool isRestricted(const WaitingUnit &unit)
{
    return unit.needsAdvice || unit.tasksPerEndpoint > 0;
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

/// What one more task of a unit costs on an endpoint.
struct Offer
{
    bool isKnown = false; ///< else it has to be computed
    bool isPossible = false;
    double score = 0; ///< lower is better
    std::vector<std::size_t> victims; ///< units to be stopped for it, beside those that are chosen already
};

/// Frees room for one more task by stopping parts of later ranks, the cheapest first. @p room is what the tasks placed so far leave.
void displace(const WaitingUnit &unit, const PlannedEndpoint &endpoint, Resources room, const std::set<std::size_t> &chosen, Offer &offer)
{
    std::vector<const RunningPart *> candidates;
    for (const RunningPart &part : endpoint.parts) {
        if (part.isStopping || chosen.count(part.unit) != 0) {
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
    for (const RunningPart *part : candidates) {
        if (fits(unit.needs, room)) {
            break;
        }
        room += part->needs;
        cost += 1 + part->lostWork;
        offer.victims.push_back(part->unit);
    }
    offer.isPossible = fits(unit.needs, room);
    offer.score += cost * displacedWeight;
}

Offer offerOf(const WaitingUnit &unit, const PlannedEndpoint &endpoint, const Resources &room, const std::set<std::size_t> &chosen, bool displaces)
{
    Offer offer;
    offer.isKnown = true;
    offer.score =
        leftover(room, endpoint.capacity) + (unit.avoided.count(endpoint.agent) != 0 ? avoidedPenalty : 0) + (endpoint.isSuspect ? suspectPenalty : 0);
    if (fits(unit.needs, room)) {
        offer.isPossible = true;
    } else if (displaces) {
        displace(unit, endpoint, room, chosen, offer);
    }
    return offer;
}

/// Places every task on the endpoints named by @p places, or returns nothing. With @p displaces it may stop later work.
std::optional<Choice> choose(const WaitingUnit &unit, const Table &table, const std::vector<std::size_t> &places, bool displaces)
{
    struct Candidate
    {
        std::size_t place = 0;
        Resources room;
        std::size_t allowed = 0; ///< tasks that may still go there
        Offer offer;
    };
    std::vector<Candidate> candidates;
    for (const std::size_t place : places) {
        const PlannedEndpoint &endpoint = table.endpoints[place];
        const bool isAdvised = !unit.needsAdvice || unit.advised.count(endpoint.agent) != 0;
        const bool isTrusted = unit.mayUseSuspects || !endpoint.isSuspect;
        const bool isCandidate = isAdvised && isTrusted && fits(unit.needs, displaces ? endpoint.capacity : endpoint.freeCapacity);
        if (isCandidate) {
            candidates.push_back({place, endpoint.freeCapacity, allowedOn(unit, endpoint, table.placed), {}});
        }
    }
    Choice choice;
    for (std::size_t task = 0; task < unit.tasks; ++task) {
        Candidate *best = nullptr;
        for (Candidate &candidate : candidates) {
            if (candidate.allowed == 0) {
                continue;
            }
            if (!candidate.offer.isKnown) {
                candidate.offer = offerOf(unit, table.endpoints[candidate.place], candidate.room, choice.victims, displaces);
            }
            if (candidate.offer.isPossible && (best == nullptr || candidate.offer.score < best->offer.score)) {
                best = &candidate;
            }
        }
        if (best == nullptr) {
            return std::nullopt;
        }
        choice.cost += best->offer.score;
        choice.places.push_back(best->place);
        best->room -= unit.needs;
        --best->allowed;
        const std::vector<std::size_t> victims = std::move(best->offer.victims);
        best->offer = Offer();
        if (!victims.empty()) {
            choice.victims.insert(victims.begin(), victims.end());
            // Their parts elsewhere come free as well.
            for (Candidate &candidate : candidates) {
                candidate.offer = Offer();
            }
        }
    }
    return choice;
}

/// Whether the endpoints of one place in a rack could hold the whole unit if they were empty; else there is nothing to wait for.
bool couldHold(const WaitingUnit &unit, const Table &table, const std::vector<std::size_t> &places)
{
    std::size_t held = 0;
    for (const std::size_t place : places) {
        Resources rest = table.endpoints[place].capacity;
        std::size_t allowed = allowedOn(unit, table.endpoints[place], {});
        for (; allowed > 0 && held < unit.tasks && fits(unit.needs, rest); --allowed) {
            rest -= unit.needs;
            ++held;
        }
    }
    return held >= unit.tasks;
}

/// The best choice within one rack when the unit wants that; else over all that it may use.
std::optional<Choice> chooseAnywhere(const WaitingUnit &unit, Table &table, bool displaces)
{
    const Eligible &eligible = eligibleFor(unit, table);
    const bool wantsOneRack = unit.prefersOneRack && unit.tasks > 1;
    const auto dataRack = eligible.byRack.find(unit.dataRack);
    std::optional<Choice> best;
    if (!unit.dataRack.empty() && dataRack != eligible.byRack.end()) {
        best = choose(unit, table, dataRack->second, displaces);
    }
    if (!best && wantsOneRack) {
        for (const auto &[rack, places] : eligible.byRack) {
            std::optional<Choice> choice = choose(unit, table, places, displaces);
            if (choice && (!best || choice->cost < best->cost)) {
                best = std::move(choice);
            }
        }
    }
    const bool isBound = (!unit.dataRack.empty() || wantsOneRack) && !unit.mayLeaveRack;
    if (best || (isBound && !unit.mayLeaveTooSmallRacks)) {
        return best;
    }
    const auto isWorthWaiting = [&unit, &table](const auto &rack) {
        return couldHold(unit, table, rack.second);
    };
    const bool hasRack = (dataRack != eligible.byRack.end() && isWorthWaiting(*dataRack))
        || (wantsOneRack && std::any_of(eligible.byRack.begin(), eligible.byRack.end(), isWorthWaiting));
    if (!isBound || !hasRack) {
        best = choose(unit, table, eligible.all, displaces);
    }
    return best;
}

/// Where the unit goes without stopping anything.
std::optional<Choice> chooseFree(const WaitingUnit &unit, Table &table)
{
    if (isRestricted(unit)) {
        return chooseAnywhere(unit, table, false);
    }
    const Shape shape = shapeOf(unit);
    const auto blocked = table.blocked.find(shape);
    if (blocked != table.blocked.end() && unit.tasks >= blocked->second) {
        return std::nullopt;
    }
    std::optional<Choice> choice = chooseAnywhere(unit, table, false);
    if (!choice) {
        table.blocked[shape] = unit.tasks;
    }
    return choice;
}

void take(const WaitingUnit &unit, const Choice &choice, Table &table)
{
    for (const std::size_t place : choice.places) {
        table.endpoints[place].freeCapacity -= unit.needs;
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
    asFirst.mayLeaveTooSmallRacks = true;
    return chooseAnywhere(asFirst, table, true);
}

/// Where the unit goes when later work makes room, unless that throws away more than the unit is worth.
std::optional<Choice> chooseDisplacing(const WaitingUnit &unit, Table &table)
{
    if (unit.rank > Rank::First) {
        return std::nullopt;
    }
    std::optional<Choice> choice = chooseAnywhere(unit, table, true);
    if (choice && unit.rank == Rank::First && lostWork(*choice, table) > unit.preemptionBudget) {
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
    Table table;
    table.endpoints = std::move(endpoints);
    Plan plan;
    std::size_t held = 0;
    for (const WaitingUnit &unit : units) {
        const std::optional<Choice> direct = chooseFree(unit, table);
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
