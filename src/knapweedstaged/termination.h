// Turns signals into messages for an event loop.
#pragma once

#include "base/eventloop.h"

#include <functional>

namespace knapweed
{

/// Blocks SIGTERM, SIGINT and SIGHUP for the calling thread and those that it starts from now on. To be called before any thread is started.
void blockTerminationSignals();

/// Starts a task that waits for the signals and posts @p terminate to @p loop for SIGTERM and SIGINT, and @p reload for SIGHUP. The loop must live until
/// the process ends.
void watchTermination(EventLoop &loop, std::function<void()> terminate, std::function<void()> reload);

} // namespace knapweed
