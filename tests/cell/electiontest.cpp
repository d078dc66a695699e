// Election of the scheduler: the order of the entries, and when a leader is challenged or has lost leadership.

#include "cell/election.h"

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

namespace
{

constexpr Milliseconds usualLatency {5}; ///< time of a query to a store that is not slow

} // namespace

TEST_GROUP(Election) {};

TEST(Election, entriesThatAllLoseTheirSchedulerHaveDifferentDelays)
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
        delays.insert(electionDelay({self, 250}, others, usualLatency));
    }
    LONGS_EQUAL(entries.size(), delays.size());
    LONGS_EQUAL(0, delays.begin()->count());
}

TEST(Election, entryWithoutOtherCandidatesHasNoDelay)
{
    LONGS_EQUAL(0, electionDelay({"10.1.0.3:1", 250}, {}, usualLatency).count());
}

TEST(Election, lastOfManyCandidatesWaitsUnderASecond)
{
    std::vector<LeaderCandidate> others;
    for (int i = 10; i < 50; ++i) {
        others.push_back({"10.0.0." + std::to_string(i), 250});
    }
    CHECK(electionDelay({"10.9.0.1", 250}, others, usualLatency) < Seconds(1));
}

TEST(Election, largerProcessorShareComesFirst)
{
    LONGS_EQUAL(0, electionDelay({"10.9.0.1", 500}, {{"10.1.0.1", 120}, {"10.1.0.2", 120}}, usualLatency).count());
    CHECK(electionDelay({"10.1.0.1", 120}, {{"10.9.0.1", 500}}, usualLatency).count() > 0);
    CHECK_TRUE(hasBetterCandidate({"10.1.0.1", 120}, {{"10.9.0.1", 500}}));
    CHECK_FALSE(hasBetterCandidate({"10.1.0.1", 250}, {{"10.9.0.1", 250}}));
    CHECK_FALSE(hasBetterCandidate({"10.1.0.1", 500}, {{"10.9.0.1", 120}}));
}

/// With a slow store and entries that restart one after the other, the scheduler stays unknown for seconds and all entries would challenge each new one.
TEST(Election, newLeaderIsNotChallengedForItsPredecessor)
{
    LeaderMonitor monitor;
    const MonotonicTime start = MonotonicTime(Seconds(1000));
    monitor.leaderObserved("a", false, start);
    monitor.leaderObserved("a", false, start + Milliseconds(3100));
    CHECK_TRUE(monitor.isChallengeDue(start + Milliseconds(3100)));
    monitor.leaderObserved("b", false, start + Milliseconds(3200));
    CHECK_FALSE(monitor.isChallengeDue(start + Milliseconds(6000)));
    CHECK_TRUE(monitor.isChallengeDue(start + Milliseconds(6300)));
}

TEST(Election, leaderThatIsConnectedOrUnknownIsNotChallenged)
{
    LeaderMonitor monitor;
    const MonotonicTime start = MonotonicTime(Seconds(1000));
    monitor.leaderObserved("a", false, start);
    monitor.leaderObserved("a", true, start + Seconds(2));
    CHECK_FALSE(monitor.isChallengeDue(start + Seconds(4)));
    monitor.leaderUnknown(start + Seconds(6));
    CHECK_FALSE(monitor.isChallengeDue(start + Seconds(8)));
}

/// With a slow store, the next candidate in order would query the leader before the first one's join has completed.
TEST(Election, slowStoreLengthensTheDelay)
{
    const std::vector<LeaderCandidate> before {{"10.1.0.1", 250}};
    const Milliseconds slowLatency {300};
    CHECK(electionDelay({"10.2.0.1", 250}, before, slowLatency) > 2 * slowLatency);
    CHECK(electionDelay({"10.2.0.1", 250}, before, Seconds(5)) <= Seconds(3));
}

/// When all entries start at the same moment, all of them see that leadership is free. Without the delay, five schedulers followed each other within 1.2 s.
TEST(Election, entriesThatHaveJustStartedDiscoverEachOtherFirst)
{
    CHECK(discoveryDelay(Milliseconds(10), 0, 0) > Milliseconds(500));
    CHECK(discoveryDelay(Milliseconds(150), 30, 4) > Milliseconds(500));
    LONGS_EQUAL(0, discoveryDelay(Seconds(1), 30, 4).count());
    LONGS_EQUAL(0, discoveryDelay(Milliseconds(150), 3, 3).count()); // a small cell after the loss of all entries
}

/// Entries that see free leadership at the same moment all join. All but one leave at once, and each join and leave causes a rebalance.
TEST(Election, leadershipIsKeptWhileOtherEntriesJoinAndLeave)
{
    LeadershipLossDetector detector;
    CHECK_FALSE(detector.isLost(true));
    CHECK_FALSE(detector.isLost(false));
    CHECK_FALSE(detector.isLost(true));
    CHECK_FALSE(detector.isLost(false));
    CHECK_FALSE(detector.isLost(false));
    CHECK_TRUE(detector.isLost(false));
}
