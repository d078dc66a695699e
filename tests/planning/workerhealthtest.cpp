// Quarantine, probes, and the distinction between a failing job and a failing worker.

#include "planning/workerhealth.h"

#include "planning/fleet.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::planning;

TEST_GROUP(WorkerHealth)
{
    WorkerHealth health_;
};

TEST(WorkerHealth, quarantinesAWorkerThatFailsEveryTaskAndProbesIt)
{
    health_.update(at(0), "bad", {3, 3, 0});
    LONGS_EQUAL(1, health_.review(at(0), 11).size());
    CHECK(health_.health("bad") == Health::Quarantined);
    health_.review(at(9999), 11);
    CHECK(health_.health("bad") == Health::Quarantined);
    health_.review(at(10000), 11);
    CHECK(health_.health("bad") == Health::Probing);
    health_.update(at(11000), "bad", {4, 4, 0});
    CHECK(health_.health("bad") == Health::Quarantined);
    health_.review(at(30999), 11);
    CHECK(health_.health("bad") == Health::Quarantined);
    health_.review(at(31000), 11);
    CHECK(health_.health("bad") == Health::Probing);
    health_.update(at(32000), "bad", {5, 4, 0});
    CHECK(health_.health("bad") == Health::Good);
}

TEST(WorkerHealth, aSuccessBetweenFailuresClearsTheWorker)
{
    health_.update(at(0), "worker", {3, 2, 0});
    health_.update(at(1), "worker", {4, 3, 0});
    health_.update(at(2), "worker", {6, 4, 0});
    LONGS_EQUAL(0, health_.review(at(3), 11).size());
}

TEST(WorkerHealth, aJobThatFailsOnSeveralWorkersIsNotCountedAgainstThem)
{
    for (int job = 0; job < 10; ++job) {
        std::vector<std::string> failedOn;
        for (int worker = 0; worker < 5; ++worker) {
            const std::string id = "w" + std::to_string(worker);
            health_.update(at(job), id, {job + 1, job + 1, 0});
            failedOn.push_back(id);
            health_.recordFailures("j" + std::to_string(job), failedOn);
        }
    }
    LONGS_EQUAL(0, health_.review(at(100), 11).size());
}

TEST(WorkerHealth, limitsTheShareOfWorkersOutOfService)
{
    for (int worker = 0; worker < 11; ++worker) {
        health_.update(at(0), "w" + std::to_string(worker), {10, 10, 0});
    }
    health_.review(at(0), 11);
    LONGS_EQUAL(2, health_.outOfService());
    LONGS_EQUAL(0, quarantineLimit(2));
    LONGS_EQUAL(1, quarantineLimit(3));
    LONGS_EQUAL(1680, quarantineLimit(8400));
}

TEST(WorkerHealth, thePlannerPlacesOnlyOneProbeOnAQuarantinedWorker)
{
    Planner planner;
    for (int number = 0; number < 3; ++number) {
        Worker worker = makeWorker(number);
        worker.startedTasks = 3;
        worker.failedTasks = number == 0 ? 3 : 0;
        planner.updateWorker(at(0), worker);
    }
    for (int number = 0; number < 30; ++number) {
        planner.addJob(makeJob("j" + std::to_string(number)));
    }
    const std::vector<Place> placed = only<Place>(planner.decide(at(100)));
    LONGS_EQUAL(16, placed.size());
    for (const Place &place : placed) {
        CHECK(place.members[0].worker != "w0");
    }
    for (const Place &place : placed) {
        planner.addJob(makeJob(place.job));
    }
    int onProbed = 0;
    for (const Place &place : only<Place>(planner.decide(at(10100)))) {
        onProbed += place.members[0].worker == "w0" ? 1 : 0;
    }
    LONGS_EQUAL(1, onProbed);
}
