// Order by share of a core, then by address: the same everywhere, without agreement.

#include "cell/turn.h"

#include <algorithm>
#include <tuple>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds turnSpan {120}; ///< for a join and the look that tells of it: twenty times a usual answer of the store
constexpr std::ptrdiff_t longestQueue = 6; ///< later ones wait no longer: when all before them are gone the place must not stay empty for seconds
constexpr std::int32_t handOverFactor = 2; ///< less of a difference isn't worth the pause of a hand-over

bool isBefore(const TurnCandidate &left, const TurnCandidate &right)
{
    return std::tie(right.processorPermille, left.address) < std::tie(left.processorPermille, right.address);
}

} // namespace

Milliseconds turnDelay(const TurnCandidate &self, const std::vector<TurnCandidate> &others)
{
    const std::ptrdiff_t before = std::count_if(others.begin(), others.end(), [&self](const TurnCandidate &other) {
        return isBefore(other, self);
    });
    return turnSpan * std::min(before, longestQueue);
}

bool hasBetterCandidate(const TurnCandidate &self, const std::vector<TurnCandidate> &others)
{
    return std::any_of(others.begin(), others.end(), [&self](const TurnCandidate &other) {
        return other.processorPermille >= handOverFactor * self.processorPermille;
    });
}

} // namespace knapweed::cell
