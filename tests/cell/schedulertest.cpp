// The scheduler's protocol: the order in which records become durable, the takeover by a new scheduler, and the ends of runs.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(Scheduler, SchedulerFixture) {};

TEST(Scheduler, answersASubmissionOnlyWhenItIsDurable)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    scheduler->receive("entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})), now, wall);
    const SchedulerOutput before = scheduler->takeOutput();
    CHECK(messagesOf<wire::JobAnswer>(before).empty());
    CHECK(!before.writes.empty());
    scheduler->stored(before.lastWrite, now);
    LONGS_EQUAL(1, messagesOf<wire::JobAnswer>(scheduler->takeOutput()).size());
}

TEST(Scheduler, refusesSubmissionsImmediatelyWhileTheStoreIsUnreachable)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    scheduler->setStoreReachable(false);
    const auto answers = messagesOf<wire::JobAnswer>(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().second.outcome == wire::CallOutcome::Refused);
    CHECK(answers.front().second.retryAfterMs > 0);
    CHECK(scheduler->jobs().empty());
}

TEST(Scheduler, sendsAStartOnlyAfterItsRecordIsDurable)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    scheduler->receive("entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})), now, wall);
    const SchedulerOutput submitted = scheduler->takeOutput();
    scheduler->stored(submitted.lastWrite, now);
    scheduler->tick(now, wall);
    const SchedulerOutput planned = scheduler->takeOutput();
    CHECK(messagesOf<wire::StartOrder>(planned).empty());
    CHECK(!planned.writes.empty());
    CHECK(planned.writes.back().value.find("\"a\"") != std::string::npos);
    scheduler->stored(planned.lastWrite, now);
    LONGS_EQUAL(1, messagesOf<wire::StartOrder>(scheduler->takeOutput()).size());
}

/// Guards against LIMIT: a start that waits for its record was sent although the endpoint's capacity had shrunk.
TEST(Scheduler, startIsNotSentWhenTheCapacityHasShrunkMeanwhile)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    scheduler->receive("entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 8})})), now, wall);
    scheduler->stored(scheduler->takeOutput().lastWrite, now);
    scheduler->tick(now, wall);
    const SchedulerOutput planned = scheduler->takeOutput();
    CHECK(!planned.writes.empty());
    wire::EndpointReport report = reportOf("i-a", 1);
    report.accelerators = 4;
    scheduler->receive("a", report, now, wall);
    scheduler->stored(planned.lastWrite, now);
    CHECK(messagesOf<wire::StartOrder>(scheduler->takeOutput()).empty());
    report = reportOf("i-a", 1);
    LONGS_EQUAL(1, startsOf(send(*scheduler, "a", report)).size());
}

TEST(Scheduler, jobCancelledBeforeItsStartIsRecordedIsNeverStarted)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    scheduler->receive("entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})), now, wall);
    scheduler->stored(scheduler->takeOutput().lastWrite, now);
    scheduler->tick(now, wall);
    scheduler->receive("entry", callOf(wire::CallKind::Cancel, "j1"), now, wall);
    CHECK(startsOf(settle(*scheduler)).empty());
    STRCMP_EQUAL("cancelled", stateOf(*scheduler, "j1").c_str());
}

TEST(Scheduler, reportsSuccessAndAcknowledgesTheEndOnlyOnceItIsDurable)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    LONGS_EQUAL(1, starts.size());
    wire::EndpointReport report = reportOf("i-a", 1);
    report.ended = {endOf(1, starts.front().run, wire::RunEnding::Done)};
    scheduler->receive("a", report, now, wall);
    scheduler->receive("entry", callOf(wire::CallKind::Query, "j1"), now, wall);
    const SchedulerOutput before = scheduler->takeOutput();
    STRCMP_EQUAL("running", messagesOf<wire::JobAnswer>(before).front().second.state.c_str());
    for (const auto &[peer, grant] : messagesOf<wire::EndpointGrant>(before)) {
        LONGS_EQUAL(0, grant.endsStored);
    }
    scheduler->stored(before.lastWrite, now);
    const auto grants = messagesOf<wire::EndpointGrant>(scheduler->takeOutput());
    LONGS_EQUAL(1, grants.back().second.endsStored);
    STRCMP_EQUAL("succeeded", stateOf(*scheduler, "j1").c_str());
}

/// The late end of a cancelled run carries a checkpoint, which causes another write.
TEST(Scheduler, reportedFinalStateStaysWhileLaterRecordsAreWritten)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    send(*scheduler, "entry", callOf(wire::CallKind::Cancel, "j1"));
    STRCMP_EQUAL("cancelled", stateOf(*scheduler, "j1").c_str());
    wire::EndpointReport report = reportOf("i-a", 1);
    report.ended = {endOf(1, starts.front().run, wire::RunEnding::Stopped)};
    report.ended.front().checkpoint = "saved";
    scheduler->receive("a", report, now, wall);
    scheduler->receive("entry", callOf(wire::CallKind::Query, "j1"), now, wall);
    const auto answers = messagesOf<wire::JobAnswer>(scheduler->takeOutput());
    STRCMP_EQUAL("cancelled", answers.front().second.state.c_str());
}

/// A new scheduler may receive only the end of a run, which it has never seen listed as running.
TEST(Scheduler, doesNotRestartARunOfWhichOnlyTheEndIsReported)
{
    std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*first, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    std::unique_ptr<Scheduler> second = makeScheduler(2);
    wire::EndpointReport report = reportOf("i-a", 2);
    report.ended = {endOf(1, starts.front().run, wire::RunEnding::Done)};
    CHECK(startsOf(send(*second, "a", report)).empty());
    STRCMP_EQUAL("succeeded", stateOf(*second, "j1").c_str());
}

TEST(Scheduler, adoptsRunsOfRecordedAgents)
{
    std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*first, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    std::unique_ptr<Scheduler> second = makeScheduler(2);
    wire::EndpointReport report = reportOf("i-a", 2);
    report.running = {rowOf(starts.front().run, 40)};
    CHECK(startsOf(send(*second, "a", report)).empty());
    CHECK(messagesOf<wire::StopOrder>(settle(*second)).empty());
    LONGS_EQUAL(1, second->endpoints().at("a").runs.size());
}

/// An agent that is disconnected during a change of scheduler still has its runs.
TEST(Scheduler, waitsForTheLeaseOfARecordedAgentThatDoesNotReport)
{
    std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "a", reportOf("i-a", 1));
    LONGS_EQUAL(1, startsOf(send(*first, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})))).size());
    std::unique_ptr<Scheduler> second = makeScheduler(2);
    CHECK(startsOf(send(*second, "b", reportOf("i-b", 2))).empty());
    CHECK(second->isRecovering());
    advance(lease - Milliseconds(100));
    CHECK(startsOf(send(*second, "b", reportOf("i-b", 2))).empty());
    advance(Milliseconds(500));
    LONGS_EQUAL(1, startsOf(send(*second, "b", reportOf("i-b", 2))).size());
}

TEST(Scheduler, doesNotWaitForAnAgentWhoseRunsWereStopped)
{
    std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*first, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    LONGS_EQUAL(1, starts.size());
    wire::EndpointReport leaving = reportOf("i-a", 1);
    leaving.draining = true;
    leaving.ended = {endOf(1, starts.front().run, wire::RunEnding::Stopped)};
    send(*first, "a", leaving);
    std::unique_ptr<Scheduler> second = makeScheduler(2);
    LONGS_EQUAL(1, startsOf(send(*second, "b", reportOf("i-b", 2))).size());
}

TEST(Scheduler, startsJobsImmediatelyThatNoMissingAgentCanBeRunning)
{
    std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "a", reportOf("i-a", 1));
    send(*first, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 8})})));
    send(*first, "entry", submitOf(plainJob("j2", "usual", {plainStep(1, {1000, 100, 8})})));
    std::unique_ptr<Scheduler> second = makeScheduler(2);
    const std::vector<wire::StartOrder> starts = startsOf(send(*second, "b", reportOf("i-b", 2)));
    LONGS_EQUAL(1, starts.size());
    STRCMP_EQUAL("j2", starts.front().run.job.c_str());
}

TEST(Scheduler, stopsAGangOfWhichOnlySomeMembersWereAdopted)
{
    Step gang = plainStep(2, {1000, 100, 8});
    gang.isGang = true;
    std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "a", reportOf("i-a", 1));
    send(*first, "b", reportOf("i-b", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*first, "entry", submitOf(plainJob("j1", "usual", {gang}))));
    LONGS_EQUAL(2, starts.size());
    std::unique_ptr<Scheduler> second = makeScheduler(2);
    const bool isFirstOnA = starts.front().endpoint == "i-a";
    wire::EndpointReport report = reportOf("i-a", 2);
    report.running = {rowOf(isFirstOnA ? starts[0].run : starts[1].run)};
    CHECK(messagesOf<wire::StopOrder>(send(*second, "a", report)).empty());
    LONGS_EQUAL(1, messagesOf<wire::StopOrder>(send(*second, "b", reportOf("i-b", 2))).size());
}

TEST(Scheduler, countsAFailedGangOnceAndFailsTheJobAfterItsAttempts)
{
    Step gang = plainStep(2, {1000, 100, 4});
    gang.isGang = true;
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {gang}))));
    for (int attempt = 0; attempt < 2; ++attempt) {
        LONGS_EQUAL(2, starts.size());
        STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
        wire::EndpointReport report = reportOf("i-a", 1);
        report.ended = {endOf(2 * attempt + 1, starts[0].run, wire::RunEnding::Failed), endOf(2 * attempt + 2, starts[1].run, wire::RunEnding::Failed)};
        starts = startsOf(send(*scheduler, "a", report));
    }
    CHECK(starts.empty());
    STRCMP_EQUAL("failed", stateOf(*scheduler, "j1").c_str());
}

TEST(Scheduler, startsAStepOnlyAfterTheStepsThatItDependsOn)
{
    Step second = plainStep(1, {1000, 100, 1});
    second.after = {0};
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1}), second}))));
    LONGS_EQUAL(1, starts.size());
    LONGS_EQUAL(0, starts.front().run.step);
    wire::EndpointReport report = reportOf("i-a", 1);
    report.ended = {endOf(1, starts.front().run, wire::RunEnding::Done)};
    starts = startsOf(send(*scheduler, "a", report));
    LONGS_EQUAL(1, starts.size());
    LONGS_EQUAL(1, starts.front().run.step);
}

TEST(Scheduler, startsEachOccurrenceWhenItIsDue)
{
    JobSpec spec = plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})});
    spec.occurrences = 2;
    spec.firstDue = wall + Milliseconds(1000);
    spec.interval = Milliseconds(500);
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    CHECK(startsOf(send(*scheduler, "entry", submitOf(spec))).empty());
    advance(Milliseconds(999));
    CHECK(startsOf(send(*scheduler, "a", reportOf("i-a", 1))).empty());
    advance(Milliseconds(1));
    LONGS_EQUAL(1, startsOf(settle(*scheduler)).size());
    advance(Milliseconds(500));
    const std::vector<wire::StartOrder> starts = startsOf(settle(*scheduler));
    LONGS_EQUAL(1, starts.size());
    LONGS_EQUAL(1, starts.front().run.occurrence);
}

/// A start order whose answer is lost may still be executed: its capacity and its task stay allocated until the endpoint reports the run as absent for good.
TEST(Scheduler, keepsTheAllocationOfAnUnansweredStartUntilItIsConfirmedAbsent)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 8})}))));
    wire::StartResult result;
    result.generation = 1;
    result.endpoint = "i-a";
    result.born = 100;
    result.run = starts.front().run;
    result.outcome = wire::StartOutcome::Unanswered;
    const SchedulerOutput output = send(*scheduler, "a", result);
    CHECK(startsOf(output).empty());
    LONGS_EQUAL(1, messagesOf<wire::StopOrder>(output).size());
    CHECK(startsOf(send(*scheduler, "a", reportOf("i-a", 1))).empty());
    wire::RunAbsent absent;
    absent.generation = 1;
    absent.endpoint = "i-a";
    absent.born = 100;
    absent.run = starts.front().run;
    const std::vector<wire::StartOrder> again = startsOf(send(*scheduler, "a", absent));
    LONGS_EQUAL(1, again.size());
    CHECK(again.front().run.run > starts.front().run.run);
}

/// The endpoint's own list is stronger evidence than an outcome that may be late or wrong.
TEST(Scheduler, doesNotStartATaskAgainThatIsListedWhenItsStartIsReportedAsRejected)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    send(*scheduler, "b", reportOf("i-b", 1));
    wire::EndpointReport report = reportOf("i-a", 1);
    report.running = {rowOf(starts.at(0).run, 10)};
    send(*scheduler, "a", report);
    wire::StartResult result;
    result.generation = 1;
    result.endpoint = "i-a";
    result.born = 100;
    result.run = starts.at(0).run;
    result.outcome = wire::StartOutcome::Rejected;
    LONGS_EQUAL(0, startsOf(send(*scheduler, "a", result)).size());
}

TEST(Scheduler, releasesRunsOfAnUnresponsiveAgentOnlyAfterItsLease)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    LONGS_EQUAL(1, startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})))).size());
    advance(lease - Milliseconds(10));
    CHECK(startsOf(send(*scheduler, "b", reportOf("i-b", 1))).empty());
    advance(Milliseconds(400));
    LONGS_EQUAL(1, startsOf(send(*scheduler, "b", reportOf("i-b", 1))).size());
}

/// A task makes no progress while its endpoint keeps sending healthy reports.
TEST(Scheduler, movesAStalledTaskToAnotherEndpoint)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    send(*scheduler, "b", reportOf("i-b", 1));
    SchedulerOutput output;
    for (int second = 0; second < 4 && messagesOf<wire::StopOrder>(output).empty(); ++second) {
        wire::EndpointReport report = reportOf("i-a", 1);
        report.running = {rowOf(starts.front().run, 20)};
        output = send(*scheduler, "a", report);
        send(*scheduler, "b", reportOf("i-b", 1));
        advance(Milliseconds(1000));
    }
    LONGS_EQUAL(1, messagesOf<wire::StopOrder>(output).size());
    wire::EndpointReport report = reportOf("i-a", 1);
    report.ended = {endOf(1, starts.front().run, wire::RunEnding::Stopped)};
    send(*scheduler, "b", reportOf("i-b", 1));
    const std::vector<wire::StartOrder> again = startsOf(send(*scheduler, "a", report));
    LONGS_EQUAL(1, again.size());
    STRCMP_EQUAL("i-b", again.front().endpoint.c_str());
}

TEST(Scheduler, ignoresReportsOfEarlierIncarnationsAndOtherGenerations)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(3);
    send(*scheduler, "a", reportOf("i-a", 3));
    wire::EndpointReport old = reportOf("i-old", 3);
    old.born = 50;
    send(*scheduler, "a", old);
    STRCMP_EQUAL("i-a", scheduler->endpoints().at("a").id.c_str());
    send(*scheduler, "b", reportOf("i-b", 2));
    LONGS_EQUAL(0, scheduler->endpoints().count("b"));
}

TEST(Scheduler, startsNothingOnADrainingEndpoint)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    wire::EndpointReport report = reportOf("i-a", 1);
    report.draining = true;
    report.leavesInMs = 2000;
    send(*scheduler, "a", report);
    CHECK(startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})))).empty());
}

/// A caller repeats a submission after the answer was lost.
TEST(Scheduler, repeatedSubmissionCreatesNoSecondJob)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const JobSpec spec = plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})});
    LONGS_EQUAL(1, startsOf(send(*scheduler, "entry", submitOf(spec))).size());
    const SchedulerOutput again = send(*scheduler, "other", submitOf(spec));
    CHECK(startsOf(again).empty());
    CHECK(messagesOf<wire::JobAnswer>(again).front().second.outcome == wire::CallOutcome::Ok);
}

/// The queue of a job is removed from the configuration before a change of scheduler.
TEST(Scheduler, continuesJobsOfARemovedQueueAfterAChangeOfScheduler)
{
    std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})));
    std::unique_ptr<Scheduler> second = std::make_unique<Scheduler>(SchedulerOptions {2, lease});
    second->load(records, now, wall);
    CellConfiguration without = plainConfiguration();
    std::erase_if(without.queues, [](const Queue &queue) {
        return queue.name == "usual";
    });
    second->setConfiguration(without);
    second->beginRecovery(now);
    LONGS_EQUAL(1, startsOf(send(*second, "a", reportOf("i-a", 2))).size());
}

/// Agents report to a new scheduler one after the other. Runs that the first agents list may end before the last agent has reported.
TEST(Scheduler, gangIsNotRestartedBeforeAllAgentsThatMayRunAMemberHaveReported)
{
    const std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "a1", reportOf("i-1", 1));
    send(*first, "a2", reportOf("i-2", 1));
    Step gang = plainStep(2, {1000, 1000, 8});
    gang.isGang = true;
    const std::vector<wire::StartOrder> orders = startsOf(send(*first, "entry", submitOf(plainJob("gang", "usual", {gang}))));
    LONGS_EQUAL(2, orders.size());
    const wire::StartOrder &early = orders[0].endpoint == "i-1" ? orders[0] : orders[1];
    const wire::StartOrder &late = orders[0].endpoint == "i-1" ? orders[1] : orders[0];

    const std::unique_ptr<Scheduler> second = makeScheduler(2);
    send(*second, "a3", reportOf("i-3", 2));
    send(*second, "a4", reportOf("i-4", 2));
    wire::EndpointReport running = reportOf("i-1", 2);
    running.running = {rowOf(early.run)};
    CHECK_TRUE(startsOf(send(*second, "a1", running)).empty());
    wire::EndpointReport ended = reportOf("i-1", 2);
    ended.ended = {endOf(1, early.run, wire::RunEnding::Broken)};
    CHECK_TRUE(startsOf(send(*second, "a1", ended)).empty());

    wire::EndpointReport last = reportOf("i-2", 2);
    last.running = {rowOf(late.run)};
    CHECK_TRUE(startsOf(send(*second, "a2", last)).empty());
    wire::EndpointReport gone = reportOf("i-2", 2);
    gone.ended = {endOf(1, late.run, wire::RunEnding::Broken)};
    LONGS_EQUAL(2, startsOf(send(*second, "a2", gone)).size());
}

// Guards against a task that runs twice: a run that the next incarnation of its endpoint lists was released, and a later scheduler did not wait for its agent.
TEST(Scheduler, runThatTheNextIncarnationListsIsNotReleased)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    LONGS_EQUAL(1, starts.size());
    wire::StartResult started;
    started.generation = 1;
    started.endpoint = "i-a";
    started.born = 100;
    started.run = starts[0].run;
    started.outcome = wire::StartOutcome::Started;
    send(*scheduler, "a", started);

    wire::EndpointReport report = reportOf("i-a", 1);
    report.born = 200;
    report.running = {rowOf(starts[0].run, 10)};
    send(*scheduler, "a", report);
    send(*scheduler, "b", reportOf("i-b", 1));

    std::unique_ptr<Scheduler> next = makeScheduler(2);
    LONGS_EQUAL(0, startsOf(send(*next, "b", reportOf("i-b", 2))).size());
}
