// Open findings on what crashes are counted against: each fails until its fault is mended.

#include "cell/agentfixture.h"

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(OpenFindingOfAgents, AgentFixture) {};

/// Guards against LOST: a start that was sent to the endpoint that had crashed, and carried out by the one that followed it under the same id, counted as a
/// crash.
TEST(OpenFindingOfAgents, startCarriedOutByTheNextIncarnationIsNotLost)
{
    agent->endpointReported(statusOf(200));
    startRun(41);
    const RenewalCall verification = renewals.front();
    renewals.erase(renewals.begin());
    RenewalResult emptyLists;
    emptyLists.clock = Milliseconds(++clock);
    emptyLists.incarnation = 200;
    verification.callback(emptyLists);
    LONGS_EQUAL(200, lastReport().born);
    answerRenewalsWithLists({{runIdOf(orderOf(41).run), "", 0, 0}}, {}, 200);
    LONGS_EQUAL(1, lastReport().running.size());
    CHECK(lastReport().lost.empty());
}
