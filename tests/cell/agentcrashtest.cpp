// What the agent reports as lost when its endpoint has crashed.

#include "cell/agentfixture.h"

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(AgentCrash, AgentFixture) {};

TEST(AgentCrash, runsAreLostWithAnEndpointThatCrashes)
{
    startRun(41);
    beginIncarnation(200);
    LONGS_EQUAL(1, lastReport().lost.size());
    LONGS_EQUAL(41, lastReport().lost[0].run.run);
    CHECK_FALSE(lastReport().lost[0].isSettled);
    CHECK_TRUE(lastReport().lost[0].wasRunning);
}

TEST(AgentCrash, runWithProgressHasSettled)
{
    startRun(41);
    listRun(3);
    beginIncarnation(200);
    LONGS_EQUAL(1, lastReport().lost.size());
    CHECK_TRUE(lastReport().lost[0].isSettled);
}

/// Guards against LOST: a start that was never carried out counted as a crash. The endpoint may also have crashed before it answered, so it is reported once
/// the next incarnation has refused the start.
TEST(AgentCrash, runOfAnUnansweredStartMayHaveBeenLost)
{
    agent->receive(schedulerName, orderOf(41));
    failOneStart(EndpointError::Kind::Unanswered);
    beginIncarnation(200);
    LONGS_EQUAL(1, stops.size());
    stops.back().callback(Milliseconds(5));
    answerRenewals(200);
    LONGS_EQUAL(1, lastReport().lost.size());
    CHECK_FALSE(lastReport().lost[0].wasRunning);
}

/// Guards against LOST: a start that was sent to the endpoint that had crashed, and carried out by the one that followed it under the same id, counted as a
/// crash.
TEST(AgentCrash, startCarriedOutByTheNextIncarnationIsNotLost)
{
    agent->endpointReported(statusOf(200));
    startRun(41);
    answerOneRenewal(200);
    LONGS_EQUAL(200, lastReport().born);
    CHECK(lastReport().lost.empty());
    answerRenewalsWithLists({{runIdOf(orderOf(41).run), "", 0, 0}}, {}, 200);
    LONGS_EQUAL(1, lastReport().running.size());
    CHECK(lastReport().lost.empty());
}

/// As above, for an answer that only the lists after the first ones of the next incarnation decide.
TEST(AgentCrash, answeredStartThatTheNextIncarnationDoesNotListIsLost)
{
    agent->endpointReported(statusOf(200));
    startRun(41);
    answerOneRenewal(200);
    CHECK(lastReport().lost.empty());
    answerRenewalsWithLists({}, {}, 200);
    LONGS_EQUAL(1, lastReport().lost.size());
    CHECK_TRUE(lastReport().lost[0].wasRunning);
}

TEST(AgentCrash, runWasThereUntilTheCrashClosedItsConnections)
{
    startRun(41);
    listRun(0);
    crashEndpoint(10);
    beginIncarnation(200);
    LONGS_EQUAL(1, lastReport().lost.size());
    CHECK_TRUE(lastReport().lost[0].wasRunning);
}

/// Guards against LOST: a run whose end was not read before a later crash was counted for it.
TEST(AgentCrash, runMayHaveEndedWhileRenewalsTimedOut)
{
    startRun(41);
    listRun(0);
    now += Milliseconds(400);
    agent->tick();
    failRenewals(EndpointError::Kind::Unanswered, true);
    beginIncarnation(200);
    LONGS_EQUAL(1, lastReport().lost.size());
    CHECK_FALSE(lastReport().lost[0].wasRunning);
}

/// Guards against LOST, as above: the endpoint went on after the first connection had broken.
TEST(AgentCrash, runMayHaveEndedWhileConnectionsBrokeOneAfterAnother)
{
    startRun(41);
    listRun(0);
    for (int i = 0; i < 2; ++i) {
        now += Milliseconds(300);
        agent->tick();
        failRenewals(EndpointError::Kind::Unanswered);
    }
    beginIncarnation(200);
    CHECK_FALSE(lastReport().lost[0].wasRunning);
}

/// Guards against LOST, as above.
TEST(AgentCrash, runThatWasBeingStoppedMayHaveEnded)
{
    startRun(41);
    listRun(0);
    agent->receive(schedulerName, stopOf(41));
    beginIncarnation(200);
    CHECK_FALSE(lastReport().lost[0].wasRunning);
}

/// Guards against LOST, as above.
TEST(AgentCrash, runMayHaveEndedWhileTheAgentStoodStill)
{
    startRun(41);
    listRun(0);
    now += Seconds(5);
    beginIncarnation(200);
    CHECK_FALSE(lastReport().lost[0].wasRunning);
}

/// Guards against LOST: a run that never began was counted as a crash.
TEST(AgentCrash, refusedStartIsNotLost)
{
    agent->receive(schedulerName, orderOf(41));
    failOneStart(EndpointError::Kind::Refused);
    beginIncarnation(200);
    CHECK(lastReport().lost.empty());
}

/// Guards against LOST: a run that had ended was counted as a crash.
TEST(AgentCrash, runWhoseEndIsListedIsNotLost)
{
    startRun(41);
    listRun(50);
    now += Milliseconds(500);
    agent->tick();
    answerRenewalsWithEnds({{1, runIdOf(orderOf(41).run), RunOutcome::Done, ""}});
    beginIncarnation(200);
    CHECK(lastReport().lost.empty());
}

TEST(AgentCrash, endOfADrainingEndpointIsNoCrash)
{
    startAndDrain(Seconds(2));
    beginIncarnation(200);
    CHECK(lastReport().lost.empty());
}

TEST(AgentCrash, lossesAreReportedForAWhileAndToEachScheduler)
{
    startRun(41);
    beginIncarnation(200);
    announceNextScheduler();
    LONGS_EQUAL(1, lastReport().lost.size());
    now += Seconds(120);
    answerRenewals(200);
    agent->tick();
    answerRenewals(200);
    CHECK(lastReport().lost.empty());
}
