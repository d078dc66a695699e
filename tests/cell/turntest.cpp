// The order in which entries try for the scheduler's place.

#include "cell/turn.h"

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace knapweed;
using namespace knapweed::cell;

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
        delays.insert(turnDelay({self, 250}, others));
    }
    LONGS_EQUAL(entries.size(), delays.size());
    LONGS_EQUAL(0, delays.begin()->count());
}

TEST(Turn, anEntryThatSeesNoOtherTriesAtOnce)
{
    LONGS_EQUAL(0, turnDelay({"10.1.0.3:1", 250}, {}).count());
}

TEST(Turn, theLastOfManyWaitsUnderASecond)
{
    std::vector<TurnCandidate> others;
    for (int i = 10; i < 50; ++i) {
        others.push_back({"10.0.0." + std::to_string(i), 250});
    }
    CHECK(turnDelay({"10.9.0.1", 250}, others) < Seconds(1));
}

TEST(Turn, smallMachinesLeaveThePlaceToLargeOnes)
{
    LONGS_EQUAL(0, turnDelay({"10.9.0.1", 500}, {{"10.1.0.1", 120}, {"10.1.0.2", 120}}).count());
    CHECK(turnDelay({"10.1.0.1", 120}, {{"10.9.0.1", 500}}).count() > 0);
    CHECK_TRUE(hasBetterCandidate({"10.1.0.1", 120}, {{"10.9.0.1", 500}}));
    CHECK_FALSE(hasBetterCandidate({"10.1.0.1", 250}, {{"10.9.0.1", 250}}));
    CHECK_FALSE(hasBetterCandidate({"10.1.0.1", 500}, {{"10.9.0.1", 120}}));
}
