// Tests of the states of jobs that callers are told, across changes of the scheduler.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(SchedulerState, SchedulerFixture) {};

/// Guards against a state that goes back: the record of a job whose only run was preempted did not show that the job had begun.
TEST(SchedulerState, preemptedJobIsRunningForTheNextSchedulerToo)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "later", {plainStep(1, {1000, 100, 8})}))));
    LONGS_EQUAL(1, starts.size());
    wire::EndpointReport report = reportOf("i-a", 1);
    report.running = {rowOf(starts.front().run)};
    send(*scheduler, "a", report);
    send(*scheduler, "entry", submitOf(plainJob("j2", "urgent", {plainStep(1, {1000, 100, 8})})));
    report = reportOf("i-a", 1);
    report.ended = {endOf(1, starts.front().run, wire::RunEnding::Stopped)};
    const std::vector<wire::StartOrder> next = startsOf(send(*scheduler, "a", report));
    LONGS_EQUAL(1, next.size());
    STRCMP_EQUAL("j2", next.front().run.job.c_str());
    STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
    scheduler = makeScheduler(2);
    STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
}

/// Guards against a state that goes back: a scheduler that is cut off from the store shows a job as running whose start it can't record, and its successor
/// knows nothing of it.
TEST(SchedulerState, jobIsPendingUntilItsStartIsRecorded)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})));
    scheduler->receive("a", reportOf("i-a", 1), now, wall);
    scheduler->tick(now, wall);
    const SchedulerOutput planned = scheduler->takeOutput();
    CHECK(!planned.writes.empty());
    scheduler->receive("entry", callOf(wire::CallKind::Query, "j1"), now, wall);
    const auto answers = messagesOf<wire::JobAnswer>(scheduler->takeOutput());
    LONGS_EQUAL(1, answers.size());
    STRCMP_EQUAL("pending", answers.front().second.state.c_str());
    scheduler->stored(planned.lastWrite, now);
    STRCMP_EQUAL("running", stateOf(*scheduler, "j1").c_str());
}
