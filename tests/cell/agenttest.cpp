// The agent's protocol with its endpoint: handling of unanswered orders, also when a new incarnation of the endpoint uses the same id.

#include "cell/agent.h"
#include "cell/builders.h"
#include "cell/runwire.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP(Agent)
{
    static constexpr const char *schedulerName = "scheduler";

    struct StartCall
    {
        StartRequest request;
        OrderCallback callback;
    };
    struct StopCall
    {
        StopRequest request;
        OrderCallback callback;
    };
    struct RenewalCall
    {
        RenewalRequest request;
        RenewalCallback callback;
    };

    BootTime now = BootTime(Milliseconds(1000000));
    std::vector<StartCall> starts;
    std::vector<StopCall> stops;
    std::vector<RenewalCall> renewals;
    std::vector<PeerMessage> sent;
    std::int64_t clock = 1000; ///< the endpoint's clock in milliseconds
    std::unique_ptr<Agent> agent;

    void setup() override
    {
        AgentHooks hooks;
        hooks.driver.start = [this](const StartRequest &request, OrderCallback callback) {
            starts.push_back({request, std::move(callback)});
        };
        hooks.driver.stop = [this](const StopRequest &request, OrderCallback callback) {
            stops.push_back({request, std::move(callback)});
        };
        hooks.driver.renewLease = [this](const RenewalRequest &request, RenewalCallback callback) {
            renewals.push_back({request, std::move(callback)});
        };
        hooks.send = [this](const std::string &, const PeerMessage &message) {
            sent.push_back(message);
        };
        hooks.now = [this]() {
            return now;
        };
        agent = std::make_unique<Agent>(AgentOptions {1, Milliseconds(6000)}, std::move(hooks));
        agent->endpointReported(statusOf(100));
        wire::SchedulerNotice notice;
        notice.generation = 7;
        notice.address = schedulerName;
        agent->receive(schedulerName, notice);
        answerRenewals(100);
        grantLease(100);
    }

    EndpointStatus statusOf(std::int64_t incarnation)
    {
        EndpointStatus status;
        status.id = "i-1";
        status.incarnation = incarnation;
        status.sequence = 1;
        status.service = testService;
        return status;
    }

    void answerRenewals(std::int64_t incarnation)
    {
        while (!renewals.empty()) {
            const RenewalCall call = std::move(renewals.front());
            renewals.erase(renewals.begin());
            if (call.request.wait.count() > 0) {
                continue; // these tests never answer a renewal that waits
            }
            RenewalResult answer;
            answer.clock = Milliseconds(++clock);
            answer.incarnation = incarnation;
            call.callback(answer);
        }
    }

    void grantLease(std::int64_t incarnation)
    {
        wire::EndpointGrant grant;
        grant.generation = 7;
        grant.sentAtMs = now.time_since_epoch().count();
        grant.endpoint = "i-1";
        grant.born = incarnation;
        agent->receive(schedulerName, grant);
    }

    wire::StartOrder orderOf(std::int64_t run)
    {
        wire::StartOrder order;
        order.generation = 7;
        order.endpoint = "i-1";
        order.born = 100;
        order.run = wireRef(RunId {TaskId {"job", 0, 0, 0}, run});
        return order;
    }

    void failOneStart(EndpointError::Kind kind)
    {
        const StartCall call = std::move(starts.front());
        starts.erase(starts.begin());
        call.callback(EndpointError {kind, "failed"});
    }

    std::vector<wire::StartResult> results()
    {
        std::vector<wire::StartResult> found;
        for (const PeerMessage &message : sent) {
            if (const wire::StartResult *result = std::get_if<wire::StartResult>(&message)) {
                found.push_back(*result);
            }
        }
        return found;
    }

    void failStarts(EndpointError::Kind kind)
    {
        while (!starts.empty()) {
            const StartCall call = std::move(starts.front());
            starts.erase(starts.begin());
            call.callback(EndpointError {kind, "failed"});
        }
    }

    wire::EndpointReport lastReport()
    {
        wire::EndpointReport last;
        for (const PeerMessage &message : sent) {
            if (const wire::EndpointReport *report = std::get_if<wire::EndpointReport>(&message)) {
                last = *report;
            }
        }
        return last;
    }

    bool isListedInLastReport()
    {
        return lastReport().isListed;
    }

    /// Starts one run and reports that the endpoint is draining and leaves in @p remaining.
    void startAndDrain(Milliseconds remaining)
    {
        agent->receive(schedulerName, orderOf(41));
        starts[0].callback(Milliseconds(5));
        starts.clear();
        EndpointStatus status = statusOf(100);
        status.sequence = 2;
        status.isDraining = true;
        status.remaining = remaining;
        agent->endpointReported(status);
    }

    void failRenewals(EndpointError::Kind kind)
    {
        std::vector<RenewalCall> failing = std::move(renewals);
        renewals.clear();
        for (const RenewalCall &call : failing) {
            call.callback(EndpointError {kind, "failed"});
        }
    }

    void announceNextScheduler()
    {
        wire::SchedulerNotice notice;
        notice.generation = 8;
        notice.address = "later";
        agent->receive("later", notice);
    }
};

TEST(Agent, nextIncarnationRefusesUnansweredStartsBeforeItsListsAreUsed)
{
    agent->receive(schedulerName, orderOf(41));
    failStarts(EndpointError::Kind::Unanswered);
    agent->endpointReported(statusOf(200));
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
    agent->endpointReported(statusOf(200));
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
    agent->endpointReported(statusOf(200));
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

TEST(Agent, drainingEndpointIsGoneWhenItsNoticePeriodIsOverAndItRefusesConnections)
{
    startAndDrain(Milliseconds(2000));
    now += Milliseconds(2100);
    failRenewals(EndpointError::Kind::ConnectionFailed);
    CHECK_TRUE(lastReport().isListed);
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
