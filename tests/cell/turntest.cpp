// The order in which entries try for the scheduler's place.

#include "cell/turn.h"

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr Milliseconds usualLook {5}; ///< at the place, by a store that is well

} // namespace

TEST_GROUP(Turn) {};

TEST(Turn, entriesThatAllSeeTheirSchedulerCutOffTryOneAfterTheOther)
{
    const std::vector<std::string> entries {"10.1.0.3:1", "10.1.0.4:1", "10.2.0.3:1", "10.3.0.3:1"};
    std::set<Milliseconds> delays;
    for (const std::string &self : entries) {
        std::vector<TurnCandidate> others;
        for (const std::string &other : entries) {
            if (other != self) {
                others.push_back({other, 250});
            }
        }
        delays.insert(turnDelay({self, 250}, others, usualLook));
    }
    LONGS_EQUAL(entries.size(), delays.size());
    LONGS_EQUAL(0, delays.begin()->count());
}

TEST(Turn, anEntryThatSeesNoOtherTriesAtOnce)
{
    LONGS_EQUAL(0, turnDelay({"10.1.0.3:1", 250}, {}, usualLook).count());
}

TEST(Turn, theLastOfManyWaitsUnderASecond)
{
    std::vector<TurnCandidate> others;
    for (int i = 10; i < 50; ++i) {
        others.push_back({"10.0.0." + std::to_string(i), 250});
    }
    CHECK(turnDelay({"10.9.0.1", 250}, others, usualLook) < Seconds(1));
}

TEST(Turn, smallMachinesLeaveThePlaceToLargeOnes)
{
    LONGS_EQUAL(0, turnDelay({"10.9.0.1", 500}, {{"10.1.0.1", 120}, {"10.1.0.2", 120}}, usualLook).count());
    CHECK(turnDelay({"10.1.0.1", 120}, {{"10.9.0.1", 500}}, usualLook).count() > 0);
    CHECK_TRUE(hasBetterCandidate({"10.1.0.1", 120}, {{"10.9.0.1", 500}}));
    CHECK_FALSE(hasBetterCandidate({"10.1.0.1", 250}, {{"10.9.0.1", 250}}));
    CHECK_FALSE(hasBetterCandidate({"10.1.0.1", 500}, {{"10.9.0.1", 120}}));
}

/// A slow store and entries that restart one after the other: nobody knows the scheduler for seconds, and each new one would be challenged by all others.
TEST(Turn, freshOwnerIsNotChallengedForTheOneBefore)
{
    OwnerDoubt doubt;
    const MonotonicTime start = MonotonicTime(Seconds(1000));
    doubt.seen("a", false, start);
    doubt.seen("a", false, start + Milliseconds(3100));
    CHECK_TRUE(doubt.isDue(start + Milliseconds(3100)));
    doubt.seen("b", false, start + Milliseconds(3200));
    CHECK_FALSE(doubt.isDue(start + Milliseconds(6000)));
    CHECK_TRUE(doubt.isDue(start + Milliseconds(6300)));
}

TEST(Turn, ownerThatIsConnectedOrUnseenIsNotDoubted)
{
    OwnerDoubt doubt;
    const MonotonicTime start = MonotonicTime(Seconds(1000));
    doubt.seen("a", false, start);
    doubt.seen("a", true, start + Seconds(2));
    CHECK_FALSE(doubt.isDue(start + Seconds(4)));
    doubt.unseen(start + Seconds(6));
    CHECK_FALSE(doubt.isDue(start + Seconds(8)));
}

/// With a slow store the next in order would look before the first one's join is done.
TEST(Turn, slowStoreLengthensEachTurn)
{
    const std::vector<TurnCandidate> before {{"10.1.0.1", 250}};
    const Milliseconds slowLook {300};
    CHECK(turnDelay({"10.2.0.1", 250}, before, slowLook) > 2 * slowLook);
    CHECK(turnDelay({"10.2.0.1", 250}, before, Seconds(5)) <= Seconds(3));
}

/// All entries start at the same moment and see the place free: five schedulers followed each other within 1.2 s.
TEST(Turn, entriesThatHaveJustStartedHearOfEachOtherFirst)
{
    CHECK(learningDelay(Milliseconds(10), 0, 0) > Milliseconds(500));
    CHECK(learningDelay(Milliseconds(150), 30, 4) > Milliseconds(500));
    LONGS_EQUAL(0, learningDelay(Seconds(1), 30, 4).count());
    LONGS_EQUAL(0, learningDelay(Milliseconds(150), 3, 3).count()); // a small fleet, after the loss of all of it
}

/// Entries that see the place free at the same moment all join; all but one leave at once, and each of these has the place dealt anew.
TEST(Turn, schedulerKeepsItsTenureWhileOthersJoinAndLeave)
{
    PlaceDoubt doubt;
    CHECK_FALSE(doubt.isLost(true));
    CHECK_FALSE(doubt.isLost(false));
    CHECK_FALSE(doubt.isLost(true));
    CHECK_FALSE(doubt.isLost(false));
    CHECK_FALSE(doubt.isLost(false));
    CHECK_TRUE(doubt.isLost(false));
}
