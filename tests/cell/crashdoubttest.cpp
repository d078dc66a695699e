// Tests of what a crash is counted against when it is in doubt whether the endpoint had the run.

#include "cell/agentfixture.h"
#include "cell/schedulerfixture.h"

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(AgentCrashDoubts, AgentFixture) {};

/// Guards against BUDGET: the scheduler takes a run as stalled after its endpoint has crashed, and orders its stop.
TEST(AgentCrashDoubts, stopOrderedAfterTheCrashIsNoReasonToDoubtIt)
{
    startRun(41);
    listRun(50);
    crashEndpoint(9);
    agent->receive(schedulerName, stopOf(41));
    stops.back().callback(EndpointError {EndpointError::Kind::ConnectionFailed, "refused"});
    now += Milliseconds(300);
    beginIncarnation(200);
    LONGS_EQUAL(1, lastReport().lost.size());
    CHECK_TRUE(lastReport().lost[0].isSettled);
    CHECK_TRUE(lastReport().lost[0].wasRunning);
}

/// Guards against BUDGET: the next incarnation says that it is another one, and then is slow.
TEST(AgentCrashDoubts, timeoutsAfterADenialAreNoReasonToDoubtTheCrash)
{
    startRun(41);
    listRun(50);
    now += Milliseconds(400);
    agent->tick();
    failRenewals(EndpointError::Kind::DifferentIncarnation);
    now += Milliseconds(300);
    agent->tick();
    failRenewals(EndpointError::Kind::Unanswered, true);
    beginIncarnation(200);
    CHECK_TRUE(lastReport().lost[0].wasRunning);
}

/// Guards against LOST: the answer of the start is lost, the run's end is read, and then the start is repeated and refused as old.
TEST(AgentCrashDoubts, runWhoseEndWasReadBeforeItsStartWasRepeatedIsNotLost)
{
    agent->receive(schedulerName, orderOf(41));
    now += Milliseconds(2000);
    grantLease(100);
    agent->tick();
    answerRenewalsWithEnds({{1, runIdOf(orderOf(41).run), RunOutcome::GangMemberLost, ""}});
    failOneStart(EndpointError::Kind::Unanswered);
    LONGS_EQUAL(1, starts.size());
    failOneStart(EndpointError::Kind::Refused);
    agent->tick();
    answerRenewalsWithEnds({});
    beginIncarnation(200);
    CHECK(lastReport().lost.empty());
}

/// Guards against LOST: the start was answered, and the lists read after that hold neither the run nor its end.
TEST(AgentCrashDoubts, answeredRunThatLaterListsDoNotHoldIsNotLost)
{
    startRun(41);
    now += Milliseconds(500);
    agent->tick();
    answerRenewalsWithLists({}, {});
    now += Milliseconds(500);
    agent->tick();
    answerRenewalsWithLists({}, {});
    beginIncarnation(200);
    CHECK(lastReport().lost.empty());
}

/// Guards against LOST: a start that was never carried out is suspected in a crash long after.
TEST(AgentCrashDoubts, unansweredStartOfLongAgoIsNotLost)
{
    agent->receive(schedulerName, orderOf(41));
    while (!starts.empty()) {
        failOneStart(EndpointError::Kind::Unanswered);
    }
    announceNextScheduler();
    for (int i = 0; i < 60; ++i) {
        now += Milliseconds(2000);
        agent->tick();
        answerRenewalsWithLists({}, {});
    }
    beginIncarnation(200);
    CHECK(lastReport().lost.empty());
}

/// Guards against LOST: the start is under way when the next incarnation under the same id shows itself, and is carried out by that.
TEST(AgentCrashDoubts, startUnderWayThatTheNextIncarnationCarriesOutIsNeverReportedAsLost)
{
    agent->endpointReported(statusOf(200));
    agent->receive(schedulerName, orderOf(41));
    answerOneRenewal(200);
    const std::size_t atOnce = lastReport().lost.size();
    starts.back().callback(Milliseconds(5));
    answerRenewalsWithLists({{runIdOf(orderOf(41).run), "", 0, 0}}, {}, 200);
    CHECK(lastReport().lost.empty());
    LONGS_EQUAL(0, atOnce);
}

/// Guards against BUDGET: the endpoint crashes once more before the first lists of the incarnation between have shown what that carried out.
TEST(AgentCrashDoubts, crashIsNotForgottenWhenTheNextIncarnationCrashesBeforeItsLists)
{
    startRun(41);
    agent->endpointReported(statusOf(200)); // asked before the answer of the next start
    const RenewalCall verification = renewals.back();
    renewals.clear();
    agent->receive(schedulerName, orderOf(42));
    starts.back().callback(Milliseconds(5));
    RenewalResult emptyLists;
    emptyLists.clock = Milliseconds(++clock);
    emptyLists.incarnation = 200;
    renewals.clear();
    verification.callback(emptyLists);
    CHECK(lastReport().lost.empty());
    renewals.clear();
    agent->endpointReported(statusOf(300));
    answerRenewals(300);
    LONGS_EQUAL(300, lastReport().born);
    CHECK_FALSE(lastReport().lost.empty());
}

/// Guards against LOST: another writer's report that an endpoint whose answers don't name it can't deny; its lists still hold the run.
TEST(AgentCrashDoubts, runThatTheNextListsStillHoldIsNotLost)
{
    startRun(41);
    listRun(50);
    now += Milliseconds(400);
    agent->endpointReported(statusOf(200));
    answerRenewalsWithLists({{runIdOf(orderOf(41).run), "", 50, 0}}, {}, 0);
    LONGS_EQUAL(200, lastReport().born);
    LONGS_EQUAL(1, lastReport().running.size());
    CHECK(lastReport().lost.empty());
}

TEST_GROUP_BASE(SchedulerCrashDoubts, SchedulerFixture)
{
    std::int64_t born = 100;

    wire::EndpointReport report(const std::string &id, const std::vector<wire::RunRow> &running = {})
    {
        wire::EndpointReport report = reportOf(id, 1);
        report.born = born;
        report.running = running;
        return report;
    }

    /// The endpoint of agent "a" crashes under the run and comes back.
    SchedulerOutput crash(Scheduler & scheduler, const wire::RunRef &run, bool isSettled, bool wasRunning, const std::string &id = {})
    {
        ++born;
        wire::EndpointReport next = report(id.empty() ? "i-" + std::to_string(born) : id);
        next.lost.emplace_back();
        next.lost.back().run = run;
        next.lost.back().isSettled = isSettled;
        next.lost.back().wasRunning = wasRunning;
        return send(scheduler, "a", next);
    }

    int startsUntilGivenUp(bool isSettled, bool wasRunning, Milliseconds between, const Step &step)
    {
        records.clear();
        std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
        send(*scheduler, "a", report("i-a"));
        SchedulerOutput output = send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {step})));
        int starts = 0;
        while (!startsOf(output).empty() && starts < 20) {
            ++starts;
            advance(between);
            output = crash(*scheduler, startsOf(output).front().run, isSettled, wasRunning);
        }
        return starts;
    }
};

/// Guards against BUDGET: a task crashes its endpoints after it has shown progress, and it is in doubt each time whether it was still there.
TEST(SchedulerCrashDoubts, taskThatCrashesItsEndpointsLateIsGivenUpThoughEachCrashIsInDoubt)
{
    CHECK(startsUntilGivenUp(true, false, Milliseconds(3000), plainStep(1, {1000, 100, 1})) <= 5);
}

/// Guards against LOST: a job that lasts loses its endpoint once a week.
TEST(SchedulerCrashDoubts, lastingJobIsNotGivenUpForCrashesFarApart)
{
    Step step = plainStep(1, {1000, 100, 1});
    step.isLongRunning = true;
    CHECK(startsUntilGivenUp(true, true, std::chrono::hours(168), step) >= 20);
}

/// Guards against BUDGET: the run that did crash the endpoint is not even suspected, because a start without an answer was under way.
TEST(SchedulerCrashDoubts, lateCrashCountsBesideAStartThatTheEndpointMayNotHaveHad)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", report("i-a"));
    SchedulerOutput output = send(*scheduler, "entry", submitOf(plainJob("deadly", "usual", {plainStep(1, {1000, 100, 1})})));
    int starts = 0;
    while (!startsOf(output).empty() && starts < 20) {
        ++starts;
        const wire::RunRef run = startsOf(output).front().run;
        advance(Milliseconds(3000));
        ++born;
        wire::EndpointReport next = report("i-" + std::to_string(born));
        next.lost.resize(2);
        next.lost[0].run = run;
        next.lost[0].isSettled = true;
        next.lost[0].wasRunning = true;
        next.lost[1].run = run;
        next.lost[1].run.job = "gone" + std::to_string(starts);
        output = send(*scheduler, "a", next);
    }
    CHECK(starts <= 5);
}
