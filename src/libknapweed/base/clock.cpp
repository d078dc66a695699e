// Reads the boot clock.

#include "base/clock.h"

#include <ctime>

namespace knapweed
{

BootTime BootClock::now() noexcept
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return BootTime(std::chrono::duration_cast<Milliseconds>(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace knapweed
