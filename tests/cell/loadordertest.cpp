// The order of waiting units under overload.

#include "cell/loadorder.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

BootTime at(std::int64_t ms)
{
    return BootTime(Milliseconds(1000000 + ms));
}

TurnInput input(std::int64_t since, std::int64_t latestStart, std::int64_t objective, double work)
{
    return {at(since), at(latestStart), Milliseconds(objective), work};
}

} // namespace

TEST_GROUP(LoadOrder) {};

TEST(LoadOrder, unitsThatCanMeetTheirObjectiveGoByTheTimeToSpare)
{
    CHECK(turnOf(input(0, 5000, 9000, 100), at(1000)) < turnOf(input(0, 6000, 9000, 1), at(1000)));
}

/// Under overload, units that are late in any case would push all others past their objectives.
TEST(LoadOrder, unitsThatMissTheirObjectiveGoBehindThoseThatMeetIt)
{
    CHECK(turnOf(input(0, 60000, 90000, 100), at(1000)) < turnOf(input(0, 500, 9000, 1), at(1000)));
}

TEST(LoadOrder, ofTheUnitsThatMissTheirObjectiveTheSmallestGoesFirst)
{
    CHECK(turnOf(input(0, 500, 9000, 1), at(1000)) < turnOf(input(0, 400, 9000, 100), at(1000)));
}

/// Bound against starvation: a unit that has waited for three objectives goes before every unit that arrives afterwards, however many these are.
TEST(LoadOrder, unitThatHasWaitedForThreeObjectivesIsOvertakenByNoLaterArrival)
{
    const bool isHeld = rc::check("an overdue unit and one that arrived later", [] {
        const std::int64_t objective = *rc::gen::inRange<std::int64_t>(1, 100000);
        const TurnInput old = input(0, *rc::gen::inRange<std::int64_t>(0, 100000), objective, *rc::gen::inRange(0, 1000000));
        const std::int64_t now = objective * 3 + *rc::gen::inRange<std::int64_t>(0, 100000);
        const std::int64_t since = objective * 3 + *rc::gen::inRange<std::int64_t>(0, now - objective * 3 + 1);
        const std::int64_t otherObjective = *rc::gen::inRange<std::int64_t>(1, 100000);
        const TurnInput other = input(since, since + otherObjective / 2, otherObjective, *rc::gen::inRange(0, 1000));
        RC_ASSERT(turnOf(old, at(now)) <= turnOf(other, at(now)));
    });
    CHECK_TRUE(isHeld);
}
