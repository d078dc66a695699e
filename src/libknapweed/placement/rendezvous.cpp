// Ranks the addresses by the XXH3 hash of key and address.

#include "placement/rendezvous.h"

#include <xxhash.h>

namespace knapweed
{

std::string rendezvousChoice(const std::string &key, const std::map<std::int64_t, std::string> &processes)
{
    std::string best;
    std::uint64_t bestRank = 0;
    for (const auto &[nonce, address] : processes) {
        std::string text = key;
        text += '|';
        text += address;
        const std::uint64_t rank = XXH3_64bits(text.data(), text.size());
        if (best.empty() || rank > bestRank) {
            best = address;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace knapweed
