// Run time estimates while few runs are known.

#include "planning/estimates.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::planning;

TEST_GROUP(RunEstimates)
{
    RunEstimates estimates;

    Milliseconds expected(Milliseconds declared)
    {
        return estimates.quantile("acme", "render", declared, 0.5);
    }
};

TEST(RunEstimates, singleDeclarationIsUsed)
{
    LONGS_EQUAL(700, expected(Milliseconds(700)).count());
}

/// Right after a change of scheduler no runs are known, and one submitter's error of a factor of ten would decide what is preempted for the job.
TEST(RunEstimates, medianOfTheDeclarationsIsPreferredToASingleOne)
{
    for (const int declared : {300, 2500, 24000, 2000, 3000}) {
        estimates.declare("other", "render", Milliseconds(declared));
    }
    LONGS_EQUAL(2500, expected(Milliseconds(280)).count());
}

TEST(RunEstimates, recordedRunsArePreferredToDeclarations)
{
    for (int run = 0; run < 5; ++run) {
        estimates.declare("acme", "render", Milliseconds(9000));
        estimates.record("acme", "render", Milliseconds(1000));
    }
    LONGS_EQUAL(1000, expected(Milliseconds(9000)).count());
}

TEST(RunEstimates, missingDeclarationsAreIgnored)
{
    for (int job = 0; job < 5; ++job) {
        estimates.declare("acme", "render", Milliseconds(0));
    }
    LONGS_EQUAL(700, expected(Milliseconds(700)).count());
}
