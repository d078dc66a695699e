// What the agent reports as lost when its endpoint has crashed.

#include "cell/agentfixture.h"

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(AgentCrash, AgentFixture)
{
    ListedRun listed {runIdOf(orderOf(41).run), "", 0, 0};

    void listRun(int percent)
    {
        listed.percent = percent;
        answerRenewalsWithLists({listed}, {});
    }
};

TEST(AgentCrash, runsAreLostWithAnEndpointThatCrashes)
{
    startRun(41);
    beginIncarnation(200);
    LONGS_EQUAL(1, lastReport().lost.size());
    LONGS_EQUAL(41, lastReport().lost[0].run.run);
    CHECK_FALSE(lastReport().lost[0].isSettled);
}

TEST(AgentCrash, runWithProgressHasSettled)
{
    startRun(41);
    listRun(3);
    beginIncarnation(200);
    LONGS_EQUAL(1, lastReport().lost.size());
    CHECK_TRUE(lastReport().lost[0].isSettled);
}

/// The endpoint may have crashed before it answered.
TEST(AgentCrash, runOfAnUnansweredStartIsLost)
{
    agent->receive(schedulerName, orderOf(41));
    failOneStart(EndpointError::Kind::Unanswered);
    beginIncarnation(200);
    LONGS_EQUAL(1, lastReport().lost.size());
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
