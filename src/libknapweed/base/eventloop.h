// One thread's event loop on a libwebsockets context. A task owns one loop, its sockets and its state; other tasks reach it by post() only.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

struct lws_context;

namespace knapweed
{

using TimerId = std::uint64_t;

class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Serves events on the calling thread until stop().
    void run();

    /// Makes run() return. May be called from any thread and from a signal-watching task.
    void stop();

    /// Runs @p message on the loop's thread, in the order posted. May be called from any thread.
    void post(std::function<void()> message);

    /// Runs @p callback once after @p delay. Loop thread only.
    TimerId callAfter(Milliseconds delay, std::function<void()> callback);

    /// Runs @p callback every @p interval until cancelled. Loop thread only.
    TimerId callEvery(Milliseconds interval, std::function<void()> callback);

    /// Forgets a timer; unknown ids are ignored. Loop thread only.
    void cancelTimer(TimerId timer);

    lws_context *context() const;

    /// Keeps @p object until the context is destroyed, for whatever libwebsockets callbacks may still use.
    void retain(std::shared_ptr<void> object);

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace knapweed
