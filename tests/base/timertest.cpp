// Contract of the event loop's timers: each one runs, also when nothing else wakes the loop.

#include "base/eventloop.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

constexpr int timersInARow = 2000;
constexpr Seconds deadline {20};

void startNext(EventLoop &loop, int left)
{
    if (left == 0) {
        loop.stop();
        return;
    }
    loop.callAfter(Milliseconds(1), [&loop, left] {
        startNext(loop, left - 1);
    });
}

} // namespace

TEST_GROUP(Timers) {};

TEST(Timers, runWithoutAnotherEvent)
{
    EventLoop loop;
    startNext(loop, timersInARow);
    std::future<void> ended = std::async(std::launch::async, [&loop] {
        loop.run();
    });
    const bool isInTime = ended.wait_for(deadline) == std::future_status::ready;
    loop.stop();
    CHECK(isInTime);
}
