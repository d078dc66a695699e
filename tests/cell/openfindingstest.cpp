// Faults of the scheduler that are not mended. CTest runs each of these tests by itself, so that KNOWN-RED.txt can name it.

#include "cell/schedulerfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace knapweed;
using namespace knapweed::cell;

TEST_GROUP_BASE(OpenFinding, SchedulerFixture) {};

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
