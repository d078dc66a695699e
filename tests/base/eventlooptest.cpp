// Contract of the event loop: order of messages, and timers that run on time whatever else happens.

#include "base/looptask.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

using namespace knapweed;

TEST_GROUP(EventLoop) {};

TEST(EventLoop, runsMessagesInTheOrderPosted)
{
    constexpr int messages = 1000;
    LoopTask task;
    std::vector<int> seen;
    for (int number = 0; number < messages; ++number) {
        task.loop().post([&seen, number]() {
            seen.push_back(number);
        });
    }
    task.call([]() {});
    LONGS_EQUAL(messages, seen.size());
    for (int number = 0; number < messages; ++number) {
        LONGS_EQUAL(number, seen[static_cast<std::size_t>(number)]);
    }
}

TEST(EventLoop, runsTimersThoughNothingElseWakesIt)
{
    // Many delays, so that some fall due just as the library looks at its own list of timers.
    for (int delay = 0; delay < 60; ++delay) {
        LoopTask task;
        std::promise<void> done;
        task.call([&]() {
            task.loop().callEvery(Milliseconds(7), []() {});
            task.loop().callAfter(Milliseconds(delay), [&done]() {
                done.set_value();
            });
        });
        CHECK(done.get_future().wait_for(testDeadline) == std::future_status::ready);
    }
}

TEST(EventLoop, runsTimersBesideSlowMessages)
{
    LoopTask task;
    std::promise<void> done;
    task.call([&]() {
        task.loop().callAfter(Milliseconds(5), [&done]() {
            done.set_value();
        });
    });
    task.call([]() {
        std::this_thread::sleep_for(Milliseconds(20)); // the load under test
    });
    CHECK(done.get_future().wait_for(testDeadline) == std::future_status::ready);
}

TEST(EventLoop, doesNotRunCancelledTimers)
{
    LoopTask task;
    std::atomic<int> early {0};
    std::promise<void> done;
    task.call([&]() {
        const TimerId cancelled = task.loop().callAfter(Milliseconds(10), [&early]() {
            ++early;
        });
        task.loop().callAfter(Milliseconds(30), [&done]() {
            done.set_value();
        });
        task.loop().cancelTimer(cancelled);
        task.loop().cancelTimer(cancelled + 1000);
    });
    CHECK(done.get_future().wait_for(testDeadline) == std::future_status::ready);
    LONGS_EQUAL(0, early.load());
}

TEST(EventLoop, repeatsATimerThatMayCancelItself)
{
    LoopTask task;
    const std::shared_ptr<int> runs = std::make_shared<int>(0);
    task.call([&]() {
        const std::shared_ptr<TimerId> timer = std::make_shared<TimerId>(0);
        *timer = task.loop().callEvery(Milliseconds(1), [&task, runs, timer]() {
            if (++*runs == 5) {
                task.loop().cancelTimer(*timer);
            }
        });
    });
    const bool isRepeated = task.waitFor([runs]() {
        return *runs == 5;
    });
    CHECK(isRepeated);
}
