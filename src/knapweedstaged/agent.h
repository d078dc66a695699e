// The agent role: a process beside an endpoint that controls the endpoint's slots and its worker's accelerators.
#pragma once

#include "base/settings.h"

namespace knapweed
{

/// Serves until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit status. Both signals must be blocked in every thread.
int runAgent(const Settings &settings);

} // namespace knapweed
