// The load policy on plain tables. Each test is named after the load pattern that it covers.

#include "cell/loadpolicy.h"
#include "cell/planner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

const Resources whole {16000, 64000, 8};

PlannedEndpoint endpoint(const std::string &agent, const std::string &rack = "r1", Resources free = whole)
{
    PlannedEndpoint row;
    row.agent = agent;
    row.service = "svc";
    row.rack = rack;
    row.capacity = whole;
    row.freeCapacity = free;
    return row;
}

/// Adds a run that ends after @p remaining.
void occupy(PlannedEndpoint &row, std::size_t unit, Rank rank, const Resources &needs, Milliseconds remaining, double cost = 1)
{
    RunningPart part;
    part.unit = unit;
    part.rank = rank;
    part.needs = needs;
    part.remaining = remaining;
    part.lostWork = cost;
    row.parts.push_back(part);
    row.freeCapacity -= needs;
}

WaitingUnit unit(std::size_t number, std::size_t tasks, const Resources &needs, Rank rank, Milliseconds runTime = Milliseconds(5000))
{
    WaitingUnit waiting;
    waiting.number = number;
    waiting.rank = rank;
    waiting.tasks = tasks;
    waiting.needs = needs;
    waiting.service = "svc";
    waiting.runTime = runTime;
    return waiting;
}

PlannerPolicy policyWith(double reserved)
{
    PlannerPolicy policy;
    policy.options = *parseLoadPolicy("worth");
    if (reserved > 0) {
        policy.reserved["svc"] = reserved;
    }
    return policy;
}

bool isStarted(const Plan &plan, std::size_t number)
{
    return std::any_of(plan.starts.begin(), plan.starts.end(), [number](const PlannedStart &start) {
        return start.number == number;
    });
}

BootTime at(std::int64_t ms)
{
    return BootTime(Milliseconds(1000000 + ms));
}

} // namespace

TEST_GROUP(LoadPolicy)
{
    const Resources eight {8000, 8000, 8};
    const Resources one {2000, 2000, 1};
};

TEST(LoadPolicy, nothingIsReservedBeforeAnyUrgentUnitHasArrived)
{
    DOUBLES_EQUAL(0, reservedEndpoints({}, 60, *parseLoadPolicy("worth"), at(0)), 1e-9);
}

TEST(LoadPolicy, nothingIsReservedWhenTheMechanismIsOff)
{
    ArrivalForecast forecast;
    observeArrival(forecast, 3, at(0));
    DOUBLES_EQUAL(0, reservedEndpoints(forecast, 60, LoadPolicyOptions(), at(0)), 1e-9);
    DOUBLES_EQUAL(0, reservedEndpoints(forecast, 60, *parseLoadPolicy("worth,-reserve"), at(0)), 1e-9);
}

TEST(LoadPolicy, rareUrgentGangsReserveAsMuchAsTheLargestOfThem)
{
    ArrivalForecast forecast;
    observeArrival(forecast, 5, at(0));
    observeArrival(forecast, 1, at(3000));
    DOUBLES_EQUAL(5, reservedEndpoints(forecast, 60, *parseLoadPolicy("worth"), at(4000)), 1e-9);
}

TEST(LoadPolicy, burstOfUrgentGangsReservesWhatArrivesWhileCapacityIsFreed)
{
    ArrivalForecast forecast;
    for (std::int64_t number = 0; number < 200; ++number) {
        observeArrival(forecast, 1, at(number * 200));
    }
    const double reserved = reservedEndpoints(forecast, 100, *parseLoadPolicy("worth"), at(40000));
    CHECK(reserved > 5 && reserved < 10);
}

TEST(LoadPolicy, reservedCapacityIsForgottenAfterABurst)
{
    ArrivalForecast forecast;
    observeArrival(forecast, 5, at(0));
    CHECK(reservedEndpoints(forecast, 60, *parseLoadPolicy("worth"), at(60000)) < 0.1);
}

/// Bound: at most a quarter of the fleet, whatever arrives.
TEST(LoadPolicy, floodOfUrgentWorkReservesNoMoreThanAQuarterOfTheFleet)
{
    ArrivalForecast forecast;
    for (int number = 0; number < 1000; ++number) {
        observeArrival(forecast, 50, at(number));
        CHECK(reservedEndpoints(forecast, 40, *parseLoadPolicy("worth"), at(number)) <= 10);
    }
}

TEST(LoadPolicy, singleTasksLeaveWholeEndpointsFreeForUrgentGangs)
{
    std::vector<PlannedEndpoint> fleet {endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d")};
    std::vector<WaitingUnit> units;
    for (std::size_t number = 0; number < 40; ++number) {
        units.push_back(unit(number, 1, one, Rank::Later));
    }
    const Plan plan = planUnits(units, fleet, policyWith(2));
    LONGS_EQUAL(16, plan.starts.size());
    units.insert(units.begin(), unit(100, 4, eight, Rank::Guaranteed));
    CHECK_TRUE(isStarted(planUnits(units, fleet, policyWith(2)), 100));
}

TEST(LoadPolicy, lessIsReservedAgainstGangsOfTheSecondRank)
{
    const std::vector<PlannedEndpoint> fleet {endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d")};
    CHECK_TRUE(isStarted(planUnits({unit(1, 3, eight, Rank::Second)}, fleet, policyWith(2)), 1));
    CHECK_FALSE(isStarted(planUnits({unit(1, 4, eight, Rank::Second)}, fleet, policyWith(2)), 1));
    CHECK_FALSE(isStarted(planUnits({unit(1, 3, eight, Rank::Later)}, fleet, policyWith(2)), 1));
}

/// Guards against LOST and against starvation: the reserve does not bind a unit on an idle fleet, nor one that has waited for too long.
TEST(LoadPolicy, reserveIsOpenToWorkThatWaitsOnAnIdleFleetAndToOverdueWork)
{
    const std::vector<PlannedEndpoint> fleet {endpoint("a"), endpoint("b")};
    WaitingUnit large = unit(1, 2, eight, Rank::Later);
    CHECK_FALSE(isStarted(planUnits({large}, fleet, policyWith(1)), 1));
    large.isOverdue = true;
    CHECK_TRUE(isStarted(planUnits({large}, fleet, policyWith(1)), 1));
    large.isOverdue = false;
    large.mayUseReserved = true;
    CHECK_TRUE(isStarted(planUnits({large}, fleet, policyWith(1)), 1));
}

TEST(LoadPolicy, longTasksDoNotOvertakeABlockedGangAndShortOnesFillItsWait)
{
    std::vector<PlannedEndpoint> fleet {endpoint("a"), endpoint("b")};
    occupy(fleet[1], 50, Rank::Later, one, Milliseconds(4000));
    const WaitingUnit gang = unit(1, 2, eight, Rank::Second);
    const WaitingUnit shortTask = unit(2, 1, one, Rank::Later, Milliseconds(3000));
    const WaitingUnit longTask = unit(3, 1, one, Rank::Later, Milliseconds(9000));
    const Plan plan = planUnits({gang, shortTask, longTask}, fleet, policyWith(0));
    CHECK_FALSE(isStarted(plan, 1));
    CHECK_TRUE(isStarted(plan, 2));
    CHECK_FALSE(isStarted(plan, 3));
    LONGS_EQUAL(4000, plan.reservations.at(1).count());
    CHECK_TRUE(plan.stops.empty());
}

TEST(LoadPolicy, longTasksUseWhatABlockedGangLeavesOver)
{
    std::vector<PlannedEndpoint> fleet {endpoint("a"), endpoint("b")};
    occupy(fleet[0], 50, Rank::Later, {1000, 1000, 4}, Milliseconds(4000));
    occupy(fleet[1], 51, Rank::Later, {1000, 1000, 4}, Milliseconds(4000));
    const WaitingUnit gang = unit(1, 2, {6000, 8000, 6}, Rank::Second);
    std::vector<WaitingUnit> units {gang};
    for (std::size_t number = 2; number < 12; ++number) {
        units.push_back(unit(number, 1, one, Rank::Later, Milliseconds(9000)));
    }
    LONGS_EQUAL(4, planUnits(units, fleet, policyWith(0)).starts.size());
}

/// review/10: a gang of the whole fleet waits for a task that lasts for days.
TEST(LoadPolicy, gangBehindALastingTaskReservesNothing)
{
    std::vector<PlannedEndpoint> fleet {endpoint("a"), endpoint("b")};
    occupy(fleet[0], 50, Rank::Second, one, Milliseconds::max());
    const Plan plan = planUnits({unit(1, 2, eight, Rank::Second), unit(2, 1, one, Rank::Second, Milliseconds(100000))}, fleet, policyWith(0));
    CHECK_FALSE(isStarted(plan, 1));
    CHECK_TRUE(isStarted(plan, 2));
}

TEST(LoadPolicy, gangWhoseReservationWasInVainReservesNothing)
{
    std::vector<PlannedEndpoint> fleet {endpoint("a"), endpoint("b")};
    occupy(fleet[1], 50, Rank::Later, one, Milliseconds(4000));
    WaitingUnit gang = unit(1, 2, eight, Rank::Second);
    gang.mayReserve = false;
    CHECK_TRUE(isStarted(planUnits({gang, unit(2, 1, one, Rank::Later, Milliseconds(9000))}, fleet, policyWith(0)), 2));
}

/// Bound: blocked gangs keep at most half of the fleet and one gang more.
TEST(LoadPolicy, manyBlockedGangsDoNotKeepTheWholeFleet)
{
    std::vector<PlannedEndpoint> fleet;
    for (int number = 0; number < 20; ++number) {
        fleet.push_back(endpoint("a" + std::to_string(number), "r1"));
        occupy(fleet.back(), 100 + number, Rank::Later, one, Milliseconds(4000));
    }
    std::vector<WaitingUnit> units;
    for (std::size_t number = 0; number < 10; ++number) {
        units.push_back(unit(number, 3, eight, Rank::Second));
    }
    for (std::size_t number = 10; number < 100; ++number) {
        units.push_back(unit(number, 1, one, Rank::Later, Milliseconds(9000)));
    }
    const Plan plan = planUnits(units, fleet, policyWith(0));
    LONGS_EQUAL(4, plan.reservations.size());
    LONGS_EQUAL(8 * 7, plan.starts.size());
}

TEST(LoadPolicy, guaranteedGangSparesAUnitThatWasStoppedTwiceUnlessThereIsNoOther)
{
    std::vector<PlannedEndpoint> fleet {endpoint("a"), endpoint("b")};
    occupy(fleet[0], 50, Rank::Later, eight, Milliseconds(4000), 1);
    occupy(fleet[1], 51, Rank::Second, eight, Milliseconds(4000), 500);
    fleet[0].parts[0].stops = maxStops;
    const Plan plan = planUnits({unit(1, 1, eight, Rank::Guaranteed)}, fleet, policyWith(0));
    LONGS_EQUAL(1, plan.stops.size());
    LONGS_EQUAL(51, plan.stops[0]);
    LONGS_EQUAL(2, planUnits({unit(1, 2, eight, Rank::Guaranteed)}, fleet, policyWith(0)).stops.size());
}

TEST(LoadPolicy, urgentWorkBeyondItsGuaranteeNeverStopsAUnitThatWasStoppedTwice)
{
    std::vector<PlannedEndpoint> fleet {endpoint("a")};
    occupy(fleet[0], 50, Rank::Later, eight, Milliseconds(4000), 1);
    WaitingUnit urgent = unit(1, 1, eight, Rank::First);
    urgent.preemptionBudget = 1e9;
    LONGS_EQUAL(1, planUnits({urgent}, fleet, policyWith(0)).stops.size());
    fleet[0].parts[0].stops = maxStops;
    LONGS_EQUAL(0, planUnits({urgent}, fleet, policyWith(0)).stops.size());
}

TEST(LoadPolicy, urgentWorkThatWouldBeLateAnywayStopsNothing)
{
    std::vector<PlannedEndpoint> fleet {endpoint("a")};
    occupy(fleet[0], 50, Rank::Later, eight, Milliseconds(4000), 1);
    WaitingUnit urgent = unit(1, 1, eight, Rank::First);
    urgent.preemptionBudget = 1e9;
    urgent.mayPreempt = false;
    CHECK_TRUE(planUnits({urgent}, fleet, policyWith(0)).stops.empty());
    urgent.rank = Rank::Guaranteed;
    LONGS_EQUAL(1, planUnits({urgent}, fleet, policyWith(0)).stops.size());
}

TEST(LoadPolicy, unitThatMissesItsObjectiveAnywayIsACheapVictim)
{
    const LoadPolicyOptions options = *parseLoadPolicy("worth");
    VictimWork inTime {100, 300, Milliseconds(4000), Milliseconds(2000), Milliseconds(20000), 0};
    VictimWork tight = inTime;
    tight.untilDue = Milliseconds(5000);
    VictimWork late = inTime;
    late.untilDue = Milliseconds(1000);
    VictimWork stopped = inTime;
    stopped.stops = 1;
    CHECK(victimCost(late, options) < victimCost(inTime, options));
    CHECK(victimCost(inTime, options) < victimCost(stopped, options));
    CHECK(victimCost(stopped, options) < victimCost(tight, options));
}

/// Victims take 0.9 s to stop, so that a wait of 0.8 s gave up the rack just before it was free.
TEST(LoadPolicy, guaranteedGangWaitsForItsRackUntilItsVictimsHaveStopped)
{
    const LoadPolicyOptions options = *parseLoadPolicy("worth");
    CHECK(guaranteedRackWait(Milliseconds(2500), 3, options) > options.stopTime);
    CHECK(guaranteedRackWait(Milliseconds(60000), 3, options) + options.stopTime < options.reclaimTime);
    LONGS_EQUAL(400, guaranteedRackWait(Milliseconds(200), 3, options).count());
}

TEST(LoadPolicy, urgentGangOnSlowEndpointsPreemptsOnFastOnesWithinItsBudget)
{
    std::vector<PlannedEndpoint> fleet {endpoint("slow"), endpoint("fast")};
    fleet[0].speed = 0.6;
    fleet[1].speed = 1.2;
    occupy(fleet[1], 50, Rank::Later, eight, Milliseconds(9000), 10);
    WaitingUnit urgent = unit(1, 1, eight, Rank::First);
    urgent.minSpeed = 0.8;
    urgent.minSpeedAfterStop = 1.1;
    CHECK_TRUE(isStarted(planUnits({urgent}, fleet, policyWith(0)), 1));
    urgent.preemptionBudget = 100;
    const Plan plan = planUnits({urgent}, fleet, policyWith(0));
    CHECK_FALSE(isStarted(plan, 1));
    LONGS_EQUAL(1, plan.stops.size());
    // While the victim is stopping, the unit keeps waiting for it and is not started elsewhere.
    fleet[1].parts[0].isStopping = true;
    const Plan next = planUnits({urgent}, fleet, policyWith(0));
    CHECK_FALSE(isStarted(next, 1));
    CHECK_TRUE(next.stops.empty());
}

TEST(LoadPolicy, urgentGangRunsOnSlowEndpointsIfNoneIsFastEnough)
{
    std::vector<PlannedEndpoint> fleet {endpoint("slow"), endpoint("usual")};
    fleet[0].speed = 0.6;
    WaitingUnit urgent = unit(1, 2, eight, Rank::Guaranteed);
    urgent.minSpeed = 0.9;
    CHECK_TRUE(isStarted(planUnits({urgent}, fleet, policyWith(0)), 1));
}
