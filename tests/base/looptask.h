// A task for tests: an event loop on a thread of its own, and calls into it that wait for their result.
#pragma once

#include "base/eventloop.h"

#include <chrono>
#include <functional>
#include <future>
#include <thread>

namespace knapweed
{

constexpr Seconds testDeadline {20}; ///< for conditions that hold within milliseconds on an idle machine

class LoopTask
{
public:
    LoopTask()
        : thread_([this]() {
            loop_.run();
        })
    {
    }

    ~LoopTask()
    {
        loop_.stop();
        thread_.join();
    }

    EventLoop &loop()
    {
        return loop_;
    }

    /// Runs @p function on the loop's thread and waits until it has returned.
    void call(const std::function<void()> &function)
    {
        std::promise<void> done;
        loop_.post([&]() {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Asks @p condition on the loop's thread until it holds; false when the deadline passes first.
    bool waitFor(const std::function<bool()> &condition, Milliseconds deadline = testDeadline)
    {
        const MonotonicTime end = std::chrono::steady_clock::now() + deadline;
        while (std::chrono::steady_clock::now() < end) {
            bool holds = false;
            call([&]() {
                holds = condition();
            });
            if (holds) {
                return true;
            }
            std::this_thread::sleep_for(Milliseconds(1));
        }
        return false;
    }

private:
    EventLoop loop_;
    std::thread thread_;
};

} // namespace knapweed
