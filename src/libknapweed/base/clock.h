// Names for the two clocks. Leases, timeouts and intervals use the monotonic clock; only records that people read use wall time.
#pragma once

#include <chrono>

namespace knapweed
{

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

} // namespace knapweed
