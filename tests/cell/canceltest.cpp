// Tests of cancelled jobs whose runs go on for a while.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(SchedulerCancel, SchedulerFixture)
{
    std::unique_ptr<Scheduler> scheduler;
    wire::RunRef run;
    std::int64_t generation = 1;
    std::size_t stops = 0;

    /// Starts a job that lasts, with nothing else to do.
    void startLastingJob()
    {
        scheduler = makeScheduler(1);
        send(*scheduler, "a", reportOf("i-a", 1));
        JobSpec job = plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})});
        job.steps[0].isLongRunning = true;
        const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(job)));
        LONGS_EQUAL(1, starts.size());
        run = starts.front().run;
    }

    /// The run goes on, and the scheduler gets ticks only while it is busy, as an entry gives them.
    void playWhileBusy(Milliseconds length)
    {
        const BootTime end = now + length;
        while (now < end) {
            advance(Milliseconds(100));
            if (now.time_since_epoch().count() % 500 == 0) {
                wire::EndpointReport report = reportOf("i-a", generation);
                report.running = {rowOf(run)};
                scheduler->receive("a", report, now, wall);
            }
            if (scheduler->isBusy()) {
                scheduler->tick(now, wall);
            }
            const SchedulerOutput output = scheduler->takeOutput();
            stops += messagesOf<wire::StopOrder>(output).size();
            if (!output.writes.empty()) {
                scheduler->stored(output.lastWrite, now);
            }
        }
    }
};

/// Guards against UNASKED: a start order that waits for a connection outlasts the cancel of its job.
TEST(SchedulerCancel, startOrderIsValidForAShortTimeAfterTheNewestReportOfItsAgent)
{
    scheduler = makeScheduler(1);
    wire::EndpointReport report = reportOf("i-a", 1);
    report.sentAtMs = 5000;
    send(*scheduler, "a", report);
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    LONGS_EQUAL(1, starts.size());
    CHECK(starts[0].validUntilMs > 5000);
    CHECK(starts[0].validUntilMs < 5000 + 3000);
}

/// Guards against UNASKED: the stop order was lost with a killed agent and not repeated while no other job was unfinished.
TEST(SchedulerCancel, stopOfTheOnlyJobIsRepeatedUntilItsRunIsGone)
{
    startLastingJob();
    playWhileBusy(Milliseconds(1000));
    scheduler->receive("entry", callOf(wire::CallKind::Cancel, "j1"), now, wall);
    playWhileBusy(Milliseconds(6000));
    CHECK(stops >= 4);
    send(*scheduler, "a", reportOf("i-a", 1)); // without the run
    CHECK_FALSE(scheduler->isBusy());
}

/// As above, for a scheduler that finds the job cancelled and its run still there.
TEST(SchedulerCancel, nextSchedulerRepeatsTheStopAsWell)
{
    startLastingJob();
    send(*scheduler, "entry", callOf(wire::CallKind::Cancel, "j1"));
    scheduler = makeScheduler(2);
    generation = 2;
    playWhileBusy(Milliseconds(6000));
    CHECK(stops >= 4);
}

/// The lease of an endpoint that has gone away is looked at too, so that the scheduler comes to rest.
TEST(SchedulerCancel, runOfALostEndpointIsReleasedAfterItsLease)
{
    startLastingJob();
    send(*scheduler, "entry", callOf(wire::CallKind::Cancel, "j1"));
    const BootTime end = now + 2 * lease;
    while (now < end && scheduler->isBusy()) {
        advance(Milliseconds(100));
        settle(*scheduler);
    }
    CHECK(now < end);
    CHECK(scheduler->endpoints().at("a").runs.empty());
}

/// Guards against UNASKED: a cancel is acknowledged although its job is unknown, and the submission, which arrives later, is accepted and started.
TEST(SchedulerCancel, submissionThatArrivesAfterItsCancelIsNotStarted)
{
    scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const auto answers = messagesOf<wire::JobAnswer>(send(*scheduler, "entry", callOf(wire::CallKind::Cancel, "j1")));
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().second.outcome == wire::CallOutcome::Missing);
    const PeerMessage late = submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}));
    LONGS_EQUAL(0, startsOf(send(*scheduler, "entry", late)).size());
    STRCMP_EQUAL("cancelled", stateOf(*scheduler, "j1").c_str());
}

/// As above, with a change of scheduler in between.
TEST(SchedulerCancel, submissionThatArrivesAfterItsCancelIsNotStartedByTheNextScheduler)
{
    scheduler = makeScheduler(1);
    send(*scheduler, "entry", callOf(wire::CallKind::Cancel, "j1"));
    scheduler = makeScheduler(2);
    send(*scheduler, "a", reportOf("i-a", 2));
    const PeerMessage late = submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}));
    LONGS_EQUAL(0, startsOf(send(*scheduler, "entry", late)).size());
    STRCMP_EQUAL("cancelled", stateOf(*scheduler, "j1").c_str());
}

/// Guards against UNASKED: a scheduler whose term is over acknowledges the cancel of a job that its successor has accepted. Only a write shows that it isn't.
TEST(SchedulerCancel, cancelOfAnUnknownJobIsAcknowledgedOnceItIsRecorded)
{
    scheduler = makeScheduler(1);
    settle(*scheduler);
    scheduler->receive("entry", callOf(wire::CallKind::Cancel, "j1"), now, wall);
    const SchedulerOutput output = scheduler->takeOutput();
    LONGS_EQUAL(0, messagesOf<wire::JobAnswer>(output).size());
    CHECK(!output.writes.empty());
    scheduler->stored(output.lastWrite, now);
    LONGS_EQUAL(1, messagesOf<wire::JobAnswer>(scheduler->takeOutput()).size());
}

/// A cancel that came first is as final as one that came later: it is answered again without a record of its own, and forgotten after a while.
TEST(SchedulerCancel, earlyCancelIsRecordedOnceAndRemovedAfterTheTimeOfAFinishedJob)
{
    scheduler = makeScheduler(1);
    send(*scheduler, "entry", callOf(wire::CallKind::Cancel, "j1"));
    LONGS_EQUAL(1, records.size());
    scheduler->receive("entry", callOf(wire::CallKind::Cancel, "j1"), now, wall);
    const SchedulerOutput again = scheduler->takeOutput();
    LONGS_EQUAL(1, messagesOf<wire::JobAnswer>(again).size());
    LONGS_EQUAL(0, again.writes.size());
    scheduler = makeScheduler(2);
    advance(Seconds(151));
    settle(*scheduler);
    LONGS_EQUAL(0, records.size());
}

/// The record of an early cancel and that of its job are removed together.
TEST(SchedulerCancel, recordsOfAJobThatWasCancelledEarlyAreRemoved)
{
    scheduler = makeScheduler(1);
    send(*scheduler, "entry", callOf(wire::CallKind::Cancel, "j1"));
    send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})));
    LONGS_EQUAL(2, records.size());
    scheduler = makeScheduler(2);
    STRCMP_EQUAL("cancelled", stateOf(*scheduler, "j1").c_str());
    advance(Seconds(151));
    settle(*scheduler);
    LONGS_EQUAL(0, records.size());
}
