// Job ids and digests. A job with an idempotency key has an id derived from account and key, so that retries through any entry refer to the same job.
#pragma once

#include <cstdint>
#include <string>

namespace knapweed
{

/// "j-" and 32 hexadecimal digits.
std::string jobIdForKey(const std::string &account, const std::string &key);
std::string randomJobId();

/// Returns a random positive number, for the nonces of owners and leads.
std::int64_t randomNonce();

/// 64-bit XXH3 hash of @p bytes.
std::int64_t digestOf(const std::string &bytes);
/// 16 hexadecimal digits.
std::string digestText(std::int64_t digest);

} // namespace knapweed
