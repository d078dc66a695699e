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
    /// Takes one request's token; false when the account is over its rate.
    bool allow(MonotonicTime now, const std::string &account, double requestsPerSecond, int burst);

private:
    struct Bucket
    {
        double tokens = 0; ///< invariant: from 0 to the burst
        MonotonicTime filledAt;
    };
    std::map<std::string, Bucket> buckets_;
};

} // namespace knapweed
