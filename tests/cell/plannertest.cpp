// Placement decisions of the planner. Each test is named after the load that it represents.

#include "cell/planner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace knapweed::cell;

namespace
{

PlannedEndpoint endpoint(const std::string &agent, const std::string &rack = "r1", Resources freeCapacity = {16000, 64000, 8})
{
    PlannedEndpoint row;
    row.agent = agent;
    row.service = "svc";
    row.rack = rack;
    row.labels = {"kind", rack};
    row.capacity = {16000, 64000, 8};
    row.freeCapacity = freeCapacity;
    return row;
}

WaitingUnit unit(std::size_t number, std::size_t tasks, Resources needs, Rank rank = Rank::Second)
{
    WaitingUnit waiting;
    waiting.number = number;
    waiting.rank = rank;
    waiting.tasks = tasks;
    waiting.needs = needs;
    waiting.service = "svc";
    return waiting;
}

RunningPart part(std::size_t unit, Rank rank, Resources needs, double lostWork)
{
    RunningPart running;
    running.unit = unit;
    running.rank = rank;
    running.needs = needs;
    running.lostWork = lostWork;
    return running;
}

const PlannedStart *startOf(const Plan &plan, std::size_t number)
{
    for (const PlannedStart &start : plan.starts) {
        if (start.number == number) {
            return &start;
        }
    }
    return nullptr;
}

} // namespace

TEST_GROUP(Planner) {};

TEST(Planner, smallTasksFillPartlyUsedEndpointsAndLeaveEmptyOnesFree)
{
    const Plan plan = planUnits({unit(1, 1, {1000, 1000, 1})}, {endpoint("a"), endpoint("b", "r1", {8000, 32000, 4})});
    CHECK(startOf(plan, 1) != nullptr);
    STRCMP_EQUAL("b", startOf(plan, 1)->agents.front().c_str());
}

TEST(Planner, limitOfAStepAppliesAcrossUnitsOfOneRound)
{
    std::vector<WaitingUnit> units;
    for (std::size_t number = 0; number < 3; ++number) {
        WaitingUnit waiting = unit(number, 1, {1000, 1000, 1});
        waiting.tasksPerEndpoint = 1;
        waiting.stepName = "job.0.0";
        units.push_back(waiting);
    }
    const Plan plan = planUnits(units, {endpoint("a"), endpoint("b")});
    LONGS_EQUAL(2, plan.starts.size());
    CHECK(plan.starts[0].agents != plan.starts[1].agents);
    LONGS_EQUAL(1, plan.blocked.size());
}

TEST(Planner, limitOfAStepCountsRunningTasks)
{
    WaitingUnit waiting = unit(1, 1, {1000, 1000, 1});
    waiting.tasksPerEndpoint = 1;
    waiting.stepName = "job.0.0";
    waiting.stepTasks["a"] = 1;
    const Plan plan = planUnits({waiting}, {endpoint("a", "r1", {15000, 63000, 7}), endpoint("b")});
    STRCMP_EQUAL("b", startOf(plan, 1)->agents.front().c_str());
}

TEST(Planner, gangIsPlacedCompletelyOrNotAtAll)
{
    const Plan plan = planUnits({unit(1, 3, {1000, 1000, 8})}, {endpoint("a"), endpoint("b")});
    CHECK(plan.starts.empty());
    LONGS_EQUAL(1, plan.blocked.size());
}

/// Guards against LOST (review/10): a gang that only fits without a task that lasts kept the whole fleet idle for as long as that task lasted.
TEST(Planner, gangThatWaitsForLastingWorkKeepsNothingFromLaterWork)
{
    PlannedEndpoint busy = endpoint("a", "r1", {15000, 63000, 7});
    busy.parts = {part(7, Rank::Second, {1000, 1000, 1}, 0)};
    const std::vector<WaitingUnit> units {unit(1, 2, {1000, 1000, 8}), unit(2, 1, {1000, 1000, 1})};
    CHECK(startOf(planUnits(units, {busy, endpoint("b")}), 2) == nullptr); // kept for the gang until the other work ends
    busy.parts.front().isLasting = true;
    CHECK(startOf(planUnits(units, {busy, endpoint("b")}), 2) != nullptr);
}

TEST(Planner, gangPrefersOneRackAndWaitsForItUntilItMayLeaveIt)
{
    WaitingUnit gang = unit(1, 2, {1000, 1000, 8});
    gang.prefersOneRack = true;
    gang.mayLeaveRack = false;
    const std::vector<PlannedEndpoint> split {endpoint("a", "r1"), endpoint("b", "r2")};
    CHECK(planUnits({gang}, split).starts.empty());
    gang.mayLeaveRack = true;
    LONGS_EQUAL(1, planUnits({gang}, split).starts.size());
    const Plan plan = planUnits({gang}, {endpoint("a", "r1"), endpoint("b", "r2"), endpoint("c", "r2")});
    CHECK(startOf(plan, 1)->agents == (std::vector<std::string> {"b", "c"}) || startOf(plan, 1)->agents == (std::vector<std::string> {"c", "b"}));
}

TEST(Planner, tasksArePlacedOnTheRackOfTheirData)
{
    WaitingUnit waiting = unit(1, 1, {1000, 1000, 1});
    waiting.dataRack = "r2";
    const Plan plan = planUnits({waiting}, {endpoint("a", "r1", {2000, 2000, 1}), endpoint("b", "r2")});
    STRCMP_EQUAL("b", startOf(plan, 1)->agents.front().c_str());
}

TEST(Planner, labelsServicesAndAdviceRestrictThePlacement)
{
    WaitingUnit labelled = unit(1, 1, {1000, 1000, 1});
    labelled.requiredLabel = "other";
    CHECK(planUnits({labelled}, {endpoint("a")}).starts.empty());
    WaitingUnit foreign = unit(1, 1, {1000, 1000, 1});
    foreign.service = "another";
    CHECK(planUnits({foreign}, {endpoint("a")}).starts.empty());
    WaitingUnit advised = unit(1, 1, {1000, 1000, 1});
    advised.needsAdvice = true;
    CHECK(planUnits({advised}, {endpoint("a")}).starts.empty());
    advised.advised = {"a"};
    LONGS_EQUAL(1, planUnits({advised}, {endpoint("a")}).starts.size());
}

/// The guaranteed gang of a client account arrives while other accounts borrow its accelerators.
TEST(Planner, guaranteedGangPreemptsTheCheapestLaterWork)
{
    PlannedEndpoint cheap = endpoint("cheap", "r1", {15000, 63000, 0});
    cheap.parts = {part(7, Rank::Later, {1000, 1000, 8}, 1)};
    PlannedEndpoint dear = endpoint("dear", "r1", {15000, 63000, 0});
    dear.parts = {part(8, Rank::Later, {1000, 1000, 8}, 500)};
    const Plan plan = planUnits({unit(1, 1, {1000, 1000, 8}, Rank::Guaranteed)}, {dear, cheap});
    CHECK(plan.starts.empty());
    LONGS_EQUAL(1, plan.stops.size());
    LONGS_EQUAL(7, plan.stops.front());
}

TEST(Planner, capacityOfAPreemptedRunIsReservedForThePreemptingUnit)
{
    PlannedEndpoint stopping = endpoint("a", "r1", {15000, 63000, 4});
    stopping.parts = {part(7, Rank::Later, {1000, 1000, 4}, 1)};
    stopping.parts.front().isStopping = true;
    const Plan plan = planUnits({unit(1, 1, {1000, 1000, 8}, Rank::Guaranteed), unit(2, 1, {1000, 1000, 1}, Rank::Later)}, {stopping});
    CHECK(plan.starts.empty());
    CHECK(plan.stops.empty());
}

TEST(Planner, guaranteedWorkIsNeverPreempted)
{
    PlannedEndpoint full = endpoint("a", "r1", {15000, 63000, 0});
    full.parts = {part(7, Rank::Guaranteed, {1000, 1000, 8}, 0)};
    CHECK(planUnits({unit(1, 1, {1000, 1000, 8}, Rank::Guaranteed)}, {full}).stops.empty());
    CHECK(planUnits({unit(1, 1, {1000, 1000, 8}, Rank::First)}, {full}).stops.empty());
}

/// A stream of small tasks would use each accelerator that becomes free before the gang ever finds enough of them.
TEST(Planner, blockedGangIsNotOvertakenByAStreamOfSmallTasks)
{
    PlannedEndpoint busy = endpoint("a", "r1", {15000, 63000, 7});
    busy.parts = {part(7, Rank::Later, {1000, 1000, 1}, 1)};
    PlannedEndpoint other = endpoint("b", "r1", {15000, 63000, 7});
    other.parts = {part(8, Rank::Later, {1000, 1000, 1}, 1)};
    const Plan plan = planUnits({unit(1, 2, {1000, 1000, 8}, Rank::Second), unit(2, 1, {1000, 1000, 1}, Rank::Later)}, {busy, other});
    CHECK(plan.starts.empty());
    CHECK(plan.stops.empty());
}

/// Urgent work beyond a guarantee waits instead of preempting a long run that is nearly complete.
TEST(Planner, urgentJobBeyondItsGuaranteeDoesNotPreemptALongRun)
{
    PlannedEndpoint full = endpoint("a", "r1", {15000, 63000, 0});
    full.parts = {part(7, Rank::Second, {1000, 1000, 8}, 5000)};
    WaitingUnit urgent = unit(1, 1, {1000, 1000, 1}, Rank::First);
    urgent.preemptionBudget = 600;
    CHECK(planUnits({urgent}, {full}).stops.empty());
    urgent.rank = Rank::Guaranteed;
    LONGS_EQUAL(1, planUnits({urgent}, {full}).stops.size());
}

TEST(Planner, endpointsWhereAUnitFailedAreUsedLast)
{
    WaitingUnit waiting = unit(1, 1, {1000, 1000, 1});
    waiting.avoided = {"a"};
    STRCMP_EQUAL("b", startOf(planUnits({waiting}, {endpoint("a", "r1", {1000, 1000, 1}), endpoint("b")}), 1)->agents.front().c_str());
    STRCMP_EQUAL("a", startOf(planUnits({waiting}, {endpoint("a")}), 1)->agents.front().c_str());
}

/// Endpoints that fail their runs become free immediately and would attract all waiting work.
TEST(Planner, endpointWhoseLastRunFailedIsUsedLast)
{
    PlannedEndpoint bad = endpoint("a1", "r1", {8000, 32000, 4});
    bad.isSuspect = true;
    const Plan plan = planUnits({unit(0, 1, {1000, 1000, 1})}, {bad, endpoint("a2")});
    STRCMP_EQUAL("a2", startOf(plan, 0)->agents[0].c_str());
    CHECK(startOf(planUnits({unit(0, 1, {1000, 1000, 1})}, {bad}), 0) != nullptr);
}

TEST(Planner, urgentUnitPreemptsLaterWorkInsteadOfUsingASuspectEndpoint)
{
    PlannedEndpoint bad = endpoint("a1");
    bad.isSuspect = true;
    PlannedEndpoint busy = endpoint("a2", "r1", {0, 0, 0});
    busy.parts = {part(7, Rank::Later, {16000, 64000, 8}, 5)};
    WaitingUnit urgent = unit(0, 1, {1000, 1000, 8}, Rank::Guaranteed);
    urgent.mayUseSuspects = false;
    const Plan plan = planUnits({urgent}, {bad, busy});
    CHECK(startOf(plan, 0) == nullptr);
    LONGS_EQUAL(1, plan.stops.size());
}

/// Wide gangs prefer one rack, on a fleet whose racks are too small for them.
TEST(Planner, gangTooWideForAnyRackMayLeaveItsRackEarly)
{
    WaitingUnit gang = unit(0, 3, {1000, 1000, 8});
    gang.prefersOneRack = true;
    gang.mayLeaveRack = false;
    const std::vector<PlannedEndpoint> endpoints {endpoint("a1", "r1"), endpoint("a2", "r1"), endpoint("a3", "r2"), endpoint("a4", "r2")};
    CHECK(startOf(planUnits({gang}, endpoints), 0) == nullptr); // further endpoints of a rack may still report
    gang.mayLeaveTooSmallRacks = true;
    CHECK(startOf(planUnits({gang}, endpoints), 0) != nullptr);
}

TEST(Planner, gangWaitsForARackThatCouldHoldIt)
{
    WaitingUnit gang = unit(0, 2, {1000, 1000, 8});
    gang.prefersOneRack = true;
    gang.mayLeaveRack = false;
    const std::vector<PlannedEndpoint> endpoints {endpoint("a1", "r1"), endpoint("a2", "r1", {0, 0, 0}), endpoint("a3", "r2"), endpoint("a4", "r2", {0, 0, 0})};
    gang.mayLeaveTooSmallRacks = true;
    CHECK(startOf(planUnits({gang}, endpoints), 0) == nullptr);
    gang.mayLeaveRack = true;
    CHECK(startOf(planUnits({gang}, endpoints), 0) != nullptr);
}

/// Endpoints differ in speed by a factor of two, and a job with little time to spare is late on a slow one although it was started at once.
TEST(Planner, urgentWorkGoesToTheFastEndpointAndOtherWorkToTheSlowOne)
{
    std::vector<PlannedEndpoint> endpoints = {endpoint("slow"), endpoint("usual"), endpoint("fast")};
    endpoints[0].speed = 0.7;
    endpoints[2].speed = 1.4;
    const Plan plan = planUnits({unit(1, 1, {1000, 1000, 8}, Rank::Guaranteed), unit(2, 1, {1000, 1000, 8}, Rank::Later)}, endpoints);
    STRCMP_EQUAL("fast", startOf(plan, 1)->agents[0].c_str());
    STRCMP_EQUAL("slow", startOf(plan, 2)->agents[0].c_str());
}
