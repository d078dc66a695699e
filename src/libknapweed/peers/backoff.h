// Delays between connection attempts: exponential backoff with jitter, so that many processes do not reconnect at the same moment.
#pragma once

#include "base/clock.h"

#include <random>

namespace knapweed
{

struct Backoff
{
    Milliseconds first {50};
    Milliseconds limit {2000};
    int failures = 0;
};

/// Returns the delay before the next attempt, a random value between half of the exponential delay and all of it, and increments the failure count.
Milliseconds nextDelay(Backoff &backoff, std::mt19937 &random);

} // namespace knapweed
