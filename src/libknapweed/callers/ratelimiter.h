// A token bucket for each client account.
#pragma once

#include "base/clock.h"

#include <map>
#include <string>

namespace knapweed
{

class RateLimiter
{
public:
    /// Takes one token from the account's bucket. Returns false when the account exceeds its rate.
    bool allow(MonotonicTime now, const std::string &account, double requestsPerSecond, int burst);

private:
    struct Bucket
    {
        double tokens = 0; ///< invariant: between 0 and the burst size
        MonotonicTime filledAt;
    };
    std::map<std::string, Bucket> buckets_;
};

} // namespace knapweed
