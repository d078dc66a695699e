// A separate thread waits for the signals, so that no code runs in a signal handler.

#include "termination.h"

#include <csignal>
#include <thread>

namespace knapweed
{

namespace
{

sigset_t watchedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void blockTerminationSignals()
{
    const sigset_t signals = watchedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void watchTermination(EventLoop &loop, std::function<void()> terminate, std::function<void()> reload)
{
    std::thread watcher([&loop, terminate = std::move(terminate), reload = std::move(reload)]() {
        const sigset_t signals = watchedSignals();
        int received = 0;
        while (sigwait(&signals, &received) == 0) {
            loop.post(received == SIGHUP ? reload : terminate);
        }
    });
    watcher.detach();
}

} // namespace knapweed
