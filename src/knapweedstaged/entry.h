// The entry role: callers' and operators' HTTP, the job board, and the planner when this entry is the chosen one.
#pragma once

#include "base/settings.h"

namespace knapweed
{

/// Serves until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit status. Both signals must be blocked in every thread.
int runEntry(const Settings &settings);

} // namespace knapweed
