// Best-fit placement of one unit: the cost of each endpoint, the cheapest victims, and the choice between racks.

#include "cell/plannerchoice.h"

#include "cell/loadreservations.h"

#include <algorithm>
#include <cmath>

namespace knapweed::cell
{

namespace
{

constexpr double preemptionWeight = 10; ///< cost of a lost core-second relative to the idle share of an endpoint
constexpr double avoidedPenalty = 100; ///< exceeds the sum of idle shares, so that the endpoint is used only if no other has capacity
constexpr double urgentSpeedWeight = 4; ///< cost of the logarithm of a speed relative to the idle share: urgent work goes to fast endpoints
constexpr double otherSpeedWeight = 1; ///< other work leaves the fast endpoints to urgent work
constexpr double wornPenalty = 1e6; ///< in core-seconds; exceeds the cost of all other victims, so that such a unit is stopped only if there is no other choice
constexpr double suspectPenalty = 50; ///< like avoidedPenalty, but preferred to an endpoint where the unit itself has failed

std::size_t countOn(const std::map<std::string, std::size_t> &counts, const std::string &agent)
{
    const auto found = counts.find(agent);
    return found == counts.end() ? 0 : found->second;
}

/// Number of tasks of the unit that the limit of its step still allows on the endpoint.
std::size_t allowedOn(const WaitingUnit &unit, const PlannedEndpoint &endpoint, const PlacedTasks &placed)
{
    if (unit.tasksPerEndpoint == 0) {
        return unit.tasks;
    }
    const auto step = placed.find(unit.stepName);
    const std::size_t taken = countOn(unit.stepTasks, endpoint.agent) + (step == placed.end() ? 0 : countOn(step->second, endpoint.agent));
    return taken >= unit.tasksPerEndpoint ? 0 : unit.tasksPerEndpoint - taken;
}

/// What is left idle on the endpoint, relative to its capacity; lower is a tighter fit.
double leftover(const Resources &free, const Resources &capacity)
{
    const double accelerators = capacity.accelerators > 0 ? double(free.accelerators) / double(capacity.accelerators) : 0;
    const double cores = capacity.milliCores > 0 ? double(free.milliCores) / double(capacity.milliCores) : 0;
    return accelerators * 2 + cores;
}

/// The cost of placing one more task of a unit on an endpoint.
struct Offer
{
    bool isKnown = false; ///< false: has to be computed
    bool isPossible = false;
    double score = 0; ///< lower is better
    std::vector<std::size_t> victims; ///< units to stop for it, in addition to those already chosen
};

/// Whether the unit has been stopped so often that it is stopped again only for guaranteed work.
bool isWorn(const RunningPart &part)
{
    return part.stops >= maxStops;
}

/// Selects parts of later ranks to stop for one more task, the cheapest first. @p free is the capacity left by the tasks placed so far.
void selectVictims(const WaitingUnit &unit, const PlannedEndpoint &endpoint, Resources free, const std::set<std::size_t> &chosen, Offer &offer)
{
    std::vector<const RunningPart *> candidates;
    for (const RunningPart &part : endpoint.parts) {
        if (part.isStopping || chosen.count(part.unit) != 0) {
            free += part.needs;
        } else if (part.rank > unit.rank && (unit.rank == Rank::Guaranteed || !isWorn(part))) {
            candidates.push_back(&part);
        }
    }
    const auto isCheaper = [](const RunningPart *left, const RunningPart *right) {
        if (isWorn(*left) != isWorn(*right)) {
            return isWorn(*right);
        }
        return left->rank != right->rank ? left->rank > right->rank : left->lostWork < right->lostWork;
    };
    std::sort(candidates.begin(), candidates.end(), isCheaper);
    double cost = 0;
    for (const RunningPart *part : candidates) {
        if (fits(unit.needs, free)) {
            break;
        }
        free += part->needs;
        cost += 1 + part->lostWork + (isWorn(*part) ? wornPenalty : 0);
        offer.victims.push_back(part->unit);
    }
    offer.isPossible = fits(unit.needs, free);
    offer.score += cost * preemptionWeight;
}

Offer offerOf(const WaitingUnit &unit, const PlannedEndpoint &endpoint, const Resources &free, const std::set<std::size_t> &chosen, bool mayPreempt)
{
    Offer offer;
    offer.isKnown = true;
    const double speedWeight = unit.rank <= Rank::First ? -urgentSpeedWeight : otherSpeedWeight;
    offer.score = leftover(free, endpoint.capacity) + speedWeight * std::log(endpoint.speed) + (unit.avoided.count(endpoint.agent) != 0 ? avoidedPenalty : 0)
        + (endpoint.isSuspect ? suspectPenalty : 0);
    if (fits(unit.needs, free)) {
        offer.isPossible = true;
    } else if (mayPreempt) {
        selectVictims(unit, endpoint, free, chosen, offer);
    }
    return offer;
}

/// Places all tasks on the endpoints with the indexes @p places, or returns nothing. With @p mayPreempt it may stop later work.
std::optional<Choice> choose(const WaitingUnit &unit, const Table &table, const std::vector<std::size_t> &places, bool mayPreempt)
{
    struct Candidate
    {
        std::size_t place = 0;
        Resources free;
        std::size_t allowed = 0; ///< tasks that may still go there
        Offer offer;
    };
    std::vector<Candidate> candidates;
    for (const std::size_t place : places) {
        const PlannedEndpoint &endpoint = table.endpoints[place];
        const bool isAdvised = !unit.needsAdvice || unit.advised.count(endpoint.agent) != 0;
        const bool isTrusted = unit.mayUseSuspects || !endpoint.isSuspect;
        const bool mayStart = !endpoint.isReserved && (!unit.startsAlone || !endpoint.hasStartingRuns);
        const bool isOpen = (mayPreempt || isOpenTo(unit, endpoint)) && (!unit.needsSpeed || endpoint.speed >= unit.minSpeed);
        const bool isCandidate = isAdvised && isTrusted && mayStart && isOpen && fits(unit.needs, mayPreempt ? endpoint.capacity : endpoint.freeCapacity);
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
                candidate.offer = offerOf(unit, table.endpoints[candidate.place], candidate.free, choice.victims, mayPreempt);
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
        best->free -= unit.needs;
        --best->allowed;
        const std::vector<std::size_t> victims = std::move(best->offer.victims);
        best->offer = Offer();
        if (!victims.empty()) {
            choice.victims.insert(victims.begin(), victims.end());
            // The parts of these units on other endpoints are freed as well.
            for (Candidate &candidate : candidates) {
                candidate.offer = Offer();
            }
        }
    }
    return choice;
}

} // namespace

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

std::optional<Choice> chooseAnywhere(const WaitingUnit &unit, Table &table, bool mayPreempt)
{
    if (unit.needsAdvice && unit.advised.empty()) {
        return std::nullopt;
    }
    const Eligible &eligible = eligibleFor(unit, table);
    const bool isOneRackPreferred = unit.prefersOneRack && unit.tasks > 1;
    const auto dataRack = eligible.byRack.find(unit.dataRack);
    std::optional<Choice> best;
    if (!unit.dataRack.empty() && dataRack != eligible.byRack.end()) {
        best = choose(unit, table, dataRack->second, mayPreempt);
    }
    if (!best && isOneRackPreferred) {
        for (const auto &[rack, places] : eligible.byRack) {
            std::optional<Choice> choice = choose(unit, table, places, mayPreempt);
            if (choice && (!best || choice->cost < best->cost)) {
                best = std::move(choice);
            }
        }
    }
    const bool isBoundToRack = (!unit.dataRack.empty() || isOneRackPreferred) && !unit.mayLeaveRack;
    if (best || (isBoundToRack && !unit.mayLeaveTooSmallRacks)) {
        return best;
    }
    const auto isWorthWaiting = [&unit, &table](const auto &rack) {
        return couldHold(unit, table, rack.second);
    };
    const bool hasSuitableRack = (dataRack != eligible.byRack.end() && isWorthWaiting(*dataRack))
        || (isOneRackPreferred && std::any_of(eligible.byRack.begin(), eligible.byRack.end(), isWorthWaiting));
    if (!isBoundToRack || !hasSuitableRack) {
        best = choose(unit, table, eligible.all, mayPreempt);
    }
    return best;
}

} // namespace knapweed::cell
