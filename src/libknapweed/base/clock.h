// Names for the clocks. Timeouts and intervals use the monotonic clock, leases between machines the boot clock; only due times and records that
// people read use wall time.
#pragma once

#include <chrono>

namespace knapweed
{

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// Counts the time of a suspended machine too, so that a lease granted before a suspension is over after it.
struct BootClock
{
    using duration = Milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, Milliseconds>;
    static time_point now() noexcept;
};

using BootTime = BootClock::time_point;

} // namespace knapweed
