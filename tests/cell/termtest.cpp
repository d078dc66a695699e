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
