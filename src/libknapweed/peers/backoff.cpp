// Computes exponential backoff delays with jitter.

#include "peers/backoff.h"

#include <algorithm>

namespace knapweed
{

namespace
{

constexpr int doublingsLimit = 20; ///< keeps the shift in nextDelay() from overflowing

}

Milliseconds nextDelay(Backoff &backoff, std::mt19937 &random)
{
    const int doublings = std::min(backoff.failures, doublingsLimit);
    ++backoff.failures;
    const Milliseconds whole = std::min(backoff.limit, backoff.first * (std::int64_t(1) << doublings));
    std::uniform_int_distribution<std::int64_t> jitter(whole.count() / 2, whole.count());
    return Milliseconds(jitter(random));
}

} // namespace knapweed
