// Endpoints that leave or lapse, agents that restart or drain, and preemption.

#include "gangs/world.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::gangs;
using namespace knapweed::gangs::test;

namespace
{

constexpr Milliseconds lease {3000};

wire::JobSpec job(const std::string &input, bool repeatable = true, bool checkpointable = false)
{
    wire::JobSpec spec;
    spec.repeatable = repeatable;
    spec.checkpointable = checkpointable;
    spec.input = input;
    return spec;
}

const wire::OutcomeReport &outcome(const World &world, const AttemptKey &key)
{
    CHECK(!world.attempt(key).outcomes.empty());
    return world.attempt(key).outcomes.front();
}

void checkRefused(World &world, wire::Reason::type reason)
{
    const AttemptKey key = world.submitOn({0, 1}, {{7}, {7}}, job("10"), lease);
    world.run(Milliseconds(150));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(world, key).outcome);
    LONGS_EQUAL(reason, outcome(world, key).reason);
}

Milliseconds runTime(const World &world, const AttemptKey &key, int member)
{
    const Run *run = world.partRun(key, member);
    CHECK(run);
    return std::chrono::duration_cast<Milliseconds>(run->end - run->begin);
}

} // namespace

TEST_GROUP(Lifecycle) {};

TEST(Lifecycle, refusesHoldsOfALeavingEndpointAtOnce)
{
    World world(21, 2, {});
    world.setEndpointReady(1, false);
    checkRefused(world, wire::Reason::EndpointLeaving);
    world.setEndpointReady(1, true);
    const AttemptKey key = world.submitOn({0, 1}, {{7}, {7}}, job("10"), lease);
    world.run(Milliseconds(150));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(world, key).outcome);
}

TEST(Lifecycle, refusesHoldsOnceTheAnnouncementHasLapsed)
{
    World world(22, 2, {});
    world.setAnnouncing(1, false);
    world.run(CoreOptions().endpointExpiry + Milliseconds(50));
    checkRefused(world, wire::Reason::EndpointLeaving);
}

TEST(Lifecycle, anAgentThatWasFrozenTakesNoWorkOnAnOldAnnouncement)
{
    World world(23, 2, {});
    world.setAnnouncing(1, false);
    world.freeze(1, Milliseconds(6000));
    const AttemptKey key = world.submitOn({0, 1}, {{7}, {7}}, job("10"), lease);
    world.run(Milliseconds(9000));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(world, key).outcome);
    LONGS_EQUAL(0, world.startedParts());
}

TEST(Lifecycle, anArmedPartDoesNotStartOnAnEndpointThatHasLeftMeanwhile)
{
    Faults faults;
    World world(24, 2, faults);
    const AttemptKey key = world.submitOn({0, 1}, {{0}, {0}}, job("10", false), lease);
    world.run(Milliseconds(8));
    faults.logDelay = Milliseconds(9000);
    world.setFaults(faults);
    world.run(Milliseconds(50));
    CHECK(world.core(1).member().hasParts());
    world.setEndpointReady(1, false);
    world.run(Milliseconds(30000));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(world, key).outcome);
    LONGS_EQUAL(0, world.startedParts());
}

TEST(Lifecycle, aRestartedMemberAdoptsItsPartAndTheGangCompletes)
{
    World world(25, 3, {});
    const AttemptKey key = world.submitOn({0, 1, 2}, {{0}, {0}, {0}}, job("8000"), lease);
    world.run(Milliseconds(2000));
    world.kill(1, Milliseconds(400));
    world.run(Milliseconds(9000));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(world, key).outcome);
    LONGS_EQUAL(0, world.violations().size());
}

TEST(Lifecycle, aPartThatEndedWhileItsMemberWasDownIsReportedAfterTheRestart)
{
    World world(26, 2, {});
    const AttemptKey key = world.submitOn({0, 1}, {{0}, {0}}, job("2000"), lease);
    world.run(Milliseconds(1900));
    world.kill(1, Milliseconds(500));
    world.run(Milliseconds(3000));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(world, key).outcome);
    LONGS_EQUAL(0, world.violations().size());
}

TEST(Lifecycle, aRestartedAgentStopsWhatNobodyLeadsBeforeItsAcceleratorsAreUsedAgain)
{
    World world(27, 2, {});
    const AttemptKey lost = world.submitOn({0}, {{0}}, job("60000"), lease);
    world.run(Milliseconds(500));
    world.kill(0, Milliseconds(100));
    world.run(Milliseconds(200));
    const AttemptKey refused = world.submitOn({0}, {{0}}, job("10"), lease);
    world.run(Milliseconds(4500));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(world, refused).outcome);
    CHECK(runTime(world, lost, 0) <= lease + Milliseconds(600));
    CHECK(!world.attempt(lost).neverStartedSaid);
    const AttemptKey next = world.submitOn({0}, {{0}}, job("10"), lease);
    world.run(Milliseconds(200));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(world, next).outcome);
    LONGS_EQUAL(0, world.violations().size());
}

TEST(Lifecycle, aRestartedAgentReleasesWhatWasArmedAtOnce)
{
    Faults faults;
    World world(28, 2, faults);
    faults.logDelay = Milliseconds(20000);
    world.submitOn({0, 1}, {{0}, {0}}, job("10", false), lease);
    world.run(Milliseconds(8));
    world.setFaults(faults);
    world.run(Milliseconds(40));
    LONGS_EQUAL(1, world.worker(1).leases.size());
    world.kill(1, Milliseconds(100));
    world.run(Milliseconds(200));
    LONGS_EQUAL(0, world.worker(1).leases.size());
    CHECK(world.core(1).member().isAvailable(world.now()));
}

TEST(Lifecycle, aDrainingLeadFinishesWhatRunsAndRefusesTheRest)
{
    World world(29, 2, {});
    const AttemptKey running = world.submitOn({0, 1}, {{0}, {0}}, job("3000"), lease);
    world.run(Milliseconds(500));
    world.drain(0);
    world.drain(0);
    const AttemptKey late = world.submitOn({0}, {{1}}, job("10"), lease);
    const AttemptKey member = world.submitOn({1, 0}, {{2}, {2}}, job("10"), lease);
    world.run(Milliseconds(200));
    CHECK(!world.core(0).isDrained());
    LONGS_EQUAL(wire::Reason::Draining, outcome(world, late).reason);
    LONGS_EQUAL(wire::Reason::Draining, outcome(world, member).reason);
    world.run(Milliseconds(3500));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(world, running).outcome);
    CHECK(world.core(0).isDrained());
}

TEST(Lifecycle, anArmedPartStillGoesWhenItsMemberDrains)
{
    World world(30, 2, {});
    bool drained = false;
    world.passage = [&world, &drained](const std::string &, const std::string &, const PeerMessage &message) {
        if (std::holds_alternative<wire::GoRequest>(message) && !drained) {
            drained = true;
            world.drain(1);
        }
        return World::Passage {};
    };
    const AttemptKey key = world.submitOn({0, 1}, {{0}, {0}}, job("1000", false), lease);
    world.run(Milliseconds(2000));
    CHECK(drained);
    LONGS_EQUAL(wire::Outcome::Completed, outcome(world, key).outcome);
    CHECK(world.core(1).isDrained());
}

TEST(Lifecycle, stoppingAllAtTheDrainLimitIsReported)
{
    World world(31, 2, {});
    const AttemptKey key = world.submitOn({0, 1}, {{0}, {0}}, job("60000"), lease);
    world.run(Milliseconds(500));
    world.drain(1);
    world.stopAll(1);
    world.run(Milliseconds(500));
    LONGS_EQUAL(wire::Outcome::Failed, outcome(world, key).outcome);
    LONGS_EQUAL(wire::Reason::Draining, outcome(world, key).reason);
    CHECK(world.core(1).isDrained());
    CHECK(world.longestAlone() < Milliseconds(100));
}

TEST(Lifecycle, preemptsAtOnceWithoutACheckpointAndWithinTheGraceWithOne)
{
    struct Case
    {
        bool checkpointable;
        bool writes;
        Milliseconds shortest;
        Milliseconds longest;
    };
    const Case cases[] = {
        {false, true, Milliseconds(900), Milliseconds(1100)},
        {true, true, Milliseconds(900), Milliseconds(1100)},
        {true, false, Milliseconds(2400), Milliseconds(2700)},
    };
    for (const Case &each : cases) {
        World world(32, 2, {});
        world.worker(0).writesCheckpoints = each.writes;
        world.worker(1).writesCheckpoints = each.writes;
        const AttemptKey key = world.submitOn({0, 1}, {{0}, {0}}, job("60000", true, each.checkpointable), lease);
        world.run(Milliseconds(1000));
        world.endAttempt(key, wire::StopReason::Preempted, Milliseconds(1500));
        world.run(Milliseconds(2500));
        LONGS_EQUAL(wire::Reason::Preempted, outcome(world, key).reason);
        CHECK(runTime(world, key, 0) >= each.shortest);
        CHECK(runTime(world, key, 0) <= each.longest);
        LONGS_EQUAL(each.checkpointable && each.writes ? 1 : 0, world.worker(0).checkpoints);
        CHECK(!world.core(0).isBusy() && !world.core(1).isBusy());
    }
}

TEST(Lifecycle, aGraceLongerThanTheLeaseIsGivenWholeAndEnds)
{
    World world(35, 2, {});
    world.worker(0).writesCheckpoints = false;
    world.worker(1).writesCheckpoints = false;
    const AttemptKey key = world.submitOn({0, 1}, {{0}, {0}}, job("60000", true, true), lease);
    world.run(Milliseconds(1000));
    world.endAttempt(key, wire::StopReason::Preempted, Milliseconds(6000));
    world.run(Milliseconds(8000));
    CHECK(runTime(world, key, 0) >= Milliseconds(6900));
    CHECK(runTime(world, key, 0) <= Milliseconds(7200));
}

TEST(Lifecycle, neverPreemptsWhatCanNeitherBeRepeatedNorGoOn)
{
    World world(33, 1, {});
    const AttemptKey key = world.submitOn({0}, {{0}}, job("2000", false), lease);
    world.run(Milliseconds(500));
    world.endAttempt(key, wire::StopReason::Preempted, Milliseconds(500));
    world.run(Milliseconds(2500));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(world, key).outcome);
}

TEST(Lifecycle, refusesABorrowedHoldForWhatCanNeverBePreempted)
{
    World world(34, 1, {});
    const AttemptKey refused = world.submitOn({0}, {{0}}, job("10", false), lease, true);
    const AttemptKey granted = world.submitOn({0}, {{1}}, job("10", true), lease, true);
    world.run(Milliseconds(300));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(world, refused).outcome);
    LONGS_EQUAL(wire::Reason::Reserved, outcome(world, refused).reason);
    LONGS_EQUAL(wire::Outcome::Completed, outcome(world, granted).outcome);
}
