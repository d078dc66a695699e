// Order by share of a core, then by address: the same everywhere, without agreement.

#include "cell/turn.h"

#include <algorithm>
#include <tuple>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds shortestTurn {120}; ///< for a join and the look that tells of it: twenty times a usual answer of the store
constexpr Milliseconds longestDelay {3000}; ///< twice the lifetime of a membership
constexpr int looksInATurn = 3; ///< where the store is slow: the first one's join, and a look that may have begun just before it was done
constexpr std::ptrdiff_t longestQueue = 6; ///< later ones wait no longer: when all before them are gone the place must not stay empty for seconds
constexpr Milliseconds shortestLearning {100}; ///< the first seed's roster may be as new as this process
constexpr Milliseconds learningSpan {700}; ///< for the connections to the seeds, their rosters, and the connections to those named there
constexpr int refusalsToLose = 3; ///< a join and a leave of another entry fall between two joins of the owner, seldom between three
constexpr std::int32_t handOverFactor = 2; ///< less of a difference isn't worth the pause of a hand-over

constexpr Seconds staleOwnerLimit {3}; ///< twice the lifetime of a membership: an owner that is gone has lapsed by then

bool isBefore(const TurnCandidate &left, const TurnCandidate &right)
{
    return std::tie(right.processorPermille, left.address) < std::tie(left.processorPermille, right.address);
}

} // namespace

Milliseconds turnDelay(const TurnCandidate &self, const std::vector<TurnCandidate> &others, Milliseconds lookTime)
{
    const std::ptrdiff_t before = std::count_if(others.begin(), others.end(), [&self](const TurnCandidate &other) {
        return isBefore(other, self);
    });
    return std::min(longestDelay, std::max(shortestTurn, looksInATurn * lookTime) * std::min(before, longestQueue));
}

Milliseconds learningDelay(Milliseconds age, std::size_t known, std::size_t connected)
{
    const bool knowsAll = known > 0 && connected == known && age >= shortestLearning;
    return knowsAll ? Milliseconds(0) : std::max(Milliseconds(0), learningSpan - age);
}

bool hasBetterCandidate(const TurnCandidate &self, const std::vector<TurnCandidate> &others)
{
    return std::any_of(others.begin(), others.end(), [&self](const TurnCandidate &other) {
        return other.processorPermille >= handOverFactor * self.processorPermille;
    });
}

bool PlaceDoubt::isLost(bool holdsPlace)
{
    refusals_ = holdsPlace ? 0 : refusals_ + 1;
    return refusals_ >= refusalsToLose;
}

void OwnerDoubt::seen(const std::string &owner, bool isSchedulerConnected, MonotonicTime now)
{
    if (owner != owner_ || isSchedulerConnected) {
        since_ = now;
    }
    owner_ = owner;
}

void OwnerDoubt::unseen(MonotonicTime now)
{
    since_ = now;
}

bool OwnerDoubt::isDue(MonotonicTime now) const
{
    return !owner_.empty() && now - since_ > staleOwnerLimit;
}

} // namespace knapweed::cell
