// Plans the units one by one. A unit of the first priority that finds no free capacity preempts the cheapest later work. The capacity that such a unit waits
// for is reserved in the table, so that units behind it in the queue cannot take it.

#include "cell/planner.h"

#include "cell/loadreservations.h"
#include "cell/plannerchoice.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr std::size_t maxPredictedReservations = 4; ///< blocked units that reserve endpoints at predicted ends; bounds the idle share and the time of a round
constexpr std::size_t maxReservedGangs = 1; ///< blocked gangs without a guarantee for which endpoints are reserved; more would leave the fleet idle

/// The cost of each unit that the choice stops.
std::map<std::size_t, double> victimCosts(const Choice &choice, const Table &table)
{
    std::map<std::size_t, double> lost;
    for (const PlannedEndpoint &endpoint : table.endpoints) {
        for (const RunningPart &part : endpoint.parts) {
            if (choice.victims.count(part.unit) != 0) {
                lost[part.unit] = part.lostWork;
            }
        }
    }
    return lost;
}

double lostWork(const Choice &choice, const Table &table)
{
    double sum = 0;
    for (const auto &[unit, work] : victimCosts(choice, table)) {
        sum += work;
    }
    return sum;
}

Shape shapeOf(const WaitingUnit &unit, bool usesPolicy)
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
        unit.mayUseSuspects,
        unit.startsAlone,
        // With reservations, whether an endpoint is open depends on these as well.
        usesPolicy ? (unit.mayUseReserved ? -1 : static_cast<int>(unit.rank) * 2 + (unit.isOverdue ? 1 : 0)) : 0,
        usesPolicy ? unit.runTime.count() : 0};
}

/// Whether finding free capacity depends on more than the shape.
bool isRestricted(const WaitingUnit &unit)
{
    return unit.needsAdvice || unit.tasksPerEndpoint > 0;
}

/// A placement that requires no preemption.
std::optional<Choice> chooseFree(const WaitingUnit &unit, Table &table)
{
    if (isRestricted(unit)) {
        return chooseAnywhere(unit, table, false);
    }
    const Shape shape = shapeOf(unit, table.hasReservations);
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

void allocate(const WaitingUnit &unit, const Choice &choice, Table &table)
{
    for (const std::size_t place : choice.places) {
        useReservedCapacity(unit, table.endpoints[place]);
        table.endpoints[place].freeCapacity -= unit.needs;
        table.endpoints[place].hasStartingRuns = true;
        table.endpoints[place].isReserved = table.endpoints[place].isReserved || unit.startsAlone;
        if (unit.tasksPerEndpoint > 0) {
            ++table.placed[unit.stepName][table.endpoints[place].agent];
        }
    }
}

/// The endpoints that are reserved for a blocked unit, regardless of the rank of the work that has to end there first. Work that lasts is not waited for.
std::optional<Choice> chooseReserved(const WaitingUnit &unit, Table table)
{
    for (PlannedEndpoint &endpoint : table.endpoints) {
        for (RunningPart &part : endpoint.parts) {
            part.rank = part.isLasting ? Rank::Guaranteed : Rank::Later;
        }
    }
    WaitingUnit asGuaranteed = unit;
    asGuaranteed.rank = Rank::Guaranteed;
    asGuaranteed.mayLeaveRack = false;
    asGuaranteed.mayLeaveTooSmallRacks = true;
    return chooseAnywhere(asGuaranteed, table, true);
}

/// A placement that preempts later work, unless more work would be lost than the unit's budget allows.
std::optional<Choice> choosePreempting(const WaitingUnit &unit, Table &table)
{
    if (unit.rank > Rank::First || (unit.rank == Rank::First && !unit.mayPreempt)) {
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

/// A placement on endpoints that are fast enough for the unit's objective, if @p direct is not. It may stop later work within the unit's budget.
std::optional<Choice> chooseFaster(const WaitingUnit &unit, const Choice &direct, Table &table)
{
    const bool isFastEnough = std::all_of(direct.places.begin(), direct.places.end(), [&](std::size_t place) {
        return table.endpoints[place].speed >= unit.minSpeed;
    });
    if (isFastEnough) {
        return std::nullopt;
    }
    WaitingUnit fast = unit;
    fast.needsSpeed = true;
    std::optional<Choice> choice = chooseAnywhere(fast, table, false);
    if (choice || unit.rank > Rank::First || !unit.mayPreempt || unit.minSpeedAfterStop <= 0) {
        return choice;
    }
    fast.minSpeed = unit.minSpeedAfterStop;
    choice = chooseAnywhere(fast, table, true);
    if (choice) {
        choice->isFree = false;
    }
    return choice && lostWork(*choice, table) <= unit.preemptionBudget ? choice : std::nullopt;
}

/// What has been reserved for blocked units in this round.
struct Reservations
{
    std::size_t units = 0;
    std::set<std::size_t> places;
};

/// The earliest start on the rack that the unit prefers; on any endpoints if there is no such rack, or if none could hold the unit.
std::optional<FutureStart> chooseFuture(const WaitingUnit &unit, Table &table)
{
    const Eligible &eligible = eligibleFor(unit, table);
    const bool isOneRackPreferred = unit.prefersOneRack && unit.tasks > 1;
    std::optional<FutureStart> best;
    bool hasSuitableRack = false;
    for (const auto &[rack, places] : eligible.byRack) {
        const bool isPreferred = unit.dataRack.empty() ? isOneRackPreferred : rack == unit.dataRack;
        if (!isPreferred || !couldHold(unit, table, places)) {
            continue;
        }
        hasSuitableRack = true;
        std::optional<FutureStart> start = earliestStart(unit, table.endpoints, places);
        if (start && (!best || start->after < best->after)) {
            best = std::move(start);
        }
    }
    return hasSuitableRack ? best : earliestStart(unit, table.endpoints, eligible.all);
}

/// Keeps endpoints for a unit that found no capacity.
void reserveBlocked(const WaitingUnit &unit, const LoadPolicyOptions &options, Reservations &reservations, Table &table, Plan &plan)
{
    if (!options.reservesByPredictedEnds) {
        const std::optional<Choice> reserved = unit.tasks > 1 && reservations.units < maxReservedGangs ? chooseReserved(unit, table) : std::nullopt;
        if (reserved) {
            ++reservations.units;
            allocate(unit, *reserved, table);
        }
        return;
    }
    const bool isWorthIt = unit.mayReserve && (unit.rank <= Rank::Second || unit.tasks > 1);
    const std::size_t most = unit.rank <= Rank::Second ? maxPredictedReservations : maxReservedGangs;
    if (!isWorthIt || reservations.units >= most || reservations.places.size() * 2 >= table.endpoints.size()) {
        return;
    }
    const std::optional<FutureStart> start = chooseFuture(unit, table);
    if (start) {
        ++reservations.units;
        reservations.places.insert(start->places.begin(), start->places.end());
        reserveAt(unit, *start, table.endpoints);
        plan.reservations[unit.number] = start->after;
    }
}

} // namespace

Plan planUnits(const std::vector<WaitingUnit> &units, std::vector<PlannedEndpoint> endpoints, const PlannerPolicy &policy)
{
    Table table;
    table.endpoints = std::move(endpoints);
    table.hasReservations = policy.options.reservesByPredictedEnds || !policy.reserved.empty();
    Plan plan;
    Reservations reservations;
    bool isUrgentWorkPlanned = false;
    for (const WaitingUnit &unit : units) {
        if (unit.rank >= Rank::Second && !isUrgentWorkPlanned) {
            isUrgentWorkPlanned = true;
            for (const auto &[service, reserved] : policy.reserved) {
                reserveForUrgentWork(table.endpoints, service, reserved, policy.options.stopTime);
            }
        }
        const std::optional<Choice> direct = chooseFree(unit, table);
        const std::optional<Choice> faster = direct ? chooseFaster(unit, *direct, table) : std::nullopt;
        const std::optional<Choice> &free = faster ? faster : direct;
        if (free && free->isFree) {
            allocate(unit, *free, table);
            PlannedStart start {unit.number, {}};
            for (const std::size_t place : free->places) {
                start.agents.push_back(table.endpoints[place].agent);
            }
            plan.starts.push_back(std::move(start));
            continue;
        }
        plan.blocked.push_back(unit.number);
        const std::optional<Choice> choice = free ? free : choosePreempting(unit, table);
        if (choice) {
            allocate(unit, *choice, table);
            markStopped(choice->victims, table);
            plan.preempting.push_back(unit.number);
            for (const auto &[victim, cost] : victimCosts(*choice, table)) {
                plan.stops.push_back(victim);
                plan.preemptors[victim] = unit.number;
                plan.costs[victim] = cost;
            }
        } else if (unit.rank != Rank::Guaranteed) {
            reserveBlocked(unit, policy.options, reservations, table, plan);
        }
    }
    return plan;
}

} // namespace knapweed::cell
