// The objective of a job: what counts as its longest chain, and when its steps must be started.

#include "cell/objective.h"

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

Step stepAfter(int tasks, const std::vector<int> &after)
{
    Step step;
    step.tasks = tasks;
    step.needs = {1000, 1000, 1};
    step.after = after;
    return step;
}

} // namespace

TEST_GROUP(Objective) {};

TEST(Objective, stepWithinItsShareTakesOneRunTime)
{
    const Step step = stepAfter(4, {});
    LONGS_EQUAL(2000, stepDuration(step, step.needs, Milliseconds(2000), {64000, 64000, 16}).count());
}

/// Otherwise a wide job seems to have as little time left as a narrow one that arrives after it.
TEST(Objective, wideStepTakesSeveralRunTimes)
{
    const Step step = stepAfter(16, {});
    LONGS_EQUAL(8000, stepDuration(step, step.needs, Milliseconds(2000), {64000, 64000, 16}).count());
}

TEST(Objective, unknownCapacityCountsAsSufficient)
{
    const Step step = stepAfter(16, {});
    LONGS_EQUAL(2000, stepDuration(step, step.needs, Milliseconds(2000), Resources()).count());
}

TEST(Objective, chainsFollowTheDependenciesOfTheSteps)
{
    const std::vector<Step> steps = {stepAfter(1, {}), stepAfter(1, {}), stepAfter(1, {0}), stepAfter(1, {1, 2})};
    const std::vector<Milliseconds> chains = chainDurations(steps, {Milliseconds(100), Milliseconds(700), Milliseconds(200), Milliseconds(50)});
    LONGS_EQUAL(350, chains[0].count());
    LONGS_EQUAL(750, chains[1].count());
    LONGS_EQUAL(250, chains[2].count());
    LONGS_EQUAL(50, chains[3].count());
}

TEST(Objective, latestStartLeavesTimeForTheRestOfTheChain)
{
    const BootTime since = BootTime(Seconds(10));
    const std::vector<BootTime> starts = latestStarts({Milliseconds(1000), Milliseconds(400)}, 1.5, Milliseconds(250), since);
    LONGS_EQUAL(750, (starts[0] - since).count());
    LONGS_EQUAL(1350, (starts[1] - since).count());
}

/// Declared run times are not limited by the platform.
TEST(Objective, absurdRunTimeDoesNotOverflow)
{
    const Step step = stepAfter(1000000, {});
    const Milliseconds duration = stepDuration(step, step.needs, Milliseconds::max(), {1000, 1000, 1});
    CHECK(duration > Milliseconds(0));
    const BootTime since = BootTime(Seconds(10));
    CHECK(latestStarts({duration}, 1e9, Milliseconds(250), since)[0] >= since);
}
