// Ids are taken from the system's random source or derived with XXH3.

#include "callers/jobid.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <random>

namespace knapweed
{

namespace
{

std::uint64_t randomWord()
{
    static thread_local std::random_device device;
    return (std::uint64_t(device()) << 32) | device();
}

std::string hexadecimal(std::uint64_t word)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(word));
    return text.data();
}

} // namespace

std::string jobIdForKey(const std::string &account, const std::string &key)
{
    const std::string text = std::to_string(account.size()) + ':' + account + key;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return "j-" + hexadecimal(hash.high64) + hexadecimal(hash.low64);
}

std::string randomJobId()
{
    return "j-" + hexadecimal(randomWord()) + hexadecimal(randomWord());
}

std::int64_t randomNonce()
{
    return static_cast<std::int64_t>(randomWord() >> 1) | 1;
}

std::int64_t digestOf(const std::string &bytes)
{
    return static_cast<std::int64_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

std::string digestText(std::int64_t digest)
{
    return hexadecimal(static_cast<std::uint64_t>(digest));
}

} // namespace knapweed
