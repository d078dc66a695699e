// Which endpoint, and which of its incarnations, the agent serves. Reports may be late, or come from another writer.

#include "cell/agentfixture.h"

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(AgentIdentity, AgentFixture) {};

// Guards against a task that runs twice: a report of another writer made the agent serve another endpoint, and its runs were started elsewhere.
TEST(AgentIdentity, reportOfAnotherWriterDoesNotReplaceTheEndpoint)
{
    agent->receive(schedulerName, orderOf(41));
    starts[0].callback(Milliseconds(5));
    EndpointStatus foreign = statusOf(200);
    foreign.id = "i-2";
    agent->endpointReported(foreign);
    answerRenewals(100);
    now += Milliseconds(500);
    agent->tick();
    STRCMP_EQUAL("i-1", lastReport().endpoint.c_str());
    LONGS_EQUAL(100, lastReport().born);
    LONGS_EQUAL(1, lastReport().running.size());
}

// As above, for a report that names the endpoint itself: the agent lost its lists and no longer renewed the lease.
TEST(AgentIdentity, reportOfAnotherWriterUnderTheSameIdDoesNotEndTheIncarnation)
{
    EndpointStatus foreign = statusOf(200);
    agent->endpointReported(foreign);
    answerRenewals(100);
    grantLease(100);
    now += Seconds(3);
    agent->tick();
    LONGS_EQUAL(100, lastReport().born);
    CHECK_TRUE(lastReport().isListed);
    CHECK_FALSE(renewals.empty());
    CHECK_TRUE(renewals.back().request.leaseUntil.has_value());
}

// Guards against a report of another writer that carries the endpoint's own identity and a higher sequence number: later reports would be ignored as outdated.
TEST(AgentIdentity, reportOfAnotherServiceIsIgnored)
{
    EndpointStatus foreign = statusOf(100);
    foreign.sequence = 1000;
    foreign.service = "unknown";
    CHECK_FALSE(agent->endpointReported(foreign));
    EndpointStatus own = statusOf(100);
    own.sequence = 2;
    own.isDraining = true;
    CHECK_TRUE(agent->endpointReported(own));
    CHECK_TRUE(lastReport().draining);
    STRCMP_EQUAL(testService, lastReport().serviceName.c_str());
}

TEST(AgentIdentity, anotherEndpointIsServedOnceItAnswersAtTheAddress)
{
    EndpointStatus next = statusOf(200);
    next.id = "i-2";
    agent->endpointReported(next);
    STRCMP_EQUAL("i-1", lastReport().endpoint.c_str());
    endpointId = "i-2";
    answerRenewals(200);
    STRCMP_EQUAL("i-2", lastReport().endpoint.c_str());
    CHECK_TRUE(lastReport().isListed);
}

TEST(AgentIdentity, reportThatCouldNotBeVerifiedIsVerifiedAgainForTheNextScheduler)
{
    EndpointStatus next = statusOf(200);
    next.id = "i-2";
    agent->endpointReported(next);
    failRenewals(EndpointError::Kind::Fenced);
    endpointId = "i-2";
    announceNextScheduler();
    answerRenewals(200);
    STRCMP_EQUAL("i-2", lastReport().endpoint.c_str());
}

// Guards against work that is started on a draining endpoint: the notice arrived, and was acknowledged, while the endpoint was asked about an earlier report.
TEST(AgentIdentity, noticeThatArrivesDuringTheVerificationIsApplied)
{
    EndpointStatus next = statusOf(200);
    next.id = "i-2";
    agent->endpointReported(next);
    next.sequence = 2;
    next.isDraining = true;
    next.remaining = Seconds(2);
    agent->endpointReported(next);
    endpointId = "i-2";
    answerRenewals(200);
    STRCMP_EQUAL("i-2", lastReport().endpoint.c_str());
    CHECK_TRUE(lastReport().draining);
}

// Guards against an endpoint that is never used again: the wall clock of its machine has been set back, and its next incarnation was born "before" the last.
TEST(AgentIdentity, endpointWithAnEarlierTimeOfBirthIsServedOnceItAnswersAtTheAddress)
{
    EndpointStatus next = statusOf(50);
    next.id = "i-2";
    agent->endpointReported(next);
    endpointId = "i-2";
    answerRenewals(50);
    STRCMP_EQUAL("i-2", lastReport().endpoint.c_str());
    LONGS_EQUAL(50, lastReport().born);
}

// Guards against work that stands still: the endpoint itself denies that it is the one that is served, and refuses calls otherwise, so that its next
// incarnation is not confirmed. The old lists say nothing any more.
TEST(AgentIdentity, listsOfAnEndpointThatIsDeniedAtItsAddressAreNotReported)
{
    agent->receive(schedulerName, orderOf(41));
    starts[0].callback(Milliseconds(5));
    endpointId = "i-2";
    for (int round = 0; round < 40; ++round) {
        now += Milliseconds(500);
        EndpointStatus next = statusOf(200);
        next.id = endpointId;
        next.sequence = round + 1;
        agent->endpointReported(next);
        agent->tick();
        std::vector<RenewalCall> calls = std::move(renewals);
        renewals.clear();
        for (const RenewalCall &call : calls) {
            const bool isNamed = call.request.endpoint == endpointId;
            call.callback(
                EndpointError {isNamed ? EndpointError::Kind::Refused : EndpointError::Kind::DifferentIncarnation, isNamed ? "status 503" : "status 421"});
        }
    }
    CHECK_FALSE(lastReport().isListed && !lastReport().running.empty());
}
