// Order by address: the same everywhere, without agreement.

#include "cell/turn.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds turnSpan {120}; ///< for a join and the look that tells of it: twenty times a usual answer of the store
constexpr std::ptrdiff_t longestQueue = 6; ///< later ones wait no longer: when all before them are gone the place must not stay empty for seconds

} // namespace

Milliseconds turnDelay(const std::string &self, const std::vector<std::string> &others)
{
    const std::ptrdiff_t before = std::count_if(others.begin(), others.end(), [&self](const std::string &other) {
        return other < self;
    });
    return turnSpan * std::min(before, longestQueue);
}

} // namespace knapweed::cell
