// Batches of records for the store, and which records can still be retracted.

#include "cell/writequeue.h"
#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP(WriteQueue)
{
    WriteQueue queue;
};

TEST(WriteQueue, batchHoldsTheNewestRecordOfEachKey)
{
    queue.add({{"a", "1"}, {"b", "1"}, {"a", "2"}}, 3);
    queue.beginBatch();
    LONGS_EQUAL(2, queue.batch().size());
    STRCMP_EQUAL("2", queue.batch().front().value.c_str());
    LONGS_EQUAL(3, queue.lastBatchedWrite());
    CHECK_TRUE(queue.isEmpty());
}

TEST(WriteQueue, recordOfARefusedBatchCanBeRetracted)
{
    queue.add({{"a", "1"}, {"b", "1"}}, 2);
    queue.beginBatch();
    CHECK_TRUE(queue.retract("a"));
    LONGS_EQUAL(1, queue.batch().size());
}

TEST(WriteQueue, recordsOfAnUnansweredBatchCannotBeRetractedButLaterOnesCan)
{
    queue.add({{"a", "1"}}, 1);
    queue.beginBatch();
    queue.markBatchOutcomeUnknown();
    queue.add({{"b", "1"}}, 2);
    CHECK_FALSE(queue.retract("a"));
    CHECK_TRUE(queue.retract("b"));
    LONGS_EQUAL(1, queue.batch().size());
    CHECK_TRUE(queue.isEmpty());
}

TEST_GROUP_BASE(StoreOutage, SchedulerFixture) {};

/// Guards against submissions that are pending when the store becomes unreachable and wait until their callers' deadlines.
TEST(StoreOutage, submissionsThatAreConfirmedNotStoredAreRefusedAtOnce)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    scheduler->receive("entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})), now, wall);
    scheduler->receive("entry", callOf(wire::CallKind::Query, "j1"), now, wall);
    scheduler->takeOutput();
    scheduler->setStoreReachable(false);
    LONGS_EQUAL(1, scheduler->pendingSubmissions().size());
    scheduler->retractSubmission("j1");
    const auto answers = messagesOf<wire::JobAnswer>(scheduler->takeOutput());
    LONGS_EQUAL(2, answers.size());
    LONGS_EQUAL(wire::CallOutcome::Refused, answers[0].second.outcome);
    CHECK(answers[0].second.retryAfterMs > 0);
    LONGS_EQUAL(wire::CallOutcome::Missing, answers[1].second.outcome);
    CHECK_TRUE(scheduler->jobs().empty());
}

TEST(StoreOutage, acceptedAndCancelledJobsAreNotRetracted)
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})})));
    scheduler->receive("entry", submitOf(plainJob("j2", "usual", {plainStep(1, {1000, 100, 1})})), now, wall);
    scheduler->receive("entry", callOf(wire::CallKind::Cancel, "j2"), now, wall);
    CHECK_TRUE(scheduler->pendingSubmissions().empty());
}
