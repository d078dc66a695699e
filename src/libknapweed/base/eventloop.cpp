// The loop: messages posted by other tasks, timers, and the sockets that libwebsockets serves.

#include "base/eventloop.h"

#include "base/invariant.h"

#include <libwebsockets.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace knapweed
{

namespace
{

constexpr unsigned short headerBytesLimit = 8192; ///< of one request or response
constexpr unsigned int serviceBufferBytes = 65536; ///< one read from a socket; with 16 KiB, answers were cut when servers closed under load
constexpr Microseconds pollGranularity {1000};
constexpr unsigned int libraryTimeoutSeconds = 24 * 3600; ///< the library's own would cut long polls; servers and clients set theirs

struct Timer
{
    MonotonicTime due;
    Milliseconds interval {0}; ///< zero for a timer that runs once
    std::function<void()> callback;
};

lws_context *createContext()
{
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_SKIP_SERVER_CANONICAL_NAME | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.max_http_header_data = headerBytesLimit;
    info.pt_serv_buf_size = serviceBufferBytes;
    info.timeout_secs = libraryTimeoutSeconds;
    return lws_create_context(&info);
}

} // namespace

struct EventLoop::Private
{
    using DueKey = std::pair<MonotonicTime, TimerId>;

    /// First member, so that its address is the address of this object in the callback of libwebsockets.
    lws_sorted_usec_list_t wakeUp {};
    lws_context *context = nullptr;
    std::atomic<bool> stopped {false};
    std::thread::id thread;

    std::mutex mutex; ///< guards posted
    std::deque<std::function<void()>> posted;

    /// Invariant: due holds one key for each timer, with the timer's due time.
    std::unordered_map<TimerId, Timer> timers;
    std::map<DueKey, bool> due;
    TimerId nextTimer = 1;

    std::vector<std::shared_ptr<void>> retained;

    void assertThread() const
    {
        assertInvariant(thread == std::thread::id() || thread == std::this_thread::get_id(), "timers are used on the loop's thread only");
    }

    TimerId addTimer(Timer timer)
    {
        assertThread();
        const TimerId id = nextTimer++;
        due.emplace(DueKey(timer.due, id), true);
        timers.emplace(id, std::move(timer));
        assertInvariant(due.size() == timers.size(), "each timer has one due time");
        scheduleWakeUp();
        return id;
    }

    void scheduleWakeUp()
    {
        if (due.empty()) {
            lws_sul_cancel(&wakeUp);
            return;
        }
        const Microseconds wait = std::chrono::duration_cast<Microseconds>(due.begin()->first.first - std::chrono::steady_clock::now());
        // The library waits in whole milliseconds, rounded down; without one more it would poll without waiting for the last one.
        const lws_usec_t delay = std::max<lws_usec_t>(wait.count(), 0) + pollGranularity.count();
        lws_sul_schedule(context, 0, &wakeUp, wake, delay);
    }

    /// The timers run here and not after the library's turn, because it goes on to wait for sockets once it has called this.
    static void wake(lws_sorted_usec_list_t *wakeUp)
    {
        reinterpret_cast<Private *>(wakeUp)->runTimers();
    }

    void runTimers()
    {
        const MonotonicTime now = std::chrono::steady_clock::now();
        while (!due.empty() && due.begin()->first.first <= now) {
            runTimer(due.begin()->first.second, now);
        }
        scheduleWakeUp();
    }

    void runTimer(TimerId id, MonotonicTime now)
    {
        Timer &timer = timers.at(id);
        due.erase(DueKey(timer.due, id));
        if (timer.interval.count() == 0) {
            const std::function<void()> callback = std::move(timer.callback);
            timers.erase(id);
            callback();
            return;
        }
        timer.due = now + timer.interval;
        due.emplace(DueKey(timer.due, id), true);
        const std::function<void()> callback = timer.callback;
        callback();
    }

    void runPosted()
    {
        std::deque<std::function<void()>> messages;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            messages.swap(posted);
        }
        for (const std::function<void()> &message : messages) {
            message();
        }
    }
};

EventLoop::EventLoop()
    : d_(std::make_unique<Private>())
{
    d_->context = createContext();
    if (d_->context == nullptr) {
        throw std::runtime_error("the event loop's context can't be created");
    }
}

EventLoop::~EventLoop()
{
    lws_sul_cancel(&d_->wakeUp);
    lws_context_destroy(d_->context);
}

void EventLoop::run()
{
    d_->thread = std::this_thread::get_id();
    while (!d_->stopped) {
        d_->runPosted();
        if (d_->stopped || lws_service(d_->context, 0) < 0) {
            break;
        }
    }
    d_->runPosted();
    d_->thread = std::thread::id();
    d_->stopped = false;
}

void EventLoop::stop()
{
    d_->stopped = true;
    lws_cancel_service(d_->context);
}

void EventLoop::post(std::function<void()> message)
{
    {
        const std::lock_guard<std::mutex> lock(d_->mutex);
        d_->posted.push_back(std::move(message));
    }
    lws_cancel_service(d_->context);
}

TimerId EventLoop::callAfter(Milliseconds delay, std::function<void()> callback)
{
    return d_->addTimer({std::chrono::steady_clock::now() + delay, Milliseconds(0), std::move(callback)});
}

TimerId EventLoop::callEvery(Milliseconds interval, std::function<void()> callback)
{
    assertInvariant(interval.count() > 0, "a repeated timer has an interval");
    return d_->addTimer({std::chrono::steady_clock::now() + interval, interval, std::move(callback)});
}

void EventLoop::cancelTimer(TimerId timer)
{
    d_->assertThread();
    const auto found = d_->timers.find(timer);
    if (found == d_->timers.end()) {
        return;
    }
    d_->due.erase(Private::DueKey(found->second.due, timer));
    d_->timers.erase(found);
}

lws_context *EventLoop::context() const
{
    return d_->context;
}

void EventLoop::retain(std::shared_ptr<void> object)
{
    d_->retained.push_back(std::move(object));
}

} // namespace knapweed
