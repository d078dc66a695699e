// Faults of the scheduler that are not mended. CTest runs each of these tests by itself, so that KNOWN-RED.txt can name it.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(OpenFinding, SchedulerFixture) {};

// Guards against a task that runs twice: an entry that is cut off from the store and from the other entries goes on to extend the leases of the agents that
// it reaches, and the next scheduler takes them to have run out.
TEST(OpenFinding, leasesThatAnEarlierSchedulerExtendsAreNotTakenToBeOver)
{
    std::unique_ptr<Scheduler> first = makeScheduler(1);
    send(*first, "a", reportOf("i-a", 1));
    const std::vector<wire::StartOrder> starts = startsOf(send(*first, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    LONGS_EQUAL(1, starts.size());
    first->setStoreReachable(false);
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
}

// Guards against an endpoint that gets no work any more: the wall clock of its machine has been set back, and its next incarnation was born "before" the last.
TEST(OpenFinding, laterReportOfAnEndpointWithAnEarlierTimeOfBirthIsTaken)
{
    std::unique_ptr<Scheduler> scheduler = makeScheduler(1);
    send(*scheduler, "a", reportOf("i-a", 1));
    wire::EndpointReport next = reportOf("i-b", 1);
    next.born = 50;
    send(*scheduler, "a", next);
    const std::vector<wire::StartOrder> starts = startsOf(send(*scheduler, "entry", submitOf(plainJob("j1", "usual", {plainStep(1, {1000, 100, 1})}))));
    LONGS_EQUAL(1, starts.size());
    STRCMP_EQUAL("i-b", starts[0].endpoint.c_str());
}
