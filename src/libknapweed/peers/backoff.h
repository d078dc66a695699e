// Delays between tries to connect: exponential with full jitter, so that many processes do not return in step.
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

/// The delay before the next try, between half and all of the exponential delay; counts one more failure.
Milliseconds nextDelay(Backoff &backoff, std::mt19937 &random);

} // namespace knapweed
