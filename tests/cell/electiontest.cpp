// The order in which entries try for the scheduler's place.

#include "cell/election.h"

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

TEST_GROUP(Election) {};

TEST(Election, entriesThatAllSeeTheirSchedulerCutOffTryOneAfterTheOther)
{
    const std::vector<std::string> entries {"10.1.0.3:1", "10.1.0.4:1", "10.2.0.3:1", "10.3.0.3:1"};
    std::set<Milliseconds> delays;
    for (const std::string &self : entries) {
        std::vector<LeaderCandidate> others;
        for (const std::string &other : entries) {
            if (other != self) {
                others.push_back({other, 250});
            }
        }
        delays.insert(electionDelay({self, 250}, others, usualLook));
    }
    LONGS_EQUAL(entries.size(), delays.size());
    LONGS_EQUAL(0, delays.begin()->count());
}

TEST(Election, anEntryThatSeesNoOtherTriesAtOnce)
{
    LONGS_EQUAL(0, electionDelay({"10.1.0.3:1", 250}, {}, usualLook).count());
}

TEST(Election, theLastOfManyWaitsUnderASecond)
{
    std::vector<LeaderCandidate> others;
    for (int i = 10; i < 50; ++i) {
        others.push_back({"10.0.0." + std::to_string(i), 250});
    }
    CHECK(electionDelay({"10.9.0.1", 250}, others, usualLook) < Seconds(1));
}

TEST(Election, smallMachinesLeaveThePlaceToLargeOnes)
{
    LONGS_EQUAL(0, electionDelay({"10.9.0.1", 500}, {{"10.1.0.1", 120}, {"10.1.0.2", 120}}, usualLook).count());
    CHECK(electionDelay({"10.1.0.1", 120}, {{"10.9.0.1", 500}}, usualLook).count() > 0);
    CHECK_TRUE(hasBetterCandidate({"10.1.0.1", 120}, {{"10.9.0.1", 500}}));
    CHECK_FALSE(hasBetterCandidate({"10.1.0.1", 250}, {{"10.9.0.1", 250}}));
    CHECK_FALSE(hasBetterCandidate({"10.1.0.1", 500}, {{"10.9.0.1", 120}}));
}

/// A slow store and entries that restart one after the other: nobody knows the scheduler for seconds, and each new one would be challenged by all others.
TEST(Election, freshOwnerIsNotChallengedForTheOneBefore)
{
    LeaderMonitor doubt;
    const MonotonicTime start = MonotonicTime(Seconds(1000));
    doubt.leaderObserved("a", false, start);
    doubt.leaderObserved("a", false, start + Milliseconds(3100));
    CHECK_TRUE(doubt.isChallengeDue(start + Milliseconds(3100)));
    doubt.leaderObserved("b", false, start + Milliseconds(3200));
    CHECK_FALSE(doubt.isChallengeDue(start + Milliseconds(6000)));
    CHECK_TRUE(doubt.isChallengeDue(start + Milliseconds(6300)));
}

TEST(Election, ownerThatIsConnectedOrUnseenIsNotDoubted)
{
    LeaderMonitor doubt;
    const MonotonicTime start = MonotonicTime(Seconds(1000));
    doubt.leaderObserved("a", false, start);
    doubt.leaderObserved("a", true, start + Seconds(2));
    CHECK_FALSE(doubt.isChallengeDue(start + Seconds(4)));
    doubt.leaderUnknown(start + Seconds(6));
    CHECK_FALSE(doubt.isChallengeDue(start + Seconds(8)));
}

/// With a slow store the next in order would look before the first one's join is done.
TEST(Election, slowStoreLengthensEachTurn)
{
    const std::vector<LeaderCandidate> before {{"10.1.0.1", 250}};
    const Milliseconds slowLook {300};
    CHECK(electionDelay({"10.2.0.1", 250}, before, slowLook) > 2 * slowLook);
    CHECK(electionDelay({"10.2.0.1", 250}, before, Seconds(5)) <= Seconds(3));
}

/// All entries start at the same moment and see the place free: five schedulers followed each other within 1.2 s.
TEST(Election, entriesThatHaveJustStartedHearOfEachOtherFirst)
{
    CHECK(discoveryDelay(Milliseconds(10), 0, 0) > Milliseconds(500));
    CHECK(discoveryDelay(Milliseconds(150), 30, 4) > Milliseconds(500));
    LONGS_EQUAL(0, discoveryDelay(Seconds(1), 30, 4).count());
    LONGS_EQUAL(0, discoveryDelay(Milliseconds(150), 3, 3).count()); // a small fleet, after the loss of all of it
}

/// Entries that see the place free at the same moment all join; all but one leave at once, and each of these has the place dealt anew.
TEST(Election, schedulerKeepsItsTenureWhileOthersJoinAndLeave)
{
    LeadershipLossDetector doubt;
    CHECK_FALSE(doubt.isLost(true));
    CHECK_FALSE(doubt.isLost(false));
    CHECK_FALSE(doubt.isLost(true));
    CHECK_FALSE(doubt.isLost(false));
    CHECK_FALSE(doubt.isLost(false));
    CHECK_TRUE(doubt.isLost(false));
}
