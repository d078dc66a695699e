// The normal course of attempts: small jobs, gangs, refusals, cancellation, and the log's word on not repeatable jobs.

#include "gangs/world.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::gangs;
using namespace knapweed::gangs::test;

namespace
{

wire::Outcome::type outcomeOf(const World &world, const AttemptKey &key)
{
    const HomeAttempt &attempt = world.attempt(key);
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
    World world(1, 1, {});
    const AttemptKey key = world.submit(1, 1, true, "0");
    world.run(Milliseconds(60));
    LONGS_EQUAL(wire::Outcome::Completed, outcomeOf(world, key));
    LONGS_EQUAL(0, world.violations().size());
}

TEST(Gang, runsAllPartsOfAGang)
{
    World world(2, 4, {});
    const AttemptKey key = world.submitOn({0, 1, 2, 3}, {{0, 1}, {2}, {3}, {4}}, spec("7000"), Milliseconds(3000));
    world.run(Milliseconds(8000));
    LONGS_EQUAL(wire::Outcome::Completed, outcomeOf(world, key));
    LONGS_EQUAL(4, world.attempt(key).outcomes.front().parts.size());
    LONGS_EQUAL(0, world.violations().size());
}

TEST(Gang, runsTwoPartsOnOneAgent)
{
    World world(3, 1, {});
    const AttemptKey key = world.submitOn({0, 0}, {{0}, {1}}, spec("100"), Milliseconds(3000));
    world.run(Milliseconds(400));
    LONGS_EQUAL(wire::Outcome::Completed, outcomeOf(world, key));
}

TEST(Gang, releasesEveryHoldWhenOneIsRefused)
{
    World world(4, 2, {});
    world.submitOn({1}, {{0}}, spec("5000"), Milliseconds(3000));
    world.run(Milliseconds(100));
    const AttemptKey refused = world.submitOn({0, 1}, {{0}, {0}}, spec("10"), Milliseconds(3000));
    world.run(Milliseconds(300));
    LONGS_EQUAL(wire::Outcome::NotRun, outcomeOf(world, refused));
    CHECK(!world.core(0).member().hasParts());
}

TEST(Gang, runsANotRepeatableJobOnceTheLogSaysSo)
{
    World world(5, 2, {});
    const AttemptKey key = world.submitOn({0, 1}, {{0}, {0}}, spec("100", false), Milliseconds(3000));
    world.run(Milliseconds(600));
    LONGS_EQUAL(wire::Outcome::Completed, outcomeOf(world, key));
}

TEST(Gang, neverGoesAfterAnAbandonRecord)
{
    Faults faults;
    faults.logDelay = Milliseconds(300);
    faults.lostLogAnswer = 1000;
    World world(6, 2, faults);
    const AttemptKey key = world.submitOn({0, 1}, {{0}, {0}}, spec("100", false), Milliseconds(3000));
    world.abandon(key);
    world.run(Milliseconds(3000));
    LONGS_EQUAL(wire::Outcome::NotRun, outcomeOf(world, key));
    LONGS_EQUAL(0, world.startedParts());
}

TEST(Gang, stopsAllWhenOnePartFails)
{
    World world(7, 3, {});
    world.worker(2).failsTasks = true;
    const AttemptKey key = world.submitOn({0, 1, 2}, {{0}, {0}, {0}}, spec("60000"), Milliseconds(3000));
    world.run(Milliseconds(500));
    LONGS_EQUAL(wire::Outcome::Failed, outcomeOf(world, key));
    LONGS_EQUAL(wire::Reason::WorkerFailed, world.attempt(key).outcomes.front().reason);
    CHECK(world.longestAlone() < Milliseconds(100));
}

TEST(Gang, cancelsBeforeAndAfterGo)
{
    World world(8, 2, {});
    const AttemptKey running = world.submitOn({0, 1}, {{0}, {0}}, spec("60000"), Milliseconds(3000));
    world.run(Milliseconds(200));
    const AttemptKey waiting = world.submitOn({0, 1}, {{1}, {1}}, spec("60000", false), Milliseconds(3000));
    world.endAttempt(waiting, wire::StopReason::Cancelled, Milliseconds(0));
    world.endAttempt(running, wire::StopReason::Cancelled, Milliseconds(0));
    world.run(Milliseconds(500));
    LONGS_EQUAL(wire::Outcome::Cancelled, outcomeOf(world, running));
    CHECK(world.attempt(waiting).neverStartedSaid || outcomeOf(world, waiting) == wire::Outcome::Cancelled);
    CHECK(!world.core(0).member().hasParts());
}
