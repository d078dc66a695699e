// Placement, expiry and refusal through the planner's public interface.

#include "planning/fleet.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace knapweed;
using namespace knapweed::planning;

TEST_GROUP(Planner)
{
    Planner planner_;

    void addFleet(int workers)
    {
        for (int number = 0; number < workers; ++number) {
            planner_.updateWorker(at(0), makeWorker(number));
        }
    }

    std::vector<Place> places(std::int64_t milliseconds)
    {
        return only<Place>(planner_.decide(at(milliseconds)));
    }
};

TEST(Planner, placesAWholeGangInsideOneRack)
{
    addFleet(11);
    planner_.addJob(makeJob("gang", 3, 8, Adjacency::Rack));
    const std::vector<Place> placed = places(10);
    LONGS_EQUAL(1, placed.size());
    LONGS_EQUAL(3, placed[0].members.size());
    std::set<std::string> workers;
    for (const PlacedMember &member : placed[0].members) {
        LONGS_EQUAL(8, member.accelerators.size());
        workers.insert(member.worker);
    }
    LONGS_EQUAL(3, workers.size());
    LONGS_EQUAL(0, planner_.waitingJobs());
}

TEST(Planner, keepsPlannedAcceleratorsInUseUntilTheyExpire)
{
    addFleet(1);
    planner_.addJob(makeJob("first", 1, 8));
    planner_.addJob(makeJob("second", 1, 8));
    LONGS_EQUAL(1, places(10).size());
    planner_.updateWorker(at(1000), makeWorker(0));
    LONGS_EQUAL(0, places(1000).size());
    LONGS_EQUAL(1, places(3011).size());
}

TEST(Planner, freesAcceleratorsWhenAReportNoLongerShowsThePart)
{
    addFleet(1);
    planner_.addJob(makeJob("first", 1, 8));
    planner_.addJob(makeJob("second", 1, 8));
    LONGS_EQUAL(1, places(10).size());
    Worker busy = makeWorker(0);
    Part part;
    part.job = "first";
    part.account = "kothari-fit";
    part.accelerators = {0, 1, 2, 3, 4, 5, 6, 7};
    busy.parts.push_back(part);
    planner_.updateWorker(at(500), busy);
    LONGS_EQUAL(0, places(4000).size());
    planner_.updateWorker(at(5000), makeWorker(0));
    LONGS_EQUAL(1, places(5000).size());
}

TEST(Planner, freesAcceleratorsOfAJobThatIsRemovedOrAddedAgain)
{
    addFleet(1);
    planner_.addJob(makeJob("first", 1, 8));
    LONGS_EQUAL(1, places(10).size());
    planner_.removeJob("first");
    planner_.addJob(makeJob("second", 1, 8));
    LONGS_EQUAL(1, places(20).size());
    planner_.addJob(makeJob("second", 1, 8));
    LONGS_EQUAL(1, places(30).size());
}

TEST(Planner, honoursSlotsProcessorsAndMemory)
{
    struct Case
    {
        const char *name;
        Shape shape;
        std::size_t placed;
    };
    const Case cases[] = {
        {"slots", {1, 0, 1, 1, Adjacency::None}, 8},
        {"processors", {1, 1, 65, 1, Adjacency::None}, 2},
        {"memory", {1, 1, 1, 128000, Adjacency::None}, 2},
        {"accelerators", {1, 3, 1, 1, Adjacency::None}, 2},
    };
    for (const Case &row : cases) {
        Planner planner;
        planner.updateWorker(at(0), makeWorker(0));
        for (int number = 0; number < 10; ++number) {
            WaitingJob job = makeJob("j" + std::to_string(number));
            job.shape = row.shape;
            planner.addJob(job);
        }
        LONGS_EQUAL_TEXT(row.placed, only<Place>(planner.decide(at(10))).size(), row.name);
    }
}

TEST(Planner, refusesJobsThatTheFleetCanNeverHoldAfterTheSettleTime)
{
    planner_.addJob(makeJob("early", 100, 8));
    LONGS_EQUAL(0, planner_.decide(at(0)).size());
    addFleet(3);
    planner_.addJob(makeJob("wide", 1, 9));
    planner_.addJob(makeJob("rack", 4, 8, Adjacency::Rack));
    planner_.addJob(makeJob("whole", 3, 8, Adjacency::Rack));
    LONGS_EQUAL(0, only<Refuse>(planner_.decide(at(10))).size());
    LONGS_EQUAL(3, only<Refuse>(planner_.decide(at(2010))).size());
    CHECK_FALSE(planner_.canEverHold({1, 9, 0, 0, Adjacency::None}));
    CHECK(planner_.canEverHold({24, 1, 0, 0, Adjacency::None}));
}

TEST(Planner, placesNothingOnExcludedUnavailableOrAvoidedWorkers)
{
    addFleet(3);
    Worker leaving = makeWorker(0);
    leaving.available = false;
    planner_.updateWorker(at(0), leaving);
    Policy policy;
    policy.excludedWorkers = {"w1"};
    planner_.setPolicy(policy);
    WaitingJob job = makeJob("job");
    job.avoidWorkers = {"w2"};
    planner_.addJob(job);
    LONGS_EQUAL(0, places(10).size());
    planner_.setPolicy({});
    LONGS_EQUAL(1, places(20).size());
}
