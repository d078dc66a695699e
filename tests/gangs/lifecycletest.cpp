// Endpoints that leave or stop announcing, agents that restart or drain, and preemption.

#include "gangs/simulation.h"

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

const wire::OutcomeReport &outcome(const Simulation &simulation, const AttemptKey &key)
{
    CHECK(!simulation.attempt(key).outcomes.empty());
    return simulation.attempt(key).outcomes.front();
}

void checkRefused(Simulation &simulation, wire::Reason::type reason)
{
    const AttemptKey key = simulation.submitOn({0, 1}, {{7}, {7}}, job("10"), lease);
    simulation.run(Milliseconds(150));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(simulation, key).outcome);
    LONGS_EQUAL(reason, outcome(simulation, key).reason);
}

Milliseconds runTime(const Simulation &simulation, const AttemptKey &key, int member)
{
    const Run *run = simulation.partRun(key, member);
    CHECK(run);
    return std::chrono::duration_cast<Milliseconds>(run->end - run->begin);
}

} // namespace

TEST_GROUP(Lifecycle) {};

TEST(Lifecycle, refusesHoldsOfALeavingEndpointAtOnce)
{
    Simulation simulation(21, 2, {});
    simulation.setEndpointReady(1, false);
    checkRefused(simulation, wire::Reason::EndpointLeaving);
    simulation.setEndpointReady(1, true);
    const AttemptKey key = simulation.submitOn({0, 1}, {{7}, {7}}, job("10"), lease);
    simulation.run(Milliseconds(150));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(simulation, key).outcome);
}

TEST(Lifecycle, refusesHoldsAfterTheAnnouncementHasExpired)
{
    Simulation simulation(22, 2, {});
    simulation.setAnnouncing(1, false);
    simulation.run(CoreOptions().endpointExpiry + Milliseconds(50));
    checkRefused(simulation, wire::Reason::EndpointLeaving);
}

TEST(Lifecycle, anAgentThatWasFrozenTakesNoWorkOnAnOldAnnouncement)
{
    Simulation simulation(23, 2, {});
    simulation.setAnnouncing(1, false);
    simulation.freeze(1, Milliseconds(6000));
    const AttemptKey key = simulation.submitOn({0, 1}, {{7}, {7}}, job("10"), lease);
    simulation.run(Milliseconds(9000));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(simulation, key).outcome);
    LONGS_EQUAL(0, simulation.startedParts());
}

TEST(Lifecycle, anArmedPartDoesNotStartOnAnEndpointThatHasLeftMeanwhile)
{
    Faults faults;
    Simulation simulation(24, 2, faults);
    const AttemptKey key = simulation.submitOn({0, 1}, {{0}, {0}}, job("10", false), lease);
    simulation.run(Milliseconds(8));
    faults.logDelay = Milliseconds(9000);
    simulation.setFaults(faults);
    simulation.run(Milliseconds(50));
    CHECK(simulation.core(1).member().hasParts());
    simulation.setEndpointReady(1, false);
    simulation.run(Milliseconds(30000));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(simulation, key).outcome);
    LONGS_EQUAL(0, simulation.startedParts());
}

TEST(Lifecycle, aRestartedMemberAdoptsItsPartAndTheGangCompletes)
{
    Simulation simulation(25, 3, {});
    const AttemptKey key = simulation.submitOn({0, 1, 2}, {{0}, {0}, {0}}, job("8000"), lease);
    simulation.run(Milliseconds(2000));
    simulation.kill(1, Milliseconds(400));
    simulation.run(Milliseconds(9000));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(simulation, key).outcome);
    LONGS_EQUAL(0, simulation.violations().size());
}

TEST(Lifecycle, aPartThatEndedWhileItsMemberWasDownIsReportedAfterTheRestart)
{
    Simulation simulation(26, 2, {});
    const AttemptKey key = simulation.submitOn({0, 1}, {{0}, {0}}, job("2000"), lease);
    simulation.run(Milliseconds(1900));
    simulation.kill(1, Milliseconds(500));
    simulation.run(Milliseconds(3000));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(simulation, key).outcome);
    LONGS_EQUAL(0, simulation.violations().size());
}

TEST(Lifecycle, aRestartedAgentStopsPartsWithoutALeadBeforeItsAcceleratorsAreUsedAgain)
{
    Simulation simulation(27, 2, {});
    const AttemptKey lost = simulation.submitOn({0}, {{0}}, job("60000"), lease);
    simulation.run(Milliseconds(500));
    simulation.kill(0, Milliseconds(100));
    simulation.run(Milliseconds(200));
    const AttemptKey refused = simulation.submitOn({0}, {{0}}, job("10"), lease);
    simulation.run(Milliseconds(4500));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(simulation, refused).outcome);
    CHECK(runTime(simulation, lost, 0) <= lease + Milliseconds(600));
    CHECK(!simulation.attempt(lost).reportedNeverStarted);
    const AttemptKey next = simulation.submitOn({0}, {{0}}, job("10"), lease);
    simulation.run(Milliseconds(200));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(simulation, next).outcome);
    LONGS_EQUAL(0, simulation.violations().size());
}

TEST(Lifecycle, aRestartedAgentReleasesArmedPartsAtOnce)
{
    Faults faults;
    Simulation simulation(28, 2, faults);
    faults.logDelay = Milliseconds(20000);
    simulation.submitOn({0, 1}, {{0}, {0}}, job("10", false), lease);
    simulation.run(Milliseconds(8));
    simulation.setFaults(faults);
    simulation.run(Milliseconds(40));
    LONGS_EQUAL(1, simulation.worker(1).leases.size());
    simulation.kill(1, Milliseconds(100));
    simulation.run(Milliseconds(200));
    LONGS_EQUAL(0, simulation.worker(1).leases.size());
    CHECK(simulation.core(1).member().isAvailable(simulation.now()));
}

TEST(Lifecycle, aDrainingLeadFinishesRunningGangsAndRefusesNewOnes)
{
    Simulation simulation(29, 2, {});
    const AttemptKey running = simulation.submitOn({0, 1}, {{0}, {0}}, job("3000"), lease);
    simulation.run(Milliseconds(500));
    simulation.drain(0);
    simulation.drain(0);
    const AttemptKey late = simulation.submitOn({0}, {{1}}, job("10"), lease);
    const AttemptKey member = simulation.submitOn({1, 0}, {{2}, {2}}, job("10"), lease);
    simulation.run(Milliseconds(200));
    CHECK(!simulation.core(0).isDrained());
    LONGS_EQUAL(wire::Reason::Draining, outcome(simulation, late).reason);
    LONGS_EQUAL(wire::Reason::Draining, outcome(simulation, member).reason);
    simulation.run(Milliseconds(3500));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(simulation, running).outcome);
    CHECK(simulation.core(0).isDrained());
}

TEST(Lifecycle, anArmedPartStillGoesWhenItsMemberDrains)
{
    Simulation simulation(30, 2, {});
    bool drained = false;
    simulation.interceptMessage = [&simulation, &drained](const std::string &, const std::string &, const PeerMessage &message) {
        if (std::holds_alternative<wire::GoRequest>(message) && !drained) {
            drained = true;
            simulation.drain(1);
        }
        return Simulation::Delivery {};
    };
    const AttemptKey key = simulation.submitOn({0, 1}, {{0}, {0}}, job("1000", false), lease);
    simulation.run(Milliseconds(2000));
    CHECK(drained);
    LONGS_EQUAL(wire::Outcome::Completed, outcome(simulation, key).outcome);
    CHECK(simulation.core(1).isDrained());
}

TEST(Lifecycle, stoppingAllAtTheDrainLimitIsReported)
{
    Simulation simulation(31, 2, {});
    const AttemptKey key = simulation.submitOn({0, 1}, {{0}, {0}}, job("60000"), lease);
    simulation.run(Milliseconds(500));
    simulation.drain(1);
    simulation.stopAll(1);
    simulation.run(Milliseconds(500));
    LONGS_EQUAL(wire::Outcome::Failed, outcome(simulation, key).outcome);
    LONGS_EQUAL(wire::Reason::Draining, outcome(simulation, key).reason);
    CHECK(simulation.core(1).isDrained());
    CHECK(simulation.longestIncompleteRun() < Milliseconds(100));
}

TEST(Lifecycle, preemptsAtOnceWithoutACheckpointAndWithinTheGracePeriodWithOne)
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
        Simulation simulation(32, 2, {});
        simulation.worker(0).writesCheckpoints = each.writes;
        simulation.worker(1).writesCheckpoints = each.writes;
        const AttemptKey key = simulation.submitOn({0, 1}, {{0}, {0}}, job("60000", true, each.checkpointable), lease);
        simulation.run(Milliseconds(1000));
        simulation.endAttempt(key, wire::StopReason::Preempted, Milliseconds(1500));
        simulation.run(Milliseconds(2500));
        LONGS_EQUAL(wire::Reason::Preempted, outcome(simulation, key).reason);
        CHECK(runTime(simulation, key, 0) >= each.shortest);
        CHECK(runTime(simulation, key, 0) <= each.longest);
        LONGS_EQUAL(each.checkpointable && each.writes ? 1 : 0, simulation.worker(0).checkpoints);
        CHECK(!simulation.core(0).isBusy() && !simulation.core(1).isBusy());
    }
}

TEST(Lifecycle, aGracePeriodLongerThanTheLeaseIsGrantedInFullAndEnds)
{
    Simulation simulation(35, 2, {});
    simulation.worker(0).writesCheckpoints = false;
    simulation.worker(1).writesCheckpoints = false;
    const AttemptKey key = simulation.submitOn({0, 1}, {{0}, {0}}, job("60000", true, true), lease);
    simulation.run(Milliseconds(1000));
    simulation.endAttempt(key, wire::StopReason::Preempted, Milliseconds(6000));
    simulation.run(Milliseconds(8000));
    CHECK(runTime(simulation, key, 0) >= Milliseconds(6900));
    CHECK(runTime(simulation, key, 0) <= Milliseconds(7200));
}

TEST(Lifecycle, neverPreemptsAJobThatIsNeitherRepeatableNorCheckpointable)
{
    Simulation simulation(33, 1, {});
    const AttemptKey key = simulation.submitOn({0}, {{0}}, job("2000", false), lease);
    simulation.run(Milliseconds(500));
    simulation.endAttempt(key, wire::StopReason::Preempted, Milliseconds(500));
    simulation.run(Milliseconds(2500));
    LONGS_EQUAL(wire::Outcome::Completed, outcome(simulation, key).outcome);
}

TEST(Lifecycle, refusesABorrowedHoldForAJobThatCannotBePreempted)
{
    Simulation simulation(34, 1, {});
    const AttemptKey refused = simulation.submitOn({0}, {{0}}, job("10", false), lease, true);
    const AttemptKey granted = simulation.submitOn({0}, {{1}}, job("10", true), lease, true);
    simulation.run(Milliseconds(300));
    LONGS_EQUAL(wire::Outcome::NotRun, outcome(simulation, refused).outcome);
    LONGS_EQUAL(wire::Reason::Reserved, outcome(simulation, refused).reason);
    LONGS_EQUAL(wire::Outcome::Completed, outcome(simulation, granted).outcome);
}
