// The agent in an evacuated failure domain: its own state decides on every attempt to start a task.

#include "cell/agentfixture.h"

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(AgentEvacuation, AgentFixture) {void setup() override {servesEvacuations = true;
AgentFixture::setup();
}

void learn(std::int64_t position, const std::map<std::string, std::int64_t> &domains)
{
    Evacuations state;
    state.position = position;
    state.domains = domains;
    agent->receive("entry", wireEvacuations(state));
}

/// An order of a scheduler that knows of all records below @p position and does not hold the failure domain evacuated.
wire::StartOrder orderAt(std::int64_t run, std::int64_t position)
{
    wire::StartOrder order = orderOf(run);
    order.__set_evacuationPosition(position);
    order.__set_isEvacuated(false);
    return order;
}

std::vector<wire::EvacuationState> sentStates()
{
    std::vector<wire::EvacuationState> found;
    for (const PeerMessage &message : sent) {
        if (const wire::EvacuationState *state = std::get_if<wire::EvacuationState>(&message)) {
            found.push_back(*state);
        }
    }
    return found;
}
}
;

/// Guards against EVAC: an agent that has just begun carries out an order before it knows whether its failure domain is evacuated.
TEST(AgentEvacuation, startsNothingBeforeAStateIsKnown)
{
    agent->receive(schedulerName, orderAt(41, 9));
    CHECK(starts.empty());
    CHECK(results().back().outcome == wire::StartOutcome::Evacuated);
    CHECK_FALSE(results().back().__isset.evacuations);
    learn(9, {});
    agent->receive(schedulerName, orderAt(42, 9));
    LONGS_EQUAL(1, starts.size());
}

/// Guards against EVAC: a scheduler with an older view orders a start, and is not told of the newer one.
TEST(AgentEvacuation, refusesAStartInItsFailureDomainAndReturnsItsState)
{
    learn(6, {{"west-a", 5}});
    agent->receive(schedulerName, orderAt(41, 4));
    CHECK(starts.empty());
    CHECK(results().back().outcome == wire::StartOutcome::Evacuated);
    LONGS_EQUAL(6, results().back().evacuations.position);
    LONGS_EQUAL(1, results().back().evacuations.domains.size());
    LONGS_EQUAL(0, lastReport().running.size());
}

TEST(AgentEvacuation, otherFailureDomainsDoNotMatter)
{
    learn(6, {{"west-b", 5}});
    agent->receive(schedulerName, orderAt(41, 4));
    LONGS_EQUAL(1, starts.size());
}

/// Guards against a failure domain that stays unused after its evacuation has ended: the agent was not told yet.
TEST(AgentEvacuation, carriesOutTheOrderOfASchedulerThatKnowsOfLaterRecords)
{
    learn(6, {{"west-a", 5}});
    agent->receive(schedulerName, orderAt(41, 7));
    LONGS_EQUAL(1, starts.size());
}

TEST(AgentEvacuation, refusesAnOrderThatNamesItsFailureDomainEvacuated)
{
    learn(6, {});
    wire::StartOrder order = orderAt(41, 7);
    order.__set_isEvacuated(true);
    agent->receive(schedulerName, order);
    CHECK(starts.empty());
}

/// Guards against EVAC: the request arrives between two attempts of one start, and the next attempt is made all the same.
TEST(AgentEvacuation, startWithoutAnAnswerIsNotRepeatedAndIsStopped)
{
    learn(4, {});
    agent->receive(schedulerName, orderAt(41, 4));
    LONGS_EQUAL(1, starts.size());
    learn(6, {{"west-a", 5}});
    CHECK(stops.empty());
    failOneStart(EndpointError::Kind::Unanswered);
    CHECK(starts.empty());
    LONGS_EQUAL(1, stops.size());
    LONGS_EQUAL(41, stops.front().request.run.run);
    CHECK(results().back().outcome == wire::StartOutcome::Unanswered); // the first attempt may be carried out
}

/// Guards against EVAC: the endpoint carries out a start that got no answer up to 12 s later, when the failure domain has been evacuated.
TEST(AgentEvacuation, earlierStartsWithoutAnAnswerAreStoppedUntilTheEndpointConfirms)
{
    learn(4, {});
    agent->receive(schedulerName, orderAt(41, 4));
    failStarts(EndpointError::Kind::Unanswered);
    failStarts(EndpointError::Kind::Unanswered);
    failStarts(EndpointError::Kind::Unanswered);
    CHECK(stops.empty());
    learn(6, {{"west-a", 5}});
    LONGS_EQUAL(1, stops.size());
    stops.back().callback(EndpointError {EndpointError::Kind::Unanswered, "failed"});
    agent->tick();
    LONGS_EQUAL(1, stops.size());
    now += Milliseconds(500);
    agent->tick();
    LONGS_EQUAL(2, stops.size());
    stops.back().callback(Milliseconds(5));
    now += Milliseconds(500);
    agent->tick();
    LONGS_EQUAL(2, stops.size());
}

/// Guards against work that is lost for nothing: what runs may go on.
TEST(AgentEvacuation, runningWorkIsNotStopped)
{
    learn(4, {});
    agent->receive(schedulerName, orderAt(41, 4));
    starts.back().callback(Milliseconds(5));
    learn(6, {{"west-a", 5}});
    now += Milliseconds(500);
    agent->tick();
    CHECK(stops.empty());
}

TEST(AgentEvacuation, isUsedAgainOnceTheRequestIsRevoked)
{
    learn(6, {{"west-a", 5}});
    learn(8, {});
    agent->receive(schedulerName, orderAt(41, 8));
    LONGS_EQUAL(1, starts.size());
}

/// Guards against EVAC: a process with an old state tells the agent that nothing is evacuated.
TEST(AgentEvacuation, olderStateTakesNothingBack)
{
    learn(6, {{"west-a", 5}});
    learn(5, {});
    agent->receive(schedulerName, orderAt(41, 5));
    CHECK(starts.empty());
}

/// Guards against a cell that stands still during an update: the agents are of a newer release than all entries, which name no state.
TEST(AgentEvacuation, ordersOfAnOlderReleaseAreCarriedOutUntilSomePeerNamesAState)
{
    agent->receive(schedulerName, orderOf(41));
    LONGS_EQUAL(1, starts.size());
    agent->evacuationsSeen("entry", versionOf(Evacuations()));
    agent->receive(schedulerName, orderOf(42));
    LONGS_EQUAL(1, starts.size());
    CHECK(results().back().outcome == wire::StartOutcome::Rejected); // the one that an older release waits after
}

/// Guards against EVAC: a scheduler of an older release, which does not serve evacuations, orders a start.
TEST(AgentEvacuation, orderOfAnOlderReleaseIsRejected)
{
    learn(6, {{"west-a", 5}});
    agent->receive(schedulerName, orderOf(41));
    CHECK(starts.empty());
    CHECK(results().back().outcome == wire::StartOutcome::Rejected);
    CHECK_FALSE(results().back().__isset.evacuations);
}

TEST(AgentEvacuation, sendsItsStateToPeersThatNameAnother)
{
    agent->evacuationsSeen("entry", 7);
    CHECK(sentStates().empty()); // it knows nothing itself
    learn(6, {{"west-a", 5}});
    agent->evacuationsSeen("entry", versionOf(agent->evacuations()));
    CHECK(sentStates().empty());
    agent->evacuationsSeen("entry", versionOf(Evacuations()));
    LONGS_EQUAL(1, sentStates().size());
    CHECK(evacuationsOf(sentStates().back()) == agent->evacuations());
}

TEST_GROUP_BASE(AgentWithoutEvacuations, AgentFixture) {};

/// Guards against a change for deployments that have no bound for evacuations.
TEST(AgentWithoutEvacuations, requestsHaveNoEffect)
{
    Evacuations state;
    state.position = 6;
    state.domains["west-a"] = 5;
    agent->receive("entry", wireEvacuations(state));
    agent->receive(schedulerName, orderOf(41));
    LONGS_EQUAL(1, starts.size());
    agent->evacuationsSeen("entry", 7);
    CHECK(sent.empty() || std::get_if<wire::EvacuationState>(&sent.back()) == nullptr);
}
