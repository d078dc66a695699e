// Turns SIGTERM and SIGINT into a message for an event loop.
#pragma once

#include "base/eventloop.h"

#include <functional>

namespace knapweed
{

/// Blocks both signals for the calling thread and those that it starts from now on. To be called before any thread is started.
void blockTerminationSignals();

/// Starts a task that waits for the signals and posts @p terminate to @p loop for each. Both must live until the process ends.
void watchTermination(EventLoop &loop, std::function<void()> terminate);

} // namespace knapweed
