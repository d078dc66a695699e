// Posts termination and reload signals to an event loop.
#pragma once

#include "base/eventloop.h"

#include <functional>

namespace knapweed
{

/// Blocks SIGTERM, SIGINT and SIGHUP for the calling thread and all threads that it starts later. Also ignores SIGPIPE.
/// To be called before any thread is started.
void blockTerminationSignals();

/// Starts a thread that waits for the signals and posts @p terminate to @p loop for SIGTERM and SIGINT, and @p reload for SIGHUP. The loop must live until
/// the process ends.
void watchTermination(EventLoop &loop, std::function<void()> terminate, std::function<void()> reload);

} // namespace knapweed
