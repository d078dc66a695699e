// Job ids and digests. A job with an idempotency key has an id derived from account and key, so retries through any entry name the same job.
#pragma once

#include <cstdint>
#include <string>

namespace knapweed
{

/// "j-" and 32 hexadecimal digits.
std::string jobIdForKey(const std::string &account, const std::string &key);
std::string randomJobId();

/// A random positive number, for owner and lead nonces.
std::int64_t randomNonce();

/// XXH3 of @p bytes.
std::int64_t digestOf(const std::string &bytes);
/// 16 hexadecimal digits.
std::string digestText(std::int64_t digest);

} // namespace knapweed
