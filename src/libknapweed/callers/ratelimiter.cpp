// Buckets start full and are refilled in proportion to the elapsed time.

#include "callers/ratelimiter.h"

#include <algorithm>

namespace knapweed
{

bool RateLimiter::allow(MonotonicTime now, const std::string &account, double requestsPerSecond, int burst)
{
    const auto [entry, isNew] = buckets_.try_emplace(account, Bucket {static_cast<double>(burst), now});
    Bucket &bucket = entry->second;
    const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(static_cast<double>(burst), bucket.tokens + elapsed * requestsPerSecond);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

} // namespace knapweed
