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
        std::vector<std::string> others;
        for (const std::string &other : entries) {
            if (other != self) {
                others.push_back(other);
            }
        }
        delays.insert(turnDelay(self, others));
    }
    LONGS_EQUAL(entries.size(), delays.size());
    LONGS_EQUAL(0, delays.begin()->count());
}

TEST(Turn, anEntryThatSeesNoOtherTriesAtOnce)
{
    LONGS_EQUAL(0, turnDelay("10.1.0.3:1", {}).count());
}

TEST(Turn, theLastOfManyWaitsUnderASecond)
{
    std::vector<std::string> others;
    for (int i = 10; i < 50; ++i) {
        others.push_back("10.0.0." + std::to_string(i));
    }
    CHECK(turnDelay("10.9.0.1", others) < Seconds(1));
}
