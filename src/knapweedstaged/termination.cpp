// The signals are waited for in a thread of their own, so that no code runs in a signal handler.

#include "termination.h"

#include <csignal>
#include <thread>

namespace knapweed
{

namespace
{

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockTerminationSignals()
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void watchTermination(EventLoop &loop, std::function<void()> terminate)
{
    std::thread watcher([&loop, terminate = std::move(terminate)]() {
        const sigset_t signals = terminationSignals();
        int received = 0;
        while (sigwait(&signals, &received) == 0) {
            loop.post(terminate);
        }
    });
    watcher.detach();
}

} // namespace knapweed
