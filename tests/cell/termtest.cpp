// Tests of what a scheduler answers while it is not certain that its term goes on.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(SchedulerTerm, SchedulerFixture)
{
    std::unique_ptr<Scheduler> scheduler;

    /// Submits a job and lets its task end, or only begin.
    void playJob(bool isEnding)
    {
        scheduler = makeScheduler(1);
        send(*scheduler, "a", reportOf("i-a", 1));
        const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
        LONGS_EQUAL(1, starts.size());
        wire::EndpointReport report = reportOf("i-a", 1);
        if (isEnding) {
            report.ended = {endOf(1, starts.front().run, wire::RunEnding::Done)};
        } else {
            report.running = {rowOf(starts.front().run)};
        }
        send(*scheduler, "a", report);
    }

    /// The answers to a call some time after the term was last confirmed.
    std::vector<wire::JobAnswer> answersWhenUnconfirmed(wire::CallKind::type kind)
    {
        advance(Seconds(8));
        scheduler->receive("entry", callOf(kind, "j1"), now, wall);
        return answersLeft();
    }

    std::vector<wire::JobAnswer> answersLeft()
    {
        std::vector<wire::JobAnswer> answers;
        for (const auto &[peer, answer] : messagesOf<wire::JobAnswer>(scheduler->takeOutput())) {
            answers.push_back(answer);
        }
        return answers;
    }
};

/// Guards against LOST: a scheduler that was paused tells the callers of a job that its successor has accepted that there is no such job.
TEST(SchedulerTerm, schedulerWithoutRecentContactToTheStoreDoesNotSayThatAJobIsMissing)
{
    scheduler = makeScheduler(1);
    settle(*scheduler);
    advance(Seconds(8));
    scheduler->receive("entry", callOf(wire::CallKind::Query, "j1"), now, wall);
    LONGS_EQUAL(0, messagesOf<wire::JobAnswer>(scheduler->takeOutput()).size());
}

/// Guards against a state that goes back: a scheduler that was paused shows a job as running that its successor has shown as succeeded.
TEST(SchedulerTerm, schedulerWithoutRecentContactToTheStoreDoesNotSayThatAJobIsRunning)
{
    scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})));
    STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
    advance(Seconds(8));
    scheduler->receive("entry", callOf(wire::CallKind::Query, "j1"), now, wall);
    LONGS_EQUAL(0, messagesOf<wire::JobAnswer>(scheduler->takeOutput()).size());
}

/// The call is answered as soon as the term is confirmed, by the state at that time.
TEST(SchedulerTerm, callThatWasHeldBackIsAnsweredWhenTheTermIsConfirmed)
{
    playJob(false);
    LONGS_EQUAL(0, answersWhenUnconfirmed(wire::CallKind::Query).size());
    scheduler->confirmTerm(now, now, wall); // was valid for too short a time
    LONGS_EQUAL(0, answersLeft().size());
    scheduler->confirmTerm(now + Seconds(1), now, wall);
    const std::vector<wire::JobAnswer> answers = answersLeft();
    LONGS_EQUAL(1, answers.size());
    STRCMP_EQUAL("running", answers.front().state.c_str());
}

/// A call that can't be answered is refused soon, so that its caller can ask again, and the scheduler goes on ticking until then.
TEST(SchedulerTerm, callThatIsHeldBackForTooLongIsRefused)
{
    scheduler = makeScheduler(1);
    settle(*scheduler);
    LONGS_EQUAL(0, answersWhenUnconfirmed(wire::CallKind::CountWaiting).size());
    CHECK(scheduler->isBusy());
    advance(Milliseconds(800));
    scheduler->tick(now, wall);
    const std::vector<wire::JobAnswer> answers = answersLeft();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().outcome == wire::CallOutcome::Refused);
    CHECK(answers.front().retryAfterMs > 0);
    CHECK_FALSE(scheduler->isBusy());
}

/// The repeat of a call that is held back is the same call.
TEST(SchedulerTerm, repeatedCallIsAnsweredOnce)
{
    scheduler = makeScheduler(1);
    settle(*scheduler);
    advance(Seconds(8));
    const wire::JobCall call = callOf(wire::CallKind::Query, "j1");
    scheduler->receive("entry", call, now, wall);
    scheduler->receive("entry", call, now, wall);
    scheduler->confirmTerm(now + Seconds(1), now, wall);
    LONGS_EQUAL(1, answersLeft().size());
}

/// A final state is stored, and holds whichever process says it.
TEST(SchedulerTerm, finalStateIsToldWithoutAConfirmation)
{
    playJob(true);
    const std::vector<wire::JobAnswer> answers = answersWhenUnconfirmed(wire::CallKind::Query);
    LONGS_EQUAL(1, answers.size());
    STRCMP_EQUAL("succeeded", answers.front().state.c_str());
}

/// Guards against a task that runs twice: an entry that is cut off from the store and from the other entries goes on to extend the leases of the agents that
/// it reaches, and the next scheduler takes them to have run out.
TEST(SchedulerTerm, leasesThatAnEarlierSchedulerExtendsAreNotTakenToBeOver)
{
    std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*first, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    LONGS_EQUAL(1, starts.size());
    first->setStoreReachable(false);
    first->confirmLeases(now);
    advance(Seconds(2)); // the first entry's membership has expired, and the second one holds the partition
    std::unique_ptr<Scheduler> second = makeScheduler(2);
    BootTime leaseEnd;
    for (int round = 0; round < 40; ++round) {
        advance(Milliseconds(500));
        wire::EndpointReport report = reportOf("i-a", 1);
        report.sentAtMs = now.time_since_epoch().count();
        report.running = {rowOf(starts[0].run, round)};
        first->receive("a", report, now, wall);
        first->tick(now, wall);
        for (const auto &[peer, grant] : messagesOf<wire::EndpointGrant>(first->takeOutput())) {
            leaseEnd = std::max(leaseEnd, BootTime(Milliseconds(grant.sentAtMs)) + lease);
        }
        if (!startsOf(send(*second, "b", reportOf("i-b", 2))).empty()) {
            CHECK_TEXT(leaseEnd <= now, "started again under a lease that is not over");
            return;
        }
    }
    FAIL("not started again when all leases are over");
}

/// While the store is away for everybody, what runs goes on as long as another entry knows of no later term.
TEST(SchedulerTerm, leasesAreExtendedWithoutTheStoreWhileAnotherEntryConfirms)
{
    scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    scheduler->confirmLeases(now);
    advance(Seconds(8));
    scheduler->receive("a", reportOf("i-a", 1), now, wall);
    LONGS_EQUAL(0, messagesOf<wire::EndpointGrant>(scheduler->takeOutput()).front().second.sentAtMs);
    scheduler->confirmLeases(now + Seconds(1));
    scheduler->receive("a", reportOf("i-a", 1), now, wall);
    CHECK(messagesOf<wire::EndpointGrant>(scheduler->takeOutput()).front().second.sentAtMs != 0);
}

/// The lease of a run that was granted before is not known to a scheduler that may not extend it: the run is not taken to be over.
TEST(SchedulerTerm, runsOfAnEndpointThatIsSeenFirstWithoutAConfirmationAreKept)
{
    scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    LONGS_EQUAL(1, starts.size());
    scheduler = makeScheduler(2);
    scheduler->confirmLeases(now);
    advance(Seconds(3));
    wire::EndpointReport report = reportOf("i-a", 2);
    report.running = {rowOf(starts.front().run, 10)};
    scheduler->receive("a", report, now, wall);
    scheduler->tick(now, wall);
    LONGS_EQUAL(1, scheduler->endpoints().at("a").runs.size());
}
