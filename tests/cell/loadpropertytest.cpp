// Bounds of the load policy on random tables.

#include "cell/planner.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

const Resources whole {16000, 64000, 8};

WaitingUnit randomUnit(std::size_t number, Rank rank)
{
    WaitingUnit unit;
    unit.number = number;
    unit.rank = rank;
    unit.tasks = *rc::gen::inRange<std::size_t>(1, 5);
    unit.needs = {2000, 2000, *rc::gen::inRange<std::int64_t>(1, 9)};
    unit.service = "svc";
    unit.runTime = Milliseconds(*rc::gen::inRange(500, 20000));
    unit.preemptionBudget = 1000;
    unit.minSpeed = *rc::gen::inRange(0, 20) / 10.0;
    unit.minSpeedAfterStop = unit.minSpeed * 1.2;
    return unit;
}

std::vector<PlannedEndpoint> randomFleet()
{
    std::vector<PlannedEndpoint> fleet;
    for (std::size_t number = 0; number < 8; ++number) {
        PlannedEndpoint row;
        row.agent = "a" + std::to_string(number);
        row.service = "svc";
        row.rack = number < 4 ? "r1" : "r2";
        row.capacity = whole;
        row.freeCapacity = whole;
        row.speed = *rc::gen::inRange(6, 16) / 10.0;
        while (row.freeCapacity.accelerators > 0 && *rc::gen::inRange(0, 4) > 0) {
            RunningPart part;
            part.unit = 1000 + number * 10 + row.parts.size();
            part.rank = *rc::gen::element(Rank::Second, Rank::Later);
            part.needs = {1000, 1000, *rc::gen::inRange<std::int64_t>(1, row.freeCapacity.accelerators + 1)};
            part.lostWork = *rc::gen::inRange(0, 2000);
            part.stops = *rc::gen::inRange(0, 4);
            part.remaining = *rc::gen::inRange(0, 8) == 0 ? Milliseconds::max() : Milliseconds(*rc::gen::inRange(0, 20000));
            row.freeCapacity -= part.needs;
            row.parts.push_back(part);
        }
        fleet.push_back(row);
    }
    return fleet;
}

PlannerPolicy randomPolicy()
{
    PlannerPolicy policy;
    policy.options = *parseLoadPolicy("worth");
    policy.reserved["svc"] = *rc::gen::inRange(0, 20) / 10.0;
    return policy;
}

} // namespace

TEST_GROUP(LoadProperty) {};

/// RECLAIM: a guaranteed unit that fits beside nothing is started, or others are stopped for it, whatever is reserved and however often these were stopped.
TEST(LoadProperty, guaranteedUnitAlwaysGetsItsRoom)
{
    CHECK_TRUE(rc::check("a guaranteed unit among others", [] {
        std::vector<WaitingUnit> units {randomUnit(0, Rank::Guaranteed), randomUnit(1, Rank::First), randomUnit(2, Rank::Second), randomUnit(3, Rank::Later)};
        const Plan plan = planUnits(units, randomFleet(), randomPolicy());
        const bool isStarted = !plan.starts.empty() && plan.starts.front().number == 0;
        const bool isWaitingForStops = std::find(plan.preempting.begin(), plan.preempting.end(), 0U) != plan.preempting.end();
        RC_ASSERT(isStarted || isWaitingForStops);
    }));
}

/// A unit that was stopped twice is stopped only for guaranteed work, and the starts of a round fit into what was free.
TEST(LoadProperty, stopsAreBoundedAndStartsFit)
{
    CHECK_TRUE(rc::check("units beyond a guarantee", [] {
        std::vector<WaitingUnit> units {randomUnit(0, Rank::First), randomUnit(1, Rank::First), randomUnit(2, Rank::Second), randomUnit(3, Rank::Later)};
        const std::vector<PlannedEndpoint> fleet = randomFleet();
        const Plan plan = planUnits(units, fleet, randomPolicy());
        std::map<std::string, std::int64_t> started;
        for (const PlannedStart &start : plan.starts) {
            for (const std::string &agent : start.agents) {
                started[agent] += units[start.number].needs.accelerators;
            }
        }
        for (const PlannedEndpoint &row : fleet) {
            RC_ASSERT(started[row.agent] <= row.freeCapacity.accelerators);
            for (const RunningPart &part : row.parts) {
                const bool isStopped = std::find(plan.stops.begin(), plan.stops.end(), part.unit) != plan.stops.end();
                RC_ASSERT(!isStopped || part.stops < maxStops);
            }
        }
    }));
}
