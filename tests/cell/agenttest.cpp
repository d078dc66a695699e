// The agent's orders to its endpoint: handling of unanswered orders, also when a new incarnation of the endpoint uses the same id, and endpoints that leave.

#include "cell/agentfixture.h"

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(Agent, AgentFixture)
{
    static constexpr Milliseconds renewalRetry {200}; ///< after a failed renewal
};

TEST(Agent, nextIncarnationRefusesUnansweredStartsBeforeItsListsAreUsed)
{
    agent->receive(schedulerName, orderOf(41));
    failStarts(EndpointError::Kind::Unanswered);
    beginIncarnation(200);
    LONGS_EQUAL(1, stops.size());
    LONGS_EQUAL(41, stops[0].request.run.run);
    answerRenewals(200);
    CHECK_FALSE(isListedInLastReport());

    stops[0].callback(Milliseconds(5));
    answerRenewals(200);
    CHECK_TRUE(isListedInLastReport());
}

TEST(Agent, refusalOfUnansweredStartsIsRepeatedUntilAnswered)
{
    agent->receive(schedulerName, orderOf(41));
    failStarts(EndpointError::Kind::Unanswered);
    beginIncarnation(200);
    stops[0].callback(EndpointError {EndpointError::Kind::Unanswered, "timed out"});
    now += Milliseconds(500);
    agent->tick();
    LONGS_EQUAL(2, stops.size());
    answerRenewals(200);
    CHECK_FALSE(isListedInLastReport());
}

TEST(Agent, unansweredStartsAreDroppedWhenTheyCanNoLongerBeCarriedOut)
{
    agent->receive(schedulerName, orderOf(41));
    failStarts(EndpointError::Kind::Unanswered);
    now += Seconds(20);
    beginIncarnation(200);
    LONGS_EQUAL(0, stops.size());
}

TEST(Agent, unansweredStartIsRepeatedWithTheSameRunNumber)
{
    agent->receive(schedulerName, orderOf(41));
    failOneStart(EndpointError::Kind::Unanswered);
    LONGS_EQUAL(1, starts.size());
    LONGS_EQUAL(41, starts[0].request.run.run);
    starts[0].callback(Milliseconds(5));
    LONGS_EQUAL(1, results().size());
    LONGS_EQUAL(wire::StartOutcome::Started, results()[0].outcome);
}

TEST(Agent, refusalAfterAnUnansweredAttemptLeavesTheOutcomeUnknown)
{
    agent->receive(schedulerName, orderOf(41));
    failOneStart(EndpointError::Kind::Unanswered);
    failOneStart(EndpointError::Kind::InsufficientCapacity);
    LONGS_EQUAL(1, results().size());
    LONGS_EQUAL(wire::StartOutcome::Unanswered, results()[0].outcome);
}

/// Guards against LIMIT: an order that waits for a connection or its record arrives at an endpoint whose capacity has shrunk.
TEST(Agent, orderThatWasPlannedForMoreCapacityIsRefused)
{
    EndpointStatus status = statusOf(100);
    status.sequence = 2;
    status.capacity = {8000, 32768, 4};
    agent->endpointReported(status);
    wire::StartOrder order = orderOf(41);
    order.milliCores = 16000;
    order.memoryMib = 32768;
    order.accelerators = 4;
    agent->receive(schedulerName, order);
    LONGS_EQUAL(0, starts.size());
    LONGS_EQUAL(wire::StartOutcome::Rejected, results()[0].outcome);
    order.milliCores = 8000;
    agent->receive(schedulerName, order);
    LONGS_EQUAL(1, starts.size());
}

TEST(Agent, startIsAbandonedAfterThreeAttempts)
{
    agent->receive(schedulerName, orderOf(41));
    int attempts = 0;
    for (; !starts.empty(); ++attempts) {
        failOneStart(EndpointError::Kind::Unanswered);
    }
    LONGS_EQUAL(3, attempts);
    LONGS_EQUAL(1, results().size());
    LONGS_EQUAL(wire::StartOutcome::Unanswered, results()[0].outcome);
}

TEST(Agent, unansweredStartOfATaskIsRefusedBeforeANewStart)
{
    agent->receive(schedulerName, orderOf(41));
    failStarts(EndpointError::Kind::Unanswered);
    agent->receive(schedulerName, orderOf(42));
    LONGS_EQUAL(0, starts.size());
    LONGS_EQUAL(1, stops.size());
    LONGS_EQUAL(41, stops[0].request.run.run);
    stops[0].callback(Milliseconds(5));
    LONGS_EQUAL(1, starts.size());
    LONGS_EQUAL(42, starts[0].request.run.run);
}

TEST(Agent, nextSchedulerNeedNotWaitForAnEndpointThatHasLeft)
{
    startAndDrain(Milliseconds(4500));
    now += Milliseconds(4600);
    agent->endpointLeft("i-1");
    failRenewals(EndpointError::Kind::ConnectionFailed);
    CHECK_TRUE(lastReport().running.empty());

    announceNextScheduler();
    LONGS_EQUAL(8, lastReport().generation);
    CHECK_TRUE(lastReport().isListed);
    CHECK_TRUE(lastReport().running.empty());
}

/// Guards against TWICE (review/7): the announced time is a minimum, and connections may be refused by a network fault. The endpoint works on under its lease.
TEST(Agent, drainingEndpointThatRefusesConnectionsIsGoneOnlyWhenItsLeaseIsOver)
{
    startAndDrain(Milliseconds(2000));
    const BootTime end = now + Milliseconds(6000); // of the lease in the start and the renewals that may have arrived
    for (now += Milliseconds(2100); now < end; now += Milliseconds(200)) {
        grantLease(100); // the scheduler goes on answering, but the endpoint cannot be told
        agent->tick();
        failRenewals(EndpointError::Kind::ConnectionFailed);
        LONGS_EQUAL(1, lastReport().running.size());
    }
    now = end + renewalRetry;
    agent->tick();
    failRenewals(EndpointError::Kind::ConnectionFailed);
    CHECK_TRUE(lastReport().isListed);
    CHECK_TRUE(lastReport().running.empty());
}

/// As above; a renewal that got no answer may have told the endpoint of a later end.
TEST(Agent, drainingEndpointIsNotGoneBeforeTheEndOfALeaseThatMayHaveArrived)
{
    startAndDrain(Milliseconds(1000));
    failRenewals(EndpointError::Kind::Unanswered);
    now += Milliseconds(2000);
    grantLease(100);
    agent->tick();
    LONGS_EQUAL(1, renewals.size());
    failRenewals(EndpointError::Kind::Unanswered);
    for (const BootTime end = now + Milliseconds(6000); now < end; now += Milliseconds(200)) {
        agent->tick();
        failRenewals(EndpointError::Kind::ConnectionFailed);
        LONGS_EQUAL(1, lastReport().running.size());
    }
    now += renewalRetry;
    agent->tick();
    failRenewals(EndpointError::Kind::ConnectionFailed);
    CHECK_TRUE(lastReport().running.empty());
}

/// As above; an earlier process of the agent may have told the endpoint of a lease that this one does not know.
TEST(Agent, drainingEndpointIsNotGoneBeforeTheEndOfALeaseFromAnEarlierProcessOfTheAgent)
{
    AgentHooks hooks;
    hooks.driver.renewLease = [this](const RenewalRequest &request, RenewalCallback callback) {
        renewals.push_back({request, std::move(callback)});
    };
    hooks.send = [this](const std::string &, const PeerMessage &message) {
        sent.push_back(message);
    };
    hooks.now = [this]() {
        return now;
    };
    now += Seconds(60);
    agent = std::make_unique<Agent>(AgentOptions {2, Milliseconds(6000), testService}, std::move(hooks));
    EndpointStatus status = statusOf(100);
    status.isDraining = true;
    agent->endpointReported(status);
    wire::SchedulerNotice notice;
    notice.generation = 7;
    notice.address = schedulerName;
    agent->receive(schedulerName, notice);
    listRun(50);
    LONGS_EQUAL(1, lastReport().running.size());
    now += Milliseconds(5900);
    agent->tick();
    failRenewals(EndpointError::Kind::ConnectionFailed);
    LONGS_EQUAL(1, lastReport().running.size());
    now += Milliseconds(200);
    agent->tick();
    failRenewals(EndpointError::Kind::ConnectionFailed);
    CHECK_TRUE(lastReport().running.empty());
}

TEST(Agent, endpointIsNotGoneBeforeItsNoticePeriodIsOverNorWhileItOnlyFailsToAnswer)
{
    startAndDrain(Milliseconds(2000));
    failRenewals(EndpointError::Kind::ConnectionFailed);
    LONGS_EQUAL(1, lastReport().running.size());

    now += Milliseconds(2100);
    agent->tick();
    failRenewals(EndpointError::Kind::Refused);
    now += Milliseconds(1000);
    agent->tick();
    failRenewals(EndpointError::Kind::Unanswered);
    now += Milliseconds(1000);
    agent->tick();
    LONGS_EQUAL(1, lastReport().running.size());
}

TEST(Agent, endpointThatIsNotDrainingIsNotGoneWhenItRefusesConnections)
{
    agent->receive(schedulerName, orderOf(41));
    starts[0].callback(Milliseconds(5));
    now += Seconds(1);
    agent->tick();
    failRenewals(EndpointError::Kind::ConnectionFailed);
    now += Seconds(1);
    agent->tick();
    LONGS_EQUAL(1, lastReport().running.size());
}

TEST(Agent, goneEndpointThatAnswersAgainIsNoLongerGone)
{
    startAndDrain(Milliseconds(2000));
    now += Milliseconds(2100);
    agent->endpointLeft("i-1");
    failRenewals(EndpointError::Kind::ConnectionFailed);
    announceNextScheduler();
    CHECK_TRUE(lastReport().isListed);
    answerRenewals(100);
    announceNextScheduler();
    wire::SchedulerNotice notice;
    notice.generation = 9;
    notice.address = "third";
    agent->receive("third", notice);
    CHECK_FALSE(lastReport().isListed);
}

/// The order to stop a run may reach the agent after the run has ended by itself. If the report with the end is lost, a scheduler that learns only that the run
/// is absent starts the task again, although it has ended as done.
TEST(Agent, aStoppedRunWhoseEndIsNotStoredIsNotReportedAbsent)
{
    const RunId run = runIdOf(orderOf(41).run);
    agent->receive(schedulerName, orderOf(41));
    starts[0].callback(Milliseconds(5));
    renewals.clear();
    now += Seconds(3);
    agent->tick();
    agent->receive(schedulerName, stopOf(41));
    LONGS_EQUAL(1, stops.size());
    stops[0].callback(Milliseconds(5));
    answerRenewalsWithEnds({{1, run, RunOutcome::Done, ""}});
    LONGS_EQUAL(1, lastReport().ended.size());
    for (const PeerMessage &message : sent) {
        CHECK_FALSE(std::holds_alternative<wire::RunAbsent>(message));
    }
}

/// The notification that an endpoint has left names neither its incarnation nor a sequence number, so it may be late or from another writer.
TEST(Agent, anEndpointThatReportsAgainAfterItsNotificationHasNotLeft)
{
    agent->receive(schedulerName, orderOf(41));
    starts[0].callback(Milliseconds(5));
    agent->endpointLeft("i-1");
    EndpointStatus status = statusOf(100);
    status.sequence = 2;
    agent->endpointReported(status);
    failRenewals(EndpointError::Kind::ConnectionFailed);
    now += Seconds(1);
    agent->tick();
    LONGS_EQUAL(1, lastReport().running.size());
}

// Guards against a task that runs twice because an agent that was paused carries out an order after its lease: the next boot of the endpoint accepts it,
// because its clock has just begun.
TEST(Agent, orderIsNotCarriedOutOnceTheLeaseIsOver)
{
    now += Milliseconds(6500);
    agent->receive(schedulerName, orderOf(41));
    LONGS_EQUAL(0, starts.size());
    LONGS_EQUAL(1, results().size());
    LONGS_EQUAL(wire::StartOutcome::Rejected, results()[0].outcome);
}

/// Guards against UNASKED: an order that had waited for a connection was carried out although its job had been cancelled seconds ago.
TEST(Agent, orderIsNotCarriedOutOnceItsOwnTimeIsOver)
{
    wire::StartOrder order = orderOf(41);
    order.validUntilMs = (now + Milliseconds(2500)).time_since_epoch().count();
    now += Milliseconds(2600);
    answerRenewals(100);
    grantLease(100);
    agent->receive(schedulerName, order);
    CHECK(starts.empty());
    LONGS_EQUAL(1, results().size());
    LONGS_EQUAL(wire::StartOutcome::Rejected, results()[0].outcome);
}

// As above, for the repetition of an order whose answer was lost: a later lease says nothing about the order.
TEST(Agent, unansweredStartIsNotRepeatedUnderALaterLease)
{
    now += Milliseconds(5800);
    agent->receive(schedulerName, orderOf(41));
    LONGS_EQUAL(1, starts.size());
    now += Milliseconds(400);
    grantLease(100);
    failOneStart(EndpointError::Kind::Unanswered);
    LONGS_EQUAL(0, starts.size());
    LONGS_EQUAL(wire::StartOutcome::Unanswered, results().back().outcome);
}

// Guards against a task that is started again although it has ended as done: an endpoint lists at most 500 unacknowledged ends, so a run whose end has a
// later number is in neither list.
TEST(Agent, runWhoseEndDoesNotFitInTheListIsNotReportedAsOver)
{
    agent->receive(schedulerName, orderOf(41));
    starts[0].callback(Milliseconds(5));
    std::vector<ListedEnd> ends;
    for (int number = 1; number <= 500; ++number) {
        ends.push_back({number, RunId {TaskId {"other", 0, 0, number}, 7}, RunOutcome::Done, ""});
    }
    answerRenewalsWithEnds(ends);
    LONGS_EQUAL(500, lastReport().ended.size());
    CHECK_TRUE(!lastReport().isListed || lastReport().running.size() == 1);
}

// Guards against a run that starts after it was given up: the endpoint stopped it and forgot that when it started again under its id, and the repeated start
// came.
TEST(Agent, startIsNotRepeatedOnceItsRunWasOrderedToStop)
{
    agent->receive(schedulerName, orderOf(41));
    agent->receive(schedulerName, stopOf(41));
    failOneStart(EndpointError::Kind::Unanswered);
    LONGS_EQUAL(0, starts.size());
    LONGS_EQUAL(wire::StartOutcome::Unanswered, results().back().outcome);
}
