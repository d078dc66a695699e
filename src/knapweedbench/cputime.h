// The computing time of the calling thread, which other load on the machine doesn't lengthen.
#pragma once

#include "base/clock.h"

#include <ctime>

namespace knapweed::bench
{

inline Microseconds cpuTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Microseconds>(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace knapweed::bench
