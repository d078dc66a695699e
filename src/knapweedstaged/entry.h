// The entry role: the callers' and operators' HTTP interfaces, the jobs that this entry owns, and the planner while this entry is selected to run it.
#pragma once

#include "base/settings.h"

namespace knapweed
{

/// Serves until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit status. Both signals must be blocked in every thread.
int runEntry(const Settings &settings);

} // namespace knapweed
