// Attempts without process or network faults: small jobs, gangs, refusals, cancellation, and start records of jobs that are not repeatable.

#include "gangs/simulation.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::gangs;
using namespace knapweed::gangs::test;

namespace
{

wire::Outcome::type outcomeOf(const Simulation &simulation, const AttemptKey &key)
{
    const HomeAttempt &attempt = simulation.attempt(key);
    CHECK(!attempt.outcomes.empty());
    return attempt.outcomes.front().outcome;
}

wire::JobSpec spec(const std::string &input, bool repeatable = true)
{
    wire::JobSpec spec;
    spec.repeatable = repeatable;
    spec.input = input;
    return spec;
}

} // namespace

TEST_GROUP(Gang) {};

TEST(Gang, runsASmallJobWithoutPeerMessages)
{
    Simulation simulation(1, 1, {});
    const AttemptKey key = simulation.submit(1, 1, true, "0");
    simulation.run(Milliseconds(60));
    LONGS_EQUAL(wire::Outcome::Completed, outcomeOf(simulation, key));
    LONGS_EQUAL(0, simulation.violations().size());
}

TEST(Gang, runsAllPartsOfAGang)
{
    Simulation simulation(2, 4, {});
    const AttemptKey key = simulation.submitOn({0, 1, 2, 3}, {{0, 1}, {2}, {3}, {4}}, spec("7000"), Milliseconds(3000));
    simulation.run(Milliseconds(8000));
    LONGS_EQUAL(wire::Outcome::Completed, outcomeOf(simulation, key));
    LONGS_EQUAL(4, simulation.attempt(key).outcomes.front().parts.size());
    LONGS_EQUAL(0, simulation.violations().size());
}

TEST(Gang, runsTwoPartsOnOneAgent)
{
    Simulation simulation(3, 1, {});
    const AttemptKey key = simulation.submitOn({0, 0}, {{0}, {1}}, spec("100"), Milliseconds(3000));
    simulation.run(Milliseconds(400));
    LONGS_EQUAL(wire::Outcome::Completed, outcomeOf(simulation, key));
}

TEST(Gang, releasesEveryHoldWhenOneIsRefused)
{
    Simulation simulation(4, 2, {});
    simulation.submitOn({1}, {{0}}, spec("5000"), Milliseconds(3000));
    simulation.run(Milliseconds(100));
    const AttemptKey refused = simulation.submitOn({0, 1}, {{0}, {0}}, spec("10"), Milliseconds(3000));
    simulation.run(Milliseconds(300));
    LONGS_EQUAL(wire::Outcome::NotRun, outcomeOf(simulation, refused));
    CHECK(!simulation.core(0).member().hasParts());
}

TEST(Gang, runsANotRepeatableJobAfterItsStartRecord)
{
    Simulation simulation(5, 2, {});
    const AttemptKey key = simulation.submitOn({0, 1}, {{0}, {0}}, spec("100", false), Milliseconds(3000));
    simulation.run(Milliseconds(600));
    LONGS_EQUAL(wire::Outcome::Completed, outcomeOf(simulation, key));
}

TEST(Gang, neverGoesAfterAnAbandonRecord)
{
    Faults faults;
    faults.logDelay = Milliseconds(300);
    faults.lostLogAnswer = 1000;
    Simulation simulation(6, 2, faults);
    const AttemptKey key = simulation.submitOn({0, 1}, {{0}, {0}}, spec("100", false), Milliseconds(3000));
    simulation.abandon(key);
    simulation.run(Milliseconds(3000));
    LONGS_EQUAL(wire::Outcome::NotRun, outcomeOf(simulation, key));
    LONGS_EQUAL(0, simulation.startedParts());
}

TEST(Gang, stopsAllWhenOnePartFails)
{
    Simulation simulation(7, 3, {});
    simulation.worker(2).failsTasks = true;
    const AttemptKey key = simulation.submitOn({0, 1, 2}, {{0}, {0}, {0}}, spec("60000"), Milliseconds(3000));
    simulation.run(Milliseconds(500));
    LONGS_EQUAL(wire::Outcome::Failed, outcomeOf(simulation, key));
    LONGS_EQUAL(wire::Reason::WorkerFailed, simulation.attempt(key).outcomes.front().reason);
    CHECK(simulation.longestIncompleteRun() < Milliseconds(100));
}

TEST(Gang, cancelsBeforeAndAfterGo)
{
    Simulation simulation(8, 2, {});
    const AttemptKey running = simulation.submitOn({0, 1}, {{0}, {0}}, spec("60000"), Milliseconds(3000));
    simulation.run(Milliseconds(200));
    const AttemptKey waiting = simulation.submitOn({0, 1}, {{1}, {1}}, spec("60000", false), Milliseconds(3000));
    simulation.endAttempt(waiting, wire::StopReason::Cancelled, Milliseconds(0));
    simulation.endAttempt(running, wire::StopReason::Cancelled, Milliseconds(0));
    simulation.run(Milliseconds(500));
    LONGS_EQUAL(wire::Outcome::Cancelled, outcomeOf(simulation, running));
    CHECK(simulation.attempt(waiting).reportedNeverStarted || outcomeOf(simulation, waiting) == wire::Outcome::Cancelled);
    CHECK(!simulation.core(0).member().hasParts());
}
